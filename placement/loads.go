package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxReports bounds the members whose exports are kept: a group holds 10,
	// and members that were just replaced stay until their exports age out.
	maxReports = 128
	// reportLifetime is how long an export counts. The load of a lost member
	// is still needed to divide its ranges among the others.
	reportLifetime = time.Minute
)

// LoadAggregator joins the latest exports of a group's members. A hash that moved is
// reported by both owners for a while; the decayed parts add up to its load.
type LoadAggregator struct {
	span    core.Range
	reports map[core.NodeID]*report
}

// NewLoadAggregator returns empty Loads for a group that holds span.
func NewLoadAggregator(span core.Range) *LoadAggregator {
	return &LoadAggregator{span: span, reports: make(map[core.NodeID]*report)}
}

// ReplaceExport takes the export of a node in place of its previous one. It fails with
// an *ExportError when the export is malformed.
func (l *LoadAggregator) ReplaceExport(now clock.Instant, node core.NodeID, export []byte) error {
	r, err := decode(l.span, export)
	if err != nil {
		return err
	}
	l.expire(now)
	if l.reports[node] == nil && len(l.reports) >= maxReports {
		return &ExportError{Fault: FaultMembers}
	}
	r.at = now
	l.reports[node] = r
	return nil
}

// Rate returns the load that a node last reported, or zero.
func (l *LoadAggregator) Rate(node core.NodeID) float64 {
	if r := l.reports[node]; r != nil {
		return r.total
	}
	return 0
}

func (l *LoadAggregator) expire(now clock.Instant) {
	for n, r := range l.reports {
		if now.Sub(r.at) > reportLifetime {
			delete(l.reports, n)
		}
	}
}

// idleLoad is spread evenly over a span without any load, so that its first
// assignment divides it evenly. It is below any MinLoad that makes sense.
const idleLoad = 1e-3

// profile is the load of a span at one instant, prepared for range queries.
type profile struct {
	span  core.Range
	step  uint64
	cells [cellCount]float64
	// sums[i] is the load of the cells before i.
	sums    [cellCount + 1]float64
	hitters []Hitter // ordered by hash
	// hitSums[i] is the load of the hitters before i.
	hitSums []float64
}

func (l *LoadAggregator) profile(now clock.Instant) *profile {
	l.expire(now)
	p := &profile{span: l.span, step: cellStep(l.span)}
	nodes := make([]core.NodeID, 0, len(l.reports))
	for n := range l.reports {
		nodes = append(nodes, n)
	}
	slices.Sort(nodes) // a fixed order of addition keeps plans reproducible
	var all []Hitter
	for _, n := range nodes {
		r := l.reports[n]
		for i, c := range r.cells {
			p.cells[i] += c
		}
		all = append(all, r.hitters...)
	}
	if len(all) == 0 && slices.Max(p.cells[:]) == 0 {
		for i := range p.cells {
			p.cells[i] = idleLoad / cellCount
		}
	}
	for i, c := range p.cells {
		p.sums[i+1] = p.sums[i] + c
	}
	slices.SortStableFunc(all, func(a, b Hitter) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, h := range all {
		if n := len(p.hitters); n > 0 && p.hitters[n-1].Hash == h.Hash {
			p.hitters[n-1].Rate += h.Rate
			continue
		}
		p.hitters = append(p.hitters, h)
	}
	p.scaleHitters(func(core.Hash) float64 { return 1 })
	return p
}

// atLeast raises the rate of a hash. The sums are stale until scaleHitters.
func (p *profile) atLeast(h core.Hash, rate float64) {
	i, found := slices.BinarySearchFunc(p.hitters, h, func(x Hitter, h core.Hash) int { return cmp.Compare(x.Hash, h) })
	if !found {
		p.hitters = slices.Insert(p.hitters, i, Hitter{Hash: h})
	}
	p.hitters[i].Rate = max(p.hitters[i].Rate, rate)
}

// scaleHitters multiplies the rate of each hitter.
func (p *profile) scaleHitters(factor func(core.Hash) float64) {
	p.hitSums = append(p.hitSums[:0], 0)
	for i := range p.hitters {
		p.hitters[i].Rate *= factor(p.hitters[i].Hash)
		p.hitSums = append(p.hitSums, p.hitSums[i]+p.hitters[i].Rate)
	}
}

// total returns the load of the whole span.
func (p *profile) total() float64 { return p.sums[cellCount] + p.hitSums[len(p.hitters)] }

// before returns the histogram's load of the hashes below h, with an even
// density inside a cell.
func (p *profile) before(h core.Hash) float64 {
	if h <= p.span.Lo {
		return 0
	}
	off := uint64(h - p.span.Lo)
	i := off / p.step
	if i >= cellCount {
		return p.sums[cellCount]
	}
	return p.sums[i] + p.cells[i]*float64(off%p.step)/float64(p.step)
}

// load returns the load of r.
func (p *profile) load(r core.Range) float64 {
	end := p.sums[cellCount]
	if r.Hi < p.span.Hi {
		end = p.before(r.Hi + 1)
	}
	lo, hi := p.hittersIn(r)
	return max(0, end-p.before(r.Lo)) + p.hitSums[hi] - p.hitSums[lo]
}

// hittersIn returns the half-open index interval of the hitters inside r.
func (p *profile) hittersIn(r core.Range) (int, int) {
	lo := sort.Search(len(p.hitters), func(i int) bool { return p.hitters[i].Hash >= r.Lo })
	hi := sort.Search(len(p.hitters), func(i int) bool { return p.hitters[i].Hash > r.Hi })
	return lo, hi
}

// lowPart returns the greatest part of r that starts at r.Lo with a load of at
// most want, and false when not even one hash fits.
func (p *profile) lowPart(r core.Range, want float64) (core.Range, bool) {
	lo, hi := r.Lo, r.Hi
	if p.load(core.Range{Lo: lo, Hi: lo}) > want {
		return core.Range{}, false
	}
	for lo < hi {
		mid := lo + (hi-lo)/2 + (hi-lo)%2
		if p.load(core.Range{Lo: r.Lo, Hi: mid}) <= want {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return core.Range{Lo: r.Lo, Hi: lo}, true
}

// highPart is lowPart from the upper end of r.
func (p *profile) highPart(r core.Range, want float64) (core.Range, bool) {
	lo, hi := r.Lo, r.Hi
	if p.load(core.Range{Lo: hi, Hi: hi}) > want {
		return core.Range{}, false
	}
	for lo < hi {
		mid := lo + (hi-lo)/2
		if p.load(core.Range{Lo: mid, Hi: r.Hi}) <= want {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return core.Range{Lo: hi, Hi: r.Hi}, true
}
