package placement

import (
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Config holds the limits of a Planner. A load ratio is the load of a member
// divided by its share.
type Config struct {
	// HighRatio is the load ratio above which an owner gives load away, and
	// TargetRatio the one at which it stops. HighRatio stays below the bound of
	// 1.2 by more than the sampling noise of the loads.
	HighRatio, TargetRatio float64
	// RangeMoveRatio is the load ratio above which ranges move when moves of
	// single hashes do not suffice. It is closer to the bound, because a range
	// holds many keys.
	RangeMoveRatio float64
	// OverloadDelay is how long an owner must be above HighRatio. A shorter
	// peak moves nothing, and after the delay the sketch has forgotten most of
	// the load of former hot keys.
	OverloadDelay time.Duration
	// RangeMoveDelay takes the place of OverloadDelay for moves of more than
	// single hashes. By then the loads show which members lost a hot key, so
	// that the new hot keys can move there and no whole ranges must move
	// elsewhere.
	RangeMoveDelay time.Duration
	// FillRatio is the load ratio below which a member is given load after
	// FillDelay, for example after it joined.
	FillRatio float64
	FillDelay time.Duration
	// MaxBalanceMoves bounds the moves for balance that run at the same time,
	// and MaxIncomingMoves those to one member, so that the costs of their
	// warm-ups do not add up.
	MaxBalanceMoves, MaxIncomingMoves int
	// MaxDrainMoves bounds the running moves away from members with weight
	// zero. Such a member must stop serving within 2 s, so that many moves run
	// at once.
	MaxDrainMoves int
	// ChurnBudget is the fraction of the span that may move for balance within
	// ChurnWindow.
	ChurnBudget float64
	ChurnWindow time.Duration
	// Cooldown is the least time between two moves of the same range.
	Cooldown time.Duration
	// MinMemberLoad is the mean load per member below which nothing moves for
	// balance. Fewer requests give more sampling noise than HighRatio allows
	// for.
	MinMemberLoad float64
	// WarmUpCost is the cost of a move: the new owner does the work of the
	// moved load for this time in addition. A move must save more than that
	// within PaybackTime.
	WarmUpCost, PaybackTime time.Duration
	// MoveTimeout is the time after which a move that the table does not show
	// counts as failed.
	MoveTimeout time.Duration
	// ColdRatio is the fraction of its owner's share below which an isolated
	// hash is no longer hot. After ColdMergeDelay it is merged with its
	// neighbours.
	ColdRatio      float64
	ColdMergeDelay time.Duration
	// MaxEntriesPerMember bounds the entries of a table divided by its members.
	MaxEntriesPerMember int
}

// DefaultConfig returns the limits that all deployments use.
func DefaultConfig() Config {
	return Config{
		HighRatio: 1.17, TargetRatio: 1.10, RangeMoveRatio: 1.185, OverloadDelay: 20 * time.Second, RangeMoveDelay: 30 * time.Second,
		FillRatio: 0.25, FillDelay: 2 * time.Minute,
		MaxBalanceMoves: 4, MaxIncomingMoves: 1, MaxDrainMoves: 16,
		ChurnBudget: 0.048, ChurnWindow: time.Minute, Cooldown: time.Minute, MinMemberLoad: 50,
		WarmUpCost: 2 * time.Second, PaybackTime: time.Minute, MoveTimeout: 15 * time.Second,
		ColdRatio: 0.02, ColdMergeDelay: 5 * time.Minute, MaxEntriesPerMember: 64,
	}
}

// recentMove is a move that still runs, or that the cooldown or the churn
// budget still takes into account.
type recentMove struct {
	hashRange core.Range
	to        core.NodeID
	startedAt clock.Instant
	// churn is the fraction of the span that counts against the churn budget.
	// It is zero for moves of unowned ranges and of draining members.
	churn float64
	load  float64
	// running is false once the table shows the new owner or the move has
	// failed.
	running bool
}

// moveSettleTime is how long a moved load counts as at least the planned one.
// The two owners make their exports at different times, so that after a move
// the sum can lack up to half of the load.
const moveSettleTime = 3 * HalfLife

// maxRateCorrection bounds the correction for hashes that became hot recently.
// It applies in full to hashes seen for less than 17 s, whose rates are too
// uncertain for more.
const maxRateCorrection = 1.1

// maxRecentMoves bounds the remembered moves. It exceeds what MaxBalanceMoves
// allows within the churn window when each move takes a second.
const maxRecentMoves = 512

// Planner decides splits, merges and moves for one group. It is not safe for
// concurrent use.
type Planner struct {
	cfg         Config
	recentMoves []recentMove
	// overloadedSince holds since when a member is above HighRatio,
	// rangeMoveRatioSince since when it is above RangeMoveRatio without a
	// break, and underloadedSince since when it is below FillRatio.
	overloadedSince, rangeMoveRatioSince, underloadedSince map[core.NodeID]clock.Instant
	// coldSince holds since when an isolated hash has not been hot.
	coldSince map[core.Hash]clock.Instant
	// hitterSince holds since when a hash has been among the heavy hitters.
	hitterSince map[core.Hash]clock.Instant
	// pendingMoves holds the planned moves of single hashes that exceeded the
	// limit on running moves, at most maxHashMoves. They refer to members by
	// index and are dropped when the table no longer lists pendingMembers.
	pendingMoves   []hashMove
	pendingMembers []core.Member
}

func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, overloadedSince: map[core.NodeID]clock.Instant{},
		underloadedSince: map[core.NodeID]clock.Instant{}, coldSince: map[core.Hash]clock.Instant{}}
}

