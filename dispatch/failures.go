package dispatch

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	// failureHalfLife is the time in which the weight of a request halves. It is
	// short enough that failures of a few seconds show, and that a backend
	// server that gets no requests because of them is tried again.
	failureHalfLife = 1500 * time.Millisecond
	// priorSuccesses is the number of successful requests that are assumed in
	// addition to the recorded ones, so that a few failures alone do not give a
	// share near 1.
	priorSuccesses = 6
)

// FailureTracker computes the share of the latest requests that a backend
// server failed. Only one goroutine may use it.
type FailureTracker struct {
	total, failed float64
	updatedAt     clock.Instant
}

// Record records the end of a request.
func (f *FailureTracker) Record(now clock.Instant, failed bool) {
	f.decay(now)
	f.total++
	if failed {
		f.failed++
	}
}

// FailedShare returns the share of the recorded requests that failed, from 0 to
// 1. Later requests weigh more.
func (f *FailureTracker) FailedShare(now clock.Instant) float64 {
	f.decay(now)
	return f.failed / (f.total + priorSuccesses)
}

// decay reduces the weight of the recorded requests to that at instant now.
func (f *FailureTracker) decay(now clock.Instant) {
	if now.After(f.updatedAt) {
		factor := math.Exp2(-float64(now.Sub(f.updatedAt)) / float64(failureHalfLife))
		f.total, f.failed, f.updatedAt = f.total*factor, f.failed*factor, now
	}
}
