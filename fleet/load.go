package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
)

// Usage is what a node reports about the backend server beside it.
type Usage struct {
	// Running and Waiting count the requests at the backend server and in the
	// queue before it.
	Running, Waiting int
	// MeanServiceTime is the mean service time, or 0 before any request.
	MeanServiceTime time.Duration
	// FailedShare is the share of the latest requests that the backend server
	// failed, from 0 to 1.
	FailedShare float64
	// LinkShare is the share of the capacity of the VM's link that is in use, in
	// the busier direction.
	LinkShare float64
	// ReadDelay is how long requests of other nodes wait on the way and in the
	// sockets of the node before it reads them, on average.
	ReadDelay time.Duration
	// UnreadBodyBytes is the part of the request bodies of other nodes that the
	// node has not read yet. They cross its link before a further body.
	UnreadBodyBytes int64
}

// Load is the load of a peer: what the peer reported, and what this node saw of
// it. It is safe for concurrent use.
type Load struct {
	running, waiting, meanServiceMicros atomic.Int64
	// failedShareBits and linkShareBits are the bits of a float64.
	failedShareBits, linkShareBits atomic.Uint64
	readDelayMicros                atomic.Int64
	unreadBodyBytes                atomic.Int64
	// InFlight counts this node's own requests to the peer that are not
	// answered yet.
	InFlight atomic.Int64
	// unreachableAt is the instant of the last failure to reach the peer, or 0.
	unreachableAt atomic.Int64
}

// SetUsage records what the peer reported. A zero MeanServiceTime leaves the
// earlier one. Values out of range count as the nearest one within: a negative one
// would draw all requests to the peer.
func (l *Load) SetUsage(u Usage) {
	l.running.Store(int64(max(0, u.Running)))
	l.waiting.Store(int64(max(0, u.Waiting)))
	l.failedShareBits.Store(math.Float64bits(min(max(0, u.FailedShare), 1)))
	l.linkShareBits.Store(math.Float64bits(min(max(0, u.LinkShare), 1)))
	l.readDelayMicros.Store(max(0, u.ReadDelay.Microseconds()))
	l.unreadBodyBytes.Store(max(0, u.UnreadBodyBytes))
	if u.MeanServiceTime > 0 {
		l.meanServiceMicros.Store(u.MeanServiceTime.Microseconds())
	}
}

// RequestCounts returns the reported numbers of running and waiting requests.
func (l *Load) RequestCounts() (running, waiting int64) { return l.running.Load(), l.waiting.Load() }

// FailedShare returns the reported share of requests that the backend server
// failed, from 0 to 1.
func (l *Load) FailedShare() float64 { return math.Float64frombits(l.failedShareBits.Load()) }

// LinkShare returns the reported share of the link's capacity in use.
func (l *Load) LinkShare() float64 { return math.Float64frombits(l.linkShareBits.Load()) }

// ReadDelay returns the reported mean delay of requests before they are read.
func (l *Load) ReadDelay() time.Duration {
	return time.Duration(l.readDelayMicros.Load()) * time.Microsecond
}

// UnreadBodyBytes returns the reported part of the bodies that the peer's node
// has not read yet.
func (l *Load) UnreadBodyBytes() int64 { return l.unreadBodyBytes.Load() }

// MeanServiceTime returns the reported mean service time, or
// defaultServiceTime before the first.
func (l *Load) MeanServiceTime() time.Duration {
	if v := l.meanServiceMicros.Load(); v > 0 {
		return time.Duration(v) * time.Microsecond
	}
	return defaultServiceTime
}

// defaultServiceTime is assumed for a backend server that has not served a
// request yet.
const defaultServiceTime = 50 * time.Millisecond

// MarkUnreachable records that the peer could not be reached.
func (l *Load) MarkUnreachable(now clock.Instant) { l.unreachableAt.Store(int64(now)) }

// RecentlyUnreachable reports whether the peer could not be reached within the
// last unreachablePeriod.
func (l *Load) RecentlyUnreachable(now clock.Instant) bool {
	at := clock.Instant(l.unreachableAt.Load())
	return at != 0 && now.Sub(at) < unreachablePeriod
}

// unreachablePeriod is how long a peer that could not be reached is chosen
// last. A process that ended is started again within about a second.
const unreachablePeriod = 400 * time.Millisecond
