package ring

import (
	"context"
	"time"
)

// Consume is the loop of a ring's consumer. It calls handle for every element
// of in, and tick once in each interval, both on the calling goroutine. It
// returns when ctx ends, or when in is closed and drained. With an interval of
// zero it never calls tick.
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

// Reply delivers one value from a consumer back to the goroutine that sent it a
// request. Sending never blocks, even if nobody waits for the value any more.
type Reply[T any] struct{ ch chan T }

// NewReply returns a Reply whose value has not been sent.
func NewReply[T any]() Reply[T] { return Reply[T]{ch: make(chan T, 1)} }

// Send delivers v without blocking. Only the first call has an effect.
func (r Reply[T]) Send(v T) {
	select {
	case r.ch <- v:
	default:
	}
}

// Wait blocks until the value is sent and returns it, or returns false if ctx
// ends first.
func (r Reply[T]) Wait(ctx context.Context) (T, bool) {
	select {
	case v := <-r.ch:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// C returns the channel that delivers the value, for use in a select.
func (r Reply[T]) C() <-chan T { return r.ch }
