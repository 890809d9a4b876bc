// Package node assembles the duties of one process: the entrance that routes
// callers' requests, the owner's side beside the backend server, ownership,
// configuration, and the operator's view. Decisions are made in the libraries
// it joins; this package moves messages between rings and sockets.
package node
