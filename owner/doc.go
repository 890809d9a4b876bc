// Package owner is the owner's side of a request: it checks the lease, keeps
// at-most-once records and marks of requests that crash backend servers, and
// lets requests in as far as the backend server beside the node can serve
// them. One duty owns all of that state; the goroutines of the exchanges send
// it messages and wait for its answers.
package owner
