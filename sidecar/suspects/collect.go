package suspects

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

const (
	// collectInterval separates the looks for nodes to ask, and collectRetry two calls to
	// one node.
	collectInterval = 50 * time.Millisecond
	collectRetry    = 250 * time.Millisecond
	// maxAsked bounds the calls under way. maxSettled is the number of nodes that have
	// settled whose marks are enough, since each node of a service has nearly all marks of
	// it, and maxAnswers bounds the answers of any nodes.
	maxAsked   = 3
	maxSettled = 2
	maxAnswers = 32
	// beaconWait is how long a listed node that lives may take to be heard.
	beaconWait = 600 * time.Millisecond
	// recollectDelay is when the marks are collected once more. A node that was asked may
	// not yet have heard that an operator had lifted a quarantine, which it does within
	// two listings.
	recollectDelay = 15 * time.Second
	// recollectTime bounds the second round, which is the last.
	recollectTime = 2 * time.Second
	maxRounds     = 2
)

// CollectClient calls other nodes.
type CollectClient interface {
	CollectMarks(ctx context.Context, address string, r peers.CollectMarksRequest) (peers.CollectMarksAnswer, error)
}

// CollectorConfig configures a Collector. The functions are called on the goroutine of Run
// and must not block for long.
type CollectorConfig struct {
	Service core.Service
	// FirstStart is set if no process of the fleet has run before, so that there are no
	// marks.
	FirstStart bool
	Clock      clock.Clock
	Log        log.Interface
	Client     CollectClient
	// Pool runs the calls. Its Submit must not block.
	Pool *ants.Pool
	// Peers returns the other nodes of the service that are alive.
	Peers func() []Peer
	// Merge takes in the marks of another node. It returns false if they are to be asked
	// for again.
	Merge func([]suspect.Mark) bool
	// OnSettled is called once the marks are known as far as other nodes have them.
	OnSettled func()
}

// Collector asks the other nodes of the service for their marks, because a process that
// starts has none. Its methods may be called from any goroutine.
type Collector struct {
	cfg     CollectorConfig
	results *ring.Ring[collectResult]
	listed  chan int
	settled atomic.Bool
	marks   atomic.Int64
	// recollectDelay is set by tests only.
	recollectDelay time.Duration
}

// collectResult is the outcome of a call to a peer.
type collectResult struct {
	peer   Peer
	answer peers.CollectMarksAnswer
	err    error
}

// NewCollector returns a collector. It asks nobody until Run is called.
func NewCollector(cfg CollectorConfig) *Collector {
	return &Collector{cfg: cfg, results: ring.New[collectResult]("suspect_collected", ringCapacity, ring.Block), listed: make(chan int, 1), recollectDelay: recollectDelay}
}

// SetListed says that what the platform's store has is known: the quarantines, and the
// number of other nodes of the service. It must be called once.
func (c *Collector) SetListed(others int) { c.listed <- others }

// Settled reports whether this process knows the marks of other nodes as far as they have
// told them.
func (c *Collector) Settled() bool { return c.settled.Load() }

// Collected returns the number of marks that other nodes have sent on request.
func (c *Collector) Collected() int64 { return c.marks.Load() }

// RingStats returns the counters of the ring of ended calls.
func (c *Collector) RingStats() ring.Stats { return c.results.Stats() }

// collecting is the collector's state. Only the goroutine of Run may use it.
type collecting struct {
	*Collector
	startedAt clock.Instant
	// listedAt is when the store's objects became known, or 0, and others the number of
	// other nodes among them.
	listedAt clock.Instant
	others   int
	// round is that of the calls, from 1.
	round int
	// askedAt holds when each process was asked last, calling those with a call under way,
	// and answered those that have answered.
	askedAt           map[core.Incarnation]clock.Instant
	calling, answered map[core.Incarnation]bool
	// settledPeers counts the answers of nodes that had settled themselves.
	settledPeers int
}

