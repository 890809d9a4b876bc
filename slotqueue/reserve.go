package slotqueue

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

// callWindow is the time constant of the average of the work that calls ask for.
const callWindow = time.Second

// callReserve measures the slots that calls need. It answers the load of calls that
// find all slots taken by longer work: they may come first in the queue, but no slot
// becomes free within their time.
type callReserve struct {
	work      float64 // decaying sum of the work offered by calls, in seconds
	decayedAt clock.Instant
}

// count records the work that a call asks for.
func (r *callReserve) count(now clock.Instant, work time.Duration) {
	r.work = r.at(now) + work.Seconds()
	r.decayedAt = now
}

// at returns the decayed sum of the work.
func (r *callReserve) at(now clock.Instant) float64 {
	if !now.After(r.decayedAt) {
		return r.work
	}
	return r.work * math.Exp(-now.Sub(r.decayedAt).Seconds()/callWindow.Seconds())
}

// slots returns how many of the slots are kept for calls: as many as are busy with them
// on average, and a part of the deviation of that number. Other work has half of them in
// any case: where the backend server is slow, calls alone may ask for more than it can do.
func (r *callReserve) slots(now clock.Instant, of int) int {
	load := r.at(now) / callWindow.Seconds()
	if load < minCallLoad {
		return 0
	}
	return min(of/2, int(math.Ceil(load+deviationPart*math.Sqrt(load))))
}

const (
	// minCallLoad is the number of slots busy with calls up to which none is kept.
	minCallLoad = 0.1
	// deviationPart is the part of the standard deviation of the slots that calls use
	// which is kept as well. More would leave slots idle while uploads wait.
	deviationPart = 0.25
)

// hasSlot reports whether a ticket may start, as far as the slots go.
func (q *Queue) hasSlot(now clock.Instant, t *Ticket) bool {
	free := q.slots - len(q.running)
	if t.Call {
		return free > 0
	}
	kept := max(0, q.calls.slots(now, q.slots)-q.runningCalls)
	return free > kept
}
