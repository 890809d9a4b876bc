package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
)

// Sizes are in bytes.
const (
	version    = 1
	headerSize = 10
	tagSize    = 12
	// MaxSize is the largest datagram. It fits an Ethernet frame with room for
	// tunnel headers.
	MaxSize = 1400
	// Overhead is the size of the header and the tag around a payload.
	Overhead = headerSize + tagSize
	// MaxPayload is the largest payload.
	MaxPayload = MaxSize - Overhead
	// IPUDPOverhead is the size of the IPv4 and UDP headers, which the byte
	// counters of Stats include.
	IPUDPOverhead = 28
)

// DropReason says why a received datagram was dropped.
type DropReason uint8

// Reasons for dropping a datagram. NotDropped means that it is valid.
const (
	NotDropped         DropReason = iota
	DropMalformed                 // invalid length or version
	DropWrongTag                  // signed with another key, altered, or sent from or to another address
	DropClockSkew                 // timestamp outside the allowed clock skew
	DropReplayed                  // timestamp not newer than the last one of the sender
	DropTooManySenders            // new sender while the table of senders is full
)

// message is a decoded datagram. The payload of a message from decode shares
// the memory of the datagram.
type message struct {
	kind      uint8
	timestamp uint64
	payload   []byte
}

// encode returns a datagram with m, signed with key. It overwrites buf, and
// allocates only if buf is too small.
func encode(buf, key []byte, from, to netip.AddrPort, m message) []byte {
	buf = append(buf[:0], version, m.kind)
	buf = binary.BigEndian.AppendUint64(buf, m.timestamp)
	buf = append(buf, m.payload...)
	return append(buf, computeTag(key, from, to, buf)...)
}

// decode checks the length, the version and the tag of a datagram, but not its
// timestamp.
func decode(datagram []byte, keys [][]byte, from, to netip.AddrPort) (message, DropReason) {
	if len(datagram) < Overhead || len(datagram) > MaxSize || datagram[0] != version {
		return message{}, DropMalformed
	}
	body, gotTag := datagram[:len(datagram)-tagSize], datagram[len(datagram)-tagSize:]
	for _, key := range keys {
		if hmac.Equal(computeTag(key, from, to, body), gotTag) {
			return message{kind: datagram[1], timestamp: binary.BigEndian.Uint64(datagram[2:headerSize]), payload: body[headerSize:]}, NotDropped
		}
	}
	return message{}, DropWrongTag
}

// computeTag returns the tag of body, the datagram up to the tag.
func computeTag(key []byte, from, to netip.AddrPort, body []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, a := range [2]netip.AddrPort{from, to} {
		ip := a.Addr().As16()
		mac.Write(ip[:])
		mac.Write([]byte{byte(a.Port() >> 8), byte(a.Port())})
	}
	mac.Write(body)
	return mac.Sum(nil)[:tagSize]
}
