package dispatch

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	// failureHalfLife is the time in which the weight of a request halves.
	// Failures that last a few seconds must show, and a backend server without
	// requests must be tried again.
	failureHalfLife = 1500 * time.Millisecond
	// priorSuccesses is the number of successful requests that are assumed
	// before any is recorded.
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

func (f *FailureTracker) decay(now clock.Instant) {
	if now.After(f.updatedAt) {
		factor := math.Exp2(-float64(now.Sub(f.updatedAt)) / float64(failureHalfLife))
		f.total, f.failed, f.updatedAt = f.total*factor, f.failed*factor, now
	}
}
