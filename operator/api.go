package operator

import (
	"context"
	"encoding/json"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// Backend executes the requests of operators; the node implements it. Errors are
// intent.Faults, *intent.ConflictError or *core.Error; any other error is
// returned to the client as "internal", without its text.
type Backend interface {
	// Apply plans a declaration and keeps the plan for a later Confirm. It
	// changes nothing else.
	Apply(ctx context.Context, declaration intent.Declaration) (intent.Plan, error)
	// Plan returns a plan that Apply made, or CodeNotFound.
	Plan(ctx context.Context, id string) (intent.Plan, error)
	Confirm(ctx context.Context, request ConfirmRequest) (ChangeResult, error)
	Status(ctx context.Context) (Status, error)
	Explain(ctx context.Context, service core.Service, key string) (Explanation, error)
	History(ctx context.Context, limit int) (History, error)
	// Drain starts a drain, or ends it when start is false.
	Drain(ctx context.Context, request DrainRequest, start bool) (ChangeResult, error)
	Quarantine(ctx context.Context, request QuarantineRequest) (ChangeResult, error)
	// Burn returns the report on service levels, with its HTML page if html is
	// set.
	Burn(ctx context.Context, html bool) (BurnReport, error)
}

// Attribution says who asks for a change and for which reason.
type Attribution struct {
	By    string `json:"by,omitempty"`
	Cause string `json:"cause,omitempty"`
}

// ConfirmRequest confirms a plan: the one that the node keeps as PlanID, or the
// one in Plan. Exactly one of them is set.
type ConfirmRequest struct {
	PlanID string       `json:"plan_id,omitempty"`
	Plan   *intent.Plan `json:"plan,omitempty"`
	Attribution
}

// DrainRequest names a node whose drain starts or ends.
type DrainRequest struct {
	Service core.Service `json:"service"`
	Node    core.NodeID  `json:"node"`
	Attribution
}

// QuarantineRequest names the fingerprint of the requests to refuse.
type QuarantineRequest struct {
	Service     core.Service `json:"service"`
	Fingerprint string       `json:"fingerprint"`
	// Lift ends the quarantine.
	Lift bool `json:"lift,omitempty"`
	Attribution
}

// ChangeResult is the result of an accepted change, which is stored durably.
type ChangeResult struct {
	Revision core.Revision `json:"revision"`
	// InForce reports whether every node has the revision in force; WaitingFor
	// lists the nodes that have not.
	InForce    bool          `json:"in_force"`
	WaitingFor []core.NodeID `json:"waiting_for"`
	// WontDo lists the requested parts that will not be done.
	WontDo []intent.Refusal `json:"wont_do,omitempty"`
}

// Status describes the node and its group.
type Status struct {
	Node       core.NodeID     `json:"node"`
	Service    core.Service    `json:"service"`
	Region     core.Region     `json:"region"`
	DataCentre core.DataCentre `json:"data_centre"`
	Draining   bool            `json:"draining"`
	// Revision is the revision in force on this node.
	Revision   core.Revision `json:"revision"`
	InForce    bool          `json:"in_force"`
	WaitingFor []core.NodeID `json:"waiting_for"`
	Store      StoreStatus   `json:"store"`
	Group      GroupStatus   `json:"group"`
	Backend    BackendStatus `json:"backend"`
}

// StoreStatus describes the node's access to the platform's store.
type StoreStatus struct {
	Failing bool `json:"failing"`
	// AgeMs is the time since the store's last successful answer.
	AgeMs int64 `json:"age_ms"`
}

// GroupStatus describes the ownership group of the node.
type GroupStatus struct {
	Number      uint32         `json:"number"`
	Term        uint64         `json:"term"`
	Coordinator core.NodeID    `json:"coordinator"`
	Successors  []core.NodeID  `json:"successors"`
	Members     []MemberStatus `json:"members"`
}

// MemberStatus describes one member of the group.
type MemberStatus struct {
	Node       core.NodeID     `json:"node"`
	DataCentre core.DataCentre `json:"data_centre"`
	Revision   core.Revision   `json:"revision"`
	Ranges     int             `json:"ranges"`
	// Share is the owned share of the service's key space, from 0 to 1.
	Share    float64 `json:"share"`
	Draining bool    `json:"draining"`
	LeaseMs  int64   `json:"lease_ms"` // time left of the lease
	// Backend is the state of the backend server beside the member.
	Backend string `json:"backend"`
}

// BackendStatus describes the backend server beside the node.
type BackendStatus struct {
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	Limit    int    `json:"limit"`
	Queued   int    `json:"queued"`
}

// Explanation says which node owns a key and why.
type Explanation struct {
	Service core.Service `json:"service"`
	Key     string       `json:"key"`
	Hash    string       `json:"hash"` // hexadecimal
	Group   uint32       `json:"group"`
	Lo      string       `json:"lo"` // of the range, hexadecimal
	Hi      string       `json:"hi"`
	// Owner is empty while no node owns the key.
	Owner    core.NodeID   `json:"owner,omitempty"`
	Address  string        `json:"address,omitempty"`
	Token    string        `json:"token,omitempty"` // fencing token, term.sequence
	LeaseMs  int64         `json:"lease_ms"`        // time left of the owner's lease
	Revision core.Revision `json:"revision"`
	// Why lists the decisions that led to this owner, oldest first.
	Why []string `json:"why"`
}

// History lists events and accepted changes, newest first.
type History struct {
	Events  []Event               `json:"events"`
	Changes []intent.HistoryEntry `json:"changes"`
}

// Event is one event of the journal.
type Event struct {
	AtMs     int64             `json:"at_ms"` // wall time, ms since the epoch
	Kind     string            `json:"kind"`
	Service  core.Service      `json:"service,omitempty"`
	Cause    string            `json:"cause"`
	Revision core.Revision     `json:"revision"`
	Term     uint64            `json:"term"`
	Detail   map[string]string `json:"detail,omitempty"`
}

// BurnReport is the report on service levels. Module burn defines its content.
type BurnReport struct {
	Report json.RawMessage `json:"report"`
	// Text is the report as text.
	Text string `json:"text"`
	// HTML is the report as one self-contained page, if the request asked for it.
	HTML string `json:"html,omitempty"`
}
