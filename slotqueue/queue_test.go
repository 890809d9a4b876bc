package slotqueue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const start = clock.Instant(time.Hour)

func open(slots int) *Queue {
	q := New()
	q.Resize(slots)
	q.SetOpen(true)
	return q
}

// Guards against more requests at a backend server than it has slots, whatever
// the order of ends and cancellations: one that cannot queue never answers.
func TestNeverMoreThanSlots(t *testing.T) {
	q := open(3)
	var running []*Ticket
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		x := &Ticket{Class: "c", Priority: i % 3}
		if q.Offer(now, x).Verdict == Admit {
			running = append(running, x)
		}
		if i%2 == 0 && len(running) > 0 {
			x, running = running[0], running[1:]
			if i%4 == 0 {
				running = append(running, q.Done(now, x, true)...)
			} else {
				running = append(running, q.Cancel(now, x)...)
			}
		}
		must.LessEq(t, 3, len(running))
		must.Eq(t, len(running), q.Stats().Running)
	}
}

// Guards against a less urgent request that is served before a more urgent one.
func TestPriorityThenArrival(t *testing.T) {
	q := open(1)
	first := &Ticket{Class: "c"}
	must.Eq(t, Admit, q.Offer(start, first).Verdict)
	low, high, second := &Ticket{Priority: 2}, &Ticket{Priority: 1}, &Ticket{Priority: 1}
	for _, x := range []*Ticket{low, high, second} {
		must.Eq(t, Wait, q.Offer(start, x).Verdict)
	}
	must.Eq(t, []*Ticket{high}, q.Done(start, first, true))
	must.Eq(t, []*Ticket{second}, q.Done(start, high, true))
	must.Eq(t, []*Ticket{low}, q.Done(start, second, true))
}

// Guards against a request that waits although its answer would come too late,
// and against a refusal that does not say when to come back.
func TestRefusesAtOnceWhatComesTooLate(t *testing.T) {
	q := open(1)
	for range 200 { // the class takes 100 ms
		x := &Ticket{Class: "c"}
		q.Offer(start, x)
		q.Done(start.Add(100*time.Millisecond), x, true)
	}
	q.Offer(start, &Ticket{Class: "c"})
	target := start.Add(220 * time.Millisecond)
	must.Eq(t, Wait, q.Offer(start, &Ticket{Class: "c", TargetTime: target}).Verdict)
	d := q.Offer(start, &Ticket{Class: "c", TargetTime: target})
	must.Eq(t, Refuse, d.Verdict)
	must.Eq(t, core.CodeQueueFull, d.Code)
	must.Positive(t, d.RetryAfter)
	must.True(t, d.Code.NotRun())
}

// Guards against tickets that wait beyond the time at which they are due.
func TestExpire(t *testing.T) {
	q := open(1)
	q.Offer(start, &Ticket{Class: "c"})
	x := &Ticket{Class: "c", Deadline: start.Add(time.Second)}
	must.Eq(t, Wait, q.Offer(start, x).Verdict)
	refused, _ := q.Expire(start.Add(500 * time.Millisecond))
	must.Len(t, 0, refused)
	refused, _ = q.Expire(start.Add(time.Second))
	must.Eq(t, []*Ticket{x}, refused)
}

// Guards against tickets that wait behind requests which hang: on the grown
// sites 40 waited before 12 that had no answer, and ran out of time.
func TestHungRequestsRefuseOthers(t *testing.T) {
	q := open(4)
	var hung []*Ticket
	for range 4 {
		x := &Ticket{Class: "c", TargetTime: start.Add(250 * time.Millisecond), Deadline: start.Add(800 * time.Millisecond)}
		must.Eq(t, Admit, q.Offer(start, x).Verdict)
		hung = append(hung, x)
	}
	now := start.Add(600 * time.Millisecond)
	x := &Ticket{Class: "c", TargetTime: now.Add(250 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)}
	must.Eq(t, Refuse, q.Offer(now, x).Verdict)
	for _, h := range hung {
		q.Done(now.Add(200*time.Millisecond), h, false)
	}
	must.Greater(t, firstEstimate, q.estimate("c"), must.Sprint("a request without an answer says that it takes long"))
}
