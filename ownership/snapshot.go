package ownership

import (
	"slices"
	"sort"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Reason says why a node serves or does not serve its ranges.
type Reason string

// Reasons.
const (
	ReasonServing Reason = "serving"
	ReasonNoLease Reason = "no-lease"
	// ReasonGroupFull: the group has no room; the node should join another.
	ReasonGroupFull Reason = "group-full"
	ReasonDraining  Reason = "draining"
	// ReasonLeaving: the node has stopped serving, but its group still needs
	// it, for example for its promise as a successor.
	ReasonLeaving Reason = "leaving"
	ReasonLeft    Reason = "left"
)

// hasStoppedAdmitting reports whether the node admits no requests and will not
// admit any again in this membership, unless a drain is cancelled.
func (r Reason) hasStoppedAdmitting() bool {
	return r == ReasonDraining || r == ReasonLeaving || r == ReasonLeft
}

// Snapshot is the state of a node in its group at one moment, as the gate and
// the router read it. It is immutable.
type Snapshot struct {
	Group core.GroupID
	// Term and Coordinator are the newest known ones. Coordinator is the zero
	// Member while it is not known.
	Term        uint64
	Coordinator core.Member
	// Successors are those of the newest group record that this node knows.
	Successors []Run
	// Table is the newest table that this node holds, or nil.
	Table *core.Table
	// OwnRanges lists the ranges that the node serves until LeaseEnd, in key
	// order.
	OwnRanges []HeldRange
	// MovingRanges lists owned ranges whose hand-over is in progress. Requests
	// for them wait.
	MovingRanges []core.Range
	LeaseEnd     clock.Instant
	Reason       Reason
	// IsCoordinator reports whether this node coordinates the group, and
	// AuthorityEnd until when it may grant leases.
	IsCoordinator bool
	AuthorityEnd  clock.Instant
	// TableUnwritten reports that the coordinator granted a table that is not
	// in the store yet.
	TableUnwritten bool
	// RequiredRevision is the newest configuration revision that the
	// coordinator named. A node with an older one loses its lease.
	RequiredRevision core.Revision
}

// Check decides whether the node may forward a request for h at now. Code 0
// permits it, under the returned token and until LeaseEnd.
func (s *Snapshot) Check(now clock.Instant, h core.Hash) (core.Token, core.Code) {
	if s.Reason.hasStoppedAdmitting() {
		return core.Token{}, core.CodeDraining
	}
	i := sort.Search(len(s.OwnRanges), func(i int) bool { return s.OwnRanges[i].Range.Hi >= h })
	if i == len(s.OwnRanges) || !s.OwnRanges[i].Range.Contains(h) {
		if slices.ContainsFunc(s.MovingRanges, func(r core.Range) bool { return r.Contains(h) }) {
			return core.Token{}, core.CodeNoOwner
		}
		return core.Token{}, core.CodeNotOwner
	}
	if now >= s.LeaseEnd {
		return core.Token{}, core.CodeLeaseExpired
	}
	return s.OwnRanges[i].Token, 0
}

// equals reports whether s and o hold the same state. o may be nil.
func (s *Snapshot) equals(o *Snapshot) bool {
	return o != nil && s.Table == o.Table && s.LeaseEnd == o.LeaseEnd && s.Reason == o.Reason &&
		s.Term == o.Term && s.Coordinator == o.Coordinator && s.IsCoordinator == o.IsCoordinator &&
		s.AuthorityEnd == o.AuthorityEnd && s.TableUnwritten == o.TableUnwritten && s.RequiredRevision == o.RequiredRevision &&
		slices.Equal(s.OwnRanges, o.OwnRanges) && slices.Equal(s.Successors, o.Successors) && slices.Equal(s.MovingRanges, o.MovingRanges)
}
