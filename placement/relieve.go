package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// leastGain is the part of a share that a single move must transfer.
const leastGain = 0.02

// swapGain is the part of the excess that must be left at most after a hash
// moved to a member that cannot hold it without giving ranges away.
const swapGain = 0.7

// fillKeeps is the ratio that a member keeps when it gives load to one that is
// far below its share.
const fillKeeps = 0.9

// relieve takes load from members that have been above High. It prefers single
// hot hashes: they transfer the most load for the fewest keys. Whole parts of
// ranges follow only after RangeHold.
func (r *run) relieve() {
	r.resume()
	for tried := make([]bool, len(r.load)); len(r.queue) == 0; {
		order := slices.DeleteFunc(r.overloaded(), func(o int) bool { return tried[o] })
		if len(order) == 0 {
			return
		}
		o := order[0]
		if steps, ok := r.solve(o); ok && r.allowed(0) {
			// The order is determined anew after each hash: the next of this
			// member may be lighter than one that another must give away.
			own := slices.IndexFunc(steps, func(s step) bool { return s.from == o })
			r.commit(steps[:own+1])
			continue
		}
		tried[o] = true
		if r.ranged(o) {
			r.relieveByRange(o)
		}
	}
}

// overloaded returns the members to relieve. Once one has been above High for
// Hold, those that follow shortly are treated with it. The member that must
// give away the heaviest hash comes first, because that hash fits in the
// fewest places.
func (r *run) overloaded() []int {
	var out []int
	due := false
	need := make([]float64, len(r.load))
	for o := range r.load {
		if r.share[o] == 0 || r.host[o] || r.plain(o) <= r.cfg.High || !r.held(o, r.cfg.Hold/2) {
			continue
		}
		due = due || r.held(o, r.cfg.Hold)
		out = append(out, o)
		excess := r.load[o] - r.giant[o] - r.cfg.High*r.share[o]
		for _, h := range slices.Backward(r.hotHashes(o)) {
			if h.Rate >= excess || need[o] == 0 {
				need[o] = h.Rate
			}
		}
	}
	if !due {
		return nil
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(need[b], need[a]) })
	return out
}

// relieveByRange moves parts of ranges until the member is at Target. A member
// that stopped at High would have no room for the next hot key of the same
// load, and that key would then displace a range elsewhere.
func (r *run) relieveByRange(o int) {
	if to, ok := r.swapHost(o); ok {
		o = to
	}
	for r.ratio(o) > r.cfg.Target && r.allowed(0) {
		if !r.giveRange(o, r.load[o]-r.cfg.Target*r.share[o], ReasonOverload) {
			return
		}
	}
}

// swapHost moves the heaviest hash of o to the lightest member when that one
// would then have less to give away than o has now. It returns the member,
// which takes the place of o among the members to relieve.
func (r *run) swapHost(o int) (int, bool) {
	hot := r.hotHashes(o)
	to, ok := r.receiver(0, r.cfg.Target, o, r.cfg.MaxIncoming)
	if len(hot) == 0 || !ok || !r.allowed(0) {
		return 0, false
	}
	h := hot[len(hot)-1]
	excess := r.load[o] - r.cfg.Target*r.share[o]
	if h.Rate < excess || r.load[to]+h.Rate-r.cfg.Target*r.share[to] > swapGain*excess {
		return 0, false
	}
	r.move(r.carve(r.find(h.Hash), core.Range{Lo: h.Hash, Hi: h.Hash}), to, ReasonOverload)
	from, node := r.table.Members[o].Node, r.table.Members[to].Node
	r.over[node], r.steep[node] = r.over[from], r.steep[from]
	return to, true
}

// hotHashes returns the hashes of a member that are worth a move, the lightest
// first. The caller must not change the result.
func (r *run) hotHashes(o int) []Hitter {
	if r.hot == nil {
		r.hot = make([][]Hitter, len(r.load))
		for _, h := range r.prof.hitters {
			i := r.find(h.Hash)
			if i < 0 || r.segs[i].owner == core.NoOwner || r.segs[i].busy {
				continue
			}
			own := r.segs[i].owner
			if h.Rate >= leastGain*r.share[own] && h.Rate <= r.cfg.High*slices.Max(r.share) && !r.resting(core.Range{Lo: h.Hash, Hi: h.Hash}) {
				r.hot[own] = append(r.hot[own], h)
			}
		}
		for _, hot := range r.hot {
			slices.SortStableFunc(hot, func(a, b Hitter) int { return cmp.Compare(a.Rate, b.Rate) })
		}
	}
	return r.hot[o]
}

