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

// fixture is a client of one view of a stand-in store, in virtual time.
type fixture struct {
	*testing.T
	platform *platform.Store
	view     *platform.View
	client   *store.Client
}

func runInVirtualTime(t *testing.T, cfg store.Config, body func(f fixture)) {
	synctest.Test(t, func(t *testing.T) {
		p := platform.New(1)
		f := fixture{t, p, p.View(), nil}
		f.client = f.startClient(cfg, f.view)
		body(f)
	})
}

func (f fixture) startClient(cfg store.Config, s store.Store) *store.Client {
	if cfg.Seed == 0 {
		cfg.Seed = 7
	}
	client, err := store.NewClient(cfg, s)
	must.NoError(f, err)
	ctx, cancel := context.WithCancel(f.Context())
	done := make(chan struct{})
	go func() { client.Run(ctx); close(done) }()
	f.Cleanup(func() { cancel(); <-done })
	return client
}

func (f fixture) get(key string) (store.Result, error) {
	return f.client.Do(f.Context(), store.Op{Kind: store.OpGet, Key: key})
}

func (f fixture) put(key, value string, ifVersion uint64) {
	_, err := f.platform.Put(f.Context(), key, []byte(value), ifVersion)
	must.NoError(f, err)
}

func errorKind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against a node that exceeds its share of the store's call rate, and
// against operations that are lost while they wait for budget.
func TestCallBudget(t *testing.T) {
	runInVirtualTime(t, store.Config{CallsPerSecond: 2, Burst: 5}, func(f fixture) {
		start := time.Now()
		errs := make(chan error, 45)
		for i := range 45 {
			go func() { _, err := f.get(fmt.Sprint(i)); errs <- err }()
		}
		for i := range 45 {
			must.Eq(f, store.KindNotFound, errorKind(<-errs))
			allowed := 5 + 2*time.Since(start).Seconds()
			must.LessEq(f, allowed, float64(i))
		}
		must.Eq(f, 20*time.Second, time.Since(start).Round(100*time.Millisecond))
		must.Eq(f, 45, f.client.Stats().Get)
		must.Eq(f, 45, f.view.Calls().Get)
	})
}

// Guards against urgent writes that wait for the budget of ordinary calls.
func TestUrgentCallsHaveSeparateBudget(t *testing.T) {
	runInVirtualTime(t, store.Config{CallsPerSecond: 0.01, Burst: 1}, func(f fixture) {
		_, err := f.get("a")
		must.Eq(f, store.KindNotFound, errorKind(err))
		start := time.Now()
		_, err = f.client.Do(f.Context(), store.Op{Kind: store.OpPut, Key: "k", Urgent: true})
		must.NoError(f, err)
		must.Eq(f, 0, time.Since(start))
	})
}

// Guards against a store call for each of many concurrent reads of a key, and
// against a read that joins a call sent before a write that the reader knows of.
func TestReadsOfOneKeyShareCalls(t *testing.T) {
	runInVirtualTime(t, store.Config{Burst: 100}, func(f fixture) {
		f.put("k", "old", 0)
		f.view.SetFaults(platform.Faults{Latency: 100 * time.Millisecond})
		results := make(chan store.Result, 200)
		read := func() {
			r, err := f.get("k")
			must.NoError(f, err)
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
		f.put("k", "new", 1)
		must.Eq(f, "old", string((<-results).Object.Value))
		for range 199 {
			must.Eq(f, "new", string((<-results).Object.Value))
		}
		must.Eq(f, 2, f.view.Calls().Get)
		must.Eq(f, 198, f.client.Stats().Coalesced)
	})
}

// Guards against reads of configuration that fail during an outage of the store,
// and against cached state that does not state its age.
func TestCacheServesReadsDuringOutage(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		f.put("config", "1", 0)
		_, err := f.get("config")
		must.NoError(f, err)
		f.view.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour)
		for range 100 {
			r, err := f.client.Do(f.Context(), store.Op{Kind: store.OpGet, Key: "config", AllowStale: true})
			must.NoError(f, err)
			must.True(f, r.FromCache)
			must.Eq(f, time.Hour, r.Age.Truncate(time.Minute))
		}
		must.Eq(f, 2, f.view.Calls().Get)
		ctx, cancel := context.WithTimeout(f.Context(), time.Second)
		defer cancel()
		_, err = f.client.Do(ctx, store.Op{Kind: store.OpGet, Key: "config"})
		must.Error(f, err)
		must.True(f, f.client.Stats().Failing)
	})
}

