// Package fleet keeps what a node knows of the other nodes and of the backend
// servers beside them: entries that last, which come from the platform's store
// and from beacons, and the load and liveness that only beacons carry. It uses
// no network and no goroutine.
package fleet
