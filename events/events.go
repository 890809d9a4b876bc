package events

import (
	"time"

	"marjoramshore.example/core"
)

// Limits bounds a journal.
type Limits struct {
	// MaxEvents and MaxBytes bound the events that are kept. The oldest events
	// are dropped first.
	MaxEvents, MaxBytes int
	// MergeWindow is the longest gap between equal refusals that are merged into
	// one burst. MaxBurstDuration is the longest burst; after it a new event
	// begins, so that a lasting refusal shows up in the journal again.
	MergeWindow, MaxBurstDuration time.Duration
	// MaxOpenBursts is the number of open bursts up to which refusals are merged
	// by customer. As many again may be open for refusals that are merged
	// regardless of the customer.
	MaxOpenBursts int
}

// DefaultLimits returns limits that keep about an hour of a day with many events
// in 2 MB, a thirtieth of the memory that a node may use for control.
func DefaultLimits() Limits {
	return Limits{MaxEvents: 4096, MaxBytes: 2 << 20, MergeWindow: 5 * time.Second, MaxBurstDuration: time.Minute, MaxOpenBursts: 256}
}

// burstKey identifies the refusals that are merged into one event. It leaves out
// the key of the request, because a burst concerns many keys of one service.
type burstKey struct {
	service  core.Service
	customer core.Customer
	node     core.NodeID
	code     core.Code
}

// Journal is a ring buffer of events. It is not safe for concurrent use, so one
// goroutine must own it.
type Journal struct {
	limits       Limits
	buffer       []Event
	oldest       int // index of the oldest event in buffer
	count        int
	bytes        int
	nextSequence uint64
	// openBursts maps a burst to the sequence of its event. An entry whose event
	// was overwritten stays until expireBursts or a new burst replaces it.
	openBursts map[burstKey]uint64
	// lastExpiry is when expireBursts last searched openBursts. A search for each
	// refusal would be expensive when many customers are refused.
	lastExpiry time.Time
	dropped    uint64
}

// New returns an empty journal.
func New(limits Limits) *Journal {
	return &Journal{limits: limits, nextSequence: 1, openBursts: make(map[burstKey]uint64, limits.MaxOpenBursts)}
}

// Record adds e and returns its sequence. A refusal that equals a recent one in
// service, customer, node and code is merged into that event instead, whose
// sequence is returned.
func (j *Journal) Record(e Event) uint64 {
	e.truncateTexts()
	e.Count = max(e.Count, 1)
	if e.Until.Before(e.At) {
		e.Until = e.At
	}
	if e.Code != 0 {
		e.Reason = e.Code.String()
	}
	if e.Type != RefusalBurst {
		return j.appendEvent(e)
	}
	key := burstKey{e.Service, e.Customer, e.Node, e.Code}
	if last := j.findBySequence(j.openBursts[key]); last != nil && j.canMerge(last, &e) {
		j.merge(last, &e)
		return last.Sequence
	}
	j.expireBursts(e.At)
	if len(j.openBursts) < j.limits.MaxOpenBursts {
		j.openBursts[key] = j.appendEvent(e)
		return j.openBursts[key]
	}
	return j.recordForManyCustomers(e)
}

// recordForManyCustomers merges a refusal regardless of its customer. Otherwise
// refusals of more customers than MaxOpenBursts would fill the journal with one
// event each.
func (j *Journal) recordForManyCustomers(e Event) uint64 {
	e.Customer = ManyCustomers
	key := burstKey{e.Service, ManyCustomers, e.Node, e.Code}
	if last := j.findBySequence(j.openBursts[key]); last != nil && j.canMerge(last, &e) {
		j.merge(last, &e)
		return last.Sequence
	}
	seq := j.appendEvent(e)
	if len(j.openBursts) < 2*j.limits.MaxOpenBursts {
		j.openBursts[key] = seq
	}
	return seq
}

// canMerge reports whether e is close enough to last in time to be merged.
func (j *Journal) canMerge(last, e *Event) bool {
	return e.At.Sub(last.Until) <= j.limits.MergeWindow && e.Until.Sub(last.At) <= j.limits.MaxBurstDuration
}

// merge adds the count of e to last and widens the range of last to cover both.
func (j *Journal) merge(last, e *Event) {
	j.bytes -= last.memorySize()
	last.Count += e.Count
	if e.Until.After(last.Until) {
		last.Until = e.Until
	}
	switch {
	case e.Range == nil:
	case last.Range == nil:
		r := *e.Range
		last.Range = &r
	default:
		last.Range = &core.Range{Lo: min(last.Range.Lo, e.Range.Lo), Hi: max(last.Range.Hi, e.Range.Hi)}
	}
	j.bytes += last.memorySize()
}

// expireBursts removes the bursts that no refusal can be merged into any more.
func (j *Journal) expireBursts(now time.Time) {
	if now.Sub(j.lastExpiry).Abs() < j.limits.MergeWindow/4 {
		return
	}
	j.lastExpiry = now
	for key, seq := range j.openBursts {
		if e := j.findBySequence(seq); e == nil || now.Sub(e.Until) > j.limits.MergeWindow {
			delete(j.openBursts, key)
		}
	}
}

// appendEvent stores e under the next sequence, and drops the oldest events as
// far as the limits require.
func (j *Journal) appendEvent(e Event) uint64 {
	e.Sequence = j.nextSequence
	j.nextSequence++
	size := e.memorySize()
	for j.count > 0 && (j.count >= j.limits.MaxEvents || j.bytes+size > j.limits.MaxBytes) {
		j.dropOldest()
	}
	if j.count == len(j.buffer) {
		j.grow()
	}
	j.buffer[(j.oldest+j.count)%len(j.buffer)] = e
	j.count++
	j.bytes += size
	return e.Sequence
}

// grow doubles the buffer up to MaxEvents, so that a journal with few events
// uses little memory.
func (j *Journal) grow() {
	buffer := make([]Event, min(max(64, 2*len(j.buffer)), max(1, j.limits.MaxEvents)))
	for i := range j.count {
		buffer[i] = *j.eventAt(i)
	}
	j.buffer, j.oldest = buffer, 0
}

func (j *Journal) dropOldest() {
	oldest := j.eventAt(0)
	j.bytes -= oldest.memorySize()
	*oldest = Event{}
	j.oldest = (j.oldest + 1) % len(j.buffer)
	j.count--
	j.dropped++
}

func (j *Journal) eventAt(i int) *Event { return &j.buffer[(j.oldest+i)%len(j.buffer)] }

// findBySequence returns the event with a sequence, or nil when it is not in the
// journal.
func (j *Journal) findBySequence(seq uint64) *Event {
	if j.count == 0 || seq < j.eventAt(0).Sequence || seq >= j.nextSequence {
		return nil
	}
	return j.eventAt(int(seq - j.eventAt(0).Sequence))
}

// Stats holds the size and the counters of a journal.
type Stats struct {
	Events int `json:"events"`
	Bytes  int `json:"bytes"`
	// Dropped counts the events that were dropped to make room for newer ones.
	Dropped uint64 `json:"dropped"`
	// Next is the sequence of the next event.
	Next uint64 `json:"next"`
}

// Stats returns the size and the counters of the journal.
func (j *Journal) Stats() Stats {
	return Stats{Events: j.count, Bytes: j.bytes, Dropped: j.dropped, Next: j.nextSequence}
}
