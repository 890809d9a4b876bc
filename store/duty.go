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

// Config sets the limits of a Client. Zero fields take the defaults.
type Config struct {
	// CallsPerSecond and Burst form the budget of ordinary calls. The default
	// of 0.5 per second keeps 3,600 nodes below the 2,000 reads per second that
	// the store sustains. The default burst is 20.
	CallsPerSecond float64
	Burst          int
	// UrgentPerSecond and UrgentBurst form the separate budget of urgent calls;
	// defaults 2 and 10. Only coordinators make urgent calls, and none while
	// nothing changes.
	UrgentPerSecond float64
	UrgentBurst     int
	// CallWorkers and WatchWorkers are the sizes of the two worker pools;
	// defaults 4 and 16. A waiting watch occupies its worker, so watches have a
	// pool of their own. WatchWorkers also bounds the number of watched keys.
	CallWorkers, WatchWorkers int
	// MaxPending bounds the calls that wait for budget or back-off; default 64.
	MaxPending int
	// CallTimeout bounds one call; default 3 s.
	CallTimeout time.Duration
	// BackoffMin and BackoffMax bound the jittered wait after a failure;
	// defaults 200 ms and 10 s.
	BackoffMin, BackoffMax time.Duration
	// MaxCachedObjects and MaxCachedBytes bound the cache; defaults 64 and
	// 16 MiB.
	MaxCachedObjects, MaxCachedBytes int
	// Seed is the seed of the jitter; 0 selects a random one.
	Seed uint64
}

// enqueueTimeout is how long an operation waits for room in the command ring.
const enqueueTimeout = time.Second

// maxSharedWaiters bounds the callers that share one read.
const maxSharedWaiters = 1024

func (c Config) withDefaults() Config {
	setDefault(&c.CallsPerSecond, 0.5)
	setDefault(&c.Burst, 20)
	setDefault(&c.UrgentPerSecond, 2)
	setDefault(&c.UrgentBurst, 10)
	setDefault(&c.CallWorkers, 4)
	setDefault(&c.WatchWorkers, 16)
	setDefault(&c.MaxPending, 64)
	setDefault(&c.CallTimeout, 3*time.Second)
	setDefault(&c.BackoffMin, 200*time.Millisecond)
	setDefault(&c.BackoffMax, 10*time.Second)
	setDefault(&c.MaxCachedObjects, 64)
	setDefault(&c.MaxCachedBytes, 16<<20)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Client is the only user of the store in a node. The goroutine of Run owns the
// call budget, the waiting calls, the watches and the cache.
type Client struct {
	cfg       Config
	store     Store
	commands  *ring.Ring[command]
	results   *ring.Ring[func(*loopState)]
	stopped   chan struct{}
	callPool  *ants.Pool
	watchPool *ants.Pool
	counters  counters
}

// command is a function that runs on the goroutine of Run.
type command func(*loopState)

// loopState is the state that only the goroutine of Run uses.
type loopState struct {
	*Client
	ctx                 context.Context
	rng                 *rand.Rand
	ordinaryBudget      *rate.Limiter
	urgentBudget        *rate.Limiter
	pending             []*call
	sharedReads         map[readKey]*sharedRead
	inFlight            int
	consecutiveFailures int       // of calls; each watch counts its own
	retryAt             time.Time // end of the back-off
	urgentRetryAt       time.Time // end of the back-off of urgent calls
	cache               cache
	watches             map[string]*watch
	runningWatches      int // watches that occupy a worker
}

// NewClient creates a Client of s. Run must be called once to serve it.
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
		cfg: cfg, store: s, callPool: calls, watchPool: watches,
		commands: ring.New[command]("store", 64, ring.Block),
		results:  ring.New[func(*loopState)]("store results", cfg.CallWorkers+cfg.WatchWorkers, ring.Block),
		stopped:  make(chan struct{}),
	}, nil
}

func newPool(size int) (*ants.Pool, error) {
	p, err := ants.NewPool(size, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, &Error{Kind: KindInvalid, Key: "pool size", Cause: err}
	}
	return p, nil
}

// RingStats returns the counters of the command ring.
func (c *Client) RingStats() ring.Stats { return c.commands.Stats() }

// Run executes operations and watches until ctx ends. Operations that are
// running or queued then fail.
func (c *Client) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.stop(cancel)
	s := c.newLoopState(ctx)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.commands.Ready():
			if cmd, ok := c.commands.Pop(); ok {
				cmd(s)
			}
		case <-c.results.Ready():
			if finish, ok := c.results.Pop(); ok {
				finish(s)
			}
		case <-timer.C:
		}
		timer.Reset(s.dispatch(time.Now()))
	}
}

