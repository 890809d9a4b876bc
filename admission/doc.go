// Package admission decides which requests one backend server runs now, which
// wait and which are refused. It keeps the hard limits of the backend server,
// adapts the limit in use to observed service times, separates short from long
// work and shares capacity fairly between customers.
//
// A Controller belongs to one goroutine, holds no lock, starts no goroutine and
// reads no clock: every method takes the current instant.
package admission
