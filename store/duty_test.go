package store_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/platform"
	"marjoramshore.example/store"
)

// bench is a duty over a view of a stand-in store, in virtual time.
type bench struct {
	*testing.T
	p    *platform.Platform
	view *platform.View
	duty *store.Client
}

func run(t *testing.T, cfg store.Config, body func(b bench)) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(1)
		b := bench{t, p, p.View(), nil}
		b.duty = b.start(cfg, b.view)
		body(b)
	})
}

func (b bench) start(cfg store.Config, s store.Store) *store.Client {
	if cfg.Seed == 0 {
		cfg.Seed = 7
	}
	d, err := store.NewClient(cfg, s)
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() { d.Run(ctx); close(done) }()
	b.Cleanup(func() { cancel(); <-done })
	return d
}

func (b bench) get(key string) (store.Result, error) {
	return b.duty.Do(b.Context(), store.Op{Kind: store.OpGet, Key: key})
}

func (b bench) put(key, value string, ifVersion uint64) {
	_, err := b.p.Put(b.Context(), key, []byte(value), ifVersion)
	must.NoError(b, err)
}

func kind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against a node that spends more than its share of the store's call
// rate, and against one that loses operations while it waits for budget.
func TestBudget(t *testing.T) {
	run(t, store.Config{CallsPerSecond: 2, Burst: 5}, func(b bench) {
		start := time.Now()
		errs := make(chan error, 45)
		for i := range 45 {
			go func() { _, err := b.get(fmt.Sprint(i)); errs <- err }()
		}
		for i := range 45 {
			must.Eq(b, store.KindNotFound, kind(<-errs))
			allowed := 5 + 2*time.Since(start).Seconds()
			must.LessEq(b, allowed, float64(i))
		}
		must.Eq(b, 20*time.Second, time.Since(start).Round(100*time.Millisecond))
		must.Eq(b, 45, b.duty.Stats().Get)
		must.Eq(b, 45, b.view.Calls().Get)
	})
}

// Guards against urgent writes that queue behind a spent ordinary budget.
func TestUrgentBudgetIsSeparate(t *testing.T) {
	run(t, store.Config{CallsPerSecond: 0.01, Burst: 1}, func(b bench) {
		_, err := b.get("a")
		must.Eq(b, store.KindNotFound, kind(err))
		start := time.Now()
		_, err = b.duty.Do(b.Context(), store.Op{Kind: store.OpPut, Key: "k", Urgent: true})
		must.NoError(b, err)
		must.Eq(b, 0, time.Since(start))
	})
}

// Guards against a store call for each of many equal reads, and against a read
// that joins a call sent before a write that the reader knows of.
func TestEqualReadsShareCalls(t *testing.T) {
	run(t, store.Config{Burst: 100}, func(b bench) {
		b.put("k", "old", 0)
		b.view.SetFaults(platform.Faults{Latency: 100 * time.Millisecond})
		results := make(chan store.Result, 200)
		read := func() {
			r, err := b.get("k")
			must.NoError(b, err)
			results <- r
		}
		go read()
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		for range 199 {
			go read()
		}
		synctest.Wait()
		time.Sleep(60 * time.Millisecond)
		b.put("k", "new", 1)
		must.Eq(b, "old", string((<-results).Object.Value))
		for range 199 {
			must.Eq(b, "new", string((<-results).Object.Value))
		}
		must.Eq(b, 2, b.view.Calls().Get)
		must.Eq(b, 198, b.duty.Stats().Batched)
	})
}

// Guards against unavailable configuration during an outage, and against last
// known state without its age.
func TestOutageServesLastKnownState(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		b.put("config", "1", 0)
		_, err := b.get("config")
		must.NoError(b, err)
		b.view.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour)
		for range 100 {
			r, err := b.duty.Do(b.Context(), store.Op{Kind: store.OpGet, Key: "config", AllowStale: true})
			must.NoError(b, err)
			must.True(b, r.FromMemory)
			must.Eq(b, time.Hour, r.Age.Truncate(time.Minute))
		}
		must.Eq(b, 2, b.view.Calls().Get)
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		_, err = b.duty.Do(ctx, store.Op{Kind: store.OpGet, Key: "config"})
		must.Error(b, err)
		must.True(b, b.duty.Stats().Failing)
	})
}

