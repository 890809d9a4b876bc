package dispatch

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	// faultsHalved is the time in which the weight of a request halves. Faults
	// of a few seconds matter, and a backend server without requests must be
	// tried again.
	faultsHalved = 1500 * time.Millisecond
	// soundBefore is the weight of the assumption that a backend server is
	// sound, in requests.
	soundBefore = 6
)

// FailureTracker is the part of the latest requests that a backend server failed. One
// goroutine owns it.
type FailureTracker struct {
	all, failed float64
	last        clock.Instant
}

// Record records the end of a request.
func (f *FailureTracker) Record(now clock.Instant, failed bool) {
	f.fade(now)
	f.all++
	if failed {
		f.failed++
	}
}

// FailedShare returns the part that failed.
func (f *FailureTracker) FailedShare(now clock.Instant) float64 {
	f.fade(now)
	return f.failed / (f.all + soundBefore)
}

func (f *FailureTracker) fade(now clock.Instant) {
	if now.After(f.last) {
		keep := math.Exp2(-float64(now.Sub(f.last)) / float64(faultsHalved))
		f.all, f.failed, f.last = f.all*keep, f.failed*keep, now
	}
}
