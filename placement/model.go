package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// Capacity describes how much load one member can carry.
type Capacity struct {
	// Weight is the member's weight relative to the others. Zero means that the
	// member must own nothing.
	Weight float64
	// MaxLoad is the greatest load in cost per second that the member can
	// carry, or zero when it is not known.
	MaxLoad float64
}

// segment is an entry of the projected table, or a part of one.
type segment struct {
	hashRange core.Range
	owner     int
	load      float64
	// entryIndex is the index of the table entry that the segment belongs to.
	entryIndex int
	// originalOwner is the owner in the table.
	originalOwner int
	// moving is true for a segment with a running move or one of this plan.
	moving bool
}

// projection is the state during one call of Plan: the table as it is after the
// running moves and the moves planned so far.
type projection struct {
	profile    *loadProfile
	capacities []Capacity
	segments   []segment
	// loads, shares and widths are indexed by member. A share is the load that
	// a member should carry; a width is the fraction of the span that it owns.
	loads, shares, widths []float64
	// incomingMoves counts the running and planned moves to each member.
	incomingMoves []int
	// dedicated is true for a member that owns an oversized hash and is to own
	// nothing else.
	dedicated []bool
	// reserved is true for a member that is kept free for an oversized hash.
	reserved []bool
}

func newProjection(table *core.Table, profile *loadProfile, capacities []Capacity) *projection {
	memberCount := len(table.Members)
	p := &projection{profile: profile, capacities: make([]Capacity, memberCount), loads: make([]float64, memberCount), shares: make([]float64, memberCount),
		widths: make([]float64, memberCount), incomingMoves: make([]int, memberCount), dedicated: make([]bool, memberCount), reserved: make([]bool, memberCount)}
	totalWeight := 0.0
	for i := range p.capacities {
		p.capacities[i].Weight = 1
		if i < len(capacities) {
			p.capacities[i] = capacities[i]
		}
		totalWeight += p.capacities[i].Weight
	}
	for i := range p.shares {
		if totalWeight > 0 {
			p.shares[i] = profile.total() * p.capacities[i].Weight / totalWeight
		}
	}
	for i, e := range table.Entries {
		s := segment{hashRange: e.Range, owner: e.Owner, originalOwner: e.Owner, entryIndex: i, load: profile.rangeLoad(e.Range)}
		p.segments = append(p.segments, s)
		p.addToOwner(s, 1)
	}
	return p
}

// addToOwner adds factor times the load and width of s to those of its owner.
func (p *projection) addToOwner(s segment, factor float64) {
	if s.owner != core.NoOwner {
		p.loads[s.owner] += factor * s.load
		p.widths[s.owner] += factor * p.spanFraction(s.hashRange)
	}
}

// spanFraction returns the width of r as a fraction of the span.
func (p *projection) spanFraction(r core.Range) float64 { return r.Width() / p.profile.span.Width() }

// loadRatio returns the load of a member divided by its share, or zero when it
// has no share.
func (p *projection) loadRatio(member int) float64 { return p.loadRatioWith(member, 0) }

// loadRatioWith is loadRatio with extra load on the member.
func (p *projection) loadRatioWith(member int, extra float64) float64 {
	if p.shares[member] == 0 {
		return 0
	}
	return (p.loads[member] + extra) / p.shares[member]
}

// imbalance returns the greatest load ratio of all members with a share.
func (p *projection) imbalance() float64 {
	greatest := 0.0
	for member := range p.loads {
		greatest = max(greatest, p.loadRatio(member))
	}
	return greatest
}

// membersByLoadRatio returns the members with a share, the most loaded first.
func (p *projection) membersByLoadRatio() []int {
	var out []int
	for member := range p.loads {
		if p.shares[member] > 0 {
			out = append(out, member)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(p.loadRatio(b), p.loadRatio(a)) })
	return out
}

// findSegment returns the index of the segment that contains h, or -1.
func (p *projection) findSegment(h core.Hash) int {
	i, _ := slices.BinarySearchFunc(p.segments, h, func(s segment, h core.Hash) int { return cmp.Compare(s.hashRange.Hi, h) })
	if i < len(p.segments) && p.segments[i].hashRange.Contains(h) {
		return i
	}
	return -1
}

