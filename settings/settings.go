package settings

import (
	"net/netip"
	"time"

	"marjoramshore.example/core"
)

// Secret is a text that formatting and encoding never show.
type Secret string

// String implements fmt.Stringer.
func (Secret) String() string { return "[secret]" }

// GoString implements fmt.GoStringer.
func (Secret) GoString() string { return "[secret]" }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

// Reveal returns the text.
func (s Secret) Reveal() string { return string(s) }

// Settings are the settings of one node.
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

	PeerKey     Secret
	ReadToken   Secret
	ChangeToken Secret

	Limits   Limits
	Timing   Timing
	Pools    Pools
	LogLevel string
}

// Listen holds the addresses that the node listens on.
type Listen struct{ Caller, Peer, Operator, Metrics netip.AddrPort }

// Advertise holds the addresses that the node tells to others.
type Advertise struct{ Caller, Peer netip.AddrPort }

// Store describes the path to the platform's store.
type Store struct {
	URL            string
	Timeout        time.Duration
	CallsPerMinute int
}

// Limits bound the node's memory.
type Limits struct {
	HeaderBytes     int
	Connections     int
	WaitingRequests int
	QueuedRequests  int
	RecordBytes     int
	OperatorBytes   int
}

// Timing holds the parameters of ownership.
type Timing struct{ Heartbeat, Promise, Lease, Term time.Duration }

// Pools holds the sizes of the worker pools.
type Pools struct{ StoreCalls, StoreWatches, Bodies int }
