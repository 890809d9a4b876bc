// Package configsync keeps the declared configuration of a node up to date. A
// coordinator watches the configuration object in the store. A member learns of
// a newer revision from its heartbeats and pulls it from its coordinator.
// Revisions only grow. A node with an outdated revision gets no lease, so it
// serves no requests under an outdated configuration.
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
	// queueSize is the capacity of the inbox, which keeps only the newest
	// message of each kind.
	queueSize = 8
	// pullTimeout bounds one pull from the coordinator.
	pullTimeout = time.Second
	// retryInterval is the interval at which failed applications, pulls and
	// watches are repeated. A change should be in force on all nodes within 8 s.
	retryInterval = 500 * time.Millisecond
)

// Watcher delivers newer versions of a store object. *store.Client implements it.
type Watcher interface {
	Watch(ctx context.Context, key string, deliver func(store.Update)) error
}

// Config configures a Syncer.
type Config struct {
	Store Watcher
	// Pull requests the configuration of a node. It may block until ctx ends.
	Pull func(ctx context.Context, from core.Member) (intent.Config, error)
	// Apply puts a newer configuration in force. It is called on the goroutine
	// of Run, in increasing order of revisions, and again after a failure.
	Apply func(context.Context, intent.Config) error
}

// message is one element of the inbox: a snapshot, a configuration, or, if both
// are nil, the failure of a pull.
type message struct {
	snapshot *ownership.Snapshot
	config   *intent.Config
}

// coalescingKey returns a key for each kind of message, so that a newer message
// replaces a queued one of the same kind.
func coalescingKey(m message) uint64 {
	switch {
	case m.snapshot != nil:
		return 1
	case m.config != nil:
		return 2
	default:
		return 3
	}
}

// Syncer keeps the configuration of one node up to date.
type Syncer struct {
	cfg     Config
	inbox   *ring.Ring[message]
	pool    *ants.Pool
	current atomic.Pointer[intent.Config]

	// The fields below belong to the goroutine of Run.
	snapshot     *ownership.Snapshot
	pulling      bool
	lastPull     time.Time
	watchContext context.Context // of the running watch
	cancelWatch  context.CancelFunc
	pending      *intent.Config
}

// New creates a Syncer. It does nothing until Run is called.
func New(cfg Config) (*Syncer, error) {
	pool, err := ants.NewPool(2, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "configuration: create worker pool")
	}
	s := &Syncer{cfg: cfg, pool: pool, inbox: ring.NewCoalescing("configuration", queueSize, coalescingKey)}
	s.current.Store(&intent.Config{})
	return s, nil
}

// Current returns the configuration in force, which must not be changed. Its
// revision is 0 before the first configuration is in force.
func (s *Syncer) Current() *intent.Config { return s.current.Load() }

// RingStats returns the counters of the inbox.
func (s *Syncer) RingStats() ring.Stats { return s.inbox.Stats() }

// SetSnapshot hands over a new lease snapshot. It does not block.
func (s *Syncer) SetSnapshot(snapshot *ownership.Snapshot) {
	_ = s.inbox.Push(context.Background(), message{snapshot: snapshot})
}

// Offer hands over a configuration, such as a change that this node has made
// itself. It takes effect only if it is newer than the current one. Offer does
// not block.
func (s *Syncer) Offer(c intent.Config) {
	_ = s.inbox.Push(context.Background(), message{config: &c})
}

// Run processes snapshots and configurations until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.pool.Release()
	defer s.stopWatch()
	ring.Consume(ctx, s.inbox, retryInterval, func(m message) { s.handle(ctx, m) }, func() { s.reconcile(ctx) })
}

func (s *Syncer) handle(ctx context.Context, m message) {
	switch {
	case m.snapshot != nil:
		s.snapshot = m.snapshot
	case m.config != nil:
		s.pulling = false
		s.setPending(*m.config)
	default:
		s.pulling = false
		return // the next tick retries
	}
	s.reconcile(ctx)
}

// setPending makes c the configuration to apply if it is the newest known.
func (s *Syncer) setPending(c intent.Config) {
	newest := s.Current().Revision
	if s.pending != nil {
		newest = s.pending.Revision
	}
	if c.Revision > newest {
		s.pending = &c
	}
}

// applyPending puts the pending configuration in force. If Apply fails, the
// configuration stays pending.
func (s *Syncer) applyPending(ctx context.Context) {
	if s.pending == nil || s.cfg.Apply(ctx, *s.pending) != nil {
		return
	}
	s.current.Store(s.pending)
	s.pending = nil
}

// reconcile applies a pending configuration and starts the watch or the pull
// that the role of the node needs to get a newer one.
func (s *Syncer) reconcile(ctx context.Context) {
	s.applyPending(ctx)
	snapshot := s.snapshot
	if snapshot == nil {
		return
	}
	if snapshot.IsCoordinator {
		s.startWatch(ctx)
		return
	}
	s.stopWatch()
	if s.pending != nil {
		return // the next tick applies it
	}
	if snapshot.RequiredRevision > s.Current().Revision && snapshot.Coordinator.Address != "" {
		s.startPull(ctx, snapshot.Coordinator)
	}
}

// startWatch starts the watch of the configuration object unless it is running.
func (s *Syncer) startWatch(ctx context.Context) {
	if s.cancelWatch != nil && s.watchContext.Err() == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s.watchContext, s.cancelWatch = ctx, cancel
	err := s.pool.Submit(func() {
		err := s.cfg.Store.Watch(ctx, intent.ObjectKey, func(u store.Update) {
			if c, err := intent.DecodeConfig(u.Object.Value); err == nil && !u.Deleted {
				s.Offer(c)
			}
		})
		if err != nil {
			cancel()
		}
	})
	if err != nil {
		s.stopWatch()
	}
}

func (s *Syncer) stopWatch() {
	if s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// startPull requests the configuration of the coordinator, at most once in each
// retryInterval and one request at a time.
func (s *Syncer) startPull(ctx context.Context, from core.Member) {
	if s.pulling || time.Since(s.lastPull) < retryInterval {
		return // the next tick retries
	}
	s.lastPull = time.Now()
	err := s.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()
		c, err := s.cfg.Pull(ctx, from)
		if err != nil {
			_ = s.inbox.Push(context.Background(), message{})
			return
		}
		s.Offer(c)
	})
	s.pulling = err == nil
}