// extractSegment makes hashRange, which must lie inside segment i, a segment of
// its own and returns its index.
func (p *projection) extractSegment(i int, hashRange core.Range) int {
	original := p.segments[i]
	if original.hashRange == hashRange {
		return i
	}
	p.addToOwner(original, -1)
	parts := make([]segment, 0, 3)
	add := func(lo, hi core.Hash) {
		s := original
		s.hashRange = core.Range{Lo: lo, Hi: hi}
		s.load = p.profile.rangeLoad(s.hashRange)
		p.addToOwner(s, 1)
		parts = append(parts, s)
	}
	index := i
	if original.hashRange.Lo < hashRange.Lo {
		add(original.hashRange.Lo, hashRange.Lo-1)
		index++
	}
	add(hashRange.Lo, hashRange.Hi)
	if hashRange.Hi < original.hashRange.Hi {
		add(hashRange.Hi+1, original.hashRange.Hi)
	}
	p.segments = slices.Replace(p.segments, i, i+1, parts...)
	return index
}

// assignSegment sets the owner of segment i and marks the segment as moving.
func (p *projection) assignSegment(i, to int) {
	p.addToOwner(p.segments[i], -1)
	p.segments[i].owner, p.segments[i].moving = to, true
	p.addToOwner(p.segments[i], 1)
	p.incomingMoves[to]++
}

// leastLoadedReceiver returns the member with the lowest load ratio that stays
// within maxRatio when it takes the load, or false.
func (p *projection) leastLoadedReceiver(load, maxRatio float64, excluded, maxIncomingMoves int) (int, bool) {
	best := -1
	for member := range p.loads {
		if member == excluded || !p.canReceive(member, maxIncomingMoves) || p.loadRatioWith(member, load) > maxRatio {
			continue
		}
		if best < 0 || p.loadRatio(member) < p.loadRatio(best) {
			best = member
		}
	}
	return best, best >= 0
}

// mostLoadedReceiver is leastLoadedReceiver for the member with the highest
// load ratio. It leaves the free capacity of lightly loaded members to hashes
// that fit nowhere else.
func (p *projection) mostLoadedReceiver(load, maxRatio float64, excluded, maxIncomingMoves int) (int, bool) {
	best := -1
	for member := range p.loads {
		if member == excluded || !p.canReceive(member, maxIncomingMoves) || p.loadRatioWith(member, load) > maxRatio {
			continue
		}
		if best < 0 || p.loadRatio(member) > p.loadRatio(best) {
			best = member
		}
	}
	return best, best >= 0
}

// canReceive reports whether a member may be the target of another move.
func (p *projection) canReceive(member, maxIncomingMoves int) bool {
	return p.shares[member] > 0 && !p.dedicated[member] && !p.reserved[member] && p.incomingMoves[member] < maxIncomingMoves
}

// settledRangesOf returns the ranges of a member that are not moving, the most
// loaded first.
func (p *projection) settledRangesOf(member int) []core.Range {
	var settled []segment
	for _, s := range p.segments {
		if s.owner == member && !s.moving {
			settled = append(settled, s)
		}
	}
	slices.SortStableFunc(settled, func(a, b segment) int { return cmp.Compare(b.load, a.load) })
	out := make([]core.Range, len(settled))
	for i, s := range settled {
		out[i] = s.hashRange
	}
	return out
}

// dividedEntries returns a Split for each table entry that is now more than one
// segment.
func (p *projection) dividedEntries(table *core.Table) []Split {
	parts := make([][]core.Range, len(table.Entries))
	for _, s := range p.segments {
		parts[s.entryIndex] = append(parts[s.entryIndex], s.hashRange)
	}
	var out []Split
	for i, entryParts := range parts {
		if len(entryParts) > 1 {
			out = append(out, Split{Range: table.Entries[i].Range, Parts: entryParts})
		}
	}
	return out
}
