package ownership

import (
	"slices"
	"sort"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Reason says why a node serves or does not serve.
type Reason string

// Reasons.
const (
	ReasonServing Reason = "serving"
	ReasonNoLease Reason = "no-lease"
	// ReasonGroupFull: the group has no room; the node should join another.
	ReasonGroupFull Reason = "group-full"
	ReasonDraining  Reason = "draining"
	// ReasonLeaving: the node serves nothing any more, but its group still
	// needs it, for example for its promise as a successor.
	ReasonLeaving Reason = "leaving"
	ReasonLeft    Reason = "left"
)

// stopped reports whether the node admits nothing for good.
func (r Reason) stopped() bool {
	return r == ReasonDraining || r == ReasonLeaving || r == ReasonLeft
}

// Snapshot is what the gate and the router read. It is immutable.
type Snapshot struct {
	Group core.GroupID
	// Term and Coordinator are the newest known ones; Coordinator may be zero.
	Term        uint64
	Coordinator core.Member
	// Successors are those of the newest group record known here.
	Successors []Run
	// Table is the newest table that this node holds, or nil.
	Table *core.Table
	// OwnRanges lists the ranges that the node serves until LeaseEnd, ordered.
	OwnRanges []HeldRange
	// Moving lists own ranges that wait for a hand-over; their requests wait.
	Moving   []core.Range
	LeaseEnd clock.Instant
	Reason   Reason
	// IsCoordinator reports whether this node coordinates the group, and
	// Authority until when it may grant leases.
	IsCoordinator bool
	AuthorityEnd  clock.Instant
	// TableUnwritten reports that the coordinator granted an assignment that is not
	// in the store yet.
	TableUnwritten bool
	// RequiredRevision is the newest configuration revision that the coordinator
	// named; a node that is behind it loses its lease.
	RequiredRevision core.Revision
}

// Check decides whether the node may forward a request for h at now. A zero
// code permits it, under the returned token and until LeaseEnd.
func (s *Snapshot) Check(now clock.Instant, h core.Hash) (core.Token, core.Code) {
	if s.Reason.stopped() {
		return core.Token{}, core.CodeDraining
	}
	i := sort.Search(len(s.OwnRanges), func(i int) bool { return s.OwnRanges[i].Range.Hi >= h })
	if i == len(s.OwnRanges) || !s.OwnRanges[i].Range.Contains(h) {
		if slices.ContainsFunc(s.Moving, func(r core.Range) bool { return r.Contains(h) }) {
			return core.Token{}, core.CodeNoOwner
		}
		return core.Token{}, core.CodeNotOwner
	}
	if now >= s.LeaseEnd {
		return core.Token{}, core.CodeLeaseExpired
	}
	return s.OwnRanges[i].Token, 0
}

// same reports whether o would be read the same way.
func (s *Snapshot) same(o *Snapshot) bool {
	return o != nil && s.Table == o.Table && s.LeaseEnd == o.LeaseEnd && s.Reason == o.Reason &&
		s.Term == o.Term && s.Coordinator == o.Coordinator && s.IsCoordinator == o.IsCoordinator &&
		s.AuthorityEnd == o.AuthorityEnd && s.TableUnwritten == o.TableUnwritten && s.RequiredRevision == o.RequiredRevision &&
		slices.Equal(s.OwnRanges, o.OwnRanges) && slices.Equal(s.Successors, o.Successors) && slices.Equal(s.Moving, o.Moving)
}
