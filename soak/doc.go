// Package soak runs the real binary as separate processes on loopback, with
// stand-ins for the platform's store and the backend servers, and injects
// faults from outside: signals, cut and delayed connections, a failing store,
// and misbehaving backend servers. A plan that is derived from a seed sets the
// type and time of each disturbance. During the run a Checker verifies the
// guarantees of the product against what callers and backend servers observe.
package soak
