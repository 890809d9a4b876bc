package admission

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	limitWindow     = 100 * time.Millisecond
	limitSamples    = 32
	limitMin        = 4
	limitDecrease   = 0.8
	failedShare     = 0.5 // errors are often the fault of the request
	shedShare       = 0.1 // a refusal because of load is not
	failedMin       = 8   // fewer failures in a window prove nothing
	slowTolerance   = 1.4
	reportTolerance = 1.2
	reportValid     = time.Second
	// significance is the number of standard errors by which a mean must
	// exceed the normal one. Without it, small samples lower the limit by
	// chance.
	significance = 3
	// raiseGap is the time between increases after a decrease that helped.
	// With an increase in every window the limit would spend half of the time
	// above the point at which the backend server becomes slow.
	raiseGap = 500 * time.Millisecond
	// retryGap is the time after which a lower limit is tried again while
	// service times are far above the best. A trial that fails costs a fifth
	// of capacity for two windows.
	retryGap = 5 * time.Second
	bestRise = 1.001 // in each window
)

// limiter adapts the number of exchanges that run at once to observed service
// times and errors. When short work becomes slow while the limit is in use, it
// tries a lower limit and keeps it if throughput does not fall. Otherwise it
// restores the limit and takes the slower time as normal, because the cause is
// then not the number of exchanges.
type limiter struct {
	max, current float64
	normal       float64
	best         float64 // lowest mean, rising slowly
	triedAt      clock.Instant
	changedAt    clock.Instant // exchanges that began earlier do not count
	before       float64       // limit before a decrease that is being judged
	beforeMean   float64
	gap          time.Duration // time between increases
	raisedAt     clock.Instant
	since        clock.Instant
	n            int
	ok           int // of any class
	failed, shed int
	sum, squares float64
	saturated    bool
	busyUntil    clock.Instant
}

func newLimiter(slots int) *limiter {
	return &limiter{max: float64(slots), current: float64(slots)}
}

func (l *limiter) limit() int { return int(l.current) }

// use notes that n exchanges run. The limit counts as used from three quarters
// on, because a part of it is reserved.
func (l *limiter) use(n int) { l.saturated = l.saturated || n >= l.limit()-l.limit()/4 }

// report takes the backend server's own claim that it is busy. The claim only
// lowers the tolerance to slow service times, so a wrong claim has no effect
// while service times are normal.
func (l *limiter) report(now clock.Instant, busy bool) {
	if busy {
		l.busyUntil = now.Add(reportValid)
	}
}

// result notes the end of an exchange of any class.
func (l *limiter) result(r Result) {
	switch r {
	case OK:
		l.ok++
	case Failed:
		l.failed++
	case Shed:
		l.shed++
	}
}

// observe notes a successful short exchange. One that began before the last
// change of the limit tells nothing about the limit in force.
func (l *limiter) observe(now clock.Instant, d time.Duration) {
	if now.Add(-d).Before(l.changedAt) {
		return
	}
	l.n++
	l.sum += float64(d)
	l.squares += float64(d) * float64(d)
}

// roll ends the observation window when it is long enough.
func (l *limiter) roll(now clock.Instant) {
	total := l.ok + l.failed + l.shed
	age := now.Sub(l.since)
	if age < limitWindow || total < limitSamples && age < 10*limitWindow {
		return
	}
	if total > 0 {
		l.judge(now, float64(total))
	}
	l.since, l.n, l.sum, l.squares = now, 0, 0, 0
	l.ok, l.failed, l.shed, l.saturated = 0, 0, 0, false
}

func (l *limiter) judge(now clock.Instant, total float64) {
	bad := float64(l.shed) > shedShare*total || float64(l.failed) > failedShare*total
	if bad && l.failed+l.shed >= failedMin {
		l.before, l.gap = 0, raiseGap
		l.lower()
		return
	}
	if l.n < limitSamples {
		l.raise(now)
		return
	}
	mean := l.sum / float64(l.n)
	if l.normal == 0 {
		l.normal, l.best = mean, mean
	}
	l.best = min(l.best*bestRise, mean)
	if l.before > 0 && !l.keep(now, mean) {
		return
	}
	if l.saturated && l.current > limitMin && l.slow(now, mean) {
		l.before, l.beforeMean, l.triedAt = l.current, mean, now
		l.lower()
		l.changedAt = now
		return
	}
	l.settle(now, mean)
}

// slow reports whether a mean service time is above normal.
func (l *limiter) slow(now clock.Instant, mean float64) bool {
	tolerance := slowTolerance
	if now.Before(l.busyUntil) {
		tolerance = reportTolerance
	}
	n := float64(l.n)
	deviation := math.Sqrt(max(0, l.squares/n-mean*mean) / n)
	reference := l.normal
	if now.Sub(l.triedAt) > retryGap {
		reference = l.best
	}
	return mean > tolerance*reference && mean-reference > significance*deviation
}

// keep decides whether the last decrease stays in force. By Little's law the
// limit divided by the service time is the throughput.
func (l *limiter) keep(now clock.Instant, mean float64) bool {
	before := l.before
	l.before = 0
	if l.current/mean >= before/l.beforeMean {
		l.gap = raiseGap
		return true
	}
	l.current, l.normal, l.changedAt = before, mean, now
	return false
}

// settle follows a normal service time: quickly down, slowly up.
func (l *limiter) settle(now clock.Instant, mean float64) {
	rate := 0.01
	if mean < l.normal {
		rate = 0.2
	}
	l.normal += rate * (mean - l.normal)
	l.raise(now)
}

func (l *limiter) lower() {
	l.current = max(min(limitMin, l.max), l.current*limitDecrease)
}

func (l *limiter) raise(now clock.Instant) {
	if !l.saturated || now.Sub(l.raisedAt) < l.gap {
		return
	}
	l.raisedAt = now
	l.current = min(l.max, l.current+1)
	if l.current == l.max {
		l.gap = 0
	}
}

func (l *limiter) resize(slots int) {
	l.max = float64(slots)
	l.current = min(l.current, l.max)
}
