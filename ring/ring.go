// Package ring joins duties with bounded queues. A full ring never grows: what
// happens then is declared when the ring is made.
package ring

import (
	"context"
	"sync"
)

// Policy tells what Push does when the ring is full.
type Policy uint8

const (
	// Refuse rejects the new element.
	Refuse Policy = iota
	// DropOldest discards the oldest element to make room.
	DropOldest
	// Coalesce replaces a queued element with the same key, and otherwise
	// discards the oldest. It needs a key function.
	Coalesce
	// Block blocks the producer until there is room or its context ends.
	Block
)

// FullError reports that an element was not queued because the ring was full
// until the producer's context ended.
type FullError struct{ Ring string }

func (e *FullError) Error() string { return "ring full: " + e.Ring }

// ClosedError reports that an element was not queued because the ring is closed.
type ClosedError struct{ Ring string }

func (e *ClosedError) Error() string { return "ring closed: " + e.Ring }

// Stats are counters of one ring since it was made.
type Stats struct {
	Len, Cap, HighWater      int
	Pushed, Refused, Dropped uint64
}

// Ring is a bounded queue with many producers and one consumer.
type Ring[T any] struct {
	name   string
	policy Policy
	key    func(T) uint64

	ready chan struct{} // holds a signal while elements may be queued
	space chan struct{} // holds a signal while room may be free
	done  chan struct{}

	mu     sync.Mutex
	buf    []T
	head   int
	count  int
	closed bool
	stats  Stats
}

// New makes a ring of the given capacity. It panics if capacity is not
// positive or the policy is Coalesce, because both are programming errors.
func New[T any](name string, capacity int, policy Policy) *Ring[T] {
	if policy == Coalesce {
		panic("ring: Coalesce needs NewCoalescing")
	}
	return newRing[T](name, capacity, policy, nil)
}

// NewCoalescing makes a ring that keeps one element for each key.
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

// Name returns the name given to New.
func (r *Ring[T]) Name() string { return r.name }

// Push queues v under the ring's policy. Only rings with policy Block wait;
// they return *FullError when ctx ends first. After Close it returns
// *ClosedError.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		queued, err := r.tryPush(v)
		if queued || err != nil {
			return err
		}
		if r.policy != Block {
			return r.refuse()
		}
		select {
		case <-r.space:
		case <-r.done:
		case <-ctx.Done():
			return r.refuse()
		}
	}
}

func (r *Ring[T]) refuse() error {
	r.mu.Lock()
	r.stats.Refused++
	r.mu.Unlock()
	return &FullError{Ring: r.name}
}

func (r *Ring[T]) tryPush(v T) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false, &ClosedError{Ring: r.name}
	}
	if r.policy == Coalesce && r.replace(v) {
		return true, nil
	}
	if r.count == len(r.buf) {
		if r.policy != DropOldest && r.policy != Coalesce {
			return false, nil
		}
		r.take()
		r.stats.Dropped++
	}
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
	r.stats.Pushed++
	r.stats.HighWater = max(r.stats.HighWater, r.count)
	signal(r.ready)
	if r.policy == Block && r.count < len(r.buf) {
		signal(r.space) // another waiting producer may also fit
	}
	return true, nil
}

func (r *Ring[T]) replace(v T) bool {
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

func (r *Ring[T]) take() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.count--
	return v
}

// Pop removes the oldest element without blocking.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	v := r.take()
	signal(r.space)
	if r.count > 0 {
		signal(r.ready)
	}
	return v, true
}

// Ready delivers a signal when elements may be queued. The consumer then calls
// Pop; a signal may be stale, so Pop can find the ring empty.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Done is closed by Close.
func (r *Ring[T]) Done() <-chan struct{} { return r.done }

// Next blocks until an element is queued. It returns false when ctx ends, or
// when the ring is closed and empty.
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

// Close stops further pushes. Queued elements can still be popped.
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

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
