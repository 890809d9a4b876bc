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
	// maxReports bounds the members whose exports are kept. A group holds 10,
	// and the exports of members that were just replaced stay until they
	// expire.
	maxReports = 128
	// reportMaxAge is how long an export counts. The load of a lost member is
	// still needed to divide its ranges among the others.
	reportMaxAge = time.Minute
)

// LoadAggregator joins the latest exports of a group's members. After a move
// both owners report the hash for a while; their decayed rates add up to its
// load. It is not safe for concurrent use.
type LoadAggregator struct {
	span    core.Range
	reports map[core.NodeID]*memberReport
}

// NewLoadAggregator returns an aggregator without exports for a group that owns
// span.
func NewLoadAggregator(span core.Range) *LoadAggregator {
	return &LoadAggregator{span: span, reports: make(map[core.NodeID]*memberReport)}
}

// ReplaceExport stores the export of a node in place of its previous one. It
// returns an *ExportError when the export is malformed, was made for another
// span, or comes from one member too many.
func (a *LoadAggregator) ReplaceExport(now clock.Instant, node core.NodeID, export []byte) error {
	report, err := decodeExport(a.span, export)
	if err != nil {
		return err
	}
	a.dropExpired(now)
	if a.reports[node] == nil && len(a.reports) >= maxReports {
		return &ExportError{Fault: FaultTooManyMembers}
	}
	report.receivedAt = now
	a.reports[node] = report
	return nil
}

// NodeRate returns the load in cost per second that a node last reported, or
// zero.
func (a *LoadAggregator) NodeRate(node core.NodeID) float64 {
	if report := a.reports[node]; report != nil {
		return report.totalRate
	}
	return 0
}

func (a *LoadAggregator) dropExpired(now clock.Instant) {
	for node, report := range a.reports {
		if now.Sub(report.receivedAt) > reportMaxAge {
			delete(a.reports, node)
		}
	}
}

// emptySpanLoad is spread evenly over a span without any load, so that its
// first assignment divides it evenly. It is below any useful MinMemberLoad.
const emptySpanLoad = 1e-3

// loadProfile is the load of a span at one instant, prepared for range queries.
// Its rates are in cost per second.
type loadProfile struct {
	span      core.Range
	cellWidth uint64
	histogram [cellCount]float64
	// cellSums[i] is the load of the histogram cells before cell i.
	cellSums [cellCount + 1]float64
	hitters  []HeavyHitter // ordered by hash
	// hitterSums[i] is the load of the heavy hitters before hitter i.
	hitterSums []float64
}

