package settings

import (
	"net/netip"
	"time"

	"marjoramshore.example/core"
)

// Secret is a key or token. Formatting and encoding it show a placeholder.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "[secret]" }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return "[secret]" }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

// Reveal returns the key or token itself.
func (s Secret) Reveal() string { return string(s) }

// Settings holds the settings of one node.
type Settings struct {
	Node       core.NodeID
	Region     core.Region
	DataCentre core.DataCentre
	Service    core.Service

	Listen    Listen
	Advertise Advertise
	// Backend is the address of the backend server beside the node.
	Backend netip.AddrPort
	Store   Store

	// PeerKey authenticates nodes to each other.
	PeerKey Secret
	// ReadToken and ChangeToken are the bearer tokens of operators.
	ReadToken   Secret
	ChangeToken Secret

	Limits   Limits
	Timing   Timing
	Pools    Pools
	LogLevel string // "debug", "info", "warn" or "error"
}

// Listen holds the addresses that the node listens on.
type Listen struct{ Caller, Peer, Operator, Metrics netip.AddrPort }

// Advertise holds the addresses at which callers and other nodes reach the
// node's listeners.
type Advertise struct{ Caller, Peer netip.AddrPort }

// Store holds the settings of the client of the platform's store.
type Store struct {
	URL            string
	Timeout        time.Duration // of one call
	CallsPerMinute int           // budget of calls that are not urgent
}

// Limits holds the bounds on the node's memory.
type Limits struct {
	HeaderBytes     int // size of a request header
	Connections     int // open connections of callers
	WaitingRequests int // requests that wait for an owner
	QueuedRequests  int // requests that wait for a slot of the backend server
	RecordBytes     int // memory of the at-most-once records
	OperatorBytes   int // size of an operator's request body
}

// Timing holds the timing of the ownership protocol: the heartbeat interval and
// the lengths of a successor's promise, of a member's lease and of the
// coordinator's term lease in the store.
type Timing struct{ Heartbeat, Promise, Lease, Term time.Duration }

// Pools holds the sizes of the worker pools: concurrent store calls, watched
// store keys and request bodies sent to other nodes at once.
type Pools struct{ StoreCalls, StoreWatches, Bodies int }
