package intent

import (
	"math"
	"math/bits"
	"slices"
	"strconv"

	"marjoramshore.example/core"
)

// projection is the ownership and load of a service's nodes after the moves
// that have been planned so far.
type projection struct {
	nodes []*projectedNode
	churn float64 // share of the key space that has moved
}

type projectedNode struct {
	NodeState
	width   float64 // share of the key space that the node owns
	density float64 // peak requests in flight for each unit of width
	load    float64 // requests in flight at peak
}

func newProjection(s *Service, nodes []NodeState) *projection {
	proj := &projection{}
	for _, n := range nodes {
		node := &projectedNode{NodeState: n, load: n.PeakInFlight}
		node.Draining = n.Draining || slices.Contains(s.Drains, n.Node)
		node.Ranges = slices.Clone(n.Ranges)
		for _, r := range n.Ranges {
			node.width += r.Width()
		}
		if node.width > 0 {
			node.density = node.load / node.width
		}
		proj.nodes = append(proj.nodes, node)
	}
	return proj
}

// peakUse returns the peak slot utilisation of the busiest node as a share.
func (proj *projection) peakUse(slots int) float64 {
	peak := 0.0
	for _, n := range proj.nodes {
		peak = max(peak, n.load/float64(slots))
	}
	return peak
}

// ownerOf returns the node that owns h, or nil, and the range that holds h.
func (proj *projection) ownerOf(h core.Hash) (*projectedNode, core.Range) {
	for _, n := range proj.nodes {
		for _, r := range n.Ranges {
			if r.Contains(h) {
				return n, r
			}
		}
	}
	return nil, core.Range{}
}

// leastLoaded returns the least loaded node that is allowed and does not drain,
// or nil.
func (proj *projection) leastLoaded(allowed func(*projectedNode) bool) *projectedNode {
	var least *projectedNode
	for _, n := range proj.nodes {
		if n.Draining || !allowed(n) {
			continue
		}
		if least == nil || n.load < least.load || n.load == least.load && n.width < least.width {
			least = n
		}
	}
	return least
}

// moveRange moves a range, which is all or part of the owned range, from one
// node to another.
func (proj *projection) moveRange(from, to *projectedNode, owned, moved core.Range) {
	i := slices.Index(from.Ranges, owned)
	var remaining []core.Range
	if owned.Lo < moved.Lo {
		remaining = append(remaining, core.Range{Lo: owned.Lo, Hi: moved.Lo - 1})
	}
	if moved.Hi < owned.Hi {
		remaining = append(remaining, core.Range{Lo: moved.Hi + 1, Hi: owned.Hi})
	}
	from.Ranges = slices.Replace(from.Ranges, i, i+1, remaining...)
	to.Ranges = append(to.Ranges, moved)
	width := moved.Width()
	load := from.density * width
	from.width, to.width = from.width-width, to.width+width
	from.load, to.load = from.load-load, to.load+load
	proj.churn += width
}

// addMove lists a move in the plan, or only counts it beyond MaxMoves.
func (p *planner) addMove(s core.Service, r core.Range, from, to, cause string) {
	if len(p.plan.Moves) >= MaxMoves {
		p.plan.MoreMoves++
		return
	}
	p.plan.Moves = append(p.plan.Moves, Move{
		Service: s, Lo: formatHash(r.Lo), Hi: formatHash(r.Hi), From: from, To: to, Cause: cause,
	})
}

// emptyDrainingNodes moves every range off the nodes that drain.
func (p *planner) emptyDrainingNodes(s *Service, proj *projection) {
	for _, n := range proj.nodes {
		if !n.Draining {
			continue
		}
		p.emptyNode(s, proj, n, func(*projectedNode) bool { return true }, "drain of "+string(n.Node))
	}
}

// emptyNode moves every range of n to allowed nodes. If no node is allowed, it
// refuses the rest and returns false.
func (p *planner) emptyNode(s *Service, proj *projection, n *projectedNode, allowed func(*projectedNode) bool, cause string) bool {
	for _, r := range slices.Clone(n.Ranges) {
		to := proj.leastLoaded(allowed)
		if to == nil {
			p.refuse(s.Name, "move the ranges of "+string(n.Node), "no node that stays may own them ("+cause+")")
			return false
		}
		proj.moveRange(n, to, r, r)
		p.addMove(s.Name, r, string(n.Node), string(to.Node), cause)
	}
	return true
}