// planRun is the state of one call of Plan.
type planRun struct {
	*Planner
	*projection
	now   clock.Instant
	table *core.Table
	plan  *Plan
	// balanceMovesLeft is the number of moves for balance that may still start,
	// and churnLeft the fraction of the span that they may still transfer.
	balanceMovesLeft int
	churnLeft        float64
	// oversizedLoad is the load of the oversized hashes of each member that is
	// not dedicated to one. Those hashes leave by isolation, so that their load
	// calls for no other relief.
	oversizedLoad []float64
	// movableHashes caches hashesWorthMoving for each member until the next
	// move is planned.
	movableHashes [][]HeavyHitter
}

// Plan returns the changes to table for the loads of aggregator. The capacities
// are indexed like the members of the table; a missing one counts as weight 1.
// The caller must apply splits and merges at once and start every move. The
// planner considers a move running until the table shows it or MoveTimeout
// passes. An invalid table, or one that reaches outside the span of the
// aggregator, gets an empty plan.
func (p *Planner) Plan(now clock.Instant, table *core.Table, aggregator *LoadAggregator, capacities []Capacity) *Plan {
	if !isPlannable(table, aggregator.span) {
		return &Plan{}
	}
	profile := aggregator.profile(now)
	p.correctRecentRates(now, profile)
	r := &planRun{Planner: p, projection: newProjection(table, profile, capacities), now: now, table: table, plan: &Plan{}}
	r.applyRecentMoves()
	r.plan.Imbalance = r.imbalance()
	r.plan.MinimumImbalance = r.minimumImbalance()
	r.updateThresholdTimes()
	if !slices.Equal(r.pendingMembers, table.Members) {
		r.pendingMoves, r.pendingMembers = nil, table.Members
	}
	r.moveUnownedAndDraining()
	if r.profile.total() >= p.cfg.MinMemberLoad*float64(len(table.Members)) {
		r.isolateOversizedHashes()
		r.relieveOverloaded()
		r.fillUnderloaded()
	}
	r.plan.Merges = r.planMerges()
	r.plan.Splits = r.dividedEntries(table)
	r.plan.PredictedImbalance = r.imbalance()
	return r.plan
}

