package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// minMoveGain is the least load that a single move transfers, as a fraction of
// a share.
const minMoveGain = 0.02

// maxShiftedExcess is the greatest fraction of a member's excess that the new
// owner of its heaviest hash may have to give away in ranges.
const maxShiftedExcess = 0.7

// fillSourceRatio is the load ratio that a member keeps when it gives load to
// one that is far below its share.
const fillSourceRatio = 0.9

// relieveOverloaded takes load from members that have been above HighRatio. It
// prefers to move single hot hashes, which transfer the most load for the
// fewest keys. Parts of ranges follow only after RangeMoveDelay.
func (r *planRun) relieveOverloaded() {
	r.resumePendingMoves()
	for tried := make([]bool, len(r.loads)); len(r.pendingMoves) == 0; {
		order := slices.DeleteFunc(r.membersToRelieve(), func(member int) bool { return tried[member] })
		if len(order) == 0 {
			return
		}
		member := order[0]
		if moves, ok := r.findHashMoves(member); ok && r.mayStartMove(0) {
			// The order is determined anew after each hash: the next of this
			// member may be lighter than one that another must give away.
			last := slices.IndexFunc(moves, func(move hashMove) bool { return move.from == member })
			r.startHashMoves(moves[:last+1])
			continue
		}
		tried[member] = true
		if r.needsRangeMove(member) {
			r.relieveByRanges(member)
		}
	}
}

// membersToRelieve returns the members to relieve. Once one has been overloaded
// for OverloadDelay, those overloaded for half of it are relieved as well. The
// member that must give away the heaviest hash comes first, because that hash
// has the fewest possible receivers.
func (r *planRun) membersToRelieve() []int {
	var out []int
	anyDue := false
	heaviest := make([]float64, len(r.loads))
	for member := range r.loads {
		if r.shares[member] == 0 || r.dedicated[member] || r.movableRatio(member) <= r.cfg.HighRatio || !r.overloadedFor(member, r.cfg.OverloadDelay/2) {
			continue
		}
		anyDue = anyDue || r.overloadedFor(member, r.cfg.OverloadDelay)
		out = append(out, member)
		excess := r.loads[member] - r.oversizedLoad[member] - r.cfg.HighRatio*r.shares[member]
		for _, h := range slices.Backward(r.hashesWorthMoving(member)) {
			if h.Rate >= excess || heaviest[member] == 0 {
				heaviest[member] = h.Rate
			}
		}
	}
	if !anyDue {
		return nil
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(heaviest[b], heaviest[a]) })
	return out
}

// relieveByRanges moves parts of ranges until the member is at TargetRatio. A
// member left at HighRatio would have no room for the next hot key of the same
// load, which would then displace a range elsewhere.
func (r *planRun) relieveByRanges(member int) {
	if to, ok := r.shiftOverload(member); ok {
		member = to
	}
	for r.loadRatio(member) > r.cfg.TargetRatio && r.mayStartMove(0) {
		if !r.moveRangeEnd(member, r.loads[member]-r.cfg.TargetRatio*r.shares[member], ReasonOverload) {
			return
		}
	}
}

// shiftOverload moves the heaviest hash of a member to the least loaded one
// when the receiver then has less to give away than the member has now. It
// returns the receiver, which is then the one to relieve by ranges.
func (r *planRun) shiftOverload(member int) (int, bool) {
	movable := r.hashesWorthMoving(member)
	to, ok := r.leastLoadedReceiver(0, r.cfg.TargetRatio, member, r.cfg.MaxIncomingMoves)
	if len(movable) == 0 || !ok || !r.mayStartMove(0) {
		return 0, false
	}
	h := movable[len(movable)-1]
	excess := r.loads[member] - r.cfg.TargetRatio*r.shares[member]
	if h.Rate < excess || r.loads[to]+h.Rate-r.cfg.TargetRatio*r.shares[to] > maxShiftedExcess*excess {
		return 0, false
	}
	r.planMove(r.extractSegment(r.findSegment(h.Hash), core.Range{Lo: h.Hash, Hi: h.Hash}), to, ReasonOverload)
	from, node := r.table.Members[member].Node, r.table.Members[to].Node
	r.overloadedSince[node], r.rangeMoveRatioSince[node] = r.overloadedSince[from], r.rangeMoveRatioSince[from]
	return to, true
}

