package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// spareWidth is the part of the mean key space below which a member counts as
// free to host a giant.
const spareWidth = 0.1

// growing is the part of High at which a hash may soon be a giant: after Hold
// the sketch shows seven eighths of a new load.
const growing = 0.7

// rescue finds owners for ranges that have none, and empties members that must
// hold nothing. Neither waits for the churn budget.
func (r *run) rescue() {
	for _, x := range r.ownedBy(func(s seg) bool { return s.owner == core.NoOwner }) {
		r.place(x, ReasonUnowned, len(r.table.Members)*r.cfg.MaxEntries)
	}
	left := r.cfg.MaxDrainMoves
	for _, m := range r.recent {
		if m.running && m.width == 0 {
			left--
		}
	}
	out := r.ownedBy(func(s seg) bool { return s.owner != core.NoOwner && r.caps[s.owner].Weight == 0 })
	for _, x := range out {
		if left <= 0 {
			r.plan.Deferred++
			continue
		}
		left -= r.place(x, ReasonDrain, left)
	}
}

// place gives the whole of x away in at most n parts and returns their number.
// Parts bring a member to its share; a member takes more than Target only when
// no member has room.
func (r *run) place(x core.Range, why Reason, n int) int {
	for used := 0; ; used++ {
		i := r.find(x.Lo)
		whole := r.segs[i].r
		room := used+1 < n && len(r.segs) < r.cfg.MaxEntries*len(r.table.Members)
		if to, ok := r.receiver(r.segs[i].load, r.cfg.Target, r.segs[i].owner, len(r.segs)+n); ok {
			r.move(i, to, why)
			return used + 1
		}
		if room && whole.Lo != whole.Hi && r.giveEnd(i, r.segs[i].load, 1, len(r.segs)+n, why) {
			if i = r.remainder(x); i < 0 {
				return used + 1
			}
			x = r.segs[i].r
			continue
		}
		if to, ok := r.leastLoaded(r.segs[i].owner); ok {
			r.move(i, to, why)
		}
		return used + 1
	}
}

// remainder returns the idle segment that is left of x, or -1.
func (r *run) remainder(x core.Range) int {
	return slices.IndexFunc(r.segs, func(s seg) bool { return !s.busy && s.r.Overlaps(x) })
}

// leastLoaded returns the member with the lowest ratio, even above Target.
func (r *run) leastLoaded(except int) (int, bool) {
	best := -1
	for o := range r.load {
		if o != except && r.caps[o].Weight > 0 && (best < 0 || r.ratio(o) < r.ratio(best)) {
			best = o
		}
	}
	return best, best >= 0
}

func (r *run) ownedBy(match func(seg) bool) []core.Range {
	var out []core.Range
	for _, s := range r.segs {
		if !s.busy && match(s) {
			out = append(out, s.r)
		}
	}
	return out
}

// isolateGiants gives each hash that fills a whole member a member of its own
// and moves all other work away from it. The hash itself moves at most once,
// and only when another member has much less to give away.
func (r *run) isolateGiants() {
	giants := r.hashesAbove(r.cfg.High)
	r.reserve()
	for _, h := range giants {
		i := r.find(h.Hash)
		if i < 0 || r.segs[i].owner == core.NoOwner || r.caps[r.segs[i].owner].Weight == 0 {
			continue
		}
		o := r.segs[i].owner
		one := core.Range{Lo: h.Hash, Hi: h.Hash}
		if !r.held(o, r.cfg.Hold) && !r.host[o] && !r.resting(one) {
			continue
		}
		if r.segs[i].busy && r.segs[i].r != one {
			continue // it is moving as part of a range, which must stay whole
		}
		i = r.carve(i, one)
		if to, ok := r.betterHost(o, giants); ok && !r.segs[i].busy && !r.resting(one) && r.allowed(0) {
			r.move(i, to, ReasonIsolate)
			o = to
		}
		r.report(h, o)
		if !r.host[o] {
			r.host[o] = true
			r.evacuate(o, h.Hash)
		}
	}
	r.giant = make([]float64, len(r.load))
	for _, h := range giants {
		if i := r.find(h.Hash); i >= 0 && r.segs[i].owner != core.NoOwner && !r.host[r.segs[i].owner] {
			r.giant[r.segs[i].owner] += h.Rate
		}
	}
}

