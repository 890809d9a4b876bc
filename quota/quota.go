// Package quota bounds the memory that a process holds for those who send to it or
// read from it: heads and bodies that are on their way or wait to be passed on, and
// answers that are not read yet. A Quota is shared by all connections. When it is used
// up, large holdings get nothing more, and those whose sender has stopped short of the
// end, or whose reader has stopped reading, are ended, the longest stalled first.
package quota

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/ring"
)

const (
	// smallBytes is the size up to which a holding is small. A request with a short
	// body needs no more.
	smallBytes = 32 << 10
	// bulkPercent is the part of the limit that holdings may use together when one of
	// them that is not small takes more. The rest is for small ones.
	bulkPercent = 75
	// reclaimPercent is the part of the limit down to which stalled holdings are ended
	// when the quota is short.
	reclaimPercent = 50
	// stallTime is how long a sender pauses before its holding may be ended. A lossy
	// link sends a lost packet again within that time.
	stallTime = 1500 * time.Millisecond
	// checkInterval is the interval at which the reclaimer looks whether more is held
	// than the limit.
	checkInterval = time.Second
	// ringCapacity has room for the holdings that begin within the time in which the
	// reclaimer gets no processor time.
	ringCapacity = 1024
	// sparePercent is the part of the limit beyond which nothing is taken that may
	// just as well wait.
	sparePercent = 50
)

// Quota is the bound. Its methods may be called from any goroutine. None of them waits
// for the reclaimer, which itself ends holdings that are closed on its goroutine.
type Quota struct {
	limit    int64
	clock    clock.Clock
	used     atomic.Int64
	messages *ring.Ring[message] // nil if there is no limit
	// shortageQueued is set while a shortage waits in the ring.
	shortageQueued atomic.Bool
	counts         struct{ refused, ended atomic.Int64 }
}

// New returns a quota of that many bytes.
func New(limit int64, c clock.Clock) *Quota {
	return &Quota{limit: limit, clock: c, messages: ring.New[message]("quota", ringCapacity, ring.Refuse)}
}

// Unlimited returns a quota without a limit, which counts what is held. It needs no
// Run.
func Unlimited(c clock.Clock) *Quota { return &Quota{limit: math.MaxInt64 / 128, clock: c} }

// Stats describes a quota. Refused counts the requests for more that failed, Ended
// the holdings that were ended.
type Stats struct{ Limit, Used, Refused, Ended int64 }

// Stats returns the present state.
func (q *Quota) Stats() Stats {
	return Stats{q.limit, q.used.Load(), q.counts.refused.Load(), q.counts.ended.Load()}
}

// RingStats returns the counters of the ring to the reclaimer.
func (q *Quota) RingStats() ring.Stats {
	if q.messages == nil {
		return ring.Stats{}
	}
	return q.messages.Stats()
}

// Holding is what the process holds for one sender or reader. Take must not be called
// concurrently with itself.
type Holding struct {
	quota *Quota
	end   func()
	bytes atomic.Int64
	// listed is set once the reclaimer was told of the holding.
	listed, closed atomic.Bool
	// progressedAt is the clock.Instant at which the sender last sent anything, or 0
	// while nothing is expected from it.
	progressedAt atomic.Int64
}

// Open returns a holding without bytes. end ends what it is held for; it is called at
// most once, on the goroutine of Run, and must not block. It may close the holding.
func (q *Quota) Open(end func()) *Holding {
	h := &Holding{quota: q, end: end}
	h.Progress()
	return h
}

// Take adds bytes to the holding. It returns false, and adds nothing, if the quota has
// no room for them, or if the reclaimer is too far behind to learn of the holding.
func (h *Holding) Take(n int64) bool {
	q, limit := h.quota, h.quota.limit
	if h.bytes.Load()+n > smallBytes {
		limit = limit * bulkPercent / 100
		if !h.list() {
			q.counts.refused.Add(1)
			return false
		}
	}
	if !h.takeBelow(n, limit) {
		q.counts.refused.Add(1)
		q.reportShortage()
		return false
	}
	return !h.closed.Load()
}

// TakeSpare adds bytes for something that may as well be done later. It returns false,
// and adds nothing, if half of the quota is in use; nothing is ended for its sake.
func (h *Holding) TakeSpare(n int64) bool {
	return h.list() && h.takeBelow(n, h.quota.limit*sparePercent/100) && !h.closed.Load()
}

// takeBelow adds bytes to the holding unless more than limit would be in use then.
func (h *Holding) takeBelow(n, limit int64) bool {
	q := h.quota
	for used := q.used.Load(); ; used = q.used.Load() {
		if used+n > limit {
			return false
		}
		if q.used.CompareAndSwap(used, used+n) {
			break
		}
	}
	h.bytes.Add(n)
	if h.closed.Load() {
		h.Close()
	}
	return true
}

