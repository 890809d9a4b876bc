package events

import (
	"time"

	"marjoramshore.example/core"
)

// Type is the type of an event; Types lists all of them.
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

// Types returns every type of event.
func Types() []Type {
	return []Type{OwnershipChange, RefusalBurst, Quarantine, Takeover, Drain,
		Configuration, BackendHealth, NodeJoined, NodeLeft}
}

// ManyCustomers stands for the customer of a burst that merges refusals of
// several customers.
const ManyCustomers core.Customer = "(many)"

// Event is one occurrence, or a burst of equal refusals.
type Event struct {
	// Sequence is assigned by the journal. It grows by one for each event and is
	// never reused, so that a reader can detect events that were overwritten.
	Sequence uint64 `json:"sequence"`
	Type     Type   `json:"type"`
	// At is the wall time of the event, or of the first refusal of a burst.
	At time.Time `json:"at"`
	// Until is the wall time of the last refusal of a burst. Otherwise it equals
	// At.
	Until time.Time `json:"until"`
	// Count is the number of occurrences that the event stands for.
	Count   uint64       `json:"count"`
	Service core.Service `json:"service,omitempty"`
	Group   uint32       `json:"group,omitempty"`
	// Range is the part of the key space that the event concerns. It is nil when
	// the event concerns no keys.
	Range    *core.Range   `json:"range,omitempty"`
	Node     core.NodeID   `json:"node,omitempty"`
	Customer core.Customer `json:"customer,omitempty"`
	Revision core.Revision `json:"revision,omitempty"`
	Term     uint64        `json:"term,omitempty"`
	// Code is the error code of a refusal, or zero.
	Code core.Code `json:"-"`
	// Reason is the name of Code.
	Reason string `json:"reason,omitempty"`
	// Cause is a short text that says why the event happened. It must hold no
	// request bodies and no secrets.
	Cause string `json:"cause,omitempty"`
}

// memorySize estimates the memory that the journal uses for e, in bytes.
func (e *Event) memorySize() int {
	n := eventBytes + len(e.Type) + len(e.Service) + len(e.Node) + len(e.Customer) + len(e.Reason) + len(e.Cause)
	if e.Range != nil {
		n += rangeBytes
	}
	return n
}

const (
	eventBytes = 256 // the struct in its slot of the buffer, rounded up
	rangeBytes = 16
	// maxTextBytes bounds each text of an event, so that one event cannot evict
	// all others from the journal.
	maxTextBytes = 512
)

// truncateTexts shortens each text of e to maxTextBytes.
func (e *Event) truncateTexts() {
	e.Service = core.Service(truncate(string(e.Service)))
	e.Node = core.NodeID(truncate(string(e.Node)))
	e.Customer = core.Customer(truncate(string(e.Customer)))
	e.Type, e.Reason, e.Cause = Type(truncate(string(e.Type))), truncate(e.Reason), truncate(e.Cause)
}

// truncate shortens s to at most maxTextBytes, at the start of a UTF-8 sequence.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	n := maxTextBytes
	for n > 0 && s[n]&0xC0 == 0x80 { // a continuation byte of a UTF-8 sequence
		n--
	}
	return s[:n]
}
