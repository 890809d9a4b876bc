package fleet

import (
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
)

// bulkShare is the part of a link that large bodies may use together. The rest is for
// calls and small requests, which would otherwise wait behind them: with bodies at the
// whole link, calls with a budget of 300 ms ran out of time on their way.
const bulkShare = 0.7

// LinkSchedule reserves the time of a VM's link for large bodies, one after the other.
// It answers the load of uploads that ask for more than the links of their service
// carry: those that fit are sent when the link is free for them, and the others are
// refused before their bodies are taken. It is safe for concurrent use.
type LinkSchedule struct {
	bytesPerSecond float64
	// freeAt is the clock.Instant at which the last reservation ends.
	freeAt atomic.Int64
}

// NewLinkSchedule returns the schedule of a link. A capacity of 0 Mbit/s means that it
// is not known; everything is then sent at once.
func NewLinkSchedule(mbps float64) *LinkSchedule {
	const bytesPerMegabit = 1e6 / 8
	return &LinkSchedule{bytesPerSecond: mbps * bytesPerMegabit * bulkShare}
}

// Reservation is the answer to a request for the time of a link.
type Reservation struct {
	// Refused is set if the link is not free within the time that the sender allows.
	Refused bool
	// Wait is the time until the body may be sent, or after a refusal the time until
	// there is room for another one like it.
	Wait time.Duration
}

// Reserve reserves the link for a body that may wait for maxWait. A body that is not
// sent then leaves its time unused.
func (s *LinkSchedule) Reserve(now clock.Instant, bytes int64, maxWait time.Duration) Reservation {
	if s.bytesPerSecond <= 0 || bytes <= 0 {
		return Reservation{}
	}
	transfer := time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
	for {
		last := s.freeAt.Load()
		start := max(now, clock.Instant(last))
		if wait := start.Sub(now); wait > maxWait {
			return Reservation{Refused: true, Wait: wait - maxWait}
		}
		if s.freeAt.CompareAndSwap(last, int64(start.Add(transfer))) {
			return Reservation{Wait: start.Sub(now)}
		}
	}
}

// Backlog returns the bytes of the bodies for which time is reserved from now on.
func (s *LinkSchedule) Backlog(now clock.Instant) int64 {
	left := clock.Instant(s.freeAt.Load()).Sub(now)
	return int64(max(0, left).Seconds() * s.bytesPerSecond)
}
