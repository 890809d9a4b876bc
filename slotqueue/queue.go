package slotqueue

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Ticket is a request that needs a slot of the backend server. The queue keeps
// the pointer until the ticket is done, refused or canceled.
type Ticket struct {
	// Class names a group of requests with similar service times, such as those
	// of a route.
	Class string
	// Priority ranks tickets; 0 is the most urgent.
	Priority int
	// Call marks a ticket whose caller is itself a request with a slot, which is held
	// until this one is answered. Calls come before all others.
	Call bool
	// TargetTime is the instant by which the request should be answered, Deadline
	// the one after which a response is of no use. Either may be 0, for none.
	TargetTime, Deadline clock.Instant
	// CallerData is for use by the caller; the queue ignores it.
	CallerData any

	arrivedAt    clock.Instant
	startedAt    clock.Instant
	arrivalOrder uint64
}

// Verdict tells what becomes of a ticket.
type Verdict uint8

const (
	// Admit starts the ticket at once.
	Admit Verdict = iota + 1
	// Wait puts the ticket in the queue.
	Wait
	// Refuse rejects the ticket.
	Refuse
)

// Decision is the result of Offer. Code is set if Verdict is Refuse; RetryAfter
// also, unless the queue is closed or has no slots.
type Decision struct {
	Verdict    Verdict
	Code       core.Code
	RetryAfter time.Duration
	// ExpectedWait is the estimated time in the queue.
	ExpectedWait time.Duration
}

// Stats is a snapshot of a queue for status reports and metrics.
type Stats struct {
	Slots, Running, Waiting int
	// Rate is the limit of tickets that start in a second, or 0 for none.
	Rate float64
	// MeanServiceTime is the moving average over all classes.
	MeanServiceTime time.Duration
}

