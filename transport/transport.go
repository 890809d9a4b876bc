// Package transport carries messages between the nodes of a fleet. Exchanges (a
// customer's request and its response) and calls (control messages and routing
// tables) use connect-go over HTTP/2; heartbeats use the authenticated UDP
// datagrams of the package datagram. The transport only encodes and decodes;
// routing and ownership are decided by its callers.
package transport