// applyConstraints applies the constraint on every key first, and then those
// on listed keys.
func (p *planner) applyConstraints(s *Service, proj *projection) {
	for _, c := range s.Constraints {
		if len(c.Keys) == 0 {
			p.applyToAllKeys(s, proj, c)
		}
	}
	for _, c := range s.Constraints {
		for _, key := range c.Keys {
			if !p.applyToKey(s, proj, c, key) {
				break
			}
		}
	}
}

// allows reports whether n may own the keys of c.
func (c Constraint) allows(n *projectedNode) bool {
	if c.Node != "" {
		return n.Node == c.Node
	}
	return slices.Contains(c.DataCentres, n.DataCentre)
}

// applyToAllKeys moves every range off the nodes that the constraint does not
// allow.
func (p *planner) applyToAllKeys(s *Service, proj *projection, c Constraint) {
	for _, n := range proj.nodes {
		if !c.allows(n) && !p.emptyNode(s, proj, n, c.allows, "constraint "+c.Name) {
			return
		}
	}
}

// applyToKey moves one key to a node that the constraint allows. If there is
// none, it refuses the constraint and returns false.
func (p *planner) applyToKey(s *Service, proj *projection, c Constraint, key string) bool {
	h := core.HashKey(key)
	from, owned := proj.ownerOf(h)
	if from == nil || c.allows(from) {
		return true
	}
	to := proj.leastLoaded(c.allows)
	if to == nil {
		p.refuse(s.Name, "apply constraint "+c.Name, "no node that stays satisfies it; its keys stay where they are until one joins")
		return false
	}
	keyRange := core.Range{Lo: h, Hi: h}
	proj.moveRange(from, to, owned, keyRange)
	p.addMove(s.Name, keyRange, string(from.Node), string(to.Node), "constraint "+c.Name)
	return true
}

// regroup lists the parts of the key space that change their group, and
// returns their share of the key space. Which node owns them afterwards depends
// on the members of the groups.
func (p *planner) regroup(s *Service, old Service) float64 {
	if s.Groups == old.Groups {
		return 0
	}
	share := 0.0
	starts := append(groupStarts(s.Groups), groupStarts(old.Groups)...)
	slices.Sort(starts)
	starts = slices.Compact(starts)
	for i, lo := range starts {
		r := core.Range{Lo: lo, Hi: math.MaxUint64}
		if i+1 < len(starts) {
			r.Hi = starts[i+1] - 1
		}
		from, to := GroupOf(lo, old.Groups), GroupOf(lo, s.Groups)
		if from != to {
			share += r.Width()
			p.addMove(s.Name, r, "group "+formatInt(from), "group "+formatInt(to), "groups changed")
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

// GroupRange returns the part of the key space that a group owns when groups
// divide it into equal parts.
func GroupRange(group, groups int) core.Range {
	r := core.Range{Lo: groupStart(group, groups), Hi: math.MaxUint64}
	if group+1 < groups {
		r.Hi = groupStart(group+1, groups) - 1
	}
	return r
}

// groupStart returns the smallest hash of a group: ceil(group * 2^64 / groups).
func groupStart(group, groups int) core.Hash {
	if group == 0 {
		return 0
	}
	quotient, remainder := bits.Div64(uint64(group), 0, uint64(groups))
	if remainder > 0 {
		quotient++
	}
	return core.Hash(quotient)
}

// groupStarts returns the smallest hash of each group.
func groupStarts(groups int) []core.Hash {
	out := make([]core.Hash, groups)
	for i := range out {
		out[i] = groupStart(i, groups)
	}
	return out
}

func formatInt(n int) string { return strconv.Itoa(n) }

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) }

// formatHash returns h as 16 hexadecimal digits.
func formatHash(h core.Hash) string {
	s := strconv.FormatUint(uint64(h), 16)
	return "0000000000000000"[len(s):] + s
}
