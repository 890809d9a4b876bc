package health

import (
	"time"

	"marjoramshore.example/clock"
)

// window counts the requests of one interval and sums the service times of the
// short ones that succeeded.
type window struct {
	start            clock.Instant
	requests, failed int
	shortOK          int
	shortTotal       time.Duration
}

func (w *window) add(ok, short bool, took time.Duration) {
	w.requests++
	if !ok {
		w.failed++
		return
	}
	if short {
		w.shortOK++
		w.shortTotal += took
	}
}

// meanShort returns the mean service time of short requests in nanoseconds, or
// 0 without samples.
func (w *window) meanShort() float64 { return float64(w.shortTotal) / float64(max(w.shortOK, 1)) }

// suspectHysteresis lowers the thresholds for a server that is already suspect,
// so that random variation of a fault near a threshold is not taken for a
// recovery.
const suspectHysteresis = 0.6

// findFault returns the fault that the window shows, or None. normalTime is the
// normal service time in nanoseconds, and current is the reason for which the
// server is already suspect, or None.
func (w *window) findFault(c Config, normalTime float64, current Reason) Reason {
	failedShare, slowFactor := c.FailedShare, c.SlowFactor
	switch current {
	case Failing:
		failedShare *= suspectHysteresis
	case Slow:
		slowFactor *= suspectHysteresis
	}
	switch {
	case float64(w.failed) >= failedShare*float64(max(w.requests, 1)):
		return Failing
	case w.shortOK >= c.MinSamples && normalTime > 0 &&
		w.meanShort() > slowFactor*normalTime && w.meanShort() > float64(c.MinSlowTime):
		return Slow
	default:
		return None
	}
}
