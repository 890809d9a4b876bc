// Package admission controls how many requests a backend server runs at once.
// Each offered request is admitted, queued or refused. The package enforces
// the hard limits of the backend server, adapts the concurrency limit to
// observed service times, keeps short work from waiting behind long work and
// divides capacity fairly among customers.
//
// A Controller is not safe for concurrent use. It starts no goroutines and
// reads no clock: methods that depend on time take the current instant.
package admission
