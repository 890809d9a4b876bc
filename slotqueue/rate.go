package slotqueue

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

const (
	// rateBurst is the default time over which unused permits of a rate limit add up, so
	// that tickets need not arrive evenly.
	rateBurst = 100 * time.Millisecond
	// minRate is the lowest rate in tickets a second. Without any ticket, nothing
	// would tell that the limit has ended.
	minRate = 0.5
	// urgencyWindow is the time constant of the averages of offered tickets by
	// priority.
	urgencyWindow = time.Second
	// minAvailableShare bounds the share of the rate that more urgent tickets leave
	// to others in estimates.
	minAvailableShare = 0.02
)

// Rate is a limit of the tickets that start in a second.
type Rate struct {
	// PerSecond is 0 for no limit.
	PerSecond float64
	// Burst is the number of unused permits that add up, or 0 for those of rateBurst.
	Burst float64
}

// rateLimit bounds how many tickets start in a second. Each start takes a permit,
// and permits accrue at the rate of the limit.
type rateLimit struct {
	perSecond float64 // 0 for no limit
	burst     float64
	permits   float64
	updatedAt clock.Instant
	offered   map[int]float64 // decaying number of offered tickets by priority
	decayedAt clock.Instant
}

// SetRate limits the tickets that start in a second, from the instant given, which is
// now or later. Expire starts the tickets that fit then.
func (q *Queue) SetRate(from clock.Instant, rate Rate) {
	if rate.PerSecond <= 0 {
		q.rate = rateLimit{}
		return
	}
	if q.rate.perSecond == 0 {
		q.rate = rateLimit{updatedAt: from, decayedAt: from, offered: make(map[int]float64)}
	}
	q.rate.accrue(from)
	q.rate.perSecond = max(rate.PerSecond, minRate)
	q.rate.burst = rate.Burst
	if rate.Burst == 0 {
		q.rate.burst = q.rate.perSecond * rateBurst.Seconds()
	}
}

func (r *rateLimit) limited() bool { return r.perSecond > 0 }

// accrue adds the permits for the time since the last call.
func (r *rateLimit) accrue(now clock.Instant) {
	if !now.After(r.updatedAt) {
		return
	}
	r.permits = min(max(1, r.burst), r.permits+r.perSecond*now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
}

// take takes a permit for a ticket that starts, if there is one.
func (r *rateLimit) take(now clock.Instant) bool {
	if !r.limited() {
		return true
	}
	r.accrue(now)
	if r.permits < 1 {
		return false
	}
	r.permits--
	return true
}

// countOffer records an offered ticket.
func (r *rateLimit) countOffer(now clock.Instant, priority int) {
	if !r.limited() {
		return
	}
	if now.After(r.decayedAt) {
		factor := math.Exp(-now.Sub(r.decayedAt).Seconds() / urgencyWindow.Seconds())
		for p := range r.offered {
			r.offered[p] *= factor
		}
		r.decayedAt = now
	}
	r.offered[priority]++
}

// wait estimates how long a ticket with ahead others before it waits for a permit.
// More urgent tickets that are still to come take the permits that they took before.
func (r *rateLimit) wait(now clock.Instant, ahead, priority int) time.Duration {
	if !r.limited() {
		return 0
	}
	r.accrue(now)
	needed := float64(ahead+1) - r.permits
	if needed <= 0 {
		return 0
	}
	available := r.perSecond
	for p, count := range r.offered {
		if p < priority {
			available -= count / urgencyWindow.Seconds()
		}
	}
	available = max(available, r.perSecond*minAvailableShare)
	return max(0, r.updatedAt.Sub(now)) + time.Duration(needed/available*float64(time.Second))
}
