package placement

import (
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Config holds the limits of a Planner.
type Config struct {
	// High is the ratio of load to share above which an owner gives load away,
	// and Target the ratio at which it stops. High stays below the bound of
	// 1.2 by more than the sampling noise of the loads.
	High, Target float64
	// RangeHigh is the ratio above which ranges move when no single hashes
	// help. It is closer to the bound, because a range holds many keys.
	RangeHigh float64
	// Hold is how long an owner must be above High. A swing that passes sooner
	// moves nothing, and the sketch has forgotten most of the old hot keys.
	Hold time.Duration
	// RangeHold takes the place of Hold for moves of more than single hashes.
	// After it, members that lost a hot key show their room, so that the new
	// hot keys can move there instead of whole ranges elsewhere.
	RangeHold time.Duration
	// FillBelow is the ratio below which a member is given load after
	// FillHold, for example after it joined.
	FillBelow float64
	FillHold  time.Duration
	// MaxMoves bounds the moves that run at the same time, and MaxIncoming
	// those toward one member, so that warm-ups do not add up.
	MaxMoves, MaxIncoming int
	// MaxDrainMoves bounds moves that empty a member that takes no work. It
	// must stop serving within 2 s, so that many run at once.
	MaxDrainMoves int
	// Churn is the part of the span that may move within ChurnWindow for the
	// sake of balance.
	Churn       float64
	ChurnWindow time.Duration
	// Cooldown is how long a moved range stays where it is.
	Cooldown time.Duration
	// MinLoad is the load per member below which nothing moves for balance.
	// Fewer requests leave more sampling noise than High allows for.
	MinLoad float64
	// WarmUp is the cost of a move, as the seconds of the moved load that the
	// new owner spends in addition. A move must save more within Horizon.
	WarmUp, Horizon time.Duration
	// MoveTimeout is when a move that the table does not show counts as failed.
	MoveTimeout time.Duration
	// ColdShare is the part of an owner's share below which an isolated hash
	// is no longer hot. After ColdAfter it is merged back.
	ColdShare float64
	ColdAfter time.Duration
	// MaxEntries bounds the entries of a table per member.
	MaxEntries int
}

// DefaultConfig returns the limits that serve both deployments.
func DefaultConfig() Config {
	return Config{
		High: 1.17, Target: 1.10, RangeHigh: 1.185, Hold: 20 * time.Second, RangeHold: 30 * time.Second,
		FillBelow: 0.25, FillHold: 2 * time.Minute,
		MaxMoves: 4, MaxIncoming: 1, MaxDrainMoves: 16,
		Churn: 0.048, ChurnWindow: time.Minute, Cooldown: time.Minute, MinLoad: 50,
		WarmUp: 2 * time.Second, Horizon: time.Minute, MoveTimeout: 15 * time.Second,
		ColdShare: 0.02, ColdAfter: 5 * time.Minute, MaxEntries: 64,
	}
}

// moved is a move of the recent past.
type moved struct {
	r     core.Range
	to    core.NodeID
	at    clock.Instant
	width float64
	load  float64
	// running is false once the table shows the new owner.
	running bool
}

// settleTime is how long a moved load counts at least as it was planned. The
// exports of the two owners are taken at different times, so that their sum
// can miss up to half of it after a move.
const settleTime = 3 * HalfLife

// maxGrowth bounds the correction for hashes that became hot recently. It is
// reached 17 s after a hash appeared; rates of younger ones are too uncertain.
const maxGrowth = 1.1

// maxRecent bounds the remembered moves. It exceeds what MaxMoves allows
// within the churn window when each move takes a second.
const maxRecent = 512

// Planner decides splits, merges and moves for one group. It is not safe for
// concurrent use.
type Planner struct {
	cfg    Config
	recent []moved
	// over, steep and under hold since when a member is above High, above
	// RangeHigh without a break, or below FillBelow.
	over, steep, under map[core.NodeID]clock.Instant
	// cold holds since when an isolated hash has not been hot.
	cold map[core.Hash]clock.Instant
	// seen holds since when each hash has been among the hitters.
	seen map[core.Hash]clock.Instant
	// queue is the rest of a solution that exceeded MaxMoves, at most maxChain
	// steps for the members of queueMembers.
	queue        []step
	queueMembers []core.Member
}

// NewPlanner returns a planner with the given limits.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, over: map[core.NodeID]clock.Instant{},
		under: map[core.NodeID]clock.Instant{}, cold: map[core.Hash]clock.Instant{}}
}

