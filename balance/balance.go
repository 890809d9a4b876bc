// Package balance runs placement as a duty: a node counts the load of its keys
// and sends a small export to its coordinator; the coordinator plans moves that
// even the load out and asks the lease protocol to carry them out.
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
	// samples bounds finished requests on their way to the sketch. Lost ones
	// only make the sketch coarser.
	samples = 1024
	// exportInterval keeps the exports of nine members below 0.5 KB a second.
	exportInterval = 5 * time.Second
	// moveLimit bounds the moves asked for at a time.
	moveLimit = 4
)

// Config joins a Duty to the node.
type Config struct {
	Clock clock.Clock
	Self  core.NodeID
	// Lease returns the newest lease snapshot, or nil.
	Lease func() *ownership.Snapshot
	// Space returns the part of the key space of the node's group.
	Space func() core.Range
	// Send passes an export on to the coordinator. It must not block.
	Send func(to core.Member, export []byte)
	// Move asks for a planned move.
	Move func(ctx context.Context, r core.Range, to ownership.Run) error
	// Moved is told of each move that was asked for, Limited of a hash that is
	// hotter than one owner's share.
	Moved   func(r core.Range, to core.Member, why placement.Reason)
	Limited func(l placement.Limit)
	Planner placement.Config
}

// message is one sample, or the export of another member.
type message struct {
	hash   core.Hash
	cost   float64
	from   core.NodeID
	export []byte
}

// Duty owns the sketch of a node and, on a coordinator, the loads of the group.
type Duty struct {
	cfg Config
	in  *ring.Ring[message]

	// Owned by Run's goroutine.
	space   core.Range
	sketch  *placement.Sketch
	loads   *placement.Loads
	planner *placement.Planner
	limited map[core.Hash]bool // bounded by the hitters of one plan
}

// New makes a Duty. Run starts it.
func New(cfg Config) *Duty {
	return &Duty{cfg: cfg, in: ring.New[message]("placement", samples, ring.DropOldest)}
}

// Record counts one request. It never blocks.
func (d *Duty) Record(h core.Hash, cost float64) {
	_ = d.in.Push(context.Background(), message{hash: h, cost: cost})
}

// Merge takes the export of another member of the group.
func (d *Duty) Merge(from core.NodeID, export []byte) {
	_ = d.in.Push(context.Background(), message{from: from, export: export})
}

// Stats returns the counters of the duty's ring.
func (d *Duty) Stats() ring.Stats { return d.in.Stats() }

// Run is the duty's goroutine. It returns when ctx ends.
func (d *Duty) Run(ctx context.Context) {
	ring.Consume(ctx, d.in, exportInterval, d.handle, func() { d.tick(ctx) })
}

// prepare makes the sketch once the group's part of the key space is known.
func (d *Duty) prepare() bool {
	if d.sketch != nil {
		return true
	}
	if d.cfg.Lease() == nil {
		return false
	}
	d.space = d.cfg.Space()
	d.sketch = placement.NewSketch(d.space)
	d.restart()
	return true
}

// restart forgets what a former term as coordinator knew.
func (d *Duty) restart() {
	d.loads, d.planner = nil, nil
	d.limited = map[core.Hash]bool{}
}

func (d *Duty) handle(m message) {
	if !d.prepare() {
		return
	}
	switch {
	case m.export == nil:
		d.sketch.Record(d.cfg.Clock.Now(), m.hash, m.cost)
	case d.loads != nil:
		// A malformed export is dropped; the next one replaces it.
		_ = d.loads.Merge(d.cfg.Clock.Now(), m.from, m.export)
	}
}

func (d *Duty) tick(ctx context.Context) {
	s := d.cfg.Lease()
	if s == nil || s.Table == nil || !d.prepare() {
		return
	}
	now := d.cfg.Clock.Now()
	export := d.sketch.Export(now)
	if !s.Coordinates {
		if d.loads != nil {
			d.restart()
		}
		if s.Coordinator.Address != "" {
			d.cfg.Send(s.Coordinator, export)
		}
		return
	}
	if d.loads == nil {
		d.loads, d.planner = placement.NewLoads(d.space), placement.NewPlanner(d.cfg.Planner)
	}
	_ = d.loads.Merge(now, d.cfg.Self, export)
	d.plan(ctx, s.Table)
}

// plan asks for the moves of one plan. Members weigh the same: drains and joins
// are the lease protocol's own moves.
func (d *Duty) plan(ctx context.Context, t *core.Table) {
	capacities := make([]placement.Capacity, len(t.Members))
	for i := range capacities {
		capacities[i].Weight = 1
	}
	p := d.planner.Plan(d.cfg.Clock.Now(), t, d.loads, capacities)
	for _, l := range p.Limits {
		if !d.limited[l.Hash] {
			d.limited[l.Hash] = true
			d.cfg.Limited(l)
		}
	}
	if len(p.Limits) == 0 {
		clear(d.limited)
	}
	for i, m := range p.Moves {
		if i == moveLimit || m.From == core.NoOwner {
			break
		}
		to := t.Members[m.To]
		if d.cfg.Move(ctx, m.Range, ownership.RunOf(to)) == nil {
			d.cfg.Moved(m.Range, to, m.Reason)
		}
	}
}