const (
	// maxWaiting is the largest number of waiting tickets. With 15 slots and a
	// service time of 80 ms, 120 tickets wait 640 ms.
	maxWaiting = 120
	// initialServiceTime is the service time assumed for a class without a sample.
	initialServiceTime = 50 * time.Millisecond
	// smoothingFactor is the weight of one sample in a moving average.
	smoothingFactor = 0.05
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// Queue is the admission queue of one backend server. It is not safe for
// concurrent use.
type Queue struct {
	slots           int
	open            bool
	running         map[*Ticket]struct{}
	waiting         []*Ticket                // ordered by compareTickets
	serviceTimes    map[string]time.Duration // moving average for each class
	meanServiceTime time.Duration            // moving average over all classes
	offered         uint64                   // tickets numbered so far
	rate            rateLimit
	calls           callReserve
	runningCalls    int
}

// New returns a closed queue without slots. It refuses all tickets until Resize
// and SetOpen are called.
func New() *Queue {
	return &Queue{running: make(map[*Ticket]struct{}), serviceTimes: make(map[string]time.Duration), meanServiceTime: initialServiceTime}
}

// Resize sets the number of slots. Expire starts the tickets that fit into new
// ones.
func (q *Queue) Resize(slots int) { q.slots = slots }

// SetOpen sets whether the queue accepts new tickets or refuses them all.
// Tickets already waiting stay in the queue.
func (q *Queue) SetOpen(accept bool) { q.open = accept }

// ResetServiceTimes discards the recorded service times. They are not valid for
// another run of the backend server.
func (q *Queue) ResetServiceTimes() {
	clear(q.serviceTimes)
	q.meanServiceTime = initialServiceTime
}

func (q *Queue) Stats() Stats {
	return Stats{Slots: q.slots, Running: len(q.running), Waiting: len(q.waiting), Rate: q.rate.perSecond, MeanServiceTime: q.meanServiceTime}
}

// estimateServiceTime returns the average service time of a class, or of all
// classes if the class has no sample.
func (q *Queue) estimateServiceTime(class string) time.Duration {
	if d, ok := q.serviceTimes[class]; ok {
		return d
	}
	return q.meanServiceTime
}

// Offer decides about a new ticket at instant now.
func (q *Queue) Offer(now clock.Instant, t *Ticket) Decision {
	if !q.open || q.slots == 0 {
		return Decision{Verdict: Refuse, Code: core.CodeBackendDown}
	}
	t.arrivedAt = now
	q.offered++
	t.arrivalOrder = q.offered
	q.rate.countOffer(now, t.Priority)
	if t.Call {
		q.calls.count(now, q.estimateServiceTime(t.Class))
	}
	if q.hasSlot(now, t) && q.isNext(t) && q.rate.take(now) {
		q.start(now, t)
		return Decision{Verdict: Admit}
	}
	wait := q.expectedWait(now, t)
	if d, refused := q.refuseIfFullOrLate(now, t, wait); refused {
		return d
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, compareTickets)
	q.waiting = slices.Insert(q.waiting, at, t)
	return Decision{Verdict: Wait, ExpectedWait: wait}
}

// isNext reports whether a new ticket comes before all that wait.
func (q *Queue) isNext(t *Ticket) bool {
	return len(q.waiting) == 0 || t.Call && !q.waiting[0].Call
}

// compareTickets orders tickets: calls first, then by priority, then by the instant
// at which they should be answered, then by arrival. In order of arrival, requests with
// a late target would make those with an early one wait until they are refused.
func compareTickets(a, b *Ticket) int {
	if a.Call != b.Call {
		if a.Call {
			return -1
		}
		return 1
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if d := cmp.Compare(a.dueAt(), b.dueAt()); d != 0 {
		return d
	}
	return cmp.Compare(a.arrivalOrder, b.arrivalOrder)
}

// dueAt returns the target time, or the deadline of a ticket that arrived after
// its target. A ticket without either is due when it arrives.
func (t *Ticket) dueAt() clock.Instant {
	switch {
	case t.TargetTime > t.arrivedAt:
		return t.TargetTime
	case t.Deadline != 0:
		return t.Deadline
	}
	return t.arrivedAt
}

// refuseIfFullOrLate returns a refusal and true if the queue is full, or if a
// ticket with the given expected wait could not be answered in time. RetryAfter
// is then the expected wait, after which the present backlog has been processed.
func (q *Queue) refuseIfFullOrLate(now clock.Instant, t *Ticket, wait time.Duration) (Decision, bool) {
	limit := t.TargetTime
	if limit == 0 || limit.Before(now) {
		limit = t.Deadline
	}
	end := now.Add(wait + q.estimateServiceTime(t.Class))
	if len(q.waiting) < maxWaiting && (limit == 0 || !end.After(limit)) {
		return Decision{}, false
	}
	return Decision{
		Verdict: Refuse, Code: core.CodeQueueFull, ExpectedWait: wait,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}, true
}

// expectedWait estimates the wait of a ticket: the remaining work of the
// tickets before it, divided by the number of slots, or the time until the rate
// limit lets it start if that is longer. On average, half of a
// running request is done. One that has run for longer than its estimate, as on
// a backend server that hangs, is expected to run for half of that time again.
func (q *Queue) expectedWait(now clock.Instant, t *Ticket) time.Duration {
	var work time.Duration
	for r := range q.running {
		work += max(q.estimateServiceTime(r.Class), r.RunTime(now)) / 2
	}
	ahead := 0
	for _, w := range q.waiting {
		if compareTickets(w, t) > 0 {
			break
		}
		work += q.estimateServiceTime(w.Class)
		ahead++
	}
	return max(work/time.Duration(q.slots), q.rate.wait(now, ahead, t.Priority))
}

// start gives t a slot.
func (q *Queue) start(now clock.Instant, t *Ticket) {
	t.startedAt = now
	q.running[t] = struct{}{}
	if t.Call {
		q.runningCalls++
	}
}

// Done ends a started ticket and returns the waiting tickets that start in its
// place. answered tells whether the backend server responded, in which case the
// service time is recorded.
func (q *Queue) Done(now clock.Instant, t *Ticket, answered bool) []*Ticket {
	if _, ok := q.running[t]; !ok {
		return nil
	}
	delete(q.running, t)
	if t.Call {
		q.runningCalls--
	}
	// Without a response, the time is a lower bound of the service time. It is
	// recorded only if it exceeds the estimate.
	if took := now.Sub(t.startedAt); answered || took > q.estimateServiceTime(t.Class) {
		q.recordServiceTime(t.Class, took)
	}
	return q.startWaiting(now)
}

// recordServiceTime adds a sample to the averages of its class and of all
// classes.
func (q *Queue) recordServiceTime(class string, took time.Duration) {
	old, ok := q.serviceTimes[class]
	if !ok {
		old = took
	}
	q.serviceTimes[class] = old + time.Duration(smoothingFactor*float64(took-old))
	q.meanServiceTime += time.Duration(smoothingFactor * float64(took-q.meanServiceTime))
}

// startWaiting starts waiting tickets while slots are free, and returns them.
func (q *Queue) startWaiting(now clock.Instant) []*Ticket {
	var started []*Ticket
	for len(q.waiting) > 0 {
		at := q.next(now)
		t := q.waiting[at]
		if !q.hasSlot(now, t) || !q.rate.take(now) {
			break
		}
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.start(now, t)
		started = append(started, t)
	}
	return started
}

// next returns the index of the ticket that starts next: the first one that can be
// answered on time among those that are as urgent as the first of all, or else that. It
// answers the load of a backend server that turns slow for a moment with a queue before
// it: in strict order, each ticket would start when it is just too late, and so make the
// ones behind it late.
func (q *Queue) next(now clock.Instant) int {
	first := q.waiting[0]
	for i, t := range q.waiting {
		if t.Call != first.Call || t.Priority != first.Priority {
			break
		}
		if t.TargetTime == 0 || !now.Add(q.estimateServiceTime(t.Class)).After(t.TargetTime) {
			return i
		}
	}
	return 0
}

// Cancel removes a ticket whose caller disconnected, waiting or started, and
// returns the tickets that start in its place.
func (q *Queue) Cancel(now clock.Instant, t *Ticket) []*Ticket {
	if at := slices.Index(q.waiting, t); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		return nil
	}
	return q.Done(now, t, false)
}

// Expire removes and returns the waiting tickets whose time to the deadline is
// less than half of their estimated service time, after the time until the rate
// limit lets them start. It also returns the tickets that start because the number
// of slots grew or the rate limit allows it.
func (q *Queue) Expire(now clock.Instant) (refused, started []*Ticket) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.rate.wait(now, len(kept), t.Priority)
		if t.Deadline != 0 && now.Add(wait+q.estimateServiceTime(t.Class)/2).After(t.Deadline) {
			refused = append(refused, t)
			continue
		}
		kept = append(kept, t)
	}
	q.waiting = kept
	return refused, q.startWaiting(now)
}

// Flush removes and returns all waiting tickets. The caller refuses them when
// the backend server accepts no more requests.
func (q *Queue) Flush() []*Ticket {
	out := q.waiting
	q.waiting = nil
	return out
}

// StartedAt returns when a started ticket got its slot.
func (t *Ticket) StartedAt() clock.Instant { return t.startedAt }

// WaitTime returns how long a started ticket waited in the queue.
func (t *Ticket) WaitTime() time.Duration { return t.startedAt.Sub(t.arrivedAt) }

// RunTime returns how long a started ticket has been running.
func (t *Ticket) RunTime(now clock.Instant) time.Duration { return now.Sub(t.startedAt) }
