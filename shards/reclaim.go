package shards

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

// ReclaimReason says why a run loses rows in an assignment.
type ReclaimReason uint8

// Reasons for which a run loses rows. All but Released are signs that the run can hold
// no keys any more.
const (
	stillHeld ReclaimReason = iota
	// Released means that the run has given the rows back, or that its holds have
	// ended, by the account of its node.
	Released
	// RunEnded means that its node knows that the run has ended.
	RunEnded
	// RunReplaced means that a later run was started on the same VM.
	RunReplaced
	// LeaseEnded means that every lease for the run has ended.
	LeaseEnded
)

// String returns the name of the reason in logs and metrics.
func (r ReclaimReason) String() string {
	switch r {
	case Released:
		return "released"
	case RunEnded:
		return "run-ended"
	case RunReplaced:
		return "run-replaced"
	case LeaseEnded:
		return "lease-ended"
	}
	return "held"
}

// Reclaim describes the keys that a run loses in a planned assignment for one reason.
type Reclaim struct {
	Holder Holder
	Reason ReclaimReason
	Keys   int
	// LeaseLeft is how long the last lease for the run would last, or 0.
	LeaseLeft time.Duration
}

// Reclaims returns the rows that runs lose in the assignment that Plan returned last.
func (c *Coordinator) Reclaims() []Reclaim { return c.reclaims }

func (c *Coordinator) noteReclaim(now clock.Instant, r Row, reason ReclaimReason) {
	for i := range c.reclaims {
		if c.reclaims[i].Holder == r.Holder && c.reclaims[i].Reason == reason {
			c.reclaims[i].Keys += r.Width()
			return
		}
	}
	reclaim := Reclaim{Holder: r.Holder, Reason: reason, Keys: r.Width()}
	if state := c.memberStates[r.Holder.Node]; state != nil {
		reclaim.LeaseLeft = max(0, state.leaseEnds[r.Holder].Sub(now))
	}
	c.reclaims = append(c.reclaims, reclaim)
}

// noteReleases notes the parts of rows that are released.
func (c *Coordinator) noteReleases(now clock.Instant, rows []Row, releases []Release) {
	for _, release := range releases {
		for _, r := range overlappingRows(rows, release.Span) {
			if r.Holder == release.Holder && r.Fence == release.Fence {
				r.From, r.To = max(r.From, release.From), min(r.To, release.To)
				c.noteReclaim(now, r, Released)
			}
		}
	}
	slices.SortFunc(c.reclaims, func(a, b Reclaim) int {
		return cmp.Or(cmp.Compare(a.Holder.Node, b.Holder.Node), cmp.Compare(a.Holder.Born, b.Holder.Born), cmp.Compare(a.Reason, b.Reason))
	})
}