// worthwhile reports whether a move saves more within the horizon than the
// warm-up of the new owner costs.
func (r *run) worthwhile(load, excess float64) bool {
	return min(load, excess)*r.cfg.Horizon.Seconds() > load*r.cfg.WarmUp.Seconds()
}

// giveRange moves an end of one of the member's ranges with about the given
// load to a member that has room for it.
func (r *run) giveRange(o int, want float64, why Reason) bool {
	for _, x := range r.owned(o) {
		if x.Lo == x.Hi || r.resting(x) {
			continue
		}
		if r.giveEnd(r.find(x.Lo), want, r.cfg.Target, r.cfg.MaxIncoming, why) {
			return true
		}
	}
	return false
}

// end is one way to cut a segment: from its low or high end, for a member.
type end struct {
	to   int
	high bool
}

// giveEnd moves a part of segment i with a load of at most want. A neighbour's
// owner is preferred, because the two ranges then merge; otherwise the part
// goes to the least loaded member. The other end is tried when a hot hash at
// one end leaves too little to cut there.
func (r *run) giveEnd(i int, want, limit float64, maxIncoming int, why Reason) bool {
	var ends []end
	if i > 0 && r.neighbour(i-1, i, limit, maxIncoming) {
		ends = append(ends, end{to: r.segs[i-1].owner})
	}
	if i+1 < len(r.segs) && r.neighbour(i+1, i, limit, maxIncoming) {
		ends = append(ends, end{to: r.segs[i+1].owner, high: true})
	}
	if len(ends) == 2 && r.ratio(ends[1].to) < r.ratio(ends[0].to) {
		ends[0], ends[1] = ends[1], ends[0]
	}
	if to, ok := r.receiver(0, limit, r.segs[i].owner, maxIncoming); ok {
		ends = append(ends, end{to: to}, end{to: to, high: true})
	}
	return slices.ContainsFunc(ends, func(e end) bool { return r.cutEnd(i, e, want, limit, why) })
}

func (r *run) cutEnd(i int, e end, want, limit float64, why Reason) bool {
	want = min(want, limit*r.share[e.to]-r.load[e.to])
	cut := r.prof.lowPart
	if e.high {
		cut = r.prof.highPart
	}
	x, ok := cut(r.segs[i].r, want)
	if !ok || r.prof.load(x) < leastGain*r.share[e.to] && x != r.segs[i].r {
		return false
	}
	if why != ReasonUnowned && why != ReasonDrain {
		if x, ok = r.affordable(x, e.high); !ok {
			return false
		}
	}
	r.move(r.carve(i, x), e.to, why)
	return true
}

// neighbour reports whether the owner of segment n has room for a useful part
// of segment i.
func (r *run) neighbour(n, i int, limit float64, maxIncoming int) bool {
	o := r.segs[n].owner
	if o == core.NoOwner || o == r.segs[i].owner || !r.takes(o, maxIncoming) {
		return false
	}
	return r.ratio(o) < limit-2*leastGain
}

// affordable shortens x to what the churn budget leaves.
func (r *run) affordable(x core.Range, high bool) (core.Range, bool) {
	if !r.allowed(0) {
		return x, false
	}
	if r.part(x) <= r.churn {
		return x, true
	}
	r.plan.Deferred++
	n := r.churn * r.prof.span.Width() * (1 << 64)
	if n < float64(r.prof.step) {
		return x, false
	}
	if high {
		x.Lo = x.Hi - core.Hash(n) + 1
	} else {
		x.Hi = x.Lo + core.Hash(n) - 1
	}
	return x, true
}

// fill gives a range to a member that has been far below its share, from the
// most loaded member.
func (r *run) fill() {
	for o, m := range r.table.Members {
		since, ok := r.under[m.Node]
		if !ok || r.now.Sub(since) < r.cfg.FillHold || !r.takes(o, r.cfg.MaxIncoming) || r.ratio(o) >= r.cfg.FillBelow {
			continue
		}
		order := slices.DeleteFunc(r.byRatio(), func(src int) bool { return src == o || r.host[src] })
		if len(order) == 0 {
			return
		}
		spare := r.load[order[0]] - fillKeeps*r.share[order[0]]
		if spare >= leastGain*r.share[order[0]] {
			r.giveTo(order[0], o, spare)
		}
	}
}

// giveTo moves a part of the heaviest idle range of src to one member.
func (r *run) giveTo(src, to int, want float64) {
	for _, x := range r.owned(src) {
		if x.Lo == x.Hi || r.resting(x) {
			continue
		}
		part, ok := r.prof.lowPart(x, min(want, r.share[to]-r.load[to]))
		if !ok {
			continue
		}
		if part, ok = r.affordable(part, false); !ok {
			return
		}
		r.move(r.carve(r.find(x.Lo), part), to, ReasonFill)
		return
	}
}
