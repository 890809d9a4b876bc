// Package datagram is the duty of one UDP socket, for heartbeats. It
// authenticates, bounds and counts datagrams; their payload is the caller's.
//
// A datagram is: version (1 byte), kind (1), stamp (8, big endian), payload,
// tag (12). The tag is HMAC-SHA256, cut to 96 bits, over the source and
// destination addresses and everything before the tag. The addresses are not
// sent, so a datagram cannot be replayed to another node or from another
// address. The stamp is the sender's wall time in microseconds and strictly
// grows; a receiver accepts only newer stamps of a sender, within a bound of
// clock skew. A restarted sender whose clock was set back is refused until its
// clock has caught up.
package datagram