// Add adds bytes that are held in any case, such as an answer that is ready. The quota
// counts as short if there is no room for them.
func (h *Holding) Add(n int64) {
	q := h.quota
	if h.bytes.Add(n) > smallBytes {
		h.list() // tried again with the next bytes
	}
	if q.used.Add(n) > q.limit {
		q.reportShortage()
	}
	if h.closed.Load() {
		h.Close()
	}
}

// Release gives a part of the bytes back.
func (h *Holding) Release(n int64) {
	h.bytes.Add(-n)
	h.quota.used.Add(-n)
}

// Progress records that the sender has sent something.
func (h *Holding) Progress() { h.progressedAt.Store(int64(h.quota.clock.Now())) }

// Complete records that nothing is expected from the sender. The holding is not ended
// until Progress is called.
func (h *Holding) Complete() { h.progressedAt.Store(0) }

// Close gives the bytes back. Take fails from then on. The reclaimer forgets the
// holding when it next looks at it.
func (h *Holding) Close() {
	h.closed.Store(true)
	h.quota.used.Add(-h.bytes.Swap(0))
}

// list tells the reclaimer of the holding. It returns false if the ring is full.
func (h *Holding) list() bool {
	if h.quota.messages == nil || h.listed.Swap(true) {
		return true
	}
	if h.quota.push(opened{h}) {
		return true
	}
	h.listed.Store(false)
	return false
}

// reportShortage makes the reclaimer end stalled holdings. One shortage is queued at a
// time: the reclaimer looks at all holdings for each.
func (q *Quota) reportShortage() {
	if !q.shortageQueued.Swap(true) && !q.push(shortage{}) {
		q.shortageQueued.Store(false)
	}
}

// push queues a message for the reclaimer and returns false if the ring is full. Once
// the reclaimer has ended, messages are of no use.
func (q *Quota) push(m message) bool {
	var full *ring.FullError
	return q.messages == nil || !errors.As(q.messages.Push(context.Background(), m), &full)
}

// message is an input of the reclaimer.
type message interface{ apply(*reclaimer) }

type opened struct{ holding *Holding }

// shortage says that a holding got no more bytes.
type shortage struct{}

// reclaimer ends stalled holdings. Only the goroutine of Run may use it.
type reclaimer struct {
	*Quota
	holdings map[*Holding]struct{}
	// sweepAt is the number of holdings at which those that are closed are forgotten.
	sweepAt int
}

// Run ends stalled holdings while the quota is short, until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	defer q.messages.Close()
	r := &reclaimer{Quota: q, holdings: make(map[*Holding]struct{}), sweepAt: ringCapacity}
	ring.Consume(ctx, q.messages, checkInterval, func(m message) { m.apply(r) }, func() {
		r.sweep()
		if r.used.Load() > r.limit {
			r.endStalled() // what was held in any case may have stalled since
		}
	})
}

func (m opened) apply(r *reclaimer) {
	r.holdings[m.holding] = struct{}{}
	if len(r.holdings) >= r.sweepAt {
		r.sweep()
	}
}

func (shortage) apply(r *reclaimer) {
	r.shortageQueued.Store(false)
	r.endStalled()
}

// sweep forgets the holdings that are closed. The next one comes at the latest when
// there are twice as many holdings, so that the map stays in proportion to them.
func (r *reclaimer) sweep() {
	maps.DeleteFunc(r.holdings, func(h *Holding, _ struct{}) bool { return h.closed.Load() })
	r.sweepAt = 2*len(r.holdings) + ringCapacity
}

// endStalled ends stalled holdings until enough is free.
func (r *reclaimer) endStalled() {
	r.sweep()
	candidates := make([]candidate, 0, len(r.holdings))
	for h := range r.holdings {
		candidates = append(candidates, candidate{h, clock.Instant(h.progressedAt.Load()), h.bytes.Load()})
	}
	for _, c := range chooseStalled(r.clock.Now(), candidates, r.used.Load()-r.limit*reclaimPercent/100) {
		delete(r.holdings, c.holding)
		if !c.holding.closed.Load() {
			r.counts.ended.Add(1)
			c.holding.end()
		}
	}
}

// candidate is a holding as the reclaimer sees it.
type candidate struct {
	holding      *Holding
	progressedAt clock.Instant // 0 if the sender has sent all
	bytes        int64
}

// chooseStalled returns the holdings to end so that the given bytes become free, the
// longest stalled first. It answers the load of many senders that stop just short of
// the end of large bodies and stay connected. A sender that goes on is not chosen,
// however much it holds.
func chooseStalled(now clock.Instant, candidates []candidate, needed int64) []candidate {
	stalled := slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.progressedAt == 0 || now.Sub(c.progressedAt) < stallTime || c.bytes == 0
	})
	slices.SortFunc(stalled, func(a, b candidate) int { return cmp.Compare(a.progressedAt, b.progressedAt) })
	for i, c := range stalled {
		if needed <= 0 {
			return stalled[:i]
		}
		needed -= c.bytes
	}
	return stalled
}
