package soak

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/ring"
	"marjoramshore.example/standin/keyed"
)

// Guards against keys that count as without a holder because the checker takes the
// query late, on a busy machine, when the holds that it knows of have ended.
func TestKeysAreCountedAsOfTheQuery(t *testing.T) {
	const hold = 300 * time.Millisecond
	r := &run{started: time.Now(), events: ring.New[Event]("soak_events", 8, ring.Block), checker: NewChecker()}
	r.record(HeldRanges{r.elapsed(), r.elapsed() + hold, "a", []keyed.KeyRange{{From: 0, To: keyCount - 1, Fence: 1}}})
	counted := make(chan int)
	go func() { counted <- r.unheldKeys() }()
	time.Sleep(2 * hold)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go ring.Consume(ctx, r.events, 0, func(e Event) { e.apply(r.checker) }, nil)
	must.Eq(t, 0, <-counted)
	must.Eq(t, keyCount, r.unheldKeys())
}