// run is one call of Plan.
type run struct {
	*Planner
	*model
	now   clock.Instant
	table *core.Table
	plan  *Plan
	// slots is the number of moves for balance that may still start.
	slots int
	churn float64
	// giant is the load of the giants that each member still holds beside
	// other work. They leave on their own, so that it counts for no relief.
	giant []float64
	// hot caches the movable hashes of each member until something moves.
	hot [][]Hitter
}

// Plan returns the changes for table under the given loads. Capacities are
// indexed like the table's members; a missing one counts as weight 1. The
// caller applies splits and merges at once and starts every move. The planner
// considers a move running until the table shows it or MoveTimeout passes. A
// table that is not valid, or reaches outside the span of the loads, gets an
// empty plan.
func (p *Planner) Plan(now clock.Instant, table *core.Table, loads *LoadAggregator, capacities []Capacity) *Plan {
	if !plannable(table, loads.span) {
		return &Plan{}
	}
	prof := loads.profile(now)
	p.mature(now, prof)
	r := &run{Planner: p, model: newModel(table, prof, capacities), now: now, table: table, plan: &Plan{}}
	r.settle()
	r.plan.Imbalance = r.imbalance()
	r.plan.Floor = r.floor()
	r.watch()
	if !slices.Equal(r.queueMembers, table.Members) {
		r.queue, r.queueMembers = nil, table.Members
	}
	r.rescue()
	if r.prof.total() >= p.cfg.MinLoad*float64(len(table.Members)) {
		r.isolateGiants()
		r.relieve()
		r.fill()
	}
	r.plan.Merges = r.merges()
	r.plan.Splits = r.splits(table)
	r.plan.Predicted = r.imbalance()
	return r.plan
}

func plannable(t *core.Table, span core.Range) bool {
	if len(t.Members) == 0 || len(t.Entries) == 0 || t.Validate() != nil {
		return false
	}
	return t.Entries[0].Range.Lo >= span.Lo && t.Entries[len(t.Entries)-1].Range.Hi <= span.Hi
}

// mature raises the rates of hashes that became hot a short while ago to where
// their sketches are heading, and those of hashes that just moved to what they
// were. A host chosen by the lower rate would be above its share a few seconds
// later.
func (p *Planner) mature(now clock.Instant, prof *profile) {
	seen := make(map[core.Hash]clock.Instant, len(prof.hitters))
	for _, h := range prof.hitters {
		since, was := p.seen[h.Hash]
		if !was {
			since = now
		}
		seen[h.Hash] = since
	}
	p.seen = seen
	prof.scaleHitters(func(h core.Hash) float64 {
		age := now.Sub(seen[h]).Seconds() / HalfLife.Seconds()
		return min(maxGrowth, 1/(1-math.Exp2(-max(age, 0.1))))
	})
	for _, m := range p.recent {
		if m.r.Lo == m.r.Hi && now.Sub(m.at) < settleTime {
			prof.atLeast(m.r.Lo, m.load)
		}
	}
	prof.scaleHitters(func(core.Hash) float64 { return 1 })
}

// settle forgets old moves, applies running ones to the model and computes how
// much may still move.
func (r *run) settle() {
	r.recent = slices.DeleteFunc(r.recent, func(m moved) bool {
		return r.now.Sub(m.at) > max(r.cfg.Cooldown, r.cfg.ChurnWindow)
	})
	r.slots, r.churn = r.cfg.MaxMoves, r.cfg.Churn
	for i := range r.recent {
		m := &r.recent[i]
		if r.now.Sub(m.at) < r.cfg.ChurnWindow {
			r.churn -= m.width
		}
		to := slices.IndexFunc(r.table.Members, func(x core.Member) bool { return x.Node == m.to })
		at := r.find(m.r.Lo)
		done := at >= 0 && r.segs[at].owner == to
		if done && m.r.Lo != m.r.Hi && r.now.Sub(m.at) < settleTime {
			r.load[to] += max(0, m.load-r.prof.load(m.r))
		}
		if !m.running {
			continue
		}
		if done || to < 0 || at < 0 || !r.segs[at].r.Contains(m.r.Hi) || r.now.Sub(m.at) > r.cfg.MoveTimeout {
			m.running = false
			continue
		}
		r.assign(r.carve(at, m.r), to)
		r.slots--
	}
}

