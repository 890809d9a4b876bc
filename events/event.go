package events

import (
	"time"

	"marjoramshore.example/core"
)

// Type classifies an event. The set is closed.
type Type string

// Types of events.
const (
	OwnershipChange Type = "ownership-change"
	RefusalBurst    Type = "refusal-burst"
	Quarantine      Type = "quarantine"
	Takeover        Type = "takeover"
	Drain           Type = "drain"
	Configuration   Type = "configuration"
	BackendHealth   Type = "backend-health"
	NodeJoined      Type = "node-joined"
	NodeLeft        Type = "node-left"
)

// Types lists every type.
func Types() []Type {
	return []Type{OwnershipChange, RefusalBurst, Quarantine, Takeover, Drain,
		Configuration, BackendHealth, NodeJoined, NodeLeft}
}

// ManyCustomers marks a burst of refusals of several customers.
const ManyCustomers core.Customer = "(many)"

// Event is one thing that happened.
type Event struct {
	// Sequence is given by the journal. It grows by one for each event and is
	// never reused, so that a reader notices events that were overwritten.
	Sequence uint64 `json:"sequence"`
	Type     Type   `json:"type"`
	// At is the wall time of the event, or of the first of a burst.
	At time.Time `json:"at"`
	// Until is the wall time of the last of a burst. It equals At otherwise.
	Until time.Time `json:"until"`
	// Count is the number of occurrences that the event stands for.
	Count   uint64       `json:"count"`
	Service core.Service `json:"service,omitempty"`
	Group   uint32       `json:"group,omitempty"`
	// Range is the part of the key space concerned. It is absent when the
	// event concerns no keys.
	Range    *core.Range   `json:"range,omitempty"`
	Node     core.NodeID   `json:"node,omitempty"`
	Customer core.Customer `json:"customer,omitempty"`
	Revision core.Revision `json:"revision,omitempty"`
	Term     uint64        `json:"term,omitempty"`
	// Code is the reason of a refusal, or zero.
	Code core.Code `json:"-"`
	// Reason is the name of Code.
	Reason string `json:"reason,omitempty"`
	// Cause says in a few words why it happened. It holds no bodies or tokens.
	Cause string `json:"cause,omitempty"`
}

// size estimates the bytes that the journal holds for e.
func (e *Event) size() int {
	n := eventSize + len(e.Type) + len(e.Service) + len(e.Node) + len(e.Customer) + len(e.Reason) + len(e.Cause)
	if e.Range != nil {
		n += rangeSize
	}
	return n
}

const (
	eventSize = 256 // the struct with its slot in the ring, rounded up
	rangeSize = 16
	// maxText bounds each text of an event, so that one event cannot push all
	// others out of the journal.
	maxText = 512
)

// trim cuts the texts of e to maxText bytes.
func (e *Event) trim() {
	e.Service = core.Service(cut(string(e.Service)))
	e.Node = core.NodeID(cut(string(e.Node)))
	e.Customer = core.Customer(cut(string(e.Customer)))
	e.Type, e.Reason, e.Cause = Type(cut(string(e.Type))), cut(e.Reason), cut(e.Cause)
}

func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	n := maxText
	for n > 0 && s[n]&0xC0 == 0x80 { // do not cut inside a UTF-8 sequence
		n--
	}
	return s[:n]
}
