package placement

import (
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// planMerges returns the merges of adjacent segments of one owner that are not
// moving. An isolated hash takes part only once it has been cold for
// ColdMergeDelay, or sooner in a large table. One such hash at a time is also
// moved back to the owner of a neighbour.
func (r *planRun) planMerges() []Merge {
	r.updateColdHashes()
	r.returnColdHash()
	var out []Merge
	for first := 0; first < len(r.segments); first++ {
		last := first
		for last+1 < len(r.segments) && r.canMerge(last, last+1) {
			last++
		}
		if last > first && !r.splitByThisPlan(first, last) {
			out = append(out, Merge{Range: core.Range{Lo: r.segments[first].hashRange.Lo, Hi: r.segments[last].hashRange.Hi}})
		}
		first = last
	}
	return out
}

// updateColdHashes updates since when isolated hashes are cold.
func (r *planRun) updateColdHashes() {
	coldSince := map[core.Hash]clock.Instant{}
	for _, s := range r.segments {
		if s.hashRange.Lo != s.hashRange.Hi || s.owner == core.NoOwner || s.load >= r.cfg.ColdRatio*r.shares[s.owner] && r.shares[s.owner] > 0 {
			continue
		}
		since, known := r.Planner.coldSince[s.hashRange.Lo]
		if !known {
			since = r.now
		}
		coldSince[s.hashRange.Lo] = since
	}
	r.Planner.coldSince = coldSince
}

// isMergeable reports whether a segment may become part of a larger entry.
func (r *planRun) isMergeable(s segment) bool {
	if s.moving {
		return false
	}
	if s.hashRange.Lo != s.hashRange.Hi {
		return true
	}
	since, ok := r.Planner.coldSince[s.hashRange.Lo]
	crowded := len(r.segments)*2 > r.cfg.MaxEntriesPerMember*len(r.table.Members)
	return ok && (crowded || r.now.Sub(since) >= r.cfg.ColdMergeDelay)
}

// canMerge reports whether the adjacent segments i and j can become one entry.
func (r *planRun) canMerge(i, j int) bool {
	a, b := r.segments[i], r.segments[j]
	return a.owner == b.owner && a.owner != core.NoOwner && a.hashRange.Hi+1 == b.hashRange.Lo && r.isMergeable(a) && r.isMergeable(b)
}

// splitByThisPlan reports whether any of the segments from first to last is a
// part of an entry that this plan split. Merging it would undo the split.
func (r *planRun) splitByThisPlan(first, last int) bool {
	for i := first; i <= last; i++ {
		if r.segments[i].hashRange != r.table.Entries[r.segments[i].entryIndex].Range {
			return true
		}
	}
	return false
}

// returnColdHash moves one cold isolated hash to the owner of a neighbour.
func (r *planRun) returnColdHash() {
	for i, s := range r.segments {
		if s.hashRange.Lo != s.hashRange.Hi || !r.isMergeable(s) || r.balanceMovesLeft <= 0 || r.inCooldown(s.hashRange) {
			continue
		}
		for _, neighbour := range []int{i - 1, i + 1} {
			if neighbour < 0 || neighbour >= len(r.segments) || r.segments[neighbour].moving || r.segments[neighbour].hashRange.Lo == r.segments[neighbour].hashRange.Hi {
				continue
			}
			owner := r.segments[neighbour].owner
			if owner != core.NoOwner && owner != s.owner && r.canReceive(owner, r.cfg.MaxIncomingMoves) {
				r.planMove(i, owner, ReasonReturn)
				return
			}
		}
	}
}