// floor returns the ratio of the hottest hash to the greatest share.
func (r *run) floor() float64 {
	hot, share := 0.0, 0.0
	for _, h := range r.prof.hitters {
		hot = max(hot, h.Rate)
	}
	for _, s := range r.share {
		share = max(share, s)
	}
	if share == 0 {
		return 0
	}
	return hot / share
}

// watch updates since when members are above or below their share. An owner
// leaves the list only below Target, so that noise around High does not start
// the time anew.
func (r *run) watch() {
	over, steep, under := map[core.NodeID]clock.Instant{}, map[core.NodeID]clock.Instant{}, map[core.NodeID]clock.Instant{}
	for o, m := range r.table.Members {
		ratio := r.ratio(o)
		since, was := r.over[m.Node]
		switch {
		case was && ratio > r.cfg.Target:
			over[m.Node] = since
		case ratio > r.cfg.High:
			over[m.Node] = r.now
		}
		if ratio > r.cfg.RangeHigh {
			steep[m.Node] = first(r.steep, m.Node, r.now)
		}
		if r.share[o] > 0 && ratio < r.cfg.FillBelow {
			under[m.Node] = first(r.under, m.Node, r.now)
		}
	}
	r.over, r.steep, r.under = over, steep, under
}

// first returns the time that a map holds for a node, or now.
func first(since map[core.NodeID]clock.Instant, node core.NodeID, now clock.Instant) clock.Instant {
	if at, ok := since[node]; ok {
		return at
	}
	return now
}

// ranged reports whether a member needs relief by ranges. A short peak of the
// measured ratio is not enough.
func (r *run) ranged(o int) bool {
	since, ok := r.steep[r.table.Members[o].Node]
	return ok && r.held(o, r.cfg.RangeHold) && r.now.Sub(since) >= r.cfg.RangeHold/2 && r.ratio(o) > r.cfg.RangeHigh
}

// held reports whether a member has been above High for the given time.
func (r *run) held(o int, d time.Duration) bool {
	since, ok := r.over[r.table.Members[o].Node]
	return ok && r.now.Sub(since) >= d
}

// resting reports whether a range moved too recently to move again.
func (r *run) resting(x core.Range) bool {
	return slices.ContainsFunc(r.recent, func(m moved) bool {
		return m.r.Overlaps(x) && r.now.Sub(m.at) < r.cfg.Cooldown
	})
}

// allowed reports whether a move for balance of the given width may start, and
// counts it as deferred otherwise.
func (r *run) allowed(width float64) bool {
	crowded := len(r.segs) >= r.cfg.MaxEntries*len(r.table.Members)
	if r.slots > 0 && width <= r.churn && !crowded && len(r.recent) < maxRecent {
		return true
	}
	r.plan.Deferred++
	return false
}

// move records the move of segment i.
func (r *run) move(i, to int, why Reason) {
	s := r.segs[i]
	r.assign(i, to)
	r.hot = nil
	width := r.part(s.r)
	r.plan.Moves = append(r.plan.Moves, Move{Range: s.r, From: s.from, To: to, Load: s.load, Reason: why})
	r.plan.KeySpaceMoved += width
	m := moved{r: s.r, to: r.table.Members[to].Node, at: r.now, width: width, load: s.load, running: true}
	if why == ReasonUnowned || why == ReasonDrain {
		m.width = 0 // availability is not limited by the churn budget
	} else {
		r.slots--
		r.churn -= width
	}
	if len(r.recent) == maxRecent {
		r.recent = slices.Delete(r.recent, 0, 1)
	}
	r.recent = append(r.recent, m)
}
