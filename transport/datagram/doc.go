// Package datagram sends and receives authenticated UDP datagrams on one
// socket, for the heartbeats between nodes. One goroutine receives and puts
// valid datagrams on a ring. The package limits the size of datagrams and
// counts those that it drops; the payload is opaque to it.
//
// A datagram consists of the version (1 byte), the kind (1), a timestamp (8,
// big endian), the payload and a tag (12). The tag is an HMAC-SHA256, truncated
// to 96 bits, over the source and destination addresses and everything before
// the tag. The addresses are not sent in the datagram, so it cannot be replayed
// to another node or from another address. The timestamp is the sender's
// wall-clock time in microseconds and strictly increases. A receiver accepts
// only timestamps newer than the last one of the sender and within the allowed
// clock skew. After a restart with a clock that was set back, a sender is
// rejected until its clock has caught up.
package datagram
