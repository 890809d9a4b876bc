// Package groupwire encodes and decodes the messages of package ownership, and
// the transfers and assignment tables that go with them, with protobuf. The
// messages of the steady state fit into one datagram; others need a stream.
package groupwire
