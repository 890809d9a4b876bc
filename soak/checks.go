package soak

import (
	"slices"
	"time"
)

const (
	// withdrawalTime is the time after the end of a caller's connection within
	// which its request may still reach a backend server.
	withdrawalTime = 500 * time.Millisecond
	// From limitKnownTime after a backend server first names its limit, it may get
	// limitTolerance times the limit, plus limitSlack requests, in limitWindow.
	limitKnownTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// Finish runs the checks that need the whole run, and returns all violations in
// the order of their times.
func (c *Checker) Finish() ([]Violation, Counts) {
	for _, e := range c.cutRequests {
		r := c.requests[e.ID]
		mayHaveBeenRead := len(r.starts) > 0 || e.ReadByNode || e.At-r.At > requestReadTime
		if mayHaveBeenRead && c.isFaultFree(r.At, e.At) {
			c.addViolation(e.At, "lost", "%s, sent at %.2fs, got no complete response: %s", e.ID, r.At.Seconds(), e.Reason)
		}
	}
	c.checkWithdrawals()
	c.checkRateLimits()
	c.checkRetryBudget()
	slices.SortFunc(c.violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.violations, c.counts
}

// checkAnsweredRatio checks that the part minAnsweredRatio of the requests sent
// between from and to was answered successfully, and that there were any.
func (c *Checker) checkAnsweredRatio(from, to time.Duration) {
	sent, answered := 0, 0
	for _, r := range c.requests {
		if r.At >= from && r.At < to && r.leftAt == 0 {
			sent++
			if r.ended && r.status/100 == 2 {
				answered++
			}
		}
	}
	if float64(answered) < minAnsweredRatio*float64(sent) || sent == 0 {
		c.addViolation(to, "recovery", "%d of %d requests were answered", answered, sent)
	}
}

// checkWithdrawals checks that no request reaches a backend server later than
// withdrawalTime after its caller has left.
func (c *Checker) checkWithdrawals() {
	for _, r := range c.requests {
		if r.leftAt == 0 {
			continue
		}
		for _, at := range r.starts {
			if at > r.leftAt+withdrawalTime && !c.areNodesDelayed(r.At, at) {
				c.addViolation(at, "gone", "%s, whose caller left at %.2fs, reached a backend server %v later", r.ID, r.leftAt.Seconds(), at-r.leftAt)
			}
		}
	}
}

// checkRateLimits checks that each backend server that names a limit gets no more
// requests than the limit allows. A node that has started again does not know the
// limit at once.
func (c *Checker) checkRateLimits() {
	for name, s := range c.limited {
		allowed := limitTolerance*s.perSecond*limitWindow.Seconds() + limitSlack
		for i, from := range s.starts {
			to := from + limitWindow
			restarted := slices.ContainsFunc(c.nodeExits, func(at time.Duration) bool { return at <= to && from <= at+restartDelay+limitKnownTime })
			if from < s.starts[0]+limitKnownTime || restarted || c.areNodesDelayed(from, to) {
				continue
			}
			if n := countWithin(s.starts[i:], from, to); float64(n) > allowed {
				c.addViolation(from, "limit", "%s got %d requests within %v; its limit allows %.0f", name, n, limitWindow, allowed)
				break
			}
		}
	}
}

// checkRetryBudget checks, for each service, that the executions after the first
// one of a request stay within the retry budget. The requests of the window that
// follows or of the one before count, whichever are more.
func (c *Checker) checkRetryBudget() {
	sent, repeats := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, r := range c.requests {
		sent[r.Service] = append(sent[r.Service], r.At)
		if len(r.starts) > 1 {
			repeats[r.Service] = append(repeats[r.Service], r.starts[1:]...)
		}
	}
	for service, times := range repeats {
		slices.Sort(times)
		for i, from := range times {
			repeated := countWithin(times[i:], from, from+retryBudgetWindow)
			requests := max(countWithin(sent[service], from, from+retryBudgetWindow), countWithin(sent[service], from-retryBudgetWindow, from))
			if float64(repeated) > retryBudgetRatio*float64(requests)+retryBudgetMin {
				c.addViolation(from, "budget", "%d retries for service %s within %v beside %d requests", repeated, service, retryBudgetWindow, requests)
				break
			}
		}
	}
}

// countWithin counts the times that are at least from and less than to.
func countWithin(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// isFaultFree reports whether no unplanned disturbance has effects between from
// and to.
func (c *Checker) isFaultFree(from, to time.Duration) bool {
	return !slices.ContainsFunc(c.faults, func(f FaultPeriod) bool { return f.overlaps(from, to) })
}

// overlaps reports whether the disturbance has effects between from and to.
func (e FaultPeriod) overlaps(from, to time.Duration) bool {
	return e.From <= to && from <= e.To+faultEffectTime
}

// areNodesDelayed reports whether a disturbance that delays nodes has effects
// between from and to.
func (c *Checker) areNodesDelayed(from, to time.Duration) bool {
	return slices.ContainsFunc(c.faults, func(f FaultPeriod) bool { return f.Kind.DelaysNodes() && f.overlaps(from, to) })
}
