package quota

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/clock"
)

// Guards against large bodies that take the room of small requests, and against bytes
// that are never given back.
func TestSmallHoldingsFindRoomBesideLargeOnes(t *testing.T) {
	q := New(1<<20, &clock.Manual{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go q.Run(ctx)
	var large []*Holding
	for {
		h := q.Open(func() {})
		if !h.Take(100 << 10) {
			break
		}
		large = append(large, h)
	}
	must.Len(t, 7, large)
	must.False(t, q.Open(func() {}).Take(128<<10))
	var small []*Holding
	for range 8 {
		small = append(small, q.Open(func() {}))
		must.True(t, small[len(small)-1].Take(smallBytes))
	}
	must.False(t, small[0].Take(1), must.Sprint("a holding that is not small any more takes from the room of small ones"))
	for _, h := range append(large, small...) {
		h.Close()
		h.Close()
	}
	must.Eq(t, 0, q.Stats().Used)
}

// Guards against senders that stop short of the end and keep all others out, against
// ending one that goes on or has sent all, and against ending any in calm.
func TestStalledHoldingsAreEnded(t *testing.T) {
	var now clock.Manual
	now.Advance(time.Hour)
	q := New(1<<20, &now)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go q.Run(ctx)
	const size = 128 << 10
	ended := make([]atomic.Bool, 6)
	holdings := make([]*Holding, len(ended))
	for i := range holdings {
		holdings[i] = q.Open(func() { ended[i].Store(true) })
		must.True(t, holdings[i].Take(size))
		now.Advance(time.Millisecond)
	}
	isEnded := func(i int) bool { return ended[i].Load() }
	now.Advance(time.Minute)
	holdings[1].Progress()
	holdings[3].Complete()
	must.True(t, q.Open(func() {}).Take(size/8)) // calm
	must.Eq(t, 0, q.Stats().Ended)
	must.False(t, q.Open(func() {}).Take(size))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return isEnded(0) && isEnded(2) && isEnded(4) }), wait.Timeout(10*time.Second)))
	must.False(t, isEnded(1) || isEnded(3))
	for _, i := range []int{0, 2, 4} {
		holdings[i].Close()
	}
	must.True(t, q.Open(func() {}).Take(size))
}

// Guards against a reclaimer that waits for room in its own ring: the end of a stalled
// connection closes its holding, on the goroutine of the reclaimer, while refused
// senders keep the ring full. After that nothing large was taken or closed any more.
func TestReclaimerDoesNotWaitForItself(t *testing.T) {
	var now clock.Manual
	now.Advance(time.Hour)
	q := New(16<<20, &now)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go q.Run(ctx)
	const size = 64 << 10
	for {
		var h *Holding
		h = q.Open(func() { h.Close() })
		if !h.Take(size) {
			break
		}
	}
	now.Advance(time.Minute)
	senders := make(chan struct{})
	for range 64 {
		go func() {
			for range 200 {
				h := q.Open(func() {})
				h.Take(q.Stats().Limit)
				h.Close()
			}
			senders <- struct{}{}
		}()
	}
	deadline := time.After(20 * time.Second)
	for range 64 {
		select {
		case <-senders:
		case <-deadline:
			t.Fatalf("senders wait: %+v, ring %+v", q.Stats(), q.RingStats())
		}
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return q.Stats().Used <= q.limit/2 }), wait.Timeout(10*time.Second)))
}

// Guards against a quota without a limit that waits, after some thousand bodies, for a
// reclaimer that nobody has started.
func TestUnlimitedQuotaNeedsNoReclaimer(t *testing.T) {
	q := Unlimited(&clock.Manual{})
	for range 4 * ringCapacity {
		h := q.Open(func() {})
		must.True(t, h.Take(1<<20))
		h.Add(1 << 20)
		h.Close()
	}
	must.Eq(t, 0, q.Stats().Used)
}

// Guards against holdings that the reclaimer keeps after their end, and against
// speculative work that takes the room of requests.
func TestSpareRoomAndClosedHoldings(t *testing.T) {
	q := New(1<<20, &clock.Manual{})
	r := &reclaimer{Quota: q, holdings: map[*Holding]struct{}{}, sweepAt: ringCapacity}
	h := q.Open(func() { t.Error("nothing is ended for spare room") })
	must.True(t, h.TakeSpare(512<<10))
	must.False(t, q.Open(func() {}).TakeSpare(1))
	h.Release(12 << 10)
	must.Eq(t, 500<<10, q.Stats().Used)
	for range 8 * ringCapacity {
		closed := q.Open(func() {})
		closed.Close()
		opened{closed}.apply(r)
	}
	must.LessEq(t, 2*ringCapacity, len(r.holdings))
}

// Guards against the end of more holdings than is needed, and of newer ones first.
func TestLongestStalledAreChosenFirst(t *testing.T) {
	now := clock.Instant(time.Hour)
	at := func(ago time.Duration, bytes int64) candidate { return candidate{nil, now.Add(-ago), bytes} }
	got := chooseStalled(now, []candidate{at(2*time.Second, 10), at(9*time.Second, 10), at(5*time.Second, 10), at(stallTime/2, 100), {nil, 0, 100}}, 15)
	must.Eq(t, []candidate{at(9*time.Second, 10), at(5*time.Second, 10)}, got)
	must.SliceEmpty(t, chooseStalled(now, []candidate{at(9*time.Second, 10)}, 0))
}
