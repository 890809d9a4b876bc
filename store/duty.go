package store

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"golang.org/x/time/rate"

	"marjoramshore.example/ring"
)

// Config sets the limits of one store duty. Zero fields take the defaults.
type Config struct {
	// CallsPerSecond and Burst form the budget of ordinary calls. The default
	// of 0.5 keeps 3,600 nodes below the 2,000 reads a second that the store
	// sustains. The default burst is 20.
	CallsPerSecond float64
	Burst          int
	// UrgentPerSecond and UrgentBurst form the separate budget of urgent calls;
	// defaults 2 and 10. Only coordinators make urgent calls, and at rest none.
	UrgentPerSecond float64
	UrgentBurst     int
	// CallWorkers and WatchWorkers are the sizes of the two worker pools; defaults 4 and
	// 16. A waiting watch occupies its worker, so it has a pool of its own.
	CallWorkers, WatchWorkers int
	// Pending bounds the calls that wait for budget or back-off; default 64.
	Pending int
	// CallTimeout bounds one call; default 3 s.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered wait after a failure;
	// defaults 200 ms and 10 s.
	BackoffMin, BackoffMax time.Duration
	// CachedObjects and CachedBytes bound the last known state; defaults 64
	// and 16 MiB.
	CachedObjects, CachedBytes int
	// Seed seeds the jitter; zero draws a random seed.
	Seed uint64
}

// PushWait is how long a call waits for room in the duty's ring.
const PushWait = time.Second

// maxWaiters bounds the callers that share one read.
const maxWaiters = 1024

func (c Config) withDefaults() Config {
	orDefault(&c.CallsPerSecond, 0.5)
	orDefault(&c.Burst, 20)
	orDefault(&c.UrgentPerSecond, 2)
	orDefault(&c.UrgentBurst, 10)
	orDefault(&c.CallWorkers, 4)
	orDefault(&c.WatchWorkers, 16)
	orDefault(&c.Pending, 64)
	orDefault(&c.CallTimeout, 3*time.Second)
	orDefault(&c.BackoffMin, 200*time.Millisecond)
	orDefault(&c.BackoffMax, 10*time.Second)
	orDefault(&c.CachedObjects, 64)
	orDefault(&c.CachedBytes, 16<<20)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Client is the only user of the store in a node. Its goroutine owns the call
// budget, the waiting calls, the watches and the last known state.
type Client struct {
	cfg     Config
	store   Store
	in      *ring.Ring[message]
	results *ring.Ring[func(*state)]
	stopped chan struct{}
	calls   *ants.Pool
	watches *ants.Pool
	count   counters
}

// message is a request to the duty: it runs on the duty's goroutine.
type message func(*state)

// state is owned by the goroutine of Run.
type state struct {
	*Client
	ctx      context.Context
	rng      *rand.Rand
	ordinary *rate.Limiter
	urgent   *rate.Limiter
	pending  []*call
	reads    map[readKey]*readState
	inFlight int
	failures int       // in a row, over all calls but watches
	retryAt  time.Time // end of the back-off
	urgentAt time.Time // end of the back-off of urgent calls
	memory   memory
	watched  map[string]*watch
	running  int // watches that occupy a worker
}

// NewClient returns a duty for s. Run must be called once.
func NewClient(cfg Config, s Store) (*Client, error) {
	cfg = cfg.withDefaults()
	calls, err := newPool(cfg.CallWorkers)
	if err != nil {
		return nil, err
	}
	watches, err := newPool(cfg.WatchWorkers)
	if err != nil {
		calls.Release()
		return nil, err
	}
	return &Client{
		cfg: cfg, store: s, calls: calls, watches: watches,
		in:      ring.New[message]("store", 64, ring.Wait),
		results: ring.New[func(*state)]("store results", cfg.CallWorkers+cfg.WatchWorkers, ring.Wait),
		stopped: make(chan struct{}),
	}, nil
}

func newPool(size int) (*ants.Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Key: "pool size", Cause: err}
	}
	return p, nil
}

// RingStats returns the counters of the duty's ring.
func (d *Client) RingStats() ring.Stats { return d.in.Stats() }

// Run is the duty's goroutine. It returns when ctx ends.
func (d *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer d.stop(cancel)
	s := d.newState(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.in.Ready():
			if m, ok := d.in.Pop(); ok {
				m(s)
			}
		case <-d.results.Ready():
			if m, ok := d.results.Pop(); ok {
				m(s)
			}
		case <-timer.C:
		}
		timer.Reset(s.dispatch(time.Now()))
	}
}