// Guards against a store that is hammered while it is down, and against nodes
// that return together when it is back.
func TestBackoffIsBoundedAndSpread(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		b.p.SetFaults(platform.Faults{Down: true})
		var views []*platform.View
		for i := range 100 {
			v := b.p.View()
			views = append(views, v)
			d := b.start(store.Config{Seed: uint64(i + 1)}, v)
			must.NoError(b, d.Watch(b.Context(), "config", func(store.Update) {}))
		}
		time.Sleep(10 * time.Minute)
		before := b.p.Calls().Watch
		must.LessEq(b, 100*600/5+100*20, before) // a burst of 20, then one in 5 s at most
		busiest := uint64(0)
		for range 100 { // ten seconds
			at := b.p.Calls().Watch
			time.Sleep(100 * time.Millisecond)
			busiest = max(busiest, b.p.Calls().Watch-at)
		}
		must.LessEq(b, 10, busiest)
		b.p.SetFaults(platform.Faults{})
		time.Sleep(11 * time.Second)
		for _, v := range views {
			must.Positive(b, v.Calls().Watch)
		}
	})
}

// Guards against callers that repeat reads and writes faster than the back-off
// while the store is down, and against a write that gives up when it is back.
func TestBackoffOfCalls(t *testing.T) {
	run(t, store.Config{CallsPerSecond: 1000, Burst: 1000}, func(b bench) {
		b.view.SetFaults(platform.Faults{Down: true})
		wrote := make(chan error, 1)
		go func() {
			_, err := store.PutIdempotent(b.Context(), b.duty, store.Op{Key: "k", Value: []byte("nonce")})
			wrote <- err
		}()
		for start := time.Now(); time.Since(start) < 10*time.Minute; {
			_, err := b.get("k")
			must.Eq(b, store.KindUnavailable, kind(err))
		}
		calls := b.view.Calls()
		must.LessEq(b, 2*(600/5+20), calls.Get+calls.Put) // two callers, 5 s at least once the back-off has grown
		b.view.SetFaults(platform.Faults{})
		must.NoError(b, <-wrote)
	})
}

// Guards against a version that goes back because a read was stale.
func TestStaleReadDoesNotGoBack(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		b.put("k", "1", 0)
		b.put("k", "2", 1)
		_, err := b.get("k")
		must.NoError(b, err)
		b.view.SetFaults(platform.Faults{StaleShare: 1})
		r, err := b.get("k")
		must.NoError(b, err)
		must.Eq(b, 2, r.Object.Version)
		must.Eq(b, 1, b.duty.Stats().StaleReads)
	})
}

// Guards against a write reported as not sent that takes effect, and against
// one reported as sent that waited for budget.
func TestDeadline(t *testing.T) {
	run(t, store.Config{CallsPerSecond: 0.001, Burst: 1}, func(b bench) {
		b.view.SetFaults(platform.Faults{Latency: 2 * time.Second})
		do := func() *store.Error {
			ctx, cancel := context.WithTimeout(b.Context(), time.Second)
			defer cancel()
			_, err := b.duty.Do(ctx, store.Op{Kind: store.OpPut, Key: "k"})
			var e *store.Error
			must.True(b, errors.As(err, &e))
			return e
		}
		sent, unsent := do(), do()
		must.Eq(b, store.KindUnavailable, sent.Kind)
		must.True(b, sent.MayHaveApplied)
		must.Eq(b, store.KindBudgetExhausted, unsent.Kind)
		must.False(b, unsent.MayHaveApplied)
		time.Sleep(time.Hour)
		must.Eq(b, 1, b.view.Calls().Put)
		must.Eq(b, 0, b.duty.Stats().Pending)
	})
}

// Guards against an operation that is never answered after the duty stopped.
func TestStopAnswersCallers(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		ctx, cancel := context.WithCancel(b.Context())
		d, err := store.NewClient(store.Config{}, b.view)
		must.NoError(b, err)
		go d.Run(ctx)
		b.view.SetFaults(platform.Faults{Hang: true})
		errs := make(chan error, 1)
		go func() {
			_, err := d.Do(b.Context(), store.Op{Kind: store.OpDelete, Key: "k", IfVersion: 1})
			errs <- err
		}()
		synctest.Wait()
		cancel()
		must.Eq(b, store.KindUnavailable, kind(<-errs))
		_, err = d.Do(b.Context(), store.Op{Kind: store.OpGet, Key: "k"})
		must.Eq(b, store.KindBudgetExhausted, kind(err))
	})
}

// Measures a read of last known state through the duty's ring.
func BenchmarkDoFromMemory(b *testing.B) {
	p := platform.New(1)
	d, err := store.NewClient(store.Config{}, p)
	must.NoError(b, err)
	go d.Run(b.Context())
	_, err = d.Do(b.Context(), store.Op{Kind: store.OpPut, Key: "k"})
	must.NoError(b, err)
	op := store.Op{Kind: store.OpGet, Key: "k", MaxAge: time.Hour}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Do(b.Context(), op); err != nil {
			b.Fatal(err)
		}
	}
}
