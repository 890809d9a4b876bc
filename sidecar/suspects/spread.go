// Package suspects passes on what a node knows of requests that crash backend servers. A
// Spreader sends marks to the other nodes of the service, an Archive keeps quarantines in
// the platform's store. One goroutine owns each.
package suspects

import (
	"context"
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
	// resendInterval separates the looks for nodes that lack marks. A node that could
	// not be reached, or has just started, gets them within that time.
	resendInterval = 250 * time.Millisecond
	// batchRetention is how long marks are sent to nodes that lack them, and maxBatches
	// bounds the batches. A node that comes later learns of quarantines from the store.
	batchRetention = 5 * time.Minute
	maxBatches     = 64
	// ringCapacity bounds the batches and results that wait. Crashes are seldom.
	ringCapacity = 64
)

// Peer is another node beside a backend server of the service.
type Peer struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	// Address is the node's address for calls.
	Address string
}

// Client calls other nodes.
type Client interface {
	Marks(ctx context.Context, address string, r peers.MarksRequest) (peers.MarksAnswer, error)
}

// SpreaderConfig configures a Spreader.
type SpreaderConfig struct {
	Service core.Service
	Clock   clock.Clock
	Log     log.Interface
	Client  Client
	// Pool runs the calls. Its Submit must not block.
	Pool *ants.Pool
	// Peers returns the other nodes of the service that are alive.
	Peers func() []Peer
}

// Spreader sends marks to the other nodes of a service until each has them. Its methods
// may be called from any goroutine.
type Spreader struct {
	cfg     SpreaderConfig
	batches *ring.Ring[[]suspect.Mark]
	results *ring.Ring[callResult]
}

// callResult is the outcome of a call that sent the batches up to a number.
type callResult struct {
	peer  Peer
	sent  uint64
	taken bool
	err   error
}

// NewSpreader returns a spreader. It sends nothing until Run is called.
func NewSpreader(cfg SpreaderConfig) *Spreader {
	return &Spreader{
		cfg: cfg, batches: ring.New[[]suspect.Mark]("suspect_marks", ringCapacity, ring.DropOldest),
		results: ring.New[callResult]("suspect_results", ringCapacity, ring.Block),
	}
}

// Spread sends marks to the other nodes. It does not block.
func (s *Spreader) Spread(marks []suspect.Mark) {
	if err := s.batches.Push(context.Background(), marks); err != nil {
		s.cfg.Log.WithError(err).Warn("marks of requests that may crash backend servers not queued for the other nodes")
	}
}

// RingStats returns the counters of the ring of marks.
func (s *Spreader) RingStats() ring.Stats { return s.batches.Stats() }

// ResultRingStats returns the counters of the ring of ended calls.
func (s *Spreader) ResultRingStats() ring.Stats { return s.results.Stats() }

// batch is a set of marks to send. Batches are numbered from 1.
type batch struct {
	number uint64
	at     clock.Instant
	marks  []suspect.Mark
}

// spreading is the spreader's state. Only the goroutine of Run may use it.
type spreading struct {
	*Spreader
	// kept are the batches that are still sent, and last is the number of the newest one.
	kept []batch
	last uint64
	// sent holds the number of the last batch that each process has, calling those to
	// which a call is under way.
	sent    map[core.Incarnation]uint64
	calling map[core.Incarnation]bool
}

// Run sends marks until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	st := &spreading{Spreader: s, sent: map[core.Incarnation]uint64{}, calling: map[core.Incarnation]bool{}}
	// The timer runs only while there are marks to send.
	timer := time.NewTimer(resendInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.batches.Ready():
			for marks, ok := s.batches.Pop(); ok; marks, ok = s.batches.Pop() {
				st.last++
				st.kept = append(st.kept, batch{st.last, s.cfg.Clock.Now(), marks})
			}
		case <-s.results.Ready():
			for r, ok := s.results.Pop(); ok; r, ok = s.results.Pop() {
				st.complete(r)
			}
		}
		st.dropOld()
		st.send(ctx)
		if len(st.kept) > 0 {
			timer.Reset(resendInterval)
		}
	}
}

// dropOld forgets batches that are too old or too many.
func (st *spreading) dropOld() {
	st.kept = st.kept[max(0, len(st.kept)-maxBatches):]
	for len(st.kept) > 0 && st.cfg.Clock.Now().Sub(st.kept[0].at) >= batchRetention {
		st.kept = st.kept[1:]
	}
}

// send starts a call to each peer that lacks marks and has none under way.
func (st *spreading) send(ctx context.Context) {
	if len(st.kept) == 0 {
		return
	}
	present := st.cfg.Peers()
	known := make(map[core.Incarnation]uint64, len(present))
	for _, p := range present {
		known[p.Incarnation] = st.sent[p.Incarnation]
		if known[p.Incarnation] >= st.last || st.calling[p.Incarnation] {
			continue
		}
		request := peers.MarksRequest{Service: st.cfg.Service}
		for _, b := range st.kept {
			if b.number > known[p.Incarnation] {
				request.Marks = append(request.Marks, b.marks...)
			}
		}
		last := st.last
		st.calling[p.Incarnation] = st.cfg.Pool.Submit(func() {
			a, err := st.cfg.Client.Marks(ctx, p.Address, request)
			// Push fails only once ctx has ended, and with it the consumer.
			_ = st.results.Push(ctx, callResult{p, last, a.Taken, err})
		}) == nil
	}
	st.sent = known
}

func (st *spreading) complete(r callResult) {
	delete(st.calling, r.peer.Incarnation)
	if r.err != nil || !r.taken {
		st.cfg.Log.WithFields(log.Fields{"node": r.peer.Node, "peer": r.peer.Address, "error": r.err}).
			Warn("marks of requests that may crash backend servers not sent to a node; retrying")
		return
	}
	st.sent[r.peer.Incarnation] = r.sent
}