func isPlannable(table *core.Table, span core.Range) bool {
	if len(table.Members) == 0 || len(table.Entries) == 0 || table.Validate() != nil {
		return false
	}
	return table.Entries[0].Range.Lo >= span.Lo && table.Entries[len(table.Entries)-1].Range.Hi <= span.Hi
}

// correctRecentRates raises the rates of hashes that became hot recently to the
// value that their decaying averages approach, and those of hashes that just
// moved to what they were before. A receiver chosen by the lower rate would be
// above its share a few seconds later.
func (p *Planner) correctRecentRates(now clock.Instant, profile *loadProfile) {
	hitterSince := make(map[core.Hash]clock.Instant, len(profile.hitters))
	for _, h := range profile.hitters {
		since, known := p.hitterSince[h.Hash]
		if !known {
			since = now
		}
		hitterSince[h.Hash] = since
	}
	p.hitterSince = hitterSince
	profile.scaleHitters(func(h core.Hash) float64 {
		halfLives := now.Sub(hitterSince[h]).Seconds() / HalfLife.Seconds()
		return min(maxRateCorrection, 1/(1-math.Exp2(-max(halfLives, 0.1))))
	})
	for _, m := range p.recentMoves {
		if m.hashRange.Lo == m.hashRange.Hi && now.Sub(m.startedAt) < moveSettleTime {
			profile.raiseRate(m.hashRange.Lo, m.load)
		}
	}
	profile.scaleHitters(func(core.Hash) float64 { return 1 })
}

// applyRecentMoves forgets old moves, applies the running ones to the projected
// table and computes how much may still move.
func (r *planRun) applyRecentMoves() {
	r.recentMoves = slices.DeleteFunc(r.recentMoves, func(m recentMove) bool {
		return r.now.Sub(m.startedAt) > max(r.cfg.Cooldown, r.cfg.ChurnWindow)
	})
	r.balanceMovesLeft, r.churnLeft = r.cfg.MaxBalanceMoves, r.cfg.ChurnBudget
	for i := range r.recentMoves {
		m := &r.recentMoves[i]
		if r.now.Sub(m.startedAt) < r.cfg.ChurnWindow {
			r.churnLeft -= m.churn
		}
		destination := slices.IndexFunc(r.table.Members, func(member core.Member) bool { return member.Node == m.to })
		segmentIndex := r.findSegment(m.hashRange.Lo)
		done := segmentIndex >= 0 && r.segments[segmentIndex].owner == destination
		if done && m.hashRange.Lo != m.hashRange.Hi && r.now.Sub(m.startedAt) < moveSettleTime {
			r.loads[destination] += max(0, m.load-r.profile.rangeLoad(m.hashRange))
		}
		if !m.running {
			continue
		}
		if done || destination < 0 || segmentIndex < 0 || !r.segments[segmentIndex].hashRange.Contains(m.hashRange.Hi) || r.now.Sub(m.startedAt) > r.cfg.MoveTimeout {
			m.running = false
			continue
		}
		r.assignSegment(r.extractSegment(segmentIndex, m.hashRange), destination)
		r.balanceMovesLeft--
	}
}

// minimumImbalance returns the rate of the hottest hash divided by the greatest
// share.
func (r *planRun) minimumImbalance() float64 {
	maxRate, maxShare := 0.0, 0.0
	for _, h := range r.profile.hitters {
		maxRate = max(maxRate, h.Rate)
	}
	for _, s := range r.shares {
		maxShare = max(maxShare, s)
	}
	if maxShare == 0 {
		return 0
	}
	return maxRate / maxShare
}

