// Package shards assigns the keys of a service to runs of its backend servers
// so that no two runs hold a key at the same time. It contains two state
// machines. The Coordinator assigns keys by conditional writes of one record in
// the store. The Member passes grants to the backend server beside it, none of
// which outlasts the member's lease. The package uses no network, no goroutine
// and no lock; callers pass the current instant.
//
// # Why no two runs hold a key
//
// A member grants keys only until its lease ends, and only a coordinator issues
// leases. A coordinator issues leases while it has authority, which ends
// Timing.Authority after the start of its last confirmed access to the record.
// It reassigns keys that a member has not released only after every lease that
// any coordinator can have issued to that member has ended. The record changes
// only by writes that are conditional on its version, so a coordinator that was
// replaced cannot change it.
package shards