// Guards against overloading the store while it is down, and against nodes that
// retry at the same time when it is back.
func TestBackoffIsBoundedAndJittered(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		f.platform.SetFaults(platform.Faults{Down: true})
		var views []*platform.View
		for i := range 100 {
			v := f.platform.View()
			views = append(views, v)
			client := f.startClient(store.Config{Seed: uint64(i + 1)}, v)
			must.NoError(f, client.Watch(f.Context(), "config", func(store.Update) {}))
		}
		time.Sleep(10 * time.Minute)
		before := f.platform.Calls().Watch
		must.LessEq(f, 100*600/5+100*20, before) // a burst of 20 calls, then at most one per 5 s
		maxCalls := uint64(0)
		for range 100 { // 10 s
			callsBefore := f.platform.Calls().Watch
			time.Sleep(100 * time.Millisecond)
			maxCalls = max(maxCalls, f.platform.Calls().Watch-callsBefore)
		}
		must.LessEq(f, 10, maxCalls)
		f.platform.SetFaults(platform.Faults{})
		time.Sleep(11 * time.Second)
		for _, v := range views {
			must.Positive(f, v.Calls().Watch)
		}
	})
}

// Guards against reads and writes that are repeated faster than the back-off
// allows while the store is down, and against a write that fails although the
// store is back.
func TestBackoffLimitsCalls(t *testing.T) {
	runInVirtualTime(t, store.Config{CallsPerSecond: 1000, Burst: 1000}, func(f fixture) {
		f.view.SetFaults(platform.Faults{Down: true})
		putErr := make(chan error, 1)
		go func() {
			_, err := store.PutIdempotent(f.Context(), f.client, store.Op{Key: "k", Value: []byte("nonce")})
			putErr <- err
		}()
		for start := time.Now(); time.Since(start) < 10*time.Minute; {
			_, err := f.get("k")
			must.Eq(f, store.KindUnavailable, errorKind(err))
		}
		calls := f.view.Calls()
		must.LessEq(f, 2*(600/5+20), calls.Get+calls.Put) // two callers, at most one call per 5 s each once the back-off has grown
		f.view.SetFaults(platform.Faults{})
		must.NoError(f, <-putErr)
	})
}

// Guards against a stale read that returns an older version than an earlier read
// did.
func TestStaleReadReturnsNewestKnownVersion(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		f.put("k", "1", 0)
		f.put("k", "2", 1)
		_, err := f.get("k")
		must.NoError(f, err)
		f.view.SetFaults(platform.Faults{StaleProbability: 1})
		r, err := f.get("k")
		must.NoError(f, err)
		must.Eq(f, 2, r.Object.Version)
		must.Eq(f, 1, f.client.Stats().StaleReads)
	})
}

// Guards against a write that takes effect although it was reported as not sent,
// and against one that was reported as sent while it waited for budget.
func TestDeadlineBeforeAndAfterSending(t *testing.T) {
	runInVirtualTime(t, store.Config{CallsPerSecond: 0.001, Burst: 1}, func(f fixture) {
		f.view.SetFaults(platform.Faults{Latency: 2 * time.Second})
		putWithTimeout := func() *store.Error {
			ctx, cancel := context.WithTimeout(f.Context(), time.Second)
			defer cancel()
			_, err := f.client.Do(ctx, store.Op{Kind: store.OpPut, Key: "k"})
			var e *store.Error
			must.True(f, errors.As(err, &e))
			return e
		}
		sent, unsent := putWithTimeout(), putWithTimeout()
		must.Eq(f, store.KindUnavailable, sent.Kind)
		must.True(f, sent.MayHaveApplied)
		must.Eq(f, store.KindBudgetExhausted, unsent.Kind)
		must.False(f, unsent.MayHaveApplied)
		time.Sleep(time.Hour)
		must.Eq(f, 1, f.view.Calls().Put)
		must.Eq(f, 0, f.client.Stats().Pending)
	})
}

// Guards against an operation that waits for ever after the client has stopped.
func TestStoppedClientAnswersCallers(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		ctx, cancel := context.WithCancel(f.Context())
		client, err := store.NewClient(store.Config{}, f.view)
		must.NoError(f, err)
		go client.Run(ctx)
		f.view.SetFaults(platform.Faults{Hang: true})
		errs := make(chan error, 1)
		go func() {
			_, err := client.Do(f.Context(), store.Op{Kind: store.OpDelete, Key: "k", IfVersion: 1})
			errs <- err
		}()
		synctest.Wait()
		cancel()
		must.Eq(f, store.KindUnavailable, errorKind(<-errs))
		_, err = client.Do(f.Context(), store.Op{Kind: store.OpGet, Key: "k"})
		must.Eq(f, store.KindBudgetExhausted, errorKind(err))
	})
}

// Measures a read that is answered from the cache, through the command ring.
func BenchmarkDoFromCache(b *testing.B) {
	p := platform.New(1)
	client, err := store.NewClient(store.Config{}, p)
	must.NoError(b, err)
	go client.Run(b.Context())
	_, err = client.Do(b.Context(), store.Op{Kind: store.OpPut, Key: "k"})
	must.NoError(b, err)
	op := store.Op{Kind: store.OpGet, Key: "k", MaxAge: time.Hour}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Do(b.Context(), op); err != nil {
			b.Fatal(err)
		}
	}
}
