package peers

import (
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// delayWindow is how long the least difference of two clocks is kept. Within
	// it, clocks that differ by 0.5% in rate drift apart by 50 ms.
	delayWindow = 10 * time.Second
	// leastDelay is the delay that is taken for one. Below it are the usual
	// variations of a busy process and the drift.
	leastDelay = 100 * time.Millisecond
)

// DelayEstimator measures how long requests of other nodes waited before they were read:
// on their way, in the queue of new connections, or in a socket's buffer while
// this process got no processor time. The clocks of two nodes have nothing in
// common; the least difference between the sending and the reading of requests
// within a while stands for no delay.
type DelayEstimator struct {
	clock     clock.Clock
	byFrom    sync.Map // of *offsets by core.Incarnation; one for each process ever met
	corrected atomic.Int64
}

// NewDelayEstimator returns a measurement without samples.
func NewDelayEstimator(c clock.Clock) *DelayEstimator { return &DelayEstimator{clock: c} }

// LateRequests returns the number of requests that came late.
func (d *DelayEstimator) LateRequests() int64 { return d.corrected.Load() }

// offsets are the least differences of the present window and the one before.
type offsets struct {
	window        atomic.Int64
	present, last atomic.Int64
}

// of returns the delay of a request that another process sent at an instant of
// its own clock, or 0 when it is too small to matter.
func (d *DelayEstimator) of(from core.Incarnation, sent clock.Instant) time.Duration {
	now := d.clock.Now()
	difference := int64(now) - int64(sent)
	v, known := d.byFrom.Load(from)
	if !known {
		first := &offsets{}
		first.window.Store(window(now))
		first.present.Store(difference)
		first.last.Store(difference)
		v, _ = d.byFrom.LoadOrStore(from, first)
	}
	delay := time.Duration(difference - v.(*offsets).least(window(now), difference))
	if delay < leastDelay {
		return 0
	}
	d.corrected.Add(1)
	return delay
}

func window(now clock.Instant) int64 { return int64(now) / int64(delayWindow) }

// least adds a sample and returns the least one of both windows. Samples that
// arrive while the windows change may count in either.
func (o *offsets) least(window, sample int64) int64 {
	if old := o.window.Load(); window > old && o.window.CompareAndSwap(old, window) {
		o.last.Store(o.present.Swap(sample))
		if window > old+1 {
			o.last.Store(sample) // nothing was heard for a whole window
		}
	}
	for p := o.present.Load(); sample < p; p = o.present.Load() {
		if o.present.CompareAndSwap(p, sample) {
			break
		}
	}
	return min(o.present.Load(), o.last.Load())
}
