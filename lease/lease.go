// Package lease runs the ownership state machine of one node as a duty: it
// carries messages and store results in, carries effects out, and publishes
// the lease that the gate and the router read. It decides nothing itself.
package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
)

// Sender sends messages to other members. Send must not block; a message that
// cannot be sent is dropped, because the protocol repeats what matters.
type Sender interface {
	Send(to core.Member, m ownership.Message)
}

// Records reads and writes the group record. Both calls may block.
type Records interface {
	Get(ctx context.Context) ownership.StoreRead
	Put(ctx context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.StorePut
}

// Config joins a Duty to its surroundings.
type Config struct {
	Ownership ownership.Config
	Clock     clock.Clock
	Sender    Sender
	Records   Records
	// HandOver sends the at-most-once records of a range to its next owner
	// and returns the hashes that stay because of a long exchange in flight.
	// It may block.
	HandOver func(ctx context.Context, h ownership.HandOver) (keep []core.Hash, err error)
	// Publish is called with each new snapshot, on the duty's goroutine.
	Publish func(*ownership.Snapshot)
	// Journal is called with each event, on the duty's goroutine.
	Journal func(ownership.Event)
	// StoreTimeout bounds one call of Records.
	StoreTimeout time.Duration
}

const (
	// inputs holds a few heartbeat rounds of a full group.
	inputs = 256
	// inputWait is how long a producer waits for room; the sender of a lost
	// message repeats it at the next heartbeat.
	inputWait = 200 * time.Millisecond
	// workers bounds concurrent store calls and hand-overs. The state machine
	// has one read and one write outstanding and at most 16 moves.
	workers = 18
)

// Duty owns one ownership.Node.
type Duty struct {
	cfg      Config
	node     *ownership.Node
	in       *ring.Ring[ownership.Input]
	pool     *ants.Pool
	snapshot atomic.Pointer[ownership.Snapshot]
}

// New makes a Duty. Run starts it.
func New(cfg Config) (*Duty, error) {
	if cfg.StoreTimeout <= 0 {
		cfg.StoreTimeout = 3 * time.Second
	}
	n, err := ownership.New(cfg.Ownership, cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "lease: worker pool")
	}
	return &Duty{cfg: cfg, node: n, pool: pool, in: ring.New[ownership.Input]("lease", inputs, ring.Block)}, nil
}

// Snapshot returns the newest published snapshot, or nil before the first.
func (d *Duty) Snapshot() *ownership.Snapshot { return d.snapshot.Load() }

// Stats returns the counters of the duty's ring.
func (d *Duty) Stats() ring.Stats { return d.in.Stats() }

// Input hands one input to the state machine. It fails with *ring.FullError
// when the duty is behind for longer than inputWait.
func (d *Duty) Input(ctx context.Context, in ownership.Input) error {
	ctx, cancel := context.WithTimeout(ctx, inputWait)
	defer cancel()
	return d.in.Push(ctx, in)
}

// Run is the duty's goroutine. It returns when ctx ends.
func (d *Duty) Run(ctx context.Context) {
	defer d.pool.Release()
	timer := time.NewTimer(0)
	defer timer.Stop()
	// A snapshot may make Publish end ctx; nothing may be stepped after that.
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			d.step(ctx, ownership.Tick{})
		case <-d.in.Ready():
			if in, ok := d.in.Pop(); ok {
				d.step(ctx, in)
			}
		}
		timer.Reset(max(0, d.node.NextWake().Sub(d.cfg.Clock.Now())))
	}
}

func (d *Duty) step(ctx context.Context, in ownership.Input) {
	for _, e := range d.node.Step(d.cfg.Clock.Now(), in) {
		d.carryOut(ctx, e)
	}
}

func (d *Duty) carryOut(ctx context.Context, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.SendTo:
		d.cfg.Sender.Send(e.To, e.Message)
	case ownership.GetGroup:
		d.work(ctx, func(ctx context.Context) ownership.Input {
			r := d.cfg.Records.Get(ctx)
			r.ID = e.ID
			return r
		}, ownership.StoreRead{ID: e.ID, Status: ownership.ReadUnavailable})
	case ownership.PutGroup:
		d.work(ctx, func(ctx context.Context) ownership.Input {
			r := d.cfg.Records.Put(ctx, e.Record, e.IfVersion)
			r.ID = e.ID
			return r
		}, ownership.StorePut{ID: e.ID, Status: ownership.PutNotApplied})
	case ownership.HandOver:
		d.work(ctx, func(ctx context.Context) ownership.Input {
			keep, err := d.cfg.HandOver(ctx, e)
			if err != nil {
				return ownership.HandOverFailed{Move: e.Move}
			}
			return ownership.HandedOver{Move: e.Move, Keep: keep}
		}, ownership.HandOverFailed{Move: e.Move})
	case ownership.PublishLease:
		d.snapshot.Store(e.Snapshot)
		d.cfg.Publish(e.Snapshot)
	case ownership.JournalEvent:
		d.cfg.Journal(e.Event)
	}
}

// work runs f on the pool and feeds its result back. A full pool reports
// refused, which says that f did not run.
func (d *Duty) work(ctx context.Context, f func(context.Context) ownership.Input, refused ownership.Input) {
	err := d.pool.Submit(func() {
		call, cancel := context.WithTimeout(ctx, d.cfg.StoreTimeout)
		defer cancel()
		// The result must arrive: a write that is never reported as resolved
		// blocks every later one. The push ends with ctx at the latest.
		_ = d.in.Push(ctx, f(call))
	})
	if err != nil {
		d.step(ctx, refused)
	}
}
