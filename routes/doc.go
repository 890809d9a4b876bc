// Package routes holds the current routing configuration and applies it to
// requests: it finds the route of a host and path, and picks the service that
// runs a request. It uses no network and starts no goroutine.
package routes
