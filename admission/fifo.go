package admission

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// FIFO is a simple Policy to compare the Controller with. It applies the hard
// limits and keeps one bounded queue in order of arrival, without classes or
// shares. A request leaves the queue unserved when its deadline has passed, its
// caller cancels it or the policy drains.
type FIFO struct {
	cfg     Config
	pool    *pool
	queue   entryList
	queued  int
	running int
	stats   Stats
	starts  []Start
	refused []Refusal
}

var _ Policy = (*FIFO)(nil)

// NewFIFO returns a FIFO. It uses the fields Slots, Connections and QueueSize
// of the Config.
func NewFIFO(c Config) *FIFO {
	c = c.withDefaults()
	return &FIFO{cfg: c, pool: newPool(c.QueueSize + c.Connections), queue: entryList{none, none}}
}

func (f *FIFO) slots() int { return min(f.cfg.Slots, f.cfg.Connections) }

// Offer implements Policy.
func (f *FIFO) Offer(now clock.Instant, t Ticket) Decision {
	if f.stats.Draining || f.queued >= f.cfg.QueueSize {
		f.stats.Refused++
		code := core.CodeQueueFull
		if f.stats.Draining {
			code = core.CodeDraining
		}
		return Decision{Verdict: Refuse, Code: code, RetryAfter: time.Second}
	}
	i := f.pool.acquire()
	e := &f.pool.entries[i]
	e.ref, e.deadline = t.Ref, t.Deadline
	if f.queued == 0 && f.running < f.slots() {
		f.startEntry(e)
		return Decision{Verdict: Admit, ID: f.pool.id(i)}
	}
	e.state = queued
	f.queue.pushBack(f.pool, i)
	f.queued++
	return Decision{Verdict: Queue, ID: f.pool.id(i)}
}

func (f *FIFO) startEntry(e *entry) {
	e.state = running
	f.running++
	f.stats.Admitted++
}

// Done implements Policy.
func (f *FIFO) Done(_ clock.Instant, id ID, _ Result) []Start {
	f.starts = f.starts[:0]
	i := f.pool.lookup(id)
	if i == none || f.pool.entries[i].state != running {
		return f.starts
	}
	f.running--
	f.pool.release(i)
	for f.queued > 0 && f.running < f.slots() {
		i := f.dequeue(f.queue.head)
		e := &f.pool.entries[i]
		f.startEntry(e)
		f.starts = append(f.starts, Start{ID: f.pool.id(i), Ref: e.ref})
	}
	return f.starts
}

// dequeue removes entry i from the queue and returns i.
func (f *FIFO) dequeue(i int32) int32 {
	f.queue.remove(f.pool, i)
	f.queued--
	return i
}

// Cancel implements Policy.
func (f *FIFO) Cancel(now clock.Instant, id ID) []Start {
	i := f.pool.lookup(id)
	if i == none || f.pool.entries[i].state != queued {
		return f.Done(now, id, Abandoned)
	}
	f.stats.Canceled++
	f.pool.release(f.dequeue(i))
	return f.starts[:0]
}

// Expire implements Policy.
func (f *FIFO) Expire(now clock.Instant) ([]Start, []Refusal) {
	f.refused = f.refused[:0]
	for i := f.queue.head; i != none; {
		e := &f.pool.entries[i]
		next := e.next
		if e.deadline != 0 && e.deadline.Before(now) {
			f.stats.Expired++
			f.refuse(i, core.CodeDeadlineNotRun)
		}
		i = next
	}
	return nil, f.refused
}

func (f *FIFO) refuse(i int32, code core.Code) {
	r := Refusal{f.pool.id(i), f.pool.entries[i].ref, code, time.Second}
	f.refused = append(f.refused, r)
	f.pool.release(f.dequeue(i))
}

// ExpireInterval implements Policy.
func (f *FIFO) ExpireInterval() time.Duration {
	if f.queued > 0 {
		return 2 * time.Millisecond
	}
	return 0
}

// Drain implements Policy.
func (f *FIFO) Drain(clock.Instant) []Refusal {
	f.refused, f.stats.Draining = f.refused[:0], true
	for f.queued > 0 {
		f.refuse(f.queue.head, core.CodeDraining)
	}
	return f.refused
}

// Stats implements Policy. It counts all work as short.
func (f *FIFO) Stats() Stats {
	s := f.stats
	s.Limit, s.RunningShort, s.QueuedShort = f.slots(), f.running, f.queued
	return s
}
