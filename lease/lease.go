// Package lease runs the ownership state machine of one node on a goroutine of
// its own: it delivers messages and store results to the state machine, carries
// out the effects, and publishes the lease that the gate and the router read.
// It decides nothing itself.
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

// Sender sends messages to other members. Send must not block. It drops a
// message that cannot be sent, because the protocol repeats every message that
// matters.
type Sender interface {
	Send(to core.Member, m ownership.Message)
}

// Records reads and writes the group record. Both calls may block until ctx
// ends.
type Records interface {
	Get(ctx context.Context) ownership.ReadResult
	Put(ctx context.Context, rec *ownership.GroupRecord, ifVersion uint64) ownership.PutResult
}

// Config is the configuration of a Runner, with the callbacks that it uses.
type Config struct {
	Ownership ownership.Config
	Clock     clock.Clock
	Sender    Sender
	Records   Records
	// HandOver sends the at-most-once records of a range to its next owner. It
	// returns the hashes that this node must keep because a long exchange for
	// them is in flight. It may block until ctx ends.
	HandOver func(ctx context.Context, h ownership.HandOver) (keep []core.Hash, err error)
	// Publish is called with each new snapshot, on the runner's goroutine.
	Publish func(*ownership.Snapshot)
	// Journal is called with each event, on the runner's goroutine.
	Journal func(ownership.Event)
	// StoreTimeout bounds one call of Records or HandOver. Zero means 3 s.
	StoreTimeout time.Duration
}

const (
	// inputCapacity is enough for the messages of several heartbeats in a full
	// group.
	inputCapacity = 256
	// submitTimeout is how long Submit waits for room. A message that is lost
	// then is repeated by its sender at the next heartbeat.
	submitTimeout = 200 * time.Millisecond
	// maxWorkers bounds concurrent store calls and hand-overs. The state
	// machine has at most one read, one write and 16 moves outstanding.
	maxWorkers = 18
)

// Runner runs one ownership.Node. Its methods may be called from any goroutine.
type Runner struct {
	cfg      Config
	node     *ownership.Node
	inputs   *ring.Ring[ownership.Input]
	pool     *ants.Pool
	snapshot atomic.Pointer[ownership.Snapshot]
}

// New returns a Runner that does nothing until Run is called. It fails if the
// ownership configuration is not valid.
func New(cfg Config) (*Runner, error) {
	if cfg.StoreTimeout <= 0 {
		cfg.StoreTimeout = 3 * time.Second
	}
	n, err := ownership.New(cfg.Ownership, cfg.Clock.Now())
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(maxWorkers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "lease: cannot create the worker pool")
	}
	return &Runner{cfg: cfg, node: n, pool: pool, inputs: ring.New[ownership.Input]("lease", inputCapacity, ring.Block)}, nil
}

// Snapshot returns the newest published snapshot, or nil before the first.
func (r *Runner) Snapshot() *ownership.Snapshot { return r.snapshot.Load() }

// Stats returns the counters of the input ring.
func (r *Runner) Stats() ring.Stats { return r.inputs.Stats() }

// Submit hands one input to the state machine. It fails with *ring.FullError if
// the input ring stays full for submitTimeout.
func (r *Runner) Submit(ctx context.Context, in ownership.Input) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	return r.inputs.Push(ctx, in)
}

// Run is the goroutine of the runner. It must be called once, and returns when
// ctx ends.
func (r *Runner) Run(ctx context.Context) {
	defer r.pool.Release()
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Publish may end ctx. No step may follow that.
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.step(ctx, ownership.Tick{})
		case <-r.inputs.Ready():
			if in, ok := r.inputs.Pop(); ok {
				r.step(ctx, in)
			}
		}
		timer.Reset(max(0, r.node.NextWake().Sub(r.cfg.Clock.Now())))
	}
}

func (r *Runner) step(ctx context.Context, in ownership.Input) {
	for _, e := range r.node.Step(r.cfg.Clock.Now(), in) {
		r.perform(ctx, e)
	}
}

// perform carries out one effect. Store calls and hand-overs run in the pool and
// return their results as inputs; the other effects are done before it returns.
func (r *Runner) perform(ctx context.Context, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.SendMessage:
		r.cfg.Sender.Send(e.To, e.Message)
	case ownership.GetGroupRecord:
		r.runInPool(ctx, func(ctx context.Context) ownership.Input {
			result := r.cfg.Records.Get(ctx)
			result.ID = e.ID
			return result
		}, ownership.ReadResult{ID: e.ID, Status: ownership.ReadUnavailable})
	case ownership.PutGroupRecord:
		r.runInPool(ctx, func(ctx context.Context) ownership.Input {
			result := r.cfg.Records.Put(ctx, e.Record, e.IfVersion)
			result.ID = e.ID
			return result
		}, ownership.PutResult{ID: e.ID, Status: ownership.PutNotApplied})
	case ownership.HandOver:
		r.runInPool(ctx, func(ctx context.Context) ownership.Input {
			keep, err := r.cfg.HandOver(ctx, e)
			if err != nil {
				return ownership.HandOverFailed{Move: e.Move}
			}
			return ownership.HandOverDone{Move: e.Move, Keep: keep}
		}, ownership.HandOverFailed{Move: e.Move})
	case ownership.PublishSnapshot:
		r.snapshot.Store(e.Snapshot)
		r.cfg.Publish(e.Snapshot)
	case ownership.JournalEvent:
		r.cfg.Journal(e.Event)
	}
}

// runInPool runs f on the worker pool and hands its result to the state
// machine. If the pool has no free worker, f does not run and notStarted is the
// result.
func (r *Runner) runInPool(ctx context.Context, f func(context.Context) ownership.Input, notStarted ownership.Input) {
	err := r.pool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
		defer cancel()
		// The push waits for room until ctx ends, because the result must not
		// be lost: a write without a result blocks every later one.
		_ = r.inputs.Push(ctx, f(callCtx))
	})
	if err != nil {
		r.step(ctx, notStarted)
	}
}
