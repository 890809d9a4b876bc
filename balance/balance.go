// Package balance keeps the load of a group's members even. Each node counts
// the load of its keys and sends a small export to its coordinator. The
// coordinator plans moves and asks the lease protocol to carry them out.
package balance

import (
	"context"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
	"marjoramshore.example/placement"
	"marjoramshore.example/ring"
)

const (
	// inboxCapacity bounds the finished requests and received exports that wait
	// for the goroutine of Run. The ring drops the oldest; lost requests only
	// make the sketch less exact.
	inboxCapacity = 1024
	// exportInterval keeps the exports of nine members below 0.5 KB a second.
	exportInterval = 5 * time.Second
	// maxMovesPerPlan bounds the moves that are requested at a time.
	maxMovesPerPlan = 4
)

// Config connects a Balancer with its node.
type Config struct {
	Clock clock.Clock
	Self  core.NodeID
	// Lease returns the newest lease snapshot, or nil when there is none.
	Lease func() *ownership.Snapshot
	// HashSpan returns the part of the hash space that the node's group owns.
	HashSpan func() core.Range
	// SendExport passes an encoded load export to the coordinator. It must not
	// block.
	SendExport func(to core.Member, export []byte)
	// RequestMove asks the lease protocol for a planned move.
	RequestMove func(ctx context.Context, r core.Range, to ownership.Run) error
	// OnMoveRequested is called for each move that was requested. OnOversizedHash
	// is called once for each hash with more load than the share of any member,
	// and again only after a plan without such a hash. Both run on the goroutine
	// of Run.
	OnMoveRequested func(r core.Range, to core.Member, reason placement.Reason)
	OnOversizedHash func(oversized placement.OversizedHash)
	Planner         placement.Config
}

// message is one finished request, or the export of another member when export
// is not nil.
type message struct {
	hash   core.Hash
	cost   float64
	from   core.NodeID
	export []byte
}

// Balancer measures the load of a node and, on a coordinator, requests the
// moves that balance the load of the group. Record, ReceiveExport and Stats may
// be called from any goroutine.
type Balancer struct {
	cfg   Config
	inbox *ring.Ring[message]

	// Owned by Run's goroutine.
	span           core.Range
	sketch         *placement.Sketch
	aggregator     *placement.LoadAggregator
	planner        *placement.Planner
	reportedHashes map[core.Hash]bool // cleared once a plan has no oversized hash
}

func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, inbox: ring.New[message]("placement", inboxCapacity, ring.DropOldest)}
}

// Record counts one request of the given cost. It never blocks.
func (b *Balancer) Record(h core.Hash, cost float64) {
	_ = b.inbox.Push(context.Background(), message{hash: h, cost: cost})
}

// ReceiveExport queues the load export of another member of the group. It takes
// over export and never blocks.
func (b *Balancer) ReceiveExport(from core.NodeID, export []byte) {
	_ = b.inbox.Push(context.Background(), message{from: from, export: export})
}

// Stats returns the counters of the ring that holds waiting requests and
// exports.
func (b *Balancer) Stats() ring.Stats { return b.inbox.Stats() }

// Run handles requests and exports until ctx ends. It must be called once, in a
// goroutine of its own.
func (b *Balancer) Run(ctx context.Context) {
	ring.Consume(ctx, b.inbox, exportInterval, b.handleMessage, func() { b.exportAndPlan(ctx) })
}

// ensureSketch creates the sketch once the span of the group is known, and
// reports whether there is one.
func (b *Balancer) ensureSketch() bool {
	if b.sketch != nil {
		return true
	}
	if b.cfg.Lease() == nil {
		return false
	}
	b.span = b.cfg.HashSpan()
	b.sketch = placement.NewSketch(b.span)
	b.resetCoordinatorState()
	return true
}

// resetCoordinatorState drops the state of an earlier term as coordinator.
func (b *Balancer) resetCoordinatorState() {
	b.aggregator, b.planner = nil, nil
	b.reportedHashes = map[core.Hash]bool{}
}

func (b *Balancer) handleMessage(m message) {
	if !b.ensureSketch() {
		return
	}
	switch {
	case m.export == nil:
		b.sketch.Record(b.cfg.Clock.Now(), m.hash, m.cost)
	case b.aggregator != nil:
		// A malformed export is dropped; the next one replaces it.
		_ = b.aggregator.ReplaceExport(b.cfg.Clock.Now(), m.from, m.export)
	}
}

// exportAndPlan sends the export to the coordinator. On the coordinator it
// plans and requests moves instead.
func (b *Balancer) exportAndPlan(ctx context.Context) {
	snapshot := b.cfg.Lease()
	if snapshot == nil || snapshot.Table == nil || !b.ensureSketch() {
		return
	}
	now := b.cfg.Clock.Now()
	export := b.sketch.Export(now)
	if !snapshot.IsCoordinator {
		if b.aggregator != nil {
			b.resetCoordinatorState()
		}
		if snapshot.Coordinator.Address != "" {
			b.cfg.SendExport(snapshot.Coordinator, export)
		}
		return
	}
	if b.aggregator == nil {
		b.aggregator, b.planner = placement.NewLoadAggregator(b.span), placement.NewPlanner(b.cfg.Planner)
	}
	_ = b.aggregator.ReplaceExport(now, b.cfg.Self, export)
	b.requestMoves(ctx, snapshot.Table)
}

// requestMoves requests the moves of one plan and reports new oversized hashes.
// All members have the same weight, because the lease protocol itself moves
// ranges for drains and joins.
func (b *Balancer) requestMoves(ctx context.Context, table *core.Table) {
	capacities := make([]placement.Capacity, len(table.Members))
	for i := range capacities {
		capacities[i].Weight = 1
	}
	plan := b.planner.Plan(b.cfg.Clock.Now(), table, b.aggregator, capacities)
	for _, oversized := range plan.OversizedHashes {
		if !b.reportedHashes[oversized.Hash] {
			b.reportedHashes[oversized.Hash] = true
			b.cfg.OnOversizedHash(oversized)
		}
	}
	if len(plan.OversizedHashes) == 0 {
		clear(b.reportedHashes)
	}
	for i, m := range plan.Moves {
		if i == maxMovesPerPlan || m.From == core.NoOwner {
			break
		}
		to := table.Members[m.To]
		if b.cfg.RequestMove(ctx, m.Range, ownership.RunOf(to)) == nil {
			b.cfg.OnMoveRequested(m.Range, to, m.Reason)
		}
	}
}
