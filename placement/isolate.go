package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// emptyFraction is the fraction of the mean width below which a member counts
// as nearly empty, and so as free for an oversized hash.
const emptyFraction = 0.1

// nearlyOversizedFactor is the fraction of HighRatio above which a hash may
// soon be oversized: after OverloadDelay the sketch shows seven eighths of a
// new load.
const nearlyOversizedFactor = 0.7

// moveUnownedAndDraining finds owners for ranges without one and for those of
// members with weight zero. Neither waits for the churn budget.
func (r *planRun) moveUnownedAndDraining() {
	for _, hashRange := range r.settledRanges(func(s segment) bool { return s.owner == core.NoOwner }) {
		r.placeRange(hashRange, ReasonUnowned, len(r.table.Members)*r.cfg.MaxEntriesPerMember)
	}
	movesLeft := r.cfg.MaxDrainMoves
	for _, m := range r.recentMoves {
		if m.running && m.churn == 0 {
			movesLeft--
		}
	}
	draining := r.settledRanges(func(s segment) bool { return s.owner != core.NoOwner && r.capacities[s.owner].Weight == 0 })
	for _, hashRange := range draining {
		if movesLeft <= 0 {
			r.plan.DeferredMoves++
			continue
		}
		movesLeft -= r.placeRange(hashRange, ReasonDrain, movesLeft)
	}
}

// placeRange gives the whole of a range away in at most maxParts parts and
// returns their number. Parts fill members up to their share; a member goes
// above TargetRatio only when none has room.
func (r *planRun) placeRange(hashRange core.Range, reason Reason, maxParts int) int {
	for parts := 0; ; parts++ {
		i := r.findSegment(hashRange.Lo)
		unplaced := r.segments[i].hashRange
		maySplit := parts+1 < maxParts && len(r.segments) < r.cfg.MaxEntriesPerMember*len(r.table.Members)
		if to, ok := r.leastLoadedReceiver(r.segments[i].load, r.cfg.TargetRatio, r.segments[i].owner, len(r.segments)+maxParts); ok {
			r.planMove(i, to, reason)
			return parts + 1
		}
		if maySplit && unplaced.Lo != unplaced.Hi && r.moveSegmentEnd(i, r.segments[i].load, 1, len(r.segments)+maxParts, reason) {
			if i = r.findRemainder(hashRange); i < 0 {
				return parts + 1
			}
			hashRange = r.segments[i].hashRange
			continue
		}
		if to, ok := r.leastLoadedMember(r.segments[i].owner); ok {
			r.planMove(i, to, reason)
		}
		return parts + 1
	}
}

// findRemainder returns the index of the first segment in hashRange that is not
// moving, or -1.
func (r *planRun) findRemainder(hashRange core.Range) int {
	return slices.IndexFunc(r.segments, func(s segment) bool { return !s.moving && s.hashRange.Overlaps(hashRange) })
}

// leastLoadedMember returns the member with the lowest load ratio, even if that
// is above TargetRatio, or false.
func (r *planRun) leastLoadedMember(excluded int) (int, bool) {
	best := -1
	for member := range r.loads {
		if member != excluded && r.capacities[member].Weight > 0 && (best < 0 || r.loadRatio(member) < r.loadRatio(best)) {
			best = member
		}
	}
	return best, best >= 0
}

// settledRanges returns the ranges that match and are not moving.
func (r *planRun) settledRanges(match func(segment) bool) []core.Range {
	var out []core.Range
	for _, s := range r.segments {
		if !s.moving && match(s) {
			out = append(out, s.hashRange)
		}
	}
	return out
}

// isolateOversizedHashes dedicates a member to each oversized hash and moves
// all other ranges away from it. The hash itself moves at most once, and only
// when another member has much less to give away.
func (r *planRun) isolateOversizedHashes() {
	oversized := r.hashesAbove(r.cfg.HighRatio)
	r.reserveMembers()
	for _, h := range oversized {
		i := r.findSegment(h.Hash)
		if i < 0 || r.segments[i].owner == core.NoOwner || r.capacities[r.segments[i].owner].Weight == 0 {
			continue
		}
		owner := r.segments[i].owner
		hashRange := core.Range{Lo: h.Hash, Hi: h.Hash}
		if !r.overloadedFor(owner, r.cfg.OverloadDelay) && !r.dedicated[owner] && !r.inCooldown(hashRange) {
			continue
		}
		if r.segments[i].moving && r.segments[i].hashRange != hashRange {
			continue // the hash moves with its range, which must not be split now
		}
		i = r.extractSegment(i, hashRange)
		if to, ok := r.findDedicatedMember(owner, oversized); ok && !r.segments[i].moving && !r.inCooldown(hashRange) && r.mayStartMove(0) {
			r.planMove(i, to, ReasonIsolate)
			owner = to
		}
		r.reportOversizedHash(h, owner)
		if !r.dedicated[owner] {
			r.dedicated[owner] = true
			r.evacuateMember(owner, h.Hash)
		}
	}
	r.oversizedLoad = make([]float64, len(r.loads))
	for _, h := range oversized {
		if i := r.findSegment(h.Hash); i >= 0 && r.segments[i].owner != core.NoOwner && !r.dedicated[r.segments[i].owner] {
			r.oversizedLoad[r.segments[i].owner] += h.Rate
		}
	}
}

// movableRatio returns the load ratio of a member without the oversized hashes
// that are to leave it.
func (r *planRun) movableRatio(m int) float64 { return (r.loads[m] - r.oversizedLoad[m]) / r.shares[m] }

