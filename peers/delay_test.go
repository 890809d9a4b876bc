package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// steady is a clock that the test sets.
type steady struct {
	clock.Clock
	now clock.Instant
}

func (s *steady) Now() clock.Instant { return s.now }

// Guards against a request that is passed on after its caller's time: on
// trouble-2 of lammas-hinta, seed 205061705980, calls with 0.2 s left were read
// 0.75 s after they were sent, by a node without processor time.
func TestDelayOfLateRequests(t *testing.T) {
	c := &steady{now: clock.Instant(time.Hour)}
	d := NewDelays(c)
	const away = 20 * time.Minute // between the clocks of the two nodes
	at := func(late time.Duration) time.Duration {
		return d.of(7, c.now.Add(-away-late))
	}
	must.Eq(t, 0, at(2*time.Millisecond))
	must.Eq(t, 0, at(90*time.Millisecond))
	must.Eq(t, 748*time.Millisecond, at(750*time.Millisecond))
	must.Eq(t, int64(1), d.Corrected())
	c.now = c.now.Add(delayWindow)
	must.Eq(t, 748*time.Millisecond, at(750*time.Millisecond), must.Sprint("the window before still counts"))
	must.Eq(t, 0, d.of(8, c.now), must.Sprint("another process has another clock"))
}

// Guards against drifting clocks that look like a delay, which would refuse
// sound requests.
func TestDelayForgetsDrift(t *testing.T) {
	c := &steady{now: clock.Instant(time.Hour)}
	d := NewDelays(c)
	for i := range 10_000 {
		c.now = c.now.Add(100 * time.Millisecond)
		drift := time.Duration(i) * 100 * time.Millisecond / 200 // 0.5%
		must.Eq(t, 0, d.of(7, c.now.Add(-drift)), must.Sprint(i))
	}
	c.now = c.now.Add(time.Hour) // nothing was heard
	must.Eq(t, 0, d.of(7, c.now.Add(-time.Minute)))
}

// Guards against a deadline that begins anew where a late request is read.
func TestLateRequestHasLessTime(t *testing.T) {
	c := &steady{now: clock.Instant(time.Hour)}
	in := Inbound{Loads: loads{}, Delays: NewDelays(c)}
	now := time.Now()
	left := func() time.Duration {
		req, err := in.ParseHead(core.RequestHead{Method: "GET", Path: "/", Fields: []core.Field{
			{Name: hopService, Value: "s"}, {Name: hopLeft, Value: "200000"}, {Name: hopFrom, Value: "7"}, {Name: hopSent, Value: "1000"},
		}}, now)
		must.NoError(t, err)
		return req.Deadline.Sub(now)
	}
	must.Eq(t, 200*time.Millisecond, left())
	c.now = c.now.Add(750 * time.Millisecond)
	must.Eq(t, -550*time.Millisecond, left())
	in.Delays = nil
	must.Eq(t, 200*time.Millisecond, left())
}
