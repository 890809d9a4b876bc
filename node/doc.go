// Package node assembles the duties of one process: the entrance that routes
// callers' requests, the owner of keys beside the backend server, the lease
// protocol, the configuration, and the operators' API. Decisions are made in
// the libraries that it connects; this package moves messages between their
// rings and the sockets.
package node
