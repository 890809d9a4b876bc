package health

import (
	"time"

	"marjoramshore.example/clock"
)

// window collects the answers of one interval.
type window struct {
	since     clock.Instant
	n, failed int
	short     int
	sum       time.Duration
}

func (w *window) add(ok, short bool, took time.Duration) {
	w.n++
	if !ok {
		w.failed++
		return
	}
	if short {
		w.short++
		w.sum += took
	}
}

func (w *window) mean() float64 { return float64(w.sum) / float64(max(w.short, 1)) }

// hysteresis lowers the thresholds for a server that is already suspect, so
// that a fault near a threshold is not taken for a recovery by chance.
const hysteresis = 0.6

// judge returns the fault that the window shows, or None. known is the reason
// for which the server is already suspect.
func (w *window) judge(c Config, normal float64, known Reason) Reason {
	failed, slow := c.FailedShare, c.SlowFactor
	switch known {
	case Failing:
		failed *= hysteresis
	case Slow:
		slow *= hysteresis
	}
	switch {
	case float64(w.failed) >= failed*float64(max(w.n, 1)):
		return Failing
	case w.short >= c.MinSamples && normal > 0 &&
		w.mean() > slow*normal && w.mean() > float64(c.SlowFloor):
		return Slow
	default:
		return None
	}
}