// profile returns the sum of all exports that have not expired.
func (a *LoadAggregator) profile(now clock.Instant) *loadProfile {
	a.dropExpired(now)
	profile := &loadProfile{span: a.span, cellWidth: cellWidthOf(a.span)}
	nodes := make([]core.NodeID, 0, len(a.reports))
	for node := range a.reports {
		nodes = append(nodes, node)
	}
	slices.Sort(nodes) // the fixed order of floating-point additions makes plans reproducible
	var hitters []HeavyHitter
	for _, node := range nodes {
		report := a.reports[node]
		for i, load := range report.histogram {
			profile.histogram[i] += load
		}
		hitters = append(hitters, report.hitters...)
	}
	if len(hitters) == 0 && slices.Max(profile.histogram[:]) == 0 {
		for i := range profile.histogram {
			profile.histogram[i] = emptySpanLoad / cellCount
		}
	}
	for i, load := range profile.histogram {
		profile.cellSums[i+1] = profile.cellSums[i] + load
	}
	slices.SortStableFunc(hitters, func(a, b HeavyHitter) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, h := range hitters {
		if n := len(profile.hitters); n > 0 && profile.hitters[n-1].Hash == h.Hash {
			profile.hitters[n-1].Rate += h.Rate
			continue
		}
		profile.hitters = append(profile.hitters, h)
	}
	profile.scaleHitters(func(core.Hash) float64 { return 1 })
	return profile
}

// raiseRate raises the rate of a hash to at least rate. The sums are stale
// until the next call of scaleHitters.
func (p *loadProfile) raiseRate(h core.Hash, rate float64) {
	i, found := slices.BinarySearchFunc(p.hitters, h, func(hitter HeavyHitter, h core.Hash) int { return cmp.Compare(hitter.Hash, h) })
	if !found {
		p.hitters = slices.Insert(p.hitters, i, HeavyHitter{Hash: h})
	}
	p.hitters[i].Rate = max(p.hitters[i].Rate, rate)
}

// scaleHitters multiplies the rate of each heavy hitter and computes their sums
// anew.
func (p *loadProfile) scaleHitters(factor func(core.Hash) float64) {
	p.hitterSums = append(p.hitterSums[:0], 0)
	for i := range p.hitters {
		p.hitters[i].Rate *= factor(p.hitters[i].Hash)
		p.hitterSums = append(p.hitterSums, p.hitterSums[i]+p.hitters[i].Rate)
	}
}

func (p *loadProfile) total() float64 { return p.cellSums[cellCount] + p.hitterSums[len(p.hitters)] }

// histogramLoadBelow returns the histogram's load of the hashes below h. It
// takes the load of a cell as evenly spread.
func (p *loadProfile) histogramLoadBelow(h core.Hash) float64 {
	if h <= p.span.Lo {
		return 0
	}
	offset := uint64(h - p.span.Lo)
	cell := offset / p.cellWidth
	if cell >= cellCount {
		return p.cellSums[cellCount]
	}
	return p.cellSums[cell] + p.histogram[cell]*float64(offset%p.cellWidth)/float64(p.cellWidth)
}

func (p *loadProfile) rangeLoad(r core.Range) float64 {
	upper := p.cellSums[cellCount]
	if r.Hi < p.span.Hi {
		upper = p.histogramLoadBelow(r.Hi + 1)
	}
	lo, hi := p.hitterIndexes(r)
	return max(0, upper-p.histogramLoadBelow(r.Lo)) + p.hitterSums[hi] - p.hitterSums[lo]
}

// hitterIndexes returns the half-open interval of the indexes of the heavy
// hitters in r.
func (p *loadProfile) hitterIndexes(r core.Range) (int, int) {
	lo := sort.Search(len(p.hitters), func(i int) bool { return p.hitters[i].Hash >= r.Lo })
	hi := sort.Search(len(p.hitters), func(i int) bool { return p.hitters[i].Hash > r.Hi })
	return lo, hi
}

// lowPartWithin returns the longest part of r that starts at r.Lo and has a
// load of at most maxLoad, or false when not even one hash fits.
func (p *loadProfile) lowPartWithin(r core.Range, maxLoad float64) (core.Range, bool) {
	lo, hi := r.Lo, r.Hi
	if p.rangeLoad(core.Range{Lo: lo, Hi: lo}) > maxLoad {
		return core.Range{}, false
	}
	for lo < hi {
		mid := lo + (hi-lo)/2 + (hi-lo)%2
		if p.rangeLoad(core.Range{Lo: r.Lo, Hi: mid}) <= maxLoad {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return core.Range{Lo: r.Lo, Hi: lo}, true
}

// highPartWithin is lowPartWithin for the part that ends at r.Hi.
func (p *loadProfile) highPartWithin(r core.Range, maxLoad float64) (core.Range, bool) {
	lo, hi := r.Lo, r.Hi
	if p.rangeLoad(core.Range{Lo: hi, Hi: hi}) > maxLoad {
		return core.Range{}, false
	}
	for lo < hi {
		mid := lo + (hi-lo)/2
		if p.rangeLoad(core.Range{Lo: mid, Hi: r.Hi}) <= maxLoad {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return core.Range{Lo: hi, Hi: r.Hi}, true
}
