// Package routes holds the configuration in force and matches requests with
// it: the route of a host and a path, the service that is to run a request, and
// the limits of callers. It uses no network and no goroutine.
package routes
