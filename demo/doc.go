// Package demo runs both of today's deployments at full size in one process, on
// loopback, with stand-ins for the platform's store and the backend servers. It
// sends load to them, injects faults and checks the invariants.
package demo
