// Package suspect detects requests that crash the backend servers that run
// them, and quarantines such a request across the service.
//
// A fingerprint identifies requests that are equal for a backend server. It is
// marked when such a request was in flight at the death of a backend server,
// and quarantined when its marks suffice. Nodes exchange their marks.
//
// A Table belongs to one goroutine, holds no lock and reads no clock.
package suspect
