// Package configsync keeps the declared configuration of a node current. A
// coordinator watches the configuration object in the store; a member learns
// of a newer revision from its heartbeats and pulls it from its coordinator.
// Revisions only grow, and a node that is behind gets no lease, so it serves
// nothing under an outdated configuration.
package configsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
	"marjoramshore.example/store"
)

const (
	// messages bounds queued snapshots and updates; only the newest matter.
	messages = 8
	// pullTimeout bounds one pull from the coordinator.
	pullTimeout = time.Second
	// retryInterval is how often a failed pull or watch is tried again. The
	// target is 8 s for a change to be in force everywhere.
	retryInterval = 500 * time.Millisecond
)

// Watcher delivers newer versions of a store object; *store.Duty implements it.
type Watcher interface {
	Watch(ctx context.Context, key string, deliver func(store.Update)) error
}

// Config joins a Duty to its surroundings.
type Config struct {
	Store Watcher
	// Pull asks a node for its configuration. It may block.
	Pull func(ctx context.Context, from core.Member) (intent.Config, error)
	// Apply puts a newer configuration in force. It is called on the duty's
	// goroutine, in growing order of revisions, and again after a failure.
	Apply func(context.Context, intent.Config) error
}

// message is one input. A nil snapshot and config mark a failed pull.
type message struct {
	snapshot *ownership.Snapshot
	config   *intent.Config
}

func kindOf(m message) uint64 {
	switch {
	case m.snapshot != nil:
		return 1
	case m.config != nil:
		return 2
	default:
		return 3
	}
}

// Syncer owns the configuration of one node.
type Syncer struct {
	cfg     Config
	in      *ring.Ring[message]
	pool    *ants.Pool
	current atomic.Pointer[intent.Config]

	// Owned by Run's goroutine.
	snapshot  *ownership.Snapshot
	pulling   bool
	pulledAt  time.Time
	watched   context.Context // of the running watch
	stopWatch context.CancelFunc
	pending   *intent.Config
}

// New makes a Duty. Run starts it.
func New(cfg Config) (*Syncer, error) {
	pool, err := ants.NewPool(2, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "configuration: worker pool")
	}
	d := &Syncer{cfg: cfg, pool: pool, in: ring.NewCoalescing("configuration", messages, kindOf)}
	d.current.Store(&intent.Config{})
	return d, nil
}

// Current returns the configuration in force; its revision is 0 before the
// first one is known. It must not be changed.
func (d *Syncer) Current() *intent.Config { return d.current.Load() }

// RingStats returns the counters of the duty's ring.
func (d *Syncer) RingStats() ring.Stats { return d.in.Stats() }

// SetSnapshot takes a new lease snapshot.
func (d *Syncer) SetSnapshot(s *ownership.Snapshot) {
	_ = d.in.Push(context.Background(), message{snapshot: s})
}

// Offer takes a configuration that this node learned by other means, such as a
// change that it made itself.
func (d *Syncer) Offer(c intent.Config) {
	_ = d.in.Push(context.Background(), message{config: &c})
}

// Run is the duty's goroutine. It returns when ctx ends.
func (d *Syncer) Run(ctx context.Context) {
	defer d.pool.Release()
	defer d.unwatch()
	ring.Duty(ctx, d.in, retryInterval, func(m message) { d.handle(ctx, m) }, func() { d.pursue(ctx) })
}

func (d *Syncer) handle(ctx context.Context, m message) {
	switch {
	case m.snapshot != nil:
		d.snapshot = m.snapshot
	case m.config != nil:
		d.pulling = false
		d.accept(*m.config)
	default:
		d.pulling = false
		return // the next tick tries again
	}
	d.pursue(ctx)
}

// accept keeps the newest configuration until it could be applied.
func (d *Syncer) accept(c intent.Config) {
	newest := d.Current().Revision
	if d.pending != nil {
		newest = d.pending.Revision
	}
	if c.Revision > newest {
		d.pending = &c
	}
}

func (d *Syncer) apply(ctx context.Context) {
	if d.pending == nil || d.cfg.Apply(ctx, *d.pending) != nil {
		return
	}
	d.current.Store(d.pending)
	d.pending = nil
}

// pursue starts whatever is needed to become current.
func (d *Syncer) pursue(ctx context.Context) {
	d.apply(ctx)
	s := d.snapshot
	if s == nil {
		return
	}
	if s.Coordinates {
		d.watch(ctx)
		return
	}
	d.unwatch()
	if d.pending != nil {
		return // it is at hand, and the next tick applies it
	}
	if s.WantRevision > d.Current().Revision && s.Coordinator.Address != "" {
		d.pull(ctx, s.Coordinator)
	}
}

func (d *Syncer) watch(ctx context.Context) {
	if d.stopWatch != nil && d.watched.Err() == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	d.watched, d.stopWatch = ctx, cancel
	err := d.pool.Submit(func() {
		err := d.cfg.Store.Watch(ctx, intent.ObjectKey, func(u store.Update) {
			if c, err := intent.DecodeConfig(u.Object.Value); err == nil && !u.Deleted {
				d.Offer(c)
			}
		})
		if err != nil {
			cancel()
		}
	})
	if err != nil {
		d.unwatch()
	}
}

func (d *Syncer) unwatch() {
	if d.stopWatch != nil {
		d.stopWatch()
		d.stopWatch = nil
	}
}

func (d *Syncer) pull(ctx context.Context, from core.Member) {
	if d.pulling || time.Since(d.pulledAt) < retryInterval {
		return // the next tick tries again
	}
	d.pulledAt = time.Now()
	err := d.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		c, err := d.cfg.Pull(ctx, from)
		if err != nil {
			_ = d.in.Push(context.Background(), message{})
			return
		}
		d.Offer(c)
	})
	d.pulling = err == nil
}
