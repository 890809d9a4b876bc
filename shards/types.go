package shards

import (
	"time"

	"marjoramshore.example/core"
)

// KeyCount is the number of keys of a service; they are numbered from 0.
const KeyCount = 65536

// Holder identifies one run of a backend server. Runs may share an instance
// name; the time of birth tells them apart.
type Holder struct {
	Node     core.NodeID
	Instance string
	// Born is the start of the run in Unix milliseconds.
	Born int64
}

// NoHolder is the holder of keys that nobody holds.
var NoHolder Holder

// Span is the inclusive interval [From, To] of keys.
type Span struct{ From, To int }

// Overlaps reports whether two spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Width is the number of keys in s.
func (s Span) Width() int { return s.To - s.From + 1 }

// Row assigns one span.
type Row struct {
	Span
	Holder Holder
	// Fence is the fencing token of the assignment. A later assignment of any
	// of the keys has a greater one.
	Fence int64
	// Handover names the state that the last holder left for the next one; it
	// is empty when there is none.
	Handover string
}

// Assignment is the record of one service.
type Assignment struct {
	Service core.Service
	// Term grows with each change of the coordinator.
	Term        uint64
	Coordinator core.NodeID
	Incarnation core.Incarnation
	// EarlierLeasesEnded reports that no lease of an earlier term is left. The coordinator
	// sets it once that is certain.
	EarlierLeasesEnded bool
	// NextFence is greater than every fence in use.
	NextFence int64
	// Rows are ordered and cover all keys.
	Rows []Row
}

// WithCoordinator returns the record by which a node takes over.
func (a *Assignment) WithCoordinator(node core.NodeID, inc core.Incarnation) Assignment {
	next := *a
	next.Term, next.Coordinator, next.Incarnation, next.EarlierLeasesEnded = a.Term+1, node, inc, false
	next.NextFence = max(1, a.NextFence)
	return next
}

// CountHolders returns the number of runs that hold rows.
func (a *Assignment) CountHolders() int {
	seen := make(map[Holder]bool)
	for _, r := range a.Rows {
		if r.Holder != NoHolder {
			seen[r.Holder] = true
		}
	}
	return len(seen)
}

// Find returns the row that contains a key.
func (a *Assignment) Find(key int) Row {
	lo, hi := 0, len(a.Rows)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if a.Rows[mid].To < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return a.Rows[lo]
}

// Freed is a span that a run has released.
type Freed struct {
	// ID counts the releases that one run of a member reports.
	ID uint64
	Span
	Holder   Holder
	Fence    int64
	Handover string
}

// LeaseRequest is what a member reports to the coordinator, again and again.
type LeaseRequest struct {
	Service     core.Service
	Node        core.NodeID
	Incarnation core.Incarnation
	// Term is the newest term that the member knows of.
	Term uint64
	// Holder is the present run of the backend server, or None.
	Holder Holder
	// Ready reports that the run takes keys; a run that is about to stop does
	// not.
	Ready bool
	// Slots is the number of requests that the run works on at once.
	Slots int
	// Demand is the work that callers ask of the run, as a part of what its
	// slots can do; above 1 it cannot do all of it.
	Demand float64
	// Freed lists releases that are not yet acknowledged.
	Freed []Freed
	// Over lists earlier runs beside this member that have ended.
	Over []Holder
	// Rows is the version of the rows that the member has.
	Rows uint64
}

// LeaseAnswer is the coordinator's answer to a Request.
type LeaseAnswer struct {
	// Term is the coordinator's, or the newest that the asked node knows of.
	Term uint64
	// Coordinator reports that the asked node is the coordinator. The other
	// fields are valid only then.
	Coordinator bool
	// Lease is the time, counted from the sending of the request, for which
	// the member may grant the rows. Zero gives no lease.
	Lease time.Duration
	// Version counts changes of the rows; Rows is set when it differs from the
	// request's.
	Version uint64
	Rows    []Row
	// Return lists rows that the member is to return. The backend server
	// releases those that it holds because they are missing in Rows; the member
	// returns the others itself.
	Return []Row
	// FreedThrough acknowledges releases up to this ID.
	FreedThrough uint64
}

// Timing holds the intervals of the protocol.
type Timing struct {
	// Lease is how long a member may grant keys after it asked.
	Lease time.Duration
	// Authority is how long a coordinator may give leases after the start of
	// its last confirmed access to the record.
	Authority time.Duration
	// Confirm is how long a coordinator goes without accessing the record.
	Confirm time.Duration
	// Settle is how long the members must stay the same before all keys are
	// dealt for the first time.
	Settle time.Duration
	// MaxRows bounds the rows of one member when all keys are dealt, because a
	// grant must fit into one answer to a backend server.
	MaxRows int
}

// DefaultTiming returns the intervals used in production.
func DefaultTiming() Timing {
	return Timing{
		// A report each 870 ms, one of which may be lost with a timeout of a
		// second, leaves 0.2 s; a lost VM's keys are free again after it.
		Lease: 3 * time.Second,
		// Outlasts an outage of the store of 8 s, to which leases add 3 s.
		Authority: 8 * time.Second,
		// Four accesses fit into the authority.
		Confirm: 2 * time.Second,
		// Nodes of a fleet start within 0.3 s of each other.
		Settle: 700 * time.Millisecond,
		// A grant has room for about 180 rows, so a member can take over those
		// of one or two others. Fewer rows spread hot neighbours worse.
		MaxRows: 64,
	}
}

// drift bounds how much the clocks of two nodes differ in rate; quartz stays
// within 0.01%, and a clock that is being slewed within 0.5%.
const drift = 0.005

// stretched is the time after which d has passed on every node.
func stretched(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*drift) + time.Millisecond
}
