package node

import (
	"time"

	"github.com/apex/log"

	"marjoramshore.example/admission"
	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
	"marjoramshore.example/placement"
	"marjoramshore.example/store"
)

// Config describes one node. The command line makes it from the settings file;
// tests and the demo make it directly.
type Config struct {
	Node       core.NodeID
	Region     core.Region
	DataCentre core.DataCentre
	Service    core.Service

	// CallerListen, PeerListen are the host:port to listen on.
	CallerListen, PeerListen string
	// CallerAddress, PeerAddress are the host:port as others see them; empty
	// means the address of the listener.
	CallerAddress, PeerAddress string
	// BackendAddress is the host:port of the backend server beside the node.
	BackendAddress string

	// PeerKey authenticates nodes to each other.
	PeerKey []byte
	Store   store.Store
	// StoreLimits bounds the rate and the concurrency of calls to the store.
	StoreLimits store.Config

	Timing    ownership.Timing
	Admission admission.Config
	Once      once.Config
	Planner   placement.Config
	// MaxWaiting bounds the requests that wait for an owner.
	MaxWaiting int
	// MaxConns bounds callers' connections.
	MaxConns int
	// GroupCounts is the number of groups of each service that is known from
	// the start. Declared services are learned from the configuration.
	GroupCounts map[core.Service]uint32
	// OperatorListen is the host:port for operators; empty serves none.
	OperatorListen string
	// MetricsListen is the host:port for metrics; empty serves none.
	MetricsListen string
	// HeaderBytes bounds the head of a caller's request.
	HeaderBytes int
	// Log receives the events of the node; nil discards them.
	Log log.Interface
	// ReadToken and ChangeToken authorise operators.
	ReadToken, ChangeToken string
	// OperatorBytes bounds the body of an operator's request.
	OperatorBytes int
	// Bodies bounds the request bodies that are sent to other nodes at once.
	Bodies int
	// ProbeInterval is the time between probes of the backend server.
	ProbeInterval time.Duration
}
