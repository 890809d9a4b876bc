package slotqueue

import (
	"time"

	"marjoramshore.example/clock"
)

// ColdBound bounds what a run gets while it is cold, after its start or on return to
// work: in any second at most PerSecond times Overage, plus Slack requests. A run that
// gets many more crashes. A PerSecond of 0 is no bound.
type ColdBound struct{ PerSecond, Overage, Slack float64 }

const (
	// coldWindow is the second of the bound, and the time by which a request may leave
	// the process later than it was counted.
	coldWindow = time.Second + 100*time.Millisecond
	// coldSpare is the number of requests of the bound that are left unused, for one
	// that the connection sends again.
	coldSpare = 1
)

// Limited reports whether there is a bound.
func (b ColdBound) Limited() bool { return b.PerSecond > 0 }

// most is the number of requests that a cold run gets within coldWindow.
func (b ColdBound) most() int { return max(1, int(b.PerSecond*b.Overage+b.Slack)-coldSpare) }

// Pace returns the rate at which requests start at a cold run. Together with its burst
// it stays within the bound, so that requests wait in the queue, which knows when they
// will start, and are not refused when they are about to be sent.
func (b ColdBound) Pace() Rate {
	rate := max(minRate, min(b.PerSecond*max(1, b.Overage), float64(b.most())/coldWindow.Seconds()))
	return Rate{PerSecond: rate, Burst: max(1, float64(b.most())-rate*coldWindow.Seconds())}
}

// SendLog holds the instants at which the last requests were sent to a run. It answers
// the load of a cold run that many callers ask for its keys at once: however its
// requests were admitted, the run gets no more than its bound. It is immutable, so
// that concurrent senders can replace it by compare-and-swap.
type SendLog struct {
	bound  ColdBound
	sentAt []clock.Instant // oldest first, at most bound.most()
}

// NewSendLog returns the log of a process that starts at now. What a former process
// sent in the last second is not known, so the log counts as full.
func NewSendLog(now clock.Instant, b ColdBound) *SendLog {
	l := &SendLog{bound: b, sentAt: make([]clock.Instant, b.most())}
	for i := range l.sentAt {
		l.sentAt[i] = now
	}
	return l
}

// WithBound returns the log for another bound, or the same one.
func (l *SendLog) WithBound(b ColdBound) *SendLog {
	if b == l.bound {
		return l
	}
	next := &SendLog{bound: b, sentAt: l.sentAt}
	if extra := len(l.sentAt) - b.most(); extra > 0 {
		next.sentAt = l.sentAt[extra:]
	}
	return next
}

// FreeAt returns the instant from which a cold run may get another request.
func (l *SendLog) FreeAt() clock.Instant {
	if len(l.sentAt) < l.bound.most() {
		return 0
	}
	return l.sentAt[0].Add(coldWindow)
}

// Add returns the log after a request that is sent at now.
func (l *SendLog) Add(now clock.Instant) *SendLog {
	drop := max(0, len(l.sentAt)+1-l.bound.most())
	sentAt := make([]clock.Instant, 0, len(l.sentAt)+1-drop)
	return &SendLog{bound: l.bound, sentAt: append(append(sentAt, l.sentAt[drop:]...), now)}
}
