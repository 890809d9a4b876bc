package peers

import (
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// offsetWindow is the period over which the smallest offset between two
	// clocks is taken. Clocks whose rates differ by 0.5% drift apart by 50 ms
	// within it.
	offsetWindow = 10 * time.Second
	// minDelay is the smallest delay that is reported. Smaller ones cannot be
	// told from the drift and the usual variations of a busy process.
	minDelay = 100 * time.Millisecond
)

// DelayEstimator estimates how long requests of other nodes waited before they
// were read: in the network, in the queue of new connections, or in a socket's
// buffer while this process got no processor time. The clocks of two nodes have
// independent zero points, so the smallest difference between the times of
// reading and sending, over the current and the previous offsetWindow, counts
// as no delay. It is safe for concurrent use.
type DelayEstimator struct {
	clock           clock.Clock
	offsetsBySender sync.Map // of *clockOffsets by core.Incarnation; entries are never removed
	lateRequests    atomic.Int64
	requests        atomic.Int64
	delaySum        atomic.Int64 // nanoseconds
}

// NewDelayEstimator returns an estimator without samples.
func NewDelayEstimator(c clock.Clock) *DelayEstimator { return &DelayEstimator{clock: c} }

// LateRequests returns the number of requests so far whose delay was at least
// minDelay.
func (d *DelayEstimator) LateRequests() int64 { return d.lateRequests.Load() }

// Totals returns the number of requests so far and the sum of their delays,
// those below minDelay included.
func (d *DelayEstimator) Totals() (requests int64, sum time.Duration) {
	return d.requests.Load(), time.Duration(d.delaySum.Load())
}

// clockOffsets holds the smallest differences, in nanoseconds, between the
// times of reading and sending in the current window and in the previous one.
// window is the number of the current one.
type clockOffsets struct {
	window            atomic.Int64
	current, previous atomic.Int64
}

// estimate returns the delay of a request that was sent at an instant of the
// sender's clock and is read now, or 0 when it is below minDelay. The request
// also becomes a sample of the offset between the two clocks.
func (d *DelayEstimator) estimate(sender core.Incarnation, sentAt clock.Instant) time.Duration {
	now := d.clock.Now()
	offset := int64(now) - int64(sentAt)
	v, known := d.offsetsBySender.Load(sender)
	if !known {
		first := &clockOffsets{}
		first.window.Store(windowNumber(now))
		first.current.Store(offset)
		first.previous.Store(offset)
		v, _ = d.offsetsBySender.LoadOrStore(sender, first)
	}
	delay := time.Duration(offset - v.(*clockOffsets).addSample(windowNumber(now), offset))
	d.requests.Add(1)
	d.delaySum.Add(int64(delay))
	if delay < minDelay {
		return 0
	}
	d.lateRequests.Add(1)
	return delay
}

// windowNumber numbers the periods of offsetWindow on this process's clock.
func windowNumber(now clock.Instant) int64 { return int64(now) / int64(offsetWindow) }

// addSample adds a sample and returns the smallest one of both windows. A
// sample that is added while the windows change may count in either.
func (o *clockOffsets) addSample(window, sample int64) int64 {
	if old := o.window.Load(); window > old && o.window.CompareAndSwap(old, window) {
		o.previous.Store(o.current.Swap(sample))
		if window > old+1 {
			o.previous.Store(sample) // no request came for a whole window
		}
	}
	for smallest := o.current.Load(); sample < smallest; smallest = o.current.Load() {
		if o.current.CompareAndSwap(smallest, sample) {
			break
		}
	}
	return min(o.current.Load(), o.previous.Load())
}
