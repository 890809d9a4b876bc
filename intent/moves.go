package intent

import (
	"math"
	"math/bits"
	"slices"
	"strconv"

	"marjoramshore.example/core"
)

// fleet is the nodes of one service while the moves are worked out.
type fleet struct {
	nodes []*placed
	churn float64
}

type placed struct {
	NodeState
	width   float64
	density float64 // peak requests in flight for each unit of width
	peak    float64
}

func newFleet(s *Service, nodes []NodeState) *fleet {
	f := &fleet{}
	for _, n := range nodes {
		e := &placed{NodeState: n, peak: n.PeakInFlight}
		e.Draining = n.Draining || slices.Contains(s.Drains, n.Node)
		e.Ranges = slices.Clone(n.Ranges)
		for _, r := range n.Ranges {
			e.width += r.Width()
		}
		if e.width > 0 {
			e.density = e.peak / e.width
		}
		f.nodes = append(f.nodes, e)
	}
	return f
}

func (f *fleet) peak(slots int) float64 {
	most := 0.0
	for _, n := range f.nodes {
		most = max(most, n.peak/float64(slots))
	}
	return most
}

func (f *fleet) owner(h core.Hash) (*placed, core.Range) {
	for _, n := range f.nodes {
		for _, r := range n.Ranges {
			if r.Contains(h) {
				return n, r
			}
		}
	}
	return nil, core.Range{}
}

// target returns the allowed node that is least loaded, or nil.
func (f *fleet) target(allowed func(*placed) bool) *placed {
	var best *placed
	for _, n := range f.nodes {
		if n.Draining || !allowed(n) {
			continue
		}
		if best == nil || n.peak < best.peak || n.peak == best.peak && n.width < best.width {
			best = n
		}
	}
	return best
}

// move hands part of range whole from one node to another.
func (f *fleet) move(from, to *placed, whole, part core.Range) {
	i := slices.Index(from.Ranges, whole)
	var rest []core.Range
	if whole.Lo < part.Lo {
		rest = append(rest, core.Range{Lo: whole.Lo, Hi: part.Lo - 1})
	}
	if part.Hi < whole.Hi {
		rest = append(rest, core.Range{Lo: part.Hi + 1, Hi: whole.Hi})
	}
	from.Ranges = slices.Replace(from.Ranges, i, i+1, rest...)
	to.Ranges = append(to.Ranges, part)
	width := part.Width()
	load := from.density * width
	from.width, to.width = from.width-width, to.width+width
	from.peak, to.peak = from.peak-load, to.peak+load
	f.churn += width
}

func (p *planner) addMove(s core.Service, r core.Range, from, to, cause string) {
	if len(p.plan.Moves) >= MaxMoves {
		p.plan.MoreMoves++
		return
	}
	p.plan.Moves = append(p.plan.Moves, Move{
		Service: s, Lo: hex64(r.Lo), Hi: hex64(r.Hi), From: from, To: to, Cause: cause,
	})
}

// moveDrained empties the nodes that drain.
func (p *planner) moveDrained(s *Service, f *fleet) {
	for _, n := range f.nodes {
		if !n.Draining {
			continue
		}
		p.moveAll(s, f, n, func(*placed) bool { return true }, "drain of "+string(n.Node))
	}
}

// moveAll moves every range of n to allowed nodes, and reports whether it could.
func (p *planner) moveAll(s *Service, f *fleet, n *placed, allowed func(*placed) bool, cause string) bool {
	for _, r := range slices.Clone(n.Ranges) {
		to := f.target(allowed)
		if to == nil {
			p.refuse(s.Name, "move the ranges of "+string(n.Node), "no node that stays may own them ("+cause+")")
			return false
		}
		f.move(n, to, r, r)
		p.addMove(s.Name, r, string(n.Node), string(to.Node), cause)
	}
	return true
}

// moveConstrained applies first the constraint on every key, then those on
// named keys.
func (p *planner) moveConstrained(s *Service, f *fleet) {
	for _, c := range s.Constraints {
		if len(c.Keys) == 0 {
			p.moveEveryKey(s, f, c)
		}
	}
	for _, c := range s.Constraints {
		for _, key := range c.Keys {
			if !p.moveKey(s, f, c, key) {
				break
			}
		}
	}
}

func (c Constraint) allows(n *placed) bool {
	if c.Node != "" {
		return n.Node == c.Node
	}
	return slices.Contains(c.DataCentres, n.DataCentre)
}

func (p *planner) moveEveryKey(s *Service, f *fleet, c Constraint) {
	for _, n := range f.nodes {
		if !c.allows(n) && !p.moveAll(s, f, n, c.allows, "constraint "+c.Name) {
			return
		}
	}
}

// moveKey moves one key under a constraint, and reports whether it could.
func (p *planner) moveKey(s *Service, f *fleet, c Constraint, key string) bool {
	h := core.HashKey(key)
	from, whole := f.owner(h)
	if from == nil || c.allows(from) {
		return true
	}
	to := f.target(c.allows)
	if to == nil {
		p.refuse(s.Name, "apply constraint "+c.Name, "no node that stays satisfies it; its keys stay where they are until one joins")
		return false
	}
	one := core.Range{Lo: h, Hi: h}
	f.move(from, to, whole, one)
	p.addMove(s.Name, one, string(from.Node), string(to.Node), "constraint "+c.Name)
	return true
}

// regroup lists the parts of the key space that change their group, and
// returns their share. Which node then owns them depends on the members that
// the groups choose.
func (p *planner) regroup(s *Service, old Service) float64 {
	if s.Groups == old.Groups {
		return 0
	}
	share := 0.0
	cuts := append(groupStarts(s.Groups), groupStarts(old.Groups)...)
	slices.Sort(cuts)
	cuts = slices.Compact(cuts)
	for i, lo := range cuts {
		r := core.Range{Lo: lo, Hi: math.MaxUint64}
		if i+1 < len(cuts) {
			r.Hi = cuts[i+1] - 1
		}
		from, to := GroupOf(lo, old.Groups), GroupOf(lo, s.Groups)
		if from != to {
			share += r.Width()
			p.addMove(s.Name, r, "group "+itoa(from), "group "+itoa(to), "groups changed")
		}
	}
	return share
}

// GroupOf returns the group that owns h when groups divide the key space into
// equal parts.
func GroupOf(h core.Hash, groups int) int {
	hi, _ := bits.Mul64(uint64(h), uint64(groups))
	return int(hi)
}

// GroupRange returns the part of the key space of one group.
func GroupRange(group, groups int) core.Range {
	r := core.Range{Lo: groupStart(group, groups), Hi: math.MaxUint64}
	if group+1 < groups {
		r.Hi = groupStart(group+1, groups) - 1
	}
	return r
}

// groupStart is the smallest hash of a group: ceil(group * 2^64 / groups).
func groupStart(group, groups int) core.Hash {
	if group == 0 {
		return 0
	}
	q, rest := bits.Div64(uint64(group), 0, uint64(groups))
	if rest > 0 {
		q++
	}
	return core.Hash(q)
}

func groupStarts(groups int) []core.Hash {
	out := make([]core.Hash, groups)
	for i := range out {
		out[i] = groupStart(i, groups)
	}
	return out
}

func itoa(n int) string { return strconv.Itoa(n) }

func ftoa(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

func hex64(h core.Hash) string {
	s := strconv.FormatUint(uint64(h), 16)
	return "0000000000000000"[len(s):] + s
}
