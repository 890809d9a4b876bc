// Package groupwire encodes the messages of package ownership with protobuf.
// Steady-state messages fit one datagram; the others need a stream.
package groupwire