func (c *Client) newLoopState(ctx context.Context) *loopState {
	return &loopState{
		Client: c, ctx: ctx,
		rng:            rand.New(rand.NewPCG(c.cfg.Seed, 1)),
		ordinaryBudget: rate.NewLimiter(rate.Limit(c.cfg.CallsPerSecond), c.cfg.Burst),
		urgentBudget:   rate.NewLimiter(rate.Limit(c.cfg.UrgentPerSecond), c.cfg.UrgentBurst),
		sharedReads:    map[readKey]*sharedRead{},
		cache:          cache{entries: map[string]cacheEntry{}, maxObjects: c.cfg.MaxCachedObjects, maxBytes: c.cfg.MaxCachedBytes},
		watches:        map[string]*watch{},
	}
}

func (c *Client) stop(cancel context.CancelFunc) {
	cancel()
	c.commands.Close()
	close(c.stopped)
	c.callPool.Release()
	c.watchPool.Release()
}

// enqueue queues cmd for the goroutine of Run. key is the key for the error.
func (c *Client) enqueue(ctx context.Context, key string, cmd command) error {
	ctx, cancel := context.WithTimeout(ctx, enqueueTimeout)
	defer cancel()
	if err := c.commands.Push(ctx, cmd); err != nil {
		return &Error{Kind: KindBudgetExhausted, Key: key, Cause: err}
	}
	return nil
}

// dispatch starts every call and watch that may start, and returns the time
// until it must run again.
func (s *loopState) dispatch(now time.Time) time.Duration {
	next := s.startCalls(now)
	return max(min(next, s.startWatches(now)), time.Millisecond)
}

// maxDispatchWait is the longest time between two runs of dispatch.
const maxDispatchWait = time.Minute

// poolRetryWait is the wait before the next submission to a full worker pool. A
// worker becomes free only a moment after it has queued its result.
const poolRetryWait = 5 * time.Millisecond

// tokenWait returns the time until budget has a token.
func tokenWait(budget *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - budget.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(budget.Limit()) * float64(time.Second))
}

// backoff returns a jittered wait that grows exponentially with the number of
// failures, so that nodes that failed together do not retry together.
func (s *loopState) backoff(failures int) time.Duration {
	maxWait := s.cfg.BackoffMax
	if shift := failures - 1; shift < 16 {
		maxWait = min(maxWait, s.cfg.BackoffMin<<shift)
	}
	return s.jitter(maxWait)
}

// jitter returns a random wait between one half of maxWait and maxWait.
func (s *loopState) jitter(maxWait time.Duration) time.Duration {
	return maxWait/2 + time.Duration(s.rng.Int64N(int64(maxWait/2)+1))
}

// counters are updated by the goroutines of Run and Do and read by Stats.
type counters struct {
	get, put, deletes, list, watch      atomic.Uint64
	failed, refused, coalesced          atomic.Uint64
	fromCache, staleReads, watchUpdates atomic.Uint64
	pending, inFlight, watches          atomic.Int64
	failing                             atomic.Bool
	lastSuccess                         atomic.Int64 // Unix nanoseconds; 0 before the first answer
}

// Stats holds counters since NewClient, and current values.
type Stats struct {
	// Get, Put, Delete, List and Watch count calls to the store. A watch counts
	// once, however long it waits.
	Get, Put, Delete, List, Watch uint64
	// Failed counts calls that ended with KindUnavailable.
	Failed uint64
	// Refused counts operations that were never sent and watches that were
	// refused.
	Refused uint64
	// Coalesced counts reads that joined the call of another read.
	Coalesced uint64
	// FromCache counts reads answered from the cache.
	FromCache uint64
	// StaleReads counts objects that were older than the cached version.
	StaleReads uint64
	// WatchUpdates counts updates delivered to subscribers.
	WatchUpdates uint64
	// Pending, InFlight and Watches are the current numbers of waiting calls,
	// running calls and watched keys.
	Pending, InFlight, Watches int64
	// Failing reports whether the last call ended with KindUnavailable, and no
	// watch has been answered since.
	Failing bool
	// LastSuccess is the time of the last answer of the store, or zero.
	LastSuccess time.Time
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	n := &c.counters
	st := Stats{
		Get: n.get.Load(), Put: n.put.Load(), Delete: n.deletes.Load(),
		List: n.list.Load(), Watch: n.watch.Load(),
		Failed: n.failed.Load(), Refused: n.refused.Load(), Coalesced: n.coalesced.Load(),
		FromCache: n.fromCache.Load(), StaleReads: n.staleReads.Load(),
		WatchUpdates: n.watchUpdates.Load(), Pending: n.pending.Load(),
		InFlight: n.inFlight.Load(), Watches: n.watches.Load(), Failing: n.failing.Load(),
	}
	if at := n.lastSuccess.Load(); at != 0 {
		st.LastSuccess = time.Unix(0, at)
	}
	return st
}
