package core

import "github.com/cespare/xxhash/v2"

// Service is the name of a set of backend servers that divide one key space.
type Service string

// Customer is the name of the party on whose behalf a caller sends requests.
type Customer string

// Region is the name of a set of data centres with a network latency of a few
// milliseconds between them.
type Region string

// DataCentre is the name of one failure domain inside a region.
type DataCentre string

// NodeID identifies the process that runs on one backend server VM. It stays
// the same when the process restarts at the same address.
type NodeID string

// Incarnation distinguishes successive runs of one NodeID. It is a random
// number drawn when the process starts and is never zero.
type Incarnation uint64

// Revision numbers the accepted versions of the declared configuration.
type Revision uint64

// GroupID identifies one ownership group of a service: the nodes that share the
// keys of one part of the key space under one coordinator.
type GroupID struct {
	Service Service
	Number  uint32
}

// Member is one run of a node, with its addresses.
type Member struct {
	Node        NodeID
	Incarnation Incarnation
	DataCentre  DataCentre
	// Address is the host:port of the node's peer listener (TCP and UDP).
	Address string
	// CallerAddress is the host:port of the node's caller listener. Responses
	// carry it, so that callers can connect to the owner directly.
	CallerAddress string
	// ChecksTokens reports whether the backend server on the node's VM rejects
	// requests that carry an outdated fencing token.
	ChecksTokens bool
}

// SameRun reports whether m and o are the same run of the same node.
func (m Member) SameRun(o Member) bool {
	return m.Node == o.Node && m.Incarnation == o.Incarnation
}

// Hash is the hash of a key. The hashes form the key space of a service.
type Hash uint64

// HashKey returns the 64-bit xxHash of a key.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Range is the interval of hashes from Lo to Hi, both included. A range that
// isolates a single hash has Lo equal to Hi.
type Range struct{ Lo, Hi Hash }

// FullRange covers the whole key space.
var FullRange = Range{Lo: 0, Hi: ^Hash(0)}

// Contains reports whether h lies inside r.
func (r Range) Contains(h Hash) bool { return r.Lo <= h && h <= r.Hi }

// Overlaps reports whether r and o share a hash.
func (r Range) Overlaps(o Range) bool { return r.Lo <= o.Hi && o.Lo <= r.Hi }

// Width returns the fraction of the key space that r covers, in (0, 1].
func (r Range) Width() float64 {
	return (float64(r.Hi-r.Lo) + 1) / (1 << 64)
}

// Token is a fencing token. The tokens granted for a range only increase; a
// request with a smaller token than one already seen is outdated.
type Token struct{ Term, Sequence uint64 }

// Less reports whether t is older than o.
func (t Token) Less(o Token) bool {
	if t.Term != o.Term {
		return t.Term < o.Term
	}
	return t.Sequence < o.Sequence
}

// IsZero reports whether t is the zero Token, which is never granted.
func (t Token) IsZero() bool { return t == Token{} }
