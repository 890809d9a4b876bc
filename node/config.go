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

// Config describes one node. The command line builds it with FromSettings;
// tests and the demo build it directly.
type Config struct {
	Node       core.NodeID
	Region     core.Region
	DataCentre core.DataCentre
	Service    core.Service

	// CallerListen and PeerListen are the addresses, as host:port, on which the
	// node listens for callers and for other nodes.
	CallerListen, PeerListen string
	// CallerAddress and PeerAddress are the advertised addresses, as host:port.
	// An empty one means the address of the listener.
	CallerAddress, PeerAddress string
	// BackendAddress is the host:port of the backend server beside the node.
	BackendAddress string

	// PeerKey authenticates nodes to each other.
	PeerKey []byte
	Store   store.Store
	// StoreLimits bounds the rate and the concurrency of calls to the store.
	StoreLimits store.Config

	Timing     ownership.Timing
	Admission  admission.Config
	AtMostOnce once.Config
	Planner    placement.Config
	// MaxWaitingRequests bounds the callers' requests that wait at this node
	// until their key has an owner.
	MaxWaitingRequests int
	// MaxConns bounds the connections of callers.
	MaxConns int
	// GroupCounts is the number of groups of each service that is known from
	// the start. Declared services are learned from the configuration.
	GroupCounts map[core.Service]uint32
	// OperatorListen is the host:port of the operators' API; empty disables it.
	OperatorListen string
	// MetricsListen is the host:port of the metrics; empty disables them.
	MetricsListen string
	// MaxHeaderBytes bounds the header section of a caller's request.
	MaxHeaderBytes int
	// Log receives the log lines of the node; nil discards them.
	Log log.Interface
	// ReadToken authorises operators to read, ChangeToken to make changes.
	ReadToken, ChangeToken string
	// MaxOperatorBodyBytes bounds the body of an operator's request.
	MaxOperatorBodyBytes int
	// MaxPeerUploads bounds the request bodies that are sent to other nodes at
	// the same time.
	MaxPeerUploads int
	// ProbeInterval is the time between probes of the backend server. Zero
	// means 250 ms.
	ProbeInterval time.Duration
}
