package admission

import (
	"time"

	"marjoramshore.example/clock"
)

// class separates work that holds a slot for milliseconds from work that holds
// it for longer than the threshold of the classifier.
type class uint8

const (
	short class = iota
	long
	classCount
)

type state uint8

const (
	unused state = iota
	queued
	running
	// flushing exchanges have released their slot and still hold a connection.
	flushing
	// overdue entries waited too long; the next Expire refuses them.
	overdue
)

// none is the index of no entry and no flow. It ends linked lists.
const none int32 = -1

// entry is one request between Offer and Done.
type entry struct {
	ref               any
	generation        uint32
	prev, next        int32
	flow              int32 // index in fairQueue.flows
	class             class
	state             state
	tentative         bool // short, but the path is unknown or sometimes runs long
	declaredLong      bool // by the request's kind or body length
	weight            float32
	customerHash      uint64
	pathHash, keyHash uint64
	serviceEstimate   time.Duration
	startBy           clock.Instant // latest useful start
	deadline          clock.Instant
	startedAt         clock.Instant
}

// knownShort reports whether earlier requests on the entry's path were short.
func (e *entry) knownShort() bool { return e.class == short && !e.tentative }

// pool holds all entries. Its size is fixed, so that decisions do not allocate.
type pool struct {
	entries  []entry
	freeHead int32
}

func newPool(size int) *pool {
	p := &pool{entries: make([]entry, size)}
	for i := range p.entries {
		p.entries[i].next = int32(i) + 1
	}
	p.entries[size-1].next = none
	return p
}

// acquire returns the index of an unused entry, or none if all are in use.
func (p *pool) acquire() int32 {
	i := p.freeHead
	if i == none {
		return none
	}
	e := &p.entries[i]
	p.freeHead = e.next
	*e = entry{generation: e.generation + 1, prev: none, next: none, flow: none}
	return i
}

func (p *pool) release(i int32) {
	e := &p.entries[i]
	e.ref, e.state, e.next = nil, unused, p.freeHead
	p.freeHead = i
}

func (p *pool) id(i int32) ID { return ID(p.entries[i].generation)<<32 | ID(uint32(i)) }

// lookup returns the index of the entry that id identifies, or none if that
// request has ended.
func (p *pool) lookup(id ID) int32 {
	i := int64(id & 0xffffffff)
	if i >= int64(len(p.entries)) {
		return none
	}
	e := &p.entries[i]
	if e.state == unused || e.generation != uint32(id>>32) {
		return none
	}
	return int32(i)
}

// entryList is a doubly linked entryList of entries in order of insertion.
type entryList struct{ head, tail int32 }

func (l *entryList) pushBack(p *pool, i int32) {
	e := &p.entries[i]
	e.prev, e.next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		p.entries[l.tail].next = i
	}
	l.tail = i
}

func (l *entryList) remove(p *pool, i int32) {
	e := &p.entries[i]
	if e.prev == none {
		l.head = e.next
	} else {
		p.entries[e.prev].next = e.next
	}
	if e.next == none {
		l.tail = e.prev
	} else {
		p.entries[e.next].prev = e.prev
	}
	e.prev, e.next = none, none
}
