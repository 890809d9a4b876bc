package ring

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a full ring that grows, blocks or silently loses an element.
func TestRefuse(t *testing.T) {
	r := New[int]("r", 2, Refuse)
	ctx := context.Background()
	must.NoError(t, r.Push(ctx, 1))
	must.NoError(t, r.Push(ctx, 2))
	var full *FullError
	must.True(t, errors.As(r.Push(ctx, 3), &full))
	must.Eq(t, 1, r.Stats().Refused)
	v, _ := r.Pop()
	must.Eq(t, 1, v)
}

// Guards against a full telemetry ring that keeps old samples and rejects new
// ones.
func TestDropOldest(t *testing.T) {
	r := New[int]("r", 2, DropOldest)
	for i := range 5 {
		must.NoError(t, r.Push(context.Background(), i))
	}
	v, _ := r.Pop()
	must.Eq(t, 3, v)
	must.Eq(t, 3, r.Stats().Dropped)
}

// Guards against an outdated version that stays queued together with the newer
// version of the same key.
func TestCoalesce(t *testing.T) {
	r := NewCoalescing("r", 4, func(v [2]int) uint64 { return uint64(v[0]) })
	for i := range 10 {
		must.NoError(t, r.Push(context.Background(), [2]int{i % 2, i}))
	}
	must.Eq(t, 2, r.Stats().Len)
	v, _ := r.Pop()
	must.Eq(t, [2]int{0, 8}, v)
}

// Guards against a blocked producer that is never woken, and one that waits
// beyond its deadline.
func TestBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int]("r", 1, Block)
		must.NoError(t, r.Push(t.Context(), 1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		must.Error(t, r.Push(ctx, 2))
		must.Eq(t, time.Second, time.Since(start))

		errs := make(chan error, 3)
		for i := range 3 {
			go func() { errs <- r.Push(t.Context(), 10+i) }()
		}
		for range 4 {
			_, ok := r.Next(t.Context())
			must.True(t, ok)
		}
		for range 3 {
			must.NoError(t, <-errs)
		}
	})
}

// Guards against losing the queued elements when a ring is closed.
func TestConsumeDrainsOnClose(t *testing.T) {
	r := New[int]("r", 8, Refuse)
	for i := range 5 {
		must.NoError(t, r.Push(t.Context(), i))
	}
	r.Close()
	var closed *ClosedError
	must.True(t, errors.As(r.Push(t.Context(), 9), &closed))
	sum := 0
	Consume(t.Context(), r, 0, func(v int) { sum += v }, func() {})
	must.Eq(t, 10, sum)
}

func BenchmarkPushNext(b *testing.B) {
	r := New[int]("r", 1024, Block)
	go func() {
		for {
			if _, ok := r.Next(b.Context()); !ok {
				return
			}
		}
	}()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = r.Push(context.Background(), 1)
		}
	})
}
