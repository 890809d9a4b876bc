package placement

import (
	"cmp"
	"slices"

	"marjoramshore.example/core"
)

// Capacity is what one member can take.
type Capacity struct {
	// Weight is the member's share relative to the others. Zero means that it
	// must hold nothing.
	Weight float64
	// Limit is the greatest load that the member can carry, or zero when it is
	// not known.
	Limit float64
}

// seg is a range of the table being planned.
type seg struct {
	r     core.Range
	owner int
	load  float64
	// entry is the index of the table entry that the segment is part of.
	entry int
	// from is the owner in the table.
	from int
	// busy marks a segment that is moving or was moved by this plan.
	busy bool
}

// model is the state of one planning run: the table with the running moves
// done, and the moves planned so far.
type model struct {
	prof *profile
	caps []Capacity
	segs []seg
	// load, share and width are indexed by member. Width is the part of the
	// span that the member holds.
	load, share, width []float64
	incoming           []int
	// host marks a member that holds a hash which fills it.
	host []bool
	// reserved marks a member that is kept free for such a hash.
	reserved []bool
}

func newModel(t *core.Table, prof *profile, caps []Capacity) *model {
	n := len(t.Members)
	m := &model{prof: prof, caps: make([]Capacity, n), load: make([]float64, n), share: make([]float64, n),
		width: make([]float64, n), incoming: make([]int, n), host: make([]bool, n), reserved: make([]bool, n)}
	sum := 0.0
	for i := range m.caps {
		m.caps[i].Weight = 1
		if i < len(caps) {
			m.caps[i] = caps[i]
		}
		sum += m.caps[i].Weight
	}
	for i := range m.share {
		if sum > 0 {
			m.share[i] = prof.total() * m.caps[i].Weight / sum
		}
	}
	for i, e := range t.Entries {
		s := seg{r: e.Range, owner: e.Owner, from: e.Owner, entry: i, load: prof.load(e.Range)}
		m.segs = append(m.segs, s)
		m.account(s, 1)
	}
	return m
}

func (m *model) account(s seg, sign float64) {
	if s.owner != core.NoOwner {
		m.load[s.owner] += sign * s.load
		m.width[s.owner] += sign * m.part(s.r)
	}
}

// part returns the width of r relative to the span.
func (m *model) part(r core.Range) float64 { return r.Width() / m.prof.span.Width() }

// ratio returns the load of a member relative to its share.
func (m *model) ratio(o int) float64 { return m.ratioWith(o, 0) }

func (m *model) ratioWith(o int, extra float64) float64 {
	if m.share[o] == 0 {
		return 0
	}
	return (m.load[o] + extra) / m.share[o]
}

// imbalance returns the greatest ratio of all members that take work.
func (m *model) imbalance() float64 {
	worst := 0.0
	for o := range m.load {
		worst = max(worst, m.ratio(o))
	}
	return worst
}

// byRatio returns the members with a share, the most loaded first.
func (m *model) byRatio() []int {
	var out []int
	for o := range m.load {
		if m.share[o] > 0 {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(m.ratio(b), m.ratio(a)) })
	return out
}

// find returns the index of the segment that contains h, or -1.
func (m *model) find(h core.Hash) int {
	i, _ := slices.BinarySearchFunc(m.segs, h, func(s seg, h core.Hash) int { return cmp.Compare(s.r.Hi, h) })
	if i < len(m.segs) && m.segs[i].r.Contains(h) {
		return i
	}
	return -1
}

// carve makes r, which must lie inside segment i, a segment of its own and
// returns its index.
func (m *model) carve(i int, r core.Range) int {
	whole := m.segs[i]
	if whole.r == r {
		return i
	}
	m.account(whole, -1)
	parts := make([]seg, 0, 3)
	add := func(lo, hi core.Hash) {
		s := whole
		s.r = core.Range{Lo: lo, Hi: hi}
		s.load = m.prof.load(s.r)
		m.account(s, 1)
		parts = append(parts, s)
	}
	at := i
	if whole.r.Lo < r.Lo {
		add(whole.r.Lo, r.Lo-1)
		at++
	}
	add(r.Lo, r.Hi)
	if r.Hi < whole.r.Hi {
		add(r.Hi+1, whole.r.Hi)
	}
	m.segs = slices.Replace(m.segs, i, i+1, parts...)
	return at
}

// assign gives segment i to member to.
func (m *model) assign(i, to int) {
	m.account(m.segs[i], -1)
	m.segs[i].owner, m.segs[i].busy = to, true
	m.account(m.segs[i], 1)
	m.incoming[to]++
}

// receiver returns the member with the lowest ratio that stays within limit
// when it takes the load, or false.
func (m *model) receiver(load, limit float64, except, maxIncoming int) (int, bool) {
	best := -1
	for o := range m.load {
		if o == except || !m.takes(o, maxIncoming) || m.ratioWith(o, load) > limit {
			continue
		}
		if best < 0 || m.ratio(o) < m.ratio(best) {
			best = o
		}
	}
	return best, best >= 0
}

// tightest is receiver with the highest ratio that fits. It keeps the room of
// lightly loaded members for keys that fit nowhere else.
func (m *model) tightest(load, limit float64, except, maxIncoming int) (int, bool) {
	best := -1
	for o := range m.load {
		if o == except || !m.takes(o, maxIncoming) || m.ratioWith(o, load) > limit {
			continue
		}
		if best < 0 || m.ratio(o) > m.ratio(best) {
			best = o
		}
	}
	return best, best >= 0
}

func (m *model) takes(o, maxIncoming int) bool {
	return m.share[o] > 0 && !m.host[o] && !m.reserved[o] && m.incoming[o] < maxIncoming
}

// owned returns the idle segments of a member, the heaviest first.
func (m *model) owned(o int) []core.Range {
	var idle []seg
	for _, s := range m.segs {
		if s.owner == o && !s.busy {
			idle = append(idle, s)
		}
	}
	slices.SortStableFunc(idle, func(a, b seg) int { return cmp.Compare(b.load, a.load) })
	out := make([]core.Range, len(idle))
	for i, s := range idle {
		out[i] = s.r
	}
	return out
}

// splits returns the entries that the model divided.
func (m *model) splits(t *core.Table) []Split {
	parts := make([][]core.Range, len(t.Entries))
	for _, s := range m.segs {
		parts[s.entry] = append(parts[s.entry], s.r)
	}
	var out []Split
	for i, p := range parts {
		if len(p) > 1 {
			out = append(out, Split{Range: t.Entries[i].Range, Parts: p})
		}
	}
	return out
}
