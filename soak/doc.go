// Package soak runs the real binary as separate processes on loopback, with
// stand-ins for the platform's store and the backend servers, and injects
// faults from outside: signals, cut and delayed connections, a failing store,
// and misbehaving backend servers. A plan drawn from a seed says what happens
// when. The ledger checks the promises of the product while it runs, from what
// callers and backend servers see.
package soak
