// Package transport carries exchanges, tables and control messages between the
// nodes of a fleet: connect-go over HTTP/2 for streams and calls, authenticated
// UDP datagrams for heartbeats. It encodes and decodes; it decides nothing.
package transport
