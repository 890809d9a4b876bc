// Package health decides whether a backend server may take work, from its
// answers to real requests and from probes.
//
// A Monitor belongs to one goroutine, holds no lock and reads no clock.
package health
