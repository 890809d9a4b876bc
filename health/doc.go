// Package health decides whether one backend server serves, from its answers
// to real requests and from probes together.
//
// A Monitor belongs to one goroutine, holds no lock and reads no clock.
package health