// plain returns the ratio of a member without giants that are to leave it.
func (r *run) plain(o int) float64 { return (r.load[o] - r.giant[o]) / r.share[o] }

// hashesAbove returns the hashes with more load than ratio times the greatest
// share, the hottest first. With High these are the giants.
func (r *run) hashesAbove(ratio float64) []Hitter {
	share := slices.Max(append([]float64{0}, r.share...))
	var out []Hitter
	for _, h := range r.prof.hitters {
		if share > 0 && h.Rate > ratio*share {
			out = append(out, h)
		}
	}
	slices.SortStableFunc(out, func(a, b Hitter) int { return cmp.Compare(b.Rate, a.Rate) })
	return out
}

// betterHost returns a member without a giant that holds less than a tenth of
// the key space of o, or any member without one when o is already a host.
func (r *run) betterHost(o int, giants []Hitter) (int, bool) {
	taken := r.holders(giants)
	best := -1
	for c := range r.load {
		if taken[c] > 0 || r.share[c] == 0 || r.host[c] || r.caps[c].Weight < r.caps[o].Weight {
			continue
		}
		if best < 0 || r.width[c] < r.width[best] {
			best = c
		}
	}
	if best < 0 {
		return 0, false
	}
	return best, r.host[o] || r.width[best] < r.width[o]*spareWidth
}

// holders counts the giants of each member.
func (r *run) holders(giants []Hitter) []int {
	out := make([]int, len(r.load))
	for _, h := range giants {
		if i := r.find(h.Hash); i >= 0 && r.segs[i].owner != core.NoOwner {
			out[r.segs[i].owner]++
		}
	}
	return out
}

// reserve keeps members with hardly any key space, such as the hosts of former
// giants, free for the giants of members above High. Until the member of a hash
// is due, it counts also when it may still grow into a giant.
func (r *run) reserve() {
	need := 0
	large, giants := r.holders(r.hashesAbove(growing*r.cfg.High)), r.holders(r.hashesAbove(r.cfg.High))
	var free []int
	for o := range r.load {
		switch {
		case r.spare(o) && large[o] == 0:
			free = append(free, o)
		case r.ratio(o) <= r.cfg.High || r.spare(o):
		case r.held(o, r.cfg.Hold):
			need += giants[o]
		default:
			need += large[o]
		}
	}
	slices.SortStableFunc(free, func(a, b int) int { return cmp.Compare(r.width[a], r.width[b]) })
	for _, o := range free[:min(need, len(free))] {
		r.reserved[o] = true
	}
}

func (r *run) spare(o int) bool { return r.width[o] < spareWidth/float64(len(r.load)) }

func (r *run) report(h Hitter, o int) {
	l := OversizedHash{Hash: h.Hash, Owner: o, Load: h.Rate}
	if c := r.caps[o].Limit; c > 0 && h.Rate > c {
		l.Allowed = c
	}
	r.plan.Limits = append(r.plan.Limits, l)
}

// evacuate moves everything but the giant away from its host, as far as the
// budgets allow.
func (r *run) evacuate(o int, giant core.Hash) {
	for _, x := range r.owned(o) {
		if x.Lo == giant && x.Hi == giant {
			continue
		}
		if x.Lo != x.Hi && !r.held(o, r.cfg.RangeHold) {
			continue
		}
		for i := r.find(x.Lo); i >= 0 && r.segs[i].owner == o && !r.segs[i].busy; i = r.remainder(x) {
			if !r.allowed(0) || !r.evacuatePart(i, o) {
				return
			}
		}
	}
}

func (r *run) evacuatePart(i, o int) bool {
	s := r.segs[i]
	if s.r.Lo != s.r.Hi {
		return r.giveEnd(i, s.load, r.cfg.Target, r.cfg.MaxIncoming, ReasonIsolate)
	}
	to, ok := r.tightest(s.load, r.cfg.Target, o, r.cfg.MaxIncoming)
	for _, n := range []int{i - 1, i + 1} {
		if n >= 0 && n < len(r.segs) && r.neighbour(n, i, r.cfg.Target, r.cfg.MaxIncoming) {
			to, ok = r.segs[n].owner, true
		}
	}
	if ok {
		r.move(i, to, ReasonIsolate)
	}
	return ok
}
