// Package shards divides the keys of a service among runs of its backend
// servers, so that no two hold a key at the same time. It holds the state
// machines of the coordinator, which assigns keys through conditional writes of
// one record, and of the member, which passes grants to the backend server
// beside it and never beyond its own lease. The package uses no network, no
// goroutine and no lock; callers pass the current instant.
//
// # Why no two runs hold a key
//
// A member grants keys only until its lease ends, and it gets leases only from
// a coordinator. A coordinator gives leases while it has authority: until
// Authority after the start of its last confirmed access to the record. It
// gives away the keys of a member that did not return them only when every
// lease that any coordinator can have given to that member has ended. The
// record changes only by writes conditional on its version, so that a
// coordinator that was replaced cannot change it.
package shards
