package core

import "github.com/cespare/xxhash/v2"

// Service names a set of backend servers that divide one key space.
type Service string

// Customer names the party on whose behalf a caller sends requests.
type Customer string

// Region names a set of data centres that are a few milliseconds apart.
type Region string

// DataCentre names one failure domain inside a region.
type DataCentre string

// NodeID names the process that runs on one backend server VM. It stays the
// same when the process restarts at the same address.
type NodeID string

// Incarnation tells apart successive runs of one NodeID. It is drawn at random
// when the process starts and is never zero.
type Incarnation uint64

// Revision counts accepted versions of the declared configuration.
type Revision uint64

// GroupID names one ownership group of a service.
type GroupID struct {
	Service Service
	Number  uint32
}

// Member identifies one run of a node together with its addresses.
type Member struct {
	Node        NodeID
	Incarnation Incarnation
	DataCentre  DataCentre
	// Address is the host:port of the node's peer listener (TCP and UDP).
	Address string
	// CallerAddress is the host:port on which the node accepts callers. It is
	// sent to callers as the address hint.
	CallerAddress string
	// ChecksTokens reports whether the backend server beside the node rejects
	// orders that carry an outdated fencing token.
	ChecksTokens bool
}

// SameRun reports whether two members are the same run of the same node.
func (m Member) SameRun(o Member) bool {
	return m.Node == o.Node && m.Incarnation == o.Incarnation
}

// Hash is the position of a key in the key space of a service.
type Hash uint64

// HashKey maps a key to its position with 64-bit xxHash.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Range is the inclusive interval [Lo, Hi] of the key space. Lo equals Hi for
// a range that isolates one hash.
type Range struct{ Lo, Hi Hash }

// FullRange covers the whole key space.
var FullRange = Range{Lo: 0, Hi: ^Hash(0)}

// Contains reports whether h lies inside r.
func (r Range) Contains(h Hash) bool { return r.Lo <= h && h <= r.Hi }

// Overlaps reports whether r and o share a hash.
func (r Range) Overlaps(o Range) bool { return r.Lo <= o.Hi && o.Lo <= r.Hi }

// Width returns the number of hashes in r as a fraction of the key space.
func (r Range) Width() float64 {
	return (float64(r.Hi-r.Lo) + 1) / (1 << 64)
}

// Token is a fencing token. Tokens of a range only grow; an order that carries
// a smaller token than one already seen is outdated.
type Token struct{ Term, Sequence uint64 }

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Sequence < o.Sequence
}

// IsZero reports whether t was never granted.
func (t Token) IsZero() bool { return t == Token{} }
