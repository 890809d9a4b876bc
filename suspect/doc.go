// Package suspect recognises a request that crashes the backend servers that
// run it, and quarantines it across the service.
//
// A Table belongs to one goroutine, holds no lock and reads no clock.
package suspect