// updateThresholdTimes updates since when members are overloaded or
// underloaded. A member counts as overloaded until it falls below TargetRatio,
// so that noise around HighRatio does not restart the delay.
func (r *planRun) updateThresholdTimes() {
	overloaded, aboveRangeMoveRatio, underloaded := map[core.NodeID]clock.Instant{}, map[core.NodeID]clock.Instant{}, map[core.NodeID]clock.Instant{}
	for i, m := range r.table.Members {
		ratio := r.loadRatio(i)
		since, known := r.overloadedSince[m.Node]
		switch {
		case known && ratio > r.cfg.TargetRatio:
			overloaded[m.Node] = since
		case ratio > r.cfg.HighRatio:
			overloaded[m.Node] = r.now
		}
		if ratio > r.cfg.RangeMoveRatio {
			aboveRangeMoveRatio[m.Node] = sinceOrNow(r.rangeMoveRatioSince, m.Node, r.now)
		}
		if r.shares[i] > 0 && ratio < r.cfg.FillRatio {
			underloaded[m.Node] = sinceOrNow(r.underloadedSince, m.Node, r.now)
		}
	}
	r.overloadedSince, r.rangeMoveRatioSince, r.underloadedSince = overloaded, aboveRangeMoveRatio, underloaded
}

// sinceOrNow returns the time recorded for a node, or now when there is none.
func sinceOrNow(since map[core.NodeID]clock.Instant, node core.NodeID, now clock.Instant) clock.Instant {
	if at, ok := since[node]; ok {
		return at
	}
	return now
}

// needsRangeMove reports whether a member must be relieved by moves of ranges.
// A short peak above RangeMoveRatio is not enough.
func (r *planRun) needsRangeMove(member int) bool {
	since, ok := r.rangeMoveRatioSince[r.table.Members[member].Node]
	return ok && r.overloadedFor(member, r.cfg.RangeMoveDelay) && r.now.Sub(since) >= r.cfg.RangeMoveDelay/2 && r.loadRatio(member) > r.cfg.RangeMoveRatio
}

// overloadedFor reports whether a member has been overloaded for at least
// delay.
func (r *planRun) overloadedFor(member int, delay time.Duration) bool {
	since, ok := r.overloadedSince[r.table.Members[member].Node]
	return ok && r.now.Sub(since) >= delay
}

// inCooldown reports whether any part of a range moved too recently to move
// again.
func (r *planRun) inCooldown(hashRange core.Range) bool {
	return slices.ContainsFunc(r.recentMoves, func(m recentMove) bool {
		return m.hashRange.Overlaps(hashRange) && r.now.Sub(m.startedAt) < r.cfg.Cooldown
	})
}

// mayStartMove reports whether the limits allow another move for balance that
// transfers the given fraction of the span. When they do not, it counts a
// deferred move.
func (r *planRun) mayStartMove(spanFraction float64) bool {
	crowded := len(r.segments) >= r.cfg.MaxEntriesPerMember*len(r.table.Members)
	if r.balanceMovesLeft > 0 && spanFraction <= r.churnLeft && !crowded && len(r.recentMoves) < maxRecentMoves {
		return true
	}
	r.plan.DeferredMoves++
	return false
}

// planMove adds a move of segment i to the plan, with member to as the new
// owner.
func (r *planRun) planMove(i, to int, reason Reason) {
	s := r.segments[i]
	r.assignSegment(i, to)
	r.movableHashes = nil
	fraction := r.spanFraction(s.hashRange)
	r.plan.Moves = append(r.plan.Moves, Move{Range: s.hashRange, From: s.originalOwner, To: to, Load: s.load, Reason: reason})
	r.plan.MovedSpanFraction += fraction
	m := recentMove{hashRange: s.hashRange, to: r.table.Members[to].Node, startedAt: r.now, churn: fraction, load: s.load, running: true}
	if reason == ReasonUnowned || reason == ReasonDrain {
		m.churn = 0 // the churn budget must not delay recovery of availability
	} else {
		r.balanceMovesLeft--
		r.churnLeft -= fraction
	}
	if len(r.recentMoves) == maxRecentMoves {
		r.recentMoves = slices.Delete(r.recentMoves, 0, 1)
	}
	r.recentMoves = append(r.recentMoves, m)
}
