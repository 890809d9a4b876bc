package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// manualClock is a clock whose time the test sets.
type manualClock struct {
	clock.Clock
	now clock.Instant
}

func (s *manualClock) Now() clock.Instant { return s.now }

// Guards against forwarding a request to the backend server after its deadline.
// On trouble-2 of lammas-hinta, seed 205061705980, a node that got no processor
// time read calls 0.75 s after they were sent, with a deadline in 0.2 s.
func TestDelayOfLateRequest(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	d := NewDelayEstimator(c)
	const clockDifference = 20 * time.Minute // between the clocks of the two nodes
	delayOf := func(late time.Duration) time.Duration {
		return d.estimate(7, c.now.Add(-clockDifference-late))
	}
	must.Eq(t, 0, delayOf(2*time.Millisecond))
	must.Eq(t, 0, delayOf(90*time.Millisecond))
	must.Eq(t, 748*time.Millisecond, delayOf(750*time.Millisecond))
	must.Eq(t, int64(1), d.LateRequests())
	c.now = c.now.Add(offsetWindow)
	must.Eq(t, 748*time.Millisecond, delayOf(750*time.Millisecond), must.Sprint("samples of the previous window must count"))
	must.Eq(t, 0, d.estimate(8, c.now), must.Sprint("each process must have its own offset"))
}

// Guards against taking clock drift for a delay, which would make the node
// refuse requests that are on time.
func TestDelayIgnoresClockDrift(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	d := NewDelayEstimator(c)
	for i := range 10_000 {
		c.now = c.now.Add(100 * time.Millisecond)
		drift := time.Duration(i) * 100 * time.Millisecond / 200 // 0.5%
		must.Eq(t, 0, d.estimate(7, c.now.Add(-drift)), must.Sprint(i))
	}
	c.now = c.now.Add(time.Hour) // no request came for a whole window
	must.Eq(t, 0, d.estimate(7, c.now.Add(-time.Minute)))
}

// Guards against a deadline that is counted from when a late request is read
// instead of from when it was sent.
func TestLateRequestHasLessTime(t *testing.T) {
	c := &manualClock{now: clock.Instant(time.Hour)}
	inbound := InboundDialect{LoadSource: fixedUsage{}, DelayEstimator: NewDelayEstimator(c)}
	now := time.Now()
	timeLeft := func() time.Duration {
		req, err := inbound.ParseHead(core.RequestHead{Method: "GET", Path: "/", Fields: []core.Field{
			{Name: hopService, Value: "s"}, {Name: hopTimeLeft, Value: "200000"}, {Name: hopSender, Value: "7"}, {Name: hopSentAt, Value: "1000"},
		}}, now)
		must.NoError(t, err)
		return req.Deadline.Sub(now)
	}
	must.Eq(t, 200*time.Millisecond, timeLeft())
	c.now = c.now.Add(750 * time.Millisecond)
	must.Eq(t, -550*time.Millisecond, timeLeft())
	inbound.DelayEstimator = nil
	must.Eq(t, 200*time.Millisecond, timeLeft())
}