// hashesWorthMoving returns the hashes of a member that carry enough load to
// move, lightest first. It leaves out oversized hashes and those in cooldown.
// The caller must not change the result.
func (r *planRun) hashesWorthMoving(member int) []HeavyHitter {
	if r.movableHashes == nil {
		r.movableHashes = make([][]HeavyHitter, len(r.loads))
		for _, h := range r.profile.hitters {
			i := r.findSegment(h.Hash)
			if i < 0 || r.segments[i].owner == core.NoOwner || r.segments[i].moving {
				continue
			}
			owner := r.segments[i].owner
			if h.Rate >= minMoveGain*r.shares[owner] && h.Rate <= r.cfg.HighRatio*slices.Max(r.shares) && !r.inCooldown(core.Range{Lo: h.Hash, Hi: h.Hash}) {
				r.movableHashes[owner] = append(r.movableHashes[owner], h)
			}
		}
		for _, hashes := range r.movableHashes {
			slices.SortStableFunc(hashes, func(a, b HeavyHitter) int { return cmp.Compare(a.Rate, b.Rate) })
		}
	}
	return r.movableHashes[member]
}

// paysOff reports whether a move saves more within PaybackTime than the warm-up
// of the new owner costs.
func (r *planRun) paysOff(load, excess float64) bool {
	return min(load, excess)*r.cfg.PaybackTime.Seconds() > load*r.cfg.WarmUpCost.Seconds()
}

// moveRangeEnd moves one end of a range of the member, with a load of at most
// maxLoad, to a member that has room for it.
func (r *planRun) moveRangeEnd(member int, maxLoad float64, reason Reason) bool {
	for _, hashRange := range r.settledRangesOf(member) {
		if hashRange.Lo == hashRange.Hi || r.inCooldown(hashRange) {
			continue
		}
		if r.moveSegmentEnd(r.findSegment(hashRange.Lo), maxLoad, r.cfg.TargetRatio, r.cfg.MaxIncomingMoves, reason) {
			return true
		}
	}
	return false
}

// cutOption is one way to cut a segment: the receiver, and from which end the
// part is taken.
type cutOption struct {
	receiver int
	highEnd  bool
}

// moveSegmentEnd moves a part of segment i with a load of at most maxLoad. It
// prefers the owner of a neighbour, because the two ranges can then merge, and
// otherwise takes the least loaded member. It tries both ends, since a hot hash
// at one of them may leave too little to cut there.
func (r *planRun) moveSegmentEnd(i int, maxLoad, maxRatio float64, maxIncomingMoves int, reason Reason) bool {
	var options []cutOption
	if i > 0 && r.neighbourHasRoom(i-1, i, maxRatio, maxIncomingMoves) {
		options = append(options, cutOption{receiver: r.segments[i-1].owner})
	}
	if i+1 < len(r.segments) && r.neighbourHasRoom(i+1, i, maxRatio, maxIncomingMoves) {
		options = append(options, cutOption{receiver: r.segments[i+1].owner, highEnd: true})
	}
	if len(options) == 2 && r.loadRatio(options[1].receiver) < r.loadRatio(options[0].receiver) {
		options[0], options[1] = options[1], options[0]
	}
	if to, ok := r.leastLoadedReceiver(0, maxRatio, r.segments[i].owner, maxIncomingMoves); ok {
		options = append(options, cutOption{receiver: to}, cutOption{receiver: to, highEnd: true})
	}
	return slices.ContainsFunc(options, func(option cutOption) bool { return r.cutAndMove(i, option, maxLoad, maxRatio, reason) })
}

