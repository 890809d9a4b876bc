package admission

import (
	"time"

	"marjoramshore.example/clock"
)

const (
	limitWindow   = 100 * time.Millisecond
	limitSamples  = 16
	limitMin      = 4
	limitDecrease = 0.8
	failedShare   = 0.5 // errors are often the fault of the request
	shedShare     = 0.1 // a refusal because of load is not
	// The mean of a hundred short service times varies by a tenth, so 1.4 is
	// rarely exceeded by chance.
	slowTolerance   = 1.4
	reportTolerance = 1.2
	reportValid     = time.Second
	// raiseGap is the time between increases after a decrease that helped.
	// With an increase in every window the limit would spend half of the time
	// above the point at which the backend server becomes slow.
	raiseGap = 500 * time.Millisecond
)

// limiter adapts the number of exchanges that run at once to observed service
// times and errors. When short work becomes slow while the limit is in use, it
// tries a lower limit and keeps it if throughput does not fall. Otherwise it
// restores the limit and takes the slower time as normal, because the cause is
// then not the number of exchanges.
type limiter struct {
	max, current float64
	normal       float64
	before       float64 // limit before a decrease that is being judged
	beforeMean   float64
	gap          time.Duration // time between increases
	raisedAt     clock.Instant
	since        clock.Instant
	n            int
	failed, shed int
	sum          float64
	saturated    bool
	busyUntil    clock.Instant
}

func newLimiter(slots int) *limiter {
	return &limiter{max: float64(slots), current: float64(slots)}
}

func (l *limiter) limit() int { return int(l.current) }

// use notes that n exchanges run.
func (l *limiter) use(n int) { l.saturated = l.saturated || n >= l.limit() }

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
	case Failed:
		l.failed++
	case Shed:
		l.shed++
	}
}

// observe notes the service time of a successful short exchange.
func (l *limiter) observe(d time.Duration) {
	l.n++
	l.sum += float64(d)
}

// roll ends the observation window when it is long enough.
func (l *limiter) roll(now clock.Instant) {
	total := l.n + l.failed + l.shed
	age := now.Sub(l.since)
	if age < limitWindow || total < limitSamples && age < 10*limitWindow {
		return
	}
	if total > 0 {
		l.judge(now, float64(total))
	}
	l.since, l.n, l.failed, l.shed, l.sum, l.saturated = now, 0, 0, 0, 0, false
}

func (l *limiter) judge(now clock.Instant, total float64) {
	if float64(l.shed) > shedShare*total || float64(l.failed) > failedShare*total {
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
		l.normal = mean
	}
	if l.before > 0 && !l.keep(mean) {
		return
	}
	tolerance := slowTolerance
	if now.Before(l.busyUntil) {
		tolerance = reportTolerance
	}
	if mean > tolerance*l.normal && l.saturated && l.current > limitMin {
		l.before, l.beforeMean = l.current, mean
		l.lower()
		return
	}
	l.settle(now, mean)
}

// keep decides whether the last decrease stays in force. By Little's law the
// limit divided by the service time is the throughput.
func (l *limiter) keep(mean float64) bool {
	before := l.before
	l.before = 0
	if l.current/mean >= before/l.beforeMean {
		l.gap = raiseGap
		return true
	}
	l.current, l.normal = before, mean
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