func (d *Client) newState(ctx context.Context) *state {
	return &state{
		Client: d, ctx: ctx,
		rng:      rand.New(rand.NewPCG(d.cfg.Seed, 1)),
		ordinary: rate.NewLimiter(rate.Limit(d.cfg.CallsPerSecond), d.cfg.Burst),
		urgent:   rate.NewLimiter(rate.Limit(d.cfg.UrgentPerSecond), d.cfg.UrgentBurst),
		reads:    map[readKey]*readState{},
		memory:   memory{objects: map[string]known{}, maxObjects: d.cfg.CachedObjects, maxBytes: d.cfg.CachedBytes},
		watched:  map[string]*watch{},
	}
}

func (d *Client) stop(cancel context.CancelFunc) {
	cancel()
	d.in.Close()
	close(d.stopped)
	d.calls.Release()
	d.watches.Release()
}

// push queues m for the duty's goroutine.
func (d *Client) push(ctx context.Context, key string, m message) error {
	ctx, cancel := context.WithTimeout(ctx, PushWait)
	defer cancel()
	if err := d.in.Push(ctx, m); err != nil {
		return &Error{Kind: KindBudgetExhausted, Key: key, Cause: err}
	}
	return nil
}

// dispatch starts every call and watch that may start, and returns the time
// after which it must run again.
func (s *state) dispatch(now time.Time) time.Duration {
	next := s.startCalls(now)
	return max(min(next, s.startWatches(now)), time.Millisecond)
}

// idle is the longest time between two runs of dispatch.
const idle = time.Minute

// saturated is the wait before another attempt at a full worker pool. A worker
// becomes free a moment after its result is queued.
const saturated = 5 * time.Millisecond

// tokenWait returns the time until l holds a token.
func tokenWait(l *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - l.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(l.Limit()) * float64(time.Second))
}

// backoff returns a wait drawn from the upper half of an exponentially growing
// interval, so that nodes that failed together do not return together.
func (s *state) backoff(failures int) time.Duration {
	full := s.cfg.BackoffMax
	if shift := failures - 1; shift < 16 {
		full = min(full, s.cfg.BackoffMin<<shift)
	}
	return s.jitter(full)
}

func (s *state) jitter(full time.Duration) time.Duration {
	return full/2 + time.Duration(s.rng.Int64N(int64(full/2)+1))
}

// counters are read by Stats on other goroutines.
type counters struct {
	get, put, remove, list, watch        atomic.Uint64
	failed, refused, batched             atomic.Uint64
	fromMemory, staleReads, watchUpdates atomic.Uint64
	pending, inFlight, watches           atomic.Int64
	failing                              atomic.Bool
	lastSuccess                          atomic.Int64 // unix nanoseconds
}

// Stats are counters since NewDuty, and current numbers.
type Stats struct {
	// Calls to the store by kind. A waiting watch is one call.
	Get, Put, Delete, List, Watch uint64
	// Failed counts calls that ended with KindUnavailable.
	Failed uint64
	// Refused counts operations that were never sent.
	Refused uint64
	// Batched counts reads that shared the call of another read.
	Batched uint64
	// FromMemory counts reads answered with last known state.
	FromMemory uint64
	// StaleReads counts answers older than a version already seen.
	StaleReads uint64
	// WatchUpdates counts changes delivered to watchers.
	WatchUpdates uint64
	// Pending, InFlight and Watches are current numbers.
	Pending, InFlight, Watches int64
	// Failing reports whether the last call failed.
	Failing bool
	// LastSuccess is the time at which the store last answered.
	LastSuccess time.Time
}

// Stats returns the counters.
func (d *Client) Stats() Stats {
	c := &d.count
	st := Stats{
		Get: c.get.Load(), Put: c.put.Load(), Delete: c.remove.Load(),
		List: c.list.Load(), Watch: c.watch.Load(),
		Failed: c.failed.Load(), Refused: c.refused.Load(), Batched: c.batched.Load(),
		FromMemory: c.fromMemory.Load(), StaleReads: c.staleReads.Load(),
		WatchUpdates: c.watchUpdates.Load(), Pending: c.pending.Load(),
		InFlight: c.inFlight.Load(), Watches: c.watches.Load(), Failing: c.failing.Load(),
	}
	if at := c.lastSuccess.Load(); at != 0 {
		st.LastSuccess = time.Unix(0, at)
	}
	return st
}
