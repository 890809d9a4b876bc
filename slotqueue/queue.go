package slotqueue

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Ticket is one request that asks for a slot.
type Ticket struct {
	// Class groups requests of similar service time, such as those of a route.
	Class string
	// Priority ranks tickets; 0 is the highest.
	Priority int
	// TargetTime is the instant up to which an answer has its full worth, Deadline the
	// one after which it has none. Either may be 0.
	TargetTime, Deadline clock.Instant
	// CallerData is the caller's.
	CallerData any

	arrived clock.Instant
	started clock.Instant
	order   uint64
}

// Verdict answers Offer.
type Verdict uint8

// Verdicts.
const (
	Admit Verdict = iota + 1
	Wait
	Refuse
)

// Decision is the answer to Offer. Code and RetryAfter are set for Refuse.
type Decision struct {
	Verdict    Verdict
	Code       core.Code
	RetryAfter time.Duration
	// Expected is the wait that was foreseen.
	Expected time.Duration
}

// Stats is a snapshot for beacons and metrics.
type Stats struct {
	Slots, Running, Waiting int
	// MeanServiceTime is the mean service time of all classes.
	MeanServiceTime time.Duration
}

const (
	// maxWaiting bounds the queue; at 15 slots of 80 ms, 120 tickets wait 640 ms.
	maxWaiting = 120
	// firstEstimate is the service time assumed for a class without a sample.
	firstEstimate = 50 * time.Millisecond
	// smoothing is the weight of one sample in an average.
	smoothing = 0.05
	// least and most bound the time after which a refused caller may return.
	least = 100 * time.Millisecond
	most  = time.Second
)

// Queue is the admission of one backend server.
type Queue struct {
	slots    int
	open     bool
	running  map[*Ticket]struct{}
	waiting  []*Ticket // by priority, then by arrival
	service  map[string]time.Duration
	mean     time.Duration
	sequence uint64
}

// New returns a queue that admits nothing until Resize.
func New() *Queue {
	return &Queue{running: make(map[*Ticket]struct{}), service: make(map[string]time.Duration), mean: firstEstimate}
}

// Resize sets the number of slots.
func (q *Queue) Resize(slots int) { q.slots = slots }

// SetOpen lets requests in, or closes the queue for new ones.
func (q *Queue) SetOpen(accept bool) { q.open = accept }

// ResetServiceTimes drops the service times, which do not hold for another run.
func (q *Queue) ResetServiceTimes() {
	clear(q.service)
	q.mean = firstEstimate
}

// Stats returns a snapshot.
func (q *Queue) Stats() Stats {
	return Stats{Slots: q.slots, Running: len(q.running), Waiting: len(q.waiting), MeanServiceTime: q.mean}
}

func (q *Queue) estimate(class string) time.Duration {
	if d, ok := q.service[class]; ok {
		return d
	}
	return q.mean
}

// Offer decides about a new ticket.
func (q *Queue) Offer(now clock.Instant, t *Ticket) Decision {
	if !q.open || q.slots == 0 {
		return Decision{Verdict: Refuse, Code: core.CodeBackendDown}
	}
	t.arrived = now
	q.sequence++
	t.order = q.sequence
	if len(q.running) < q.slots && len(q.waiting) == 0 {
		q.start(now, t)
		return Decision{Verdict: Admit}
	}
	wait := q.expected(now, t)
	if d, late := q.tooLate(now, t, wait); late {
		return d
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, compare)
	q.waiting = slices.Insert(q.waiting, at, t)
	return Decision{Verdict: Wait, Expected: wait}
}

func compare(a, b *Ticket) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	return int(a.order) - int(b.order)
}

// tooLate refuses a ticket that could not be answered in time. The caller may
// return when the backlog that is too much now has been worked off.
func (q *Queue) tooLate(now clock.Instant, t *Ticket, wait time.Duration) (Decision, bool) {
	limit := t.TargetTime
	if limit == 0 || limit.Before(now) {
		limit = t.Deadline
	}
	end := now.Add(wait + q.estimate(t.Class))
	if len(q.waiting) < maxWaiting && (limit == 0 || !end.After(limit)) {
		return Decision{}, false
	}
	return Decision{
		Verdict: Refuse, Code: core.CodeQueueFull, Expected: wait,
		RetryAfter: min(max(wait, least), most),
	}, true
}

// expected foresees the wait of a ticket: the work that goes before it, divided
// among the slots. Running requests are half done on average. One that takes
// longer than usual will take longer still, as on a backend server that hangs.
func (q *Queue) expected(now clock.Instant, t *Ticket) time.Duration {
	var work time.Duration
	for r := range q.running {
		work += max(q.estimate(r.Class), r.RunTime(now)) / 2
	}
	for _, w := range q.waiting {
		if compare(w, t) > 0 {
			break
		}
		work += q.estimate(w.Class)
	}
	return work / time.Duration(q.slots)
}

func (q *Queue) start(now clock.Instant, t *Ticket) {
	t.started = now
	q.running[t] = struct{}{}
}

// Done ends a started ticket and returns those that start now. answered tells
// that the backend server gave an answer, so that the time is a sample.
func (q *Queue) Done(now clock.Instant, t *Ticket, answered bool) []*Ticket {
	if _, ok := q.running[t]; !ok {
		return nil
	}
	delete(q.running, t)
	// One without an answer would have taken longer.
	if took := now.Sub(t.started); answered || took > q.estimate(t.Class) {
		q.sample(t.Class, took)
	}
	return q.fill(now)
}

func (q *Queue) sample(class string, took time.Duration) {
	old, ok := q.service[class]
	if !ok {
		old = took
	}
	q.service[class] = old + time.Duration(smoothing*float64(took-old))
	q.mean += time.Duration(smoothing * float64(took-q.mean))
}

// fill starts waiting tickets while slots are free.
func (q *Queue) fill(now clock.Instant) []*Ticket {
	var started []*Ticket
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.start(now, t)
		started = append(started, t)
	}
	return started
}

// Cancel removes a ticket whose caller left.
func (q *Queue) Cancel(now clock.Instant, t *Ticket) []*Ticket {
	if at := slices.Index(q.waiting, t); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		return nil
	}
	return q.Done(now, t, false)
}

// Expire returns waiting tickets that can no longer be answered before they
// are due, and those that start because of a change of the slots.
func (q *Queue) Expire(now clock.Instant) (refused, started []*Ticket) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if t.Deadline != 0 && now.Add(q.estimate(t.Class)/2).After(t.Deadline) {
			refused = append(refused, t)
			continue
		}
		kept = append(kept, t)
	}
	q.waiting = kept
	return refused, q.fill(now)
}

// Flush returns all waiting tickets, which are refused because the backend
// server takes no more requests.
func (q *Queue) Flush() []*Ticket {
	out := q.waiting
	q.waiting = nil
	return out
}

// WaitTime returns how long a ticket was in the queue before it started.
func (t *Ticket) WaitTime() time.Duration { return t.started.Sub(t.arrived) }

// RunTime returns how long a started ticket has been running.
func (t *Ticket) RunTime(now clock.Instant) time.Duration { return now.Sub(t.started) }
