package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
)

// Usage is what a node reports of the backend server beside it.
type Usage struct {
	// Running and Waiting count the requests at the backend server and in the
	// queue before it.
	Running, Waiting int
	// MeanServiceTime is the mean service time, or 0 before any.
	MeanServiceTime time.Duration
	// FailedShare is the part of the latest requests that the backend server failed.
	FailedShare float64
}

// Load is a peer's load, readable at any time.
type Load struct {
	running, waiting, serviceMicros atomic.Int64
	// faults holds the bits of a float64.
	faults atomic.Uint64
	// InFlight counts this node's own requests in flight to the peer.
	InFlight atomic.Int64
	// failedAt is the last failure to reach the peer.
	failedAt atomic.Int64
}

// SetUsage records what the peer reported.
func (l *Load) SetUsage(u Usage) {
	l.running.Store(int64(u.Running))
	l.waiting.Store(int64(u.Waiting))
	l.faults.Store(math.Float64bits(u.FailedShare))
	if u.MeanServiceTime > 0 {
		l.serviceMicros.Store(u.MeanServiceTime.Microseconds())
	}
}

// RequestCounts returns the reported running and waiting requests.
func (l *Load) RequestCounts() (running, waiting int64) { return l.running.Load(), l.waiting.Load() }

// FailedShare returns the reported part of requests that the backend server failed.
func (l *Load) FailedShare() float64 { return math.Float64frombits(l.faults.Load()) }

// MeanServiceTime returns the reported mean service time, or a default before any.
func (l *Load) MeanServiceTime() time.Duration {
	if v := l.serviceMicros.Load(); v > 0 {
		return time.Duration(v) * time.Microsecond
	}
	return defaultService
}

// defaultService stands for the service time of a backend server that has not
// served a request yet.
const defaultService = 50 * time.Millisecond

// MarkUnreachable records that the peer could not be reached.
func (l *Load) MarkUnreachable(now clock.Instant) { l.failedAt.Store(int64(now)) }

// RecentlyUnreachable reports whether the peer failed within the last while.
func (l *Load) RecentlyUnreachable(now clock.Instant) bool {
	at := clock.Instant(l.failedAt.Load())
	return at != 0 && now.Sub(at) < avoidFor
}

// avoidFor is how long a peer that could not be reached is used last; a process
// that ended is started again within about a second.
const avoidFor = 400 * time.Millisecond
