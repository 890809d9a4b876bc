package admission

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	limitWindow    = 100 * time.Millisecond
	minSamples     = 32
	minLimit       = 4
	decreaseFactor = 0.8
	maxFailedShare = 0.5 // an error is often caused by the request, not by load
	maxShedShare   = 0.1 // such a refusal always has load as its cause
	minFailures    = 8   // fewer failures in a window are not significant
	slowTolerance  = 1.4
	busyTolerance  = 1.2
	busyReportTTL  = time.Second
	// minStandardErrors is the number of standard errors by which a mean must
	// exceed the reference. Without it, random variation in small samples would
	// lower the limit.
	minStandardErrors = 3
	// slowIncreaseInterval is the time between increases after a decrease that
	// helped. With an increase in every window, the limit would be above the
	// point at which the backend server becomes slow for half of the time.
	slowIncreaseInterval = 500 * time.Millisecond
	// trialInterval is the time after which a lower limit is tried again while
	// service times are well above the best mean. A trial that fails costs a
	// fifth of the capacity for two windows.
	trialInterval  = 5 * time.Second
	bestMeanGrowth = 1.001 // factor per window
)

// limiter adapts the limit of exchanges that run at once to observed service
// times and errors. If short work becomes slow while the limit is in use, it
// tries a lower limit and keeps it if throughput does not fall. Otherwise it
// restores the limit and takes the slower service time as the new reference,
// because the number of exchanges is then not the cause.
//
// Means are in nanoseconds.
type limiter struct {
	max, current           float64
	referenceMean          float64
	bestMean               float64 // lowest mean, raised by bestMeanGrowth in each window
	trialStartedAt         clock.Instant
	limitChangedAt         clock.Instant // exchanges that started earlier are not observed
	limitBeforeTrial       float64       // limit before the decrease on trial, or zero
	meanBeforeTrial        float64
	increaseInterval       time.Duration
	increasedAt            clock.Instant
	windowStart            clock.Instant
	samples                int
	succeeded              int // of both classes
	failed, shed           int
	timeSum, timeSquareSum float64
	saturated              bool
	busyUntil              clock.Instant
}

func newLimiter(slots int) *limiter {
	return &limiter{max: float64(slots), current: float64(slots)}
}

func (l *limiter) limit() int { return int(l.current) }

// recordRunning records that n exchanges run. The limit counts as saturated
// from three quarters on, because a part of it is reserved for short work.
func (l *limiter) recordRunning(n int) { l.saturated = l.saturated || n >= l.limit()-l.limit()/4 }

// reportLoad takes the backend server's own report whether it is busy. The
// report only lowers the tolerance for slow service times, so a false report
// has no effect while service times are normal.
func (l *limiter) reportLoad(now clock.Instant, busy bool) {
	if busy {
		l.busyUntil = now.Add(busyReportTTL)
	}
}

// recordResult counts the result of an exchange of either class.
func (l *limiter) recordResult(r Result) {
	switch r {
	case OK:
		l.succeeded++
	case Failed:
		l.failed++
	case Shed:
		l.shed++
	}
}

// observe records the service time d of a short exchange that succeeded. An
// exchange that started before the last change of the limit is ignored, because
// it says nothing about the current limit.
func (l *limiter) observe(now clock.Instant, d time.Duration) {
	if now.Add(-d).Before(l.limitChangedAt) {
		return
	}
	l.samples++
	l.timeSum += float64(d)
	l.timeSquareSum += float64(d) * float64(d)
}

// advanceWindow evaluates the observation window and starts the next one, if
// the window has lasted long enough.
func (l *limiter) advanceWindow(now clock.Instant) {
	total := l.succeeded + l.failed + l.shed
	age := now.Sub(l.windowStart)
	if age < limitWindow || total < minSamples && age < 10*limitWindow {
		return
	}
	if total > 0 {
		l.evaluateWindow(now, float64(total))
	}
	l.windowStart, l.samples, l.timeSum, l.timeSquareSum = now, 0, 0, 0
	l.succeeded, l.failed, l.shed, l.saturated = 0, 0, 0, false
}

func (l *limiter) evaluateWindow(now clock.Instant, total float64) {
	failing := float64(l.shed) > maxShedShare*total || float64(l.failed) > maxFailedShare*total
	if failing && l.failed+l.shed >= minFailures {
		l.limitBeforeTrial, l.increaseInterval = 0, slowIncreaseInterval
		l.decrease()
		return
	}
	if l.samples < minSamples {
		l.increase(now)
		return
	}
	mean := l.timeSum / float64(l.samples)
	if l.referenceMean == 0 {
		l.referenceMean, l.bestMean = mean, mean
	}
	l.bestMean = min(l.bestMean*bestMeanGrowth, mean)
	if l.limitBeforeTrial > 0 && !l.concludeTrial(now, mean) {
		return
	}
	if l.saturated && l.current > minLimit && l.isSlow(now, mean) {
		l.limitBeforeTrial, l.meanBeforeTrial, l.trialStartedAt = l.current, mean, now
		l.decrease()
		l.limitChangedAt = now
		return
	}
	l.updateReference(now, mean)
}

// isSlow reports whether a mean service time is significantly above the
// reference.
func (l *limiter) isSlow(now clock.Instant, mean float64) bool {
	tolerance := slowTolerance
	if now.Before(l.busyUntil) {
		tolerance = busyTolerance
	}
	n := float64(l.samples)
	standardError := math.Sqrt(max(0, l.timeSquareSum/n-mean*mean) / n)
	reference := l.referenceMean
	if now.Sub(l.trialStartedAt) > trialInterval {
		reference = l.bestMean
	}
	return mean > tolerance*reference && mean-reference > minStandardErrors*standardError
}

// concludeTrial keeps or reverts the last decrease and reports whether it was
// kept. By Little's law, throughput is the limit divided by the service time.
func (l *limiter) concludeTrial(now clock.Instant, mean float64) bool {
	previous := l.limitBeforeTrial
	l.limitBeforeTrial = 0
	if l.current/mean >= previous/l.meanBeforeTrial {
		l.increaseInterval = slowIncreaseInterval
		return true
	}
	l.current, l.referenceMean, l.limitChangedAt = previous, mean, now
	return false
}

// updateReference moves the reference towards a normal mean, quickly down and
// slowly up, and increases the limit if an increase is due.
func (l *limiter) updateReference(now clock.Instant, mean float64) {
	gain := 0.01
	if mean < l.referenceMean {
		gain = 0.2
	}
	l.referenceMean += gain * (mean - l.referenceMean)
	l.increase(now)
}

func (l *limiter) decrease() {
	l.current = max(min(minLimit, l.max), l.current*decreaseFactor)
}

func (l *limiter) increase(now clock.Instant) {
	if !l.saturated || now.Sub(l.increasedAt) < l.increaseInterval {
		return
	}
	l.increasedAt = now
	l.current = min(l.max, l.current+1)
	if l.current == l.max {
		l.increaseInterval = 0
	}
}

func (l *limiter) setMax(slots int) {
	l.max = float64(slots)
	l.current = min(l.current, l.max)
}
