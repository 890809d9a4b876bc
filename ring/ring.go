// Package ring provides bounded queues that connect goroutines. A full ring
// never grows; the policy chosen at its creation tells what Push does then.
package ring

import (
	"context"
	"sync"
)

// Policy tells what Push does when a ring is full.
type Policy uint8

const (
	// Refuse rejects the new element with *FullError.
	Refuse Policy = iota
	// DropOldest discards the oldest element to make room.
	DropOldest
	// Coalesce replaces a queued element that has the same key, whether or not
	// the ring is full. If there is none, a full ring discards its oldest
	// element. Rings with this policy are made by NewCoalescing.
	Coalesce
	// Block blocks the producer until there is room or its context ends.
	Block
)

// FullError reports that an element was not queued because the ring was full:
// at the time of the call under Refuse, until the context ended under Block.
type FullError struct{ Ring string }

func (e *FullError) Error() string { return "ring full: " + e.Ring }

// ClosedError reports that an element was not queued because the ring is
// closed.
type ClosedError struct{ Ring string }

func (e *ClosedError) Error() string { return "ring closed: " + e.Ring }

// Stats holds the length and capacity of one ring, and its counters since its
// creation. HighWater is the greatest length so far. Pushed counts the elements
// that were queued or replaced another, Popped those that the consumer has taken,
// Refused those rejected with *FullError, and Dropped those discarded to make room.
type Stats struct {
	Len, Cap, HighWater              int
	Pushed, Popped, Refused, Dropped uint64
}

// Ring is a bounded first-in, first-out queue with any number of producers and
// one consumer.
type Ring[T any] struct {
	name   string
	policy Policy
	key    func(T) uint64 // nil unless the policy is Coalesce

	ready chan struct{} // capacity 1; wakes the consumer
	space chan struct{} // capacity 1; wakes a producer that waits for room
	done  chan struct{}

	mu     sync.Mutex
	buf    []T
	head   int // index in buf of the oldest element
	count  int
	closed bool
	stats  Stats
}

// New returns a ring of the given capacity; its errors carry the name. New
// panics if capacity is not positive or the policy is Coalesce, because both
// are programming errors.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	if policy == Coalesce {
		panic("ring: New called with policy Coalesce; use NewCoalescing")
	}
	return newRing[T](name, capacity, policy, nil)
}

// NewCoalescing returns a ring with policy Coalesce, in which at most one
// element of each key is queued. It panics if capacity is not positive.
func NewCoalescing[T any](name string, capacity int, key func(T) uint64) *Ring[T] {
	return newRing(name, capacity, Coalesce, key)
}

func newRing[T any](name string, capacity int, policy Policy, key func(T) uint64) *Ring[T] {
	if capacity <= 0 {
		panic("ring: capacity must be positive")
	}
	return &Ring[T]{
		name: name, policy: policy, key: key,
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
		done:  make(chan struct{}),
		buf:   make([]T, capacity),
	}
}

// Name returns the name given at creation.
func (r *Ring[T]) Name() string { return r.name }

// Push queues v according to the ring's policy. It blocks, until there is room
// or ctx ends, only under policy Block. It returns *FullError if the policy
// leaves no room for v, and *ClosedError after Close.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		queued, err := r.tryPush(v)
		if queued || err != nil {
			return err
		}
		if r.policy != Block {
			return r.refusePush()
		}
		select {
		case <-r.space:
		case <-r.done:
		case <-ctx.Done():
			return r.refusePush()
		}
	}
}

// refusePush counts a rejected element and returns the error for its producer.
func (r *Ring[T]) refusePush() error {
	r.mu.Lock()
	r.stats.Refused++
	r.mu.Unlock()
	return &FullError{Ring: r.name}
}

// tryPush queues v without blocking. It returns false and no error if there is
// no room under policies Refuse and Block.
func (r *Ring[T]) tryPush(v T) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, &ClosedError{Ring: r.name}
	}
	if r.policy == Coalesce && r.replaceLocked(v) {
		return true, nil
	}
	if r.count == len(r.buf) {
		if r.policy != DropOldest && r.policy != Coalesce {
			return false, nil
		}
		r.popLocked()
		r.stats.Dropped++
	}
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
	r.stats.Pushed++
	r.stats.HighWater = max(r.stats.HighWater, r.count)
	notify(r.ready)
	if r.policy == Block && r.count < len(r.buf) {
		notify(r.space) // there may be room for another waiting producer
	}
	return true, nil
}

// replaceLocked replaces the queued element that has v's key, if there is one.
// The caller holds r.mu.
func (r *Ring[T]) replaceLocked(v T) bool {
	k := r.key(v)
	for i := range r.count {
		at := (r.head + i) % len(r.buf)
		if r.key(r.buf[at]) == k {
			r.buf[at] = v
			r.stats.Pushed++
			return true
		}
	}
	return false
}

// popLocked removes the oldest element of a ring that is not empty. The caller
// holds r.mu.
func (r *Ring[T]) popLocked() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.count--
	return v
}

// Pop removes and returns the oldest element, or returns false if the ring is
// empty. It does not block.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	v := r.popLocked()
	r.stats.Popped++
	notify(r.space)
	if r.count > 0 {
		notify(r.ready)
	}
	return v, true
}

// Ready returns a channel that delivers a signal when elements may be queued.
// The consumer then calls Pop, which can find the ring empty because a signal
// may be stale.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Done returns a channel that Close closes.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Next removes and returns the oldest element; it blocks while the ring is
// empty. It returns false if ctx ends, or if the ring is closed and empty.
func (r *Ring[T]) Next(ctx context.Context) (T, bool) {
	for {
		if v, ok := r.Pop(); ok {
			return v, true
		}
		select {
		case <-r.ready:
		case <-r.done:
			return r.Pop()
		case <-ctx.Done():
			var zero T
			return zero, false
		}
	}
}

// Close makes later pushes fail. Elements already queued can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
}

// Stats returns the ring's counters.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Len, s.Cap = r.count, len(r.buf)
	return s
}

// notify leaves a signal in a channel of capacity 1 unless it holds one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
