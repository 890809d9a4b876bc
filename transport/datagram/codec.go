package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
)

const (
	version = 1
	headLen = 10
	tagLen  = 12
	// MaxSize bounds a datagram so that it fits an Ethernet frame with room
	// for tunnel headers.
	MaxSize = 1400
	// Overhead is what the encoding adds to a payload.
	Overhead = headLen + tagLen
	// MaxPayload is the largest payload.
	MaxPayload = MaxSize - Overhead
	// WireHeader is the size of the IPv4 and UDP headers, which the byte
	// counters include.
	WireHeader = 28
)

// Fault says why a received datagram was dropped.
type Fault uint8

// Faults.
const (
	FaultNone    Fault = iota
	FaultShape         // wrong length or version
	FaultTag           // not sent by a holder of the key to this address
	FaultStale         // outside the allowed clock skew
	FaultReplay        // not newer than the sender's last one
	FaultSenders       // too many senders
)

// message is a decoded datagram. Payload points into the input.
type message struct {
	kind    uint8
	stamp   uint64
	payload []byte
}

func encode(buf, key []byte, from, to netip.AddrPort, m message) []byte {
	buf = append(buf[:0], version, m.kind)
	buf = binary.BigEndian.AppendUint64(buf, m.stamp)
	buf = append(buf, m.payload...)
	return append(buf, tag(key, from, to, buf)...)
}

// decode checks everything but the stamp.
func decode(b []byte, keys [][]byte, from, to netip.AddrPort) (message, Fault) {
	if len(b) < Overhead || len(b) > MaxSize || b[0] != version {
		return message{}, FaultShape
	}
	body, got := b[:len(b)-tagLen], b[len(b)-tagLen:]
	for _, key := range keys {
		if hmac.Equal(tag(key, from, to, body), got) {
			return message{kind: b[1], stamp: binary.BigEndian.Uint64(b[2:headLen]), payload: body[headLen:]}, FaultNone
		}
	}
	return message{}, FaultTag
}

func tag(key []byte, from, to netip.AddrPort, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	for _, a := range [2]netip.AddrPort{from, to} {
		ip := a.Addr().As16()
		m.Write(ip[:])
		m.Write([]byte{byte(a.Port() >> 8), byte(a.Port())})
	}
	m.Write(body)
	return m.Sum(nil)[:tagLen]
}
