package slotqueue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const startTime = clock.Instant(time.Hour)

func newOpenQueue(slots int) *Queue {
	q := New()
	q.Resize(slots)
	q.SetOpen(true)
	return q
}

// Guards against sending more requests to a backend server than it has slots,
// in any order of completions and cancellations. A backend server that cannot
// queue would never answer the surplus requests.
func TestNeverMoreThanSlots(t *testing.T) {
	q := newOpenQueue(3)
	var running []*Ticket
	for i := range 1000 {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
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

// Guards against starting a request before one of higher priority, or before an
// earlier one of the same priority.
func TestStartByPriorityThenArrival(t *testing.T) {
	q := newOpenQueue(1)
	first := &Ticket{Class: "c"}
	must.Eq(t, Admit, q.Offer(startTime, first).Verdict)
	low, high, second := &Ticket{Priority: 2}, &Ticket{Priority: 1}, &Ticket{Priority: 1}
	for _, x := range []*Ticket{low, high, second} {
		must.Eq(t, Wait, q.Offer(startTime, x).Verdict)
	}
	must.Eq(t, []*Ticket{high}, q.Done(startTime, first, true))
	must.Eq(t, []*Ticket{second}, q.Done(startTime, high, true))
	must.Eq(t, []*Ticket{low}, q.Done(startTime, second, true))
}

// Guards against calls with a short target that are refused because requests
// with a long one arrived first and can wait.
func TestShortTargetStartsBeforeLongOne(t *testing.T) {
	q := newOpenQueue(1)
	first := &Ticket{Class: "upload"}
	must.Eq(t, Admit, q.Offer(startTime, first).Verdict)
	var uploads []*Ticket
	for range 8 {
		x := &Ticket{Class: "upload", Priority: 1, TargetTime: startTime.Add(1500 * time.Millisecond)}
		must.Eq(t, Wait, q.Offer(startTime, x).Verdict)
		uploads = append(uploads, x)
	}
	call := &Ticket{Class: "call", Priority: 1, TargetTime: startTime.Add(400 * time.Millisecond)}
	must.Eq(t, Wait, q.Offer(startTime, call).Verdict)
	must.Eq(t, []*Ticket{call}, q.Done(startTime.Add(50*time.Millisecond), first, true))
	must.Eq(t, []*Ticket{uploads[0]}, q.Done(startTime.Add(100*time.Millisecond), call, true))
}

// Guards against queueing a request whose response would be late, and against a
// refusal without RetryAfter.
func TestRefuseLateRequests(t *testing.T) {
	q := newOpenQueue(1)
	for range 200 { // the average service time of the class becomes 100 ms
		x := &Ticket{Class: "c"}
		q.Offer(startTime, x)
		q.Done(startTime.Add(100*time.Millisecond), x, true)
	}
	q.Offer(startTime, &Ticket{Class: "c"})
	target := startTime.Add(220 * time.Millisecond)
	must.Eq(t, Wait, q.Offer(startTime, &Ticket{Class: "c", TargetTime: target}).Verdict)
	d := q.Offer(startTime, &Ticket{Class: "c", TargetTime: target})
	must.Eq(t, Refuse, d.Verdict)
	must.Eq(t, core.CodeQueueFull, d.Code)
	must.Positive(t, d.RetryAfter)
	must.True(t, d.Code.NotRun())
}

// Guards against tickets that stay in the queue beyond their deadline.
func TestExpire(t *testing.T) {
	q := newOpenQueue(1)
	q.Offer(startTime, &Ticket{Class: "c"})
	x := &Ticket{Class: "c", Deadline: startTime.Add(time.Second)}
	must.Eq(t, Wait, q.Offer(startTime, x).Verdict)
	refused, _ := q.Expire(startTime.Add(500 * time.Millisecond))
	must.Len(t, 0, refused)
	refused, _ = q.Expire(startTime.Add(time.Second))
	must.Eq(t, []*Ticket{x}, refused)
}

// Guards against queueing tickets behind requests that hang. In larger fleets,
// 40 tickets waited behind 12 requests that had no response, until their
// deadlines passed.
func TestHungRequestsRefuseOthers(t *testing.T) {
	q := newOpenQueue(4)
	var hung []*Ticket
	for range 4 {
		x := &Ticket{Class: "c", TargetTime: startTime.Add(250 * time.Millisecond), Deadline: startTime.Add(800 * time.Millisecond)}
		must.Eq(t, Admit, q.Offer(startTime, x).Verdict)
		hung = append(hung, x)
	}
	now := startTime.Add(600 * time.Millisecond)
	x := &Ticket{Class: "c", TargetTime: now.Add(250 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)}
	must.Eq(t, Refuse, q.Offer(now, x).Verdict)
	for _, h := range hung {
		q.Done(now.Add(200*time.Millisecond), h, false)
	}
	must.Greater(t, initialServiceTime, q.estimateServiceTime("c"), must.Sprint("service time of a request without a response must raise the estimate"))
}
