package shards

import (
	"time"

	"marjoramshore.example/core"
)

// KeyCount is the number of keys of a service. Keys are numbered from 0.
const KeyCount = 65536

// Holder identifies one run of a backend server. Successive runs may have the
// same instance name; Born tells them apart.
type Holder struct {
	Node     core.NodeID
	Instance string
	// Born is the start of the run in Unix milliseconds.
	Born int64
}

// NoHolder is the holder of unassigned keys.
var NoHolder Holder

// Span is the inclusive interval [From, To] of keys.
type Span struct{ From, To int }

// Overlaps reports whether two spans share a key.
func (s Span) Overlaps(o Span) bool { return s.From <= o.To && o.From <= s.To }

// Width returns the number of keys in s.
func (s Span) Width() int { return s.To - s.From + 1 }

// Row assigns one span of keys to a holder.
type Row struct {
	Span
	Holder Holder
	// Fence is the fencing token of the assignment. A later assignment of any
	// of these keys has a greater one.
	Fence int64
	// Handover names the state that the previous holder left for the next one.
	// It is empty if there is none.
	Handover string
}

// Assignment is the record of one service: the holder of each key and the node
// that coordinates the service.
type Assignment struct {
	Service core.Service
	// Term increases with each change of the coordinator.
	Term        uint64
	Coordinator core.NodeID
	Incarnation core.Incarnation
	// EarlierLeasesEnded reports that no lease issued in an earlier term is
	// still valid. The coordinator sets it once that is certain.
	EarlierLeasesEnded bool
	// NextFence is greater than every fence in use.
	NextFence int64
	// Rows are sorted by key and cover all keys.
	Rows []Row
}

// WithCoordinator returns the record by which a node takes over as coordinator:
// the same rows under the next term.
func (a *Assignment) WithCoordinator(node core.NodeID, incarnation core.Incarnation) Assignment {
	next := *a
	next.Term, next.Coordinator, next.Incarnation, next.EarlierLeasesEnded = a.Term+1, node, incarnation, false
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

// Find returns the row that contains a key. The assignment must have rows.
func (a *Assignment) Find(key int) Row { return FindRow(a.Rows, key) }

// FindRow returns the row that contains a key. The rows, at least one, are sorted and
// cover all keys.
func FindRow(rows []Row, key int) Row {
	lo, hi := 0, len(rows)-1
	for lo < hi {
		mid := (lo + hi) / 2
		if rows[mid].To < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return rows[lo]
}

// Release is a span that a run has released.
type Release struct {
	// ID numbers the releases that one incarnation of a member reports, from 1.
	ID uint64
	Span
	Holder   Holder
	Fence    int64
	Handover string
}

// LeaseRequest is the periodic request of a member to the coordinator. It asks
// for a lease and reports the state of the backend server.
type LeaseRequest struct {
	Service     core.Service
	Node        core.NodeID
	Incarnation core.Incarnation
	// Term is the newest term that the member knows of.
	Term uint64
	// Holder is the present run of the backend server, or NoHolder.
	Holder Holder
	// Ready reports that the run accepts keys. A run that is about to stop does
	// not.
	Ready bool
	// Unreachable reports that the run refuses connections and has not reported since.
	// It keeps its rows, which it may hold and work on, and gets no further ones.
	Unreachable bool `json:",omitempty"`
	// Slots is the number of requests that the run works on at once.
	Slots int
	// Demand is the work that callers ask of the run, as a share of what its
	// slots can do. Above 1 the run cannot keep up.
	Demand float64
	// Loads tells which keys the work concerns, or is empty. The spans do not
	// overlap.
	Loads []KeyLoad
	// Freed lists the releases that the coordinator has not acknowledged.
	Freed []Release
	// Over lists earlier runs beside this member that have ended, because a later one
	// has reported.
	Over []Holder
	// Rows is the version of the rows that the member has.
	Rows uint64
	// Claim is set once the coordinator has asked for it.
	Claim *Claim `json:",omitempty"`
}

// LeaseAnswer is the coordinator's answer to a LeaseRequest.
type LeaseAnswer struct {
	// Term is the coordinator's term, or the newest term that the asked node
	// knows of.
	Term uint64
	// WantsClaim reports that the asked node is the coordinator, and answers once it
	// has got the claim of the member.
	WantsClaim bool `json:",omitempty"`
	// Coordinator reports that the asked node is the coordinator. The fields
	// below are valid only then.
	Coordinator bool
	// Lease is how long the member may grant the rows to the run that the request
	// names, counted from the sending of the request. Zero means no lease.
	Lease time.Duration
	// Version counts changes of the rows. Rows is set only if it differs from
	// the version in the request.
	Version uint64
	Rows    []Row
	// Return lists rows that the member is to return. The backend server
	// releases those that it holds because Rows does not contain them; the
	// member itself returns those that it never granted.
	Return []Row
	// FreedThrough acknowledges all releases up to this ID.
	FreedThrough uint64
}

// Timing holds the intervals of the protocol.
type Timing struct {
	// Lease is how long a member may grant keys after sending a request.
	Lease time.Duration
	// Authority is how long a coordinator may issue leases after the start of
	// its last confirmed access to the record.
	Authority time.Duration
	// ConfirmInterval is the longest time that a coordinator goes without
	// accessing the record.
	ConfirmInterval time.Duration
	// FirstAssignmentDelay is how long the set of members must stay unchanged
	// before all keys are assigned for the first time.
	FirstAssignmentDelay time.Duration
	// MaxRowsPerMember bounds the rows of one member at the first assignment,
	// because a grant must fit into one answer to a backend server.
	MaxRowsPerMember int
}

// DefaultTiming returns the intervals used in production.
func DefaultTiming() Timing {
	return Timing{
		// At one report every 870 ms, a report that is lost and times out after
		// 1 s leaves 0.2 s of the lease. The keys of a lost VM can be
		// reassigned once its lease has ended.
		Lease: 3 * time.Second,
		// Outlasts a store outage of 8 s; leases add a further 3 s.
		Authority: 8 * time.Second,
		// Four accesses fit into the authority.
		ConfirmInterval: 2 * time.Second,
		// Nodes of a fleet start within 0.3 s of each other.
		FirstAssignmentDelay: 700 * time.Millisecond,
		// A grant has room for about 180 rows, so a member can take over those
		// of one or two others. With fewer rows, busy neighbouring keys are
		// spread less evenly.
		MaxRowsPerMember: 64,
	}
}

// maxClockDrift bounds the difference in rate between the clocks of two nodes.
// A quartz clock stays within 0.01%, a clock that is being slewed within 0.5%.
const maxClockDrift = 0.005

// stretchForDrift returns a duration after which d has passed on the clock of
// every node.
func stretchForDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*maxClockDrift) + time.Millisecond
}