// cutAndMove moves a part of segment i as option says. It returns false when
// the part would be too small to matter or exceed the budgets.
func (r *planRun) cutAndMove(i int, option cutOption, maxLoad, maxRatio float64, reason Reason) bool {
	maxLoad = min(maxLoad, maxRatio*r.shares[option.receiver]-r.loads[option.receiver])
	cut := r.profile.lowPartWithin
	if option.highEnd {
		cut = r.profile.highPartWithin
	}
	part, ok := cut(r.segments[i].hashRange, maxLoad)
	if !ok || r.profile.rangeLoad(part) < minMoveGain*r.shares[option.receiver] && part != r.segments[i].hashRange {
		return false
	}
	if reason != ReasonUnowned && reason != ReasonDrain {
		if part, ok = r.fitChurnBudget(part, option.highEnd); !ok {
			return false
		}
	}
	r.planMove(r.extractSegment(i, part), option.receiver, reason)
	return true
}

// neighbourHasRoom reports whether the owner of the segment neighbour can take
// a useful part of segment i.
func (r *planRun) neighbourHasRoom(neighbour, i int, maxRatio float64, maxIncomingMoves int) bool {
	owner := r.segments[neighbour].owner
	if owner == core.NoOwner || owner == r.segments[i].owner || !r.canReceive(owner, maxIncomingMoves) {
		return false
	}
	return r.loadRatio(owner) < maxRatio-2*minMoveGain
}

// fitChurnBudget shortens part to what the churn budget allows, keeping its
// high end when highEnd is set and its low end otherwise. It returns false when
// less than a histogram cell is left.
func (r *planRun) fitChurnBudget(part core.Range, highEnd bool) (core.Range, bool) {
	if !r.mayStartMove(0) {
		return part, false
	}
	if r.spanFraction(part) <= r.churnLeft {
		return part, true
	}
	r.plan.DeferredMoves++
	hashCount := r.churnLeft * r.profile.span.Width() * (1 << 64)
	if hashCount < float64(r.profile.cellWidth) {
		return part, false
	}
	if highEnd {
		part.Lo = part.Hi - core.Hash(hashCount) + 1
	} else {
		part.Hi = part.Lo + core.Hash(hashCount) - 1
	}
	return part, true
}

// fillUnderloaded moves a range from the most loaded member to each one that
// has been below FillRatio for FillDelay.
func (r *planRun) fillUnderloaded() {
	for i, m := range r.table.Members {
		since, ok := r.underloadedSince[m.Node]
		if !ok || r.now.Sub(since) < r.cfg.FillDelay || !r.canReceive(i, r.cfg.MaxIncomingMoves) || r.loadRatio(i) >= r.cfg.FillRatio {
			continue
		}
		order := slices.DeleteFunc(r.membersByLoadRatio(), func(source int) bool { return source == i || r.dedicated[source] })
		if len(order) == 0 {
			return
		}
		surplus := r.loads[order[0]] - fillSourceRatio*r.shares[order[0]]
		if surplus >= minMoveGain*r.shares[order[0]] {
			r.moveRangePartTo(order[0], i, surplus)
		}
	}
}

// moveRangePartTo moves a part of the most loaded range of source that can move
// to member to.
func (r *planRun) moveRangePartTo(source, to int, maxLoad float64) {
	for _, hashRange := range r.settledRangesOf(source) {
		if hashRange.Lo == hashRange.Hi || r.inCooldown(hashRange) {
			continue
		}
		part, ok := r.profile.lowPartWithin(hashRange, min(maxLoad, r.shares[to]-r.loads[to]))
		if !ok {
			continue
		}
		if part, ok = r.fitChurnBudget(part, false); !ok {
			return
		}
		r.planMove(r.extractSegment(r.findSegment(hashRange.Lo), part), to, ReasonFill)
		return
	}
}
