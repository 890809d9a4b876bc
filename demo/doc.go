// Package demo runs both deployments of today at full size in one process, on
// loopback, with stand-ins for the platform's store and the backend servers.
// It puts load on them, injects a few faults, and checks the invariants.
package demo
