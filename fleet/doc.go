// Package fleet holds what a node knows of the other nodes and of the backend
// servers beside them: entries, which persist and come from the platform's
// store and from beacons, and load and liveness, which only beacons carry. It
// uses no network and no goroutine.
package fleet
