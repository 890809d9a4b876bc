package admission

import (
	"time"

	"marjoramshore.example/clock"
)

type class uint8

const (
	short class = iota
	long
	classes
)

type state uint8

const (
	free state = iota
	queued
	running
	// lingering exchanges gave up their slot and still hold a connection.
	lingering
	// parked entries waited too long; the next Expire refuses them.
	parked
)

// none ends linked lists of entry and flow indexes.
const none int32 = -1

// entry is one request between Offer and Done.
type entry struct {
	ref        any
	gen        uint32
	prev, next int32
	flow       int32
	class      class
	state      state
	unproven   bool
	declared   bool
	weight     float32
	customer   uint64
	path, key  uint64
	estimate   time.Duration
	startBy    clock.Instant
	deadline   clock.Instant
	startedAt  clock.Instant
}

// knownShort reports whether the entry's path has proved to be short.
func (e *entry) knownShort() bool { return e.class == short && !e.unproven }

// pool holds all entries. Its size is fixed, so decisions do not allocate.
type pool struct {
	entries []entry
	free    int32
}

func newPool(size int) *pool {
	p := &pool{entries: make([]entry, size)}
	for i := range p.entries {
		p.entries[i].next = int32(i) + 1
	}
	p.entries[size-1].next = none
	return p
}

func (p *pool) take() int32 {
	i := p.free
	if i == none {
		return none
	}
	e := &p.entries[i]
	p.free = e.next
	*e = entry{gen: e.gen + 1, prev: none, next: none, flow: none}
	return i
}

func (p *pool) release(i int32) {
	e := &p.entries[i]
	e.ref, e.state, e.next = nil, free, p.free
	p.free = i
}

func (p *pool) id(i int32) ID { return ID(p.entries[i].gen)<<32 | ID(uint32(i)) }

// lookup returns the entry of id, or none when id has ended.
func (p *pool) lookup(id ID) int32 {
	i := int64(id & 0xffffffff)
	if i >= int64(len(p.entries)) {
		return none
	}
	e := &p.entries[i]
	if e.state == free || e.gen != uint32(id>>32) {
		return none
	}
	return int32(i)
}

// list is a doubly linked list of entries in order of insertion.
type list struct{ head, tail int32 }

func (l *list) push(p *pool, i int32) {
	e := &p.entries[i]
	e.prev, e.next = l.tail, none
	if l.tail == none {
		l.head = i
	} else {
		p.entries[l.tail].next = i
	}
	l.tail = i
}

func (l *list) remove(p *pool, i int32) {
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
