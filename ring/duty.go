package ring

import (
	"context"
	"time"
)

// Consume runs one goroutine's loop: it hands every element of in to handle and
// calls tick each interval, both on the calling goroutine, until ctx ends or
// in is closed and drained. An interval of zero means no ticks.
func Consume[T any](ctx context.Context, in *Ring[T], interval time.Duration, handle func(T), tick func()) {
	var ticks <-chan time.Time
	if interval > 0 {
		t := time.NewTicker(interval)
		defer t.Stop()
		ticks = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			tick()
		case <-in.Ready():
			if v, ok := in.Pop(); ok {
				handle(v)
			}
		case <-in.Done():
			for v, ok := in.Pop(); ok; v, ok = in.Pop() {
				handle(v)
			}
			return
		}
	}
}

// Reply carries one answer from a duty back to the goroutine that asked. The
// duty never blocks on it, even when the asker has gone away.
type Reply[T any] struct{ c chan T }

// NewReply makes a Reply.
func NewReply[T any]() Reply[T] { return Reply[T]{c: make(chan T, 1)} }

// Send delivers v. Only the first call has an effect.
func (r Reply[T]) Send(v T) {
	select {
	case r.c <- v:
	default:
	}
}

// Wait returns the answer, or false when ctx ends first.
func (r Reply[T]) Wait(ctx context.Context) (T, bool) {
	select {
	case v := <-r.c:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the channel that delivers the answer.
func (r Reply[T]) C() <-chan T { return r.c }