// hashesAbove returns the hashes with more load than ratio times the greatest
// share, hottest first. With HighRatio these are the oversized hashes.
func (r *planRun) hashesAbove(ratio float64) []HeavyHitter {
	maxShare := slices.Max(append([]float64{0}, r.shares...))
	var out []HeavyHitter
	for _, h := range r.profile.hitters {
		if maxShare > 0 && h.Rate > ratio*maxShare {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b HeavyHitter) int { return cmp.Compare(b.Rate, a.Rate) })
	return out
}

// findDedicatedMember returns a member to which to move an oversized hash of
// owner: one without an oversized hash that owns less than a tenth of the
// hashes of owner, or any without one when owner is already dedicated.
func (r *planRun) findDedicatedMember(owner int, oversized []HeavyHitter) (int, bool) {
	oversizedCounts := r.countByOwner(oversized)
	best := -1
	for member := range r.loads {
		if oversizedCounts[member] > 0 || r.shares[member] == 0 || r.dedicated[member] || r.capacities[member].Weight < r.capacities[owner].Weight {
			continue
		}
		if best < 0 || r.widths[member] < r.widths[best] {
			best = member
		}
	}
	if best < 0 {
		return 0, false
	}
	return best, r.dedicated[owner] || r.widths[best] < r.widths[owner]*emptyFraction
}

// countByOwner returns how many of the hashes each member owns.
func (r *planRun) countByOwner(hashes []HeavyHitter) []int {
	out := make([]int, len(r.loads))
	for _, h := range hashes {
		if i := r.findSegment(h.Hash); i >= 0 && r.segments[i].owner != core.NoOwner {
			out[r.segments[i].owner]++
		}
	}
	return out
}

// reserveMembers keeps nearly empty members, such as those formerly dedicated
// to a hash, free for the oversized hashes of overloaded members. Until a
// member has been overloaded for OverloadDelay, its nearly oversized hashes
// count as well.
func (r *planRun) reserveMembers() {
	needed := 0
	nearlyOversizedCounts, oversizedCounts := r.countByOwner(r.hashesAbove(nearlyOversizedFactor*r.cfg.HighRatio)), r.countByOwner(r.hashesAbove(r.cfg.HighRatio))
	var nearlyEmpty []int
	for member := range r.loads {
		switch {
		case r.isNearlyEmpty(member) && nearlyOversizedCounts[member] == 0:
			nearlyEmpty = append(nearlyEmpty, member)
		case r.loadRatio(member) <= r.cfg.HighRatio || r.isNearlyEmpty(member):
		case r.overloadedFor(member, r.cfg.OverloadDelay):
			needed += oversizedCounts[member]
		default:
			needed += nearlyOversizedCounts[member]
		}
	}
	slices.SortStableFunc(nearlyEmpty, func(a, b int) int { return cmp.Compare(r.widths[a], r.widths[b]) })
	for _, member := range nearlyEmpty[:min(needed, len(nearlyEmpty))] {
		r.reserved[member] = true
	}
}

// isNearlyEmpty reports whether a member owns hardly any of the span.
func (r *planRun) isNearlyEmpty(m int) bool { return r.widths[m] < emptyFraction/float64(len(r.loads)) }

func (r *planRun) reportOversizedHash(h HeavyHitter, owner int) {
	oversized := OversizedHash{Hash: h.Hash, Member: owner, Load: h.Rate}
	if maxLoad := r.capacities[owner].MaxLoad; maxLoad > 0 && h.Rate > maxLoad {
		oversized.MaxLoad = maxLoad
	}
	r.plan.OversizedHashes = append(r.plan.OversizedHashes, oversized)
}

// evacuateMember moves everything but the oversized hash away from a member, as
// far as the budgets allow.
func (r *planRun) evacuateMember(member int, oversized core.Hash) {
	for _, hashRange := range r.settledRangesOf(member) {
		if hashRange.Lo == oversized && hashRange.Hi == oversized {
			continue
		}
		if hashRange.Lo != hashRange.Hi && !r.overloadedFor(member, r.cfg.RangeMoveDelay) {
			continue
		}
		for i := r.findSegment(hashRange.Lo); i >= 0 && r.segments[i].owner == member && !r.segments[i].moving; i = r.findRemainder(hashRange) {
			if !r.mayStartMove(0) || !r.evacuateSegment(i, member) {
				return
			}
		}
	}
}

// evacuateSegment moves segment i, or an end of it, away from a member. It
// returns false when no other member has room.
func (r *planRun) evacuateSegment(i, member int) bool {
	s := r.segments[i]
	if s.hashRange.Lo != s.hashRange.Hi {
		return r.moveSegmentEnd(i, s.load, r.cfg.TargetRatio, r.cfg.MaxIncomingMoves, ReasonIsolate)
	}
	to, ok := r.mostLoadedReceiver(s.load, r.cfg.TargetRatio, member, r.cfg.MaxIncomingMoves)
	for _, neighbour := range []int{i - 1, i + 1} {
		if neighbour >= 0 && neighbour < len(r.segments) && r.neighbourHasRoom(neighbour, i, r.cfg.TargetRatio, r.cfg.MaxIncomingMoves) {
			to, ok = r.segments[neighbour].owner, true
		}
	}
	if ok {
		r.planMove(i, to, ReasonIsolate)
	}
	return ok
}
