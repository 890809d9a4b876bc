package events

import (
	"time"

	"marjoramshore.example/core"
)

// Limits bound a journal.
type Limits struct {
	// Events and Bytes bound what is kept; the oldest events go first.
	Events, Bytes int
	// Fold is the time within which an equal refusal joins the last one, and
	// FoldMax the longest burst, so that a lasting refusal stays visible as it
	// goes on.
	Fold, FoldMax time.Duration
	// Bursts bounds the open bursts that are tracked by customer; as many
	// again are tracked for all other customers together.
	Bursts int
}

// DefaultLimits keeps about an hour of an eventful day in 2 MB, a thirtieth of
// the memory that a node may spend on control.
func DefaultLimits() Limits {
	return Limits{Events: 4096, Bytes: 2 << 20, Fold: 5 * time.Second, FoldMax: time.Minute, Bursts: 256}
}

// burst identifies refusals that fold into one event. The key is left out: a
// burst concerns many keys of one service.
type burst struct {
	service  core.Service
	customer core.Customer
	node     core.NodeID
	code     core.Code
}

// Journal is a ring of events. It is not safe for concurrent use; the journal
// duty owns it.
type Journal struct {
	limits Limits
	ring   []Event
	head   int // position of the oldest event
	count  int
	bytes  int
	next   uint64
	// open maps a burst to the sequence of its event. An entry whose event was
	// overwritten is stale and is dropped when met.
	open map[burst]uint64
	// swept is when open was last searched for ended bursts. Searching it for
	// every refusal would make a storm of many customers expensive.
	swept   time.Time
	dropped uint64
}

// New returns an empty journal.
func New(limits Limits) *Journal {
	return &Journal{limits: limits, next: 1, open: make(map[burst]uint64, limits.Bursts)}
}

// Record adds e and returns its sequence. A refusal that equals a recent one
// in service, customer, node and code is counted there instead.
func (j *Journal) Record(e Event) uint64 {
	e.trim()
	e.Count = max(e.Count, 1)
	if e.Until.Before(e.At) {
		e.Until = e.At
	}
	if e.Code != 0 {
		e.Reason = e.Code.String()
	}
	if e.Type != RefusalBurst {
		return j.append(e)
	}
	key := burst{e.Service, e.Customer, e.Node, e.Code}
	if last := j.bySequence(j.open[key]); last != nil && j.folds(last, &e) {
		j.fold(last, &e)
		return last.Sequence
	}
	j.expireBursts(e.At)
	if len(j.open) < j.limits.Bursts {
		j.open[key] = j.append(e)
		return j.open[key]
	}
	return j.recordMany(e)
}

// recordMany folds a refusal regardless of its customer. Otherwise refusals of
// more customers than Bursts would fill the journal one by one.
func (j *Journal) recordMany(e Event) uint64 {
	e.Customer = ManyCustomers
	key := burst{e.Service, ManyCustomers, e.Node, e.Code}
	if last := j.bySequence(j.open[key]); last != nil && j.folds(last, &e) {
		j.fold(last, &e)
		return last.Sequence
	}
	seq := j.append(e)
	if len(j.open) < 2*j.limits.Bursts {
		j.open[key] = seq
	}
	return seq
}

func (j *Journal) folds(last, e *Event) bool {
	return e.At.Sub(last.Until) <= j.limits.Fold && e.Until.Sub(last.At) <= j.limits.FoldMax
}

// fold counts e in last and widens its range to cover both.
func (j *Journal) fold(last, e *Event) {
	j.bytes -= last.size()
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
	j.bytes += last.size()
}

// expireBursts forgets bursts that no refusal can join any more.
func (j *Journal) expireBursts(now time.Time) {
	if now.Sub(j.swept).Abs() < j.limits.Fold/4 {
		return
	}
	j.swept = now
	for key, seq := range j.open {
		if e := j.bySequence(seq); e == nil || now.Sub(e.Until) > j.limits.Fold {
			delete(j.open, key)
		}
	}
}

func (j *Journal) append(e Event) uint64 {
	e.Sequence = j.next
	j.next++
	size := e.size()
	for j.count > 0 && (j.count >= j.limits.Events || j.bytes+size > j.limits.Bytes) {
		j.drop()
	}
	if j.count == len(j.ring) {
		j.grow()
	}
	j.ring[(j.head+j.count)%len(j.ring)] = e
	j.count++
	j.bytes += size
	return e.Sequence
}

// grow doubles the ring up to the limit, so that a quiet journal stays small.
func (j *Journal) grow() {
	ring := make([]Event, min(max(64, 2*len(j.ring)), max(1, j.limits.Events)))
	for i := range j.count {
		ring[i] = *j.at(i)
	}
	j.ring, j.head = ring, 0
}

func (j *Journal) drop() {
	oldest := j.at(0)
	j.bytes -= oldest.size()
	*oldest = Event{}
	j.head = (j.head + 1) % len(j.ring)
	j.count--
	j.dropped++
}

func (j *Journal) at(i int) *Event { return &j.ring[(j.head+i)%len(j.ring)] }

// bySequence returns a kept event, or nil.
func (j *Journal) bySequence(seq uint64) *Event {
	if j.count == 0 || seq < j.at(0).Sequence || seq >= j.next {
		return nil
	}
	return j.at(int(seq - j.at(0).Sequence))
}

// Stats describes the content of a journal.
type Stats struct {
	Events int `json:"events"`
	Bytes  int `json:"bytes"`
	// Dropped counts events that made room for newer ones.
	Dropped uint64 `json:"dropped"`
	// Next is the sequence of the next event.
	Next uint64 `json:"next"`
}

// Stats returns the content counts.
func (j *Journal) Stats() Stats {
	return Stats{Events: j.count, Bytes: j.bytes, Dropped: j.dropped, Next: j.next}
}