// Run collects the marks of other nodes, and once more after recollectDelay. It runs until
// ctx ends, since calls may end late.
func (c *Collector) Run(ctx context.Context) {
	st := &collecting{Collector: c, startedAt: c.cfg.Clock.Now(), calling: map[core.Incarnation]bool{}}
	st.beginRound()
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	roundEnd := time.NewTimer(st.recollectDelay)
	defer roundEnd.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-roundEnd.C:
			if st.round == 1 {
				ticker.Reset(collectInterval)
				roundEnd.Reset(recollectTime)
			}
			st.beginRound()
		case st.others = <-st.listed:
			st.listedAt = st.cfg.Clock.Now()
		case <-ticker.C:
		case <-st.results.Ready():
			for r, ok := st.results.Pop(); ok; r, ok = st.results.Pop() {
				st.take(r)
			}
		}
		asking := st.ask(ctx)
		st.checkSettled()
		if !asking && st.Settled() {
			ticker.Stop()
		}
	}
}

// beginRound makes the nodes be asked, also those that have answered before.
func (st *collecting) beginRound() {
	st.round++
	st.askedAt, st.answered, st.settledPeers = map[core.Incarnation]clock.Instant{}, map[core.Incarnation]bool{}, 0
}

// ask starts calls to nodes that have not answered. It reports whether any is left to ask
// in this round.
func (st *collecting) ask(ctx context.Context) bool {
	if st.round > maxRounds || st.cfg.FirstStart || st.settledPeers >= maxSettled || len(st.answered) >= maxAnswers {
		return false
	}
	now, left := st.cfg.Clock.Now(), false
	alive := st.cfg.Peers()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, p := range alive {
		if st.answered[p.Incarnation] {
			continue
		}
		left = true
		if at, asked := st.askedAt[p.Incarnation]; st.calling[p.Incarnation] || len(st.calling) >= maxAsked || asked && now.Sub(at) < collectRetry {
			continue
		}
		if st.cfg.Pool.Submit(func() {
			a, err := st.cfg.Client.CollectMarks(ctx, p.Address, peers.CollectMarksRequest{Service: st.cfg.Service})
			// Push fails only once ctx has ended, and with it the consumer.
			_ = st.results.Push(ctx, collectResult{p, a, err})
		}) == nil {
			st.calling[p.Incarnation] = true
		}
		st.askedAt[p.Incarnation] = now
	}
	return left
}

// take takes in the outcome of a call.
func (st *collecting) take(r collectResult) {
	delete(st.calling, r.peer.Incarnation)
	if r.err != nil || !st.cfg.Merge(r.answer.Marks) {
		st.cfg.Log.WithFields(log.Fields{"node": r.peer.Node, "peer": r.peer.Address, "error": r.err}).
			Warn("marks of requests that may crash backend servers not got from another node; retrying")
		return
	}
	st.answered[r.peer.Incarnation] = true
	st.marks.Add(int64(len(r.answer.Marks)))
	if r.answer.Settled {
		st.settledPeers++
	}
}

// checkSettled ends the wait once a node that has settled has answered. If none has, as
// after a restart of all, the marks are those of all nodes that can be heard.
func (st *collecting) checkSettled() {
	if st.Settled() || st.listedAt == 0 {
		return
	}
	now := st.cfg.Clock.Now()
	allAnswered := len(st.calling) == 0 && (len(st.answered) >= min(st.others, maxAnswers) || now.Sub(st.listedAt) >= beaconWait)
	if !st.cfg.FirstStart && st.settledPeers == 0 && !allAnswered {
		return
	}
	st.settled.Store(true)
	st.cfg.Log.WithFields(log.Fields{
		"others": st.others, "answers": len(st.answered), "settled": st.settledPeers, "marks": st.marks.Load(), "after_ms": now.Sub(st.startedAt).Milliseconds(),
	}).Info("marks of requests that may crash backend servers known from the other nodes of the service")
	st.cfg.OnSettled()
}
