package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/platform"
	"marjoramshore.example/store"
)

// Guards against a store call for each subscriber to a key, and against a
// subscriber that misses the current version or a deletion.
func TestSubscribersShareOneWatch(t *testing.T) {
	runInVirtualTime(t, store.Config{Burst: 100}, func(f fixture) {
		f.put("k", "1", 0)
		updates := make([][]string, 10)
		ctx, cancel := context.WithCancel(f.Context())
		for i := range updates {
			must.NoError(f, f.client.Watch(ctx, "k", func(u store.Update) {
				updates[i] = append(updates[i], fmt.Sprint(u.Object.Version, u.Deleted))
			}))
		}
		synctest.Wait()
		f.put("k", "2", 1)
		synctest.Wait()
		must.NoError(f, f.platform.Delete(f.Context(), "k", 2))
		synctest.Wait()
		f.put("k", "3", 0)
		synctest.Wait()
		for _, g := range updates {
			must.Eq(f, []string{"1 false", "2 false", "0 true", "3 false"}, g)
		}
		must.Eq(f, 5, f.view.Calls().Watch) // four updates and the call that still waits
		cancel()
		synctest.Wait()
		must.Eq(f, 0, f.client.Stats().Watches)
	})
}

// Guards against a watch that ends with an outage of the store, or that delivers
// a version again afterwards.
func TestWatchResumesAfterOutage(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		f.put("k", "1", 0)
		var versions []uint64
		must.NoError(f, f.client.Watch(f.Context(), "k", func(u store.Update) {
			versions = append(versions, u.Object.Version)
		}))
		synctest.Wait()
		f.view.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour)
		f.put("k", "2", 1)
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(f, []uint64{1}, versions)
		f.view.SetFaults(platform.Faults{})
		time.Sleep(11 * time.Second)
		synctest.Wait()
		must.Eq(f, []uint64{1, 2}, versions)
	})
}

// Guards against a subscriber that learns of a write of its own node only when
// the store call of the watch returns, which is later, and against more watched
// keys than the limit.
func TestWatchDeliversOwnWriteAndIsBounded(t *testing.T) {
	runInVirtualTime(t, store.Config{WatchWorkers: 1}, func(f fixture) {
		var versions []uint64
		must.NoError(f, f.client.Watch(f.Context(), "k", func(u store.Update) {
			versions = append(versions, u.Object.Version)
		}))
		must.Eq(f, store.KindBudgetExhausted, errorKind(f.client.Watch(f.Context(), "other", func(store.Update) {})))
		_, err := f.client.Do(f.Context(), store.Op{Kind: store.OpPut, Key: "k"})
		must.NoError(f, err)
		synctest.Wait()
		must.Eq(f, []uint64{1}, versions)
	})
}

type sharedObject struct{ Nonces []string }

// appendNonce tries to append a new nonce of writer to the shared object until
// it succeeds or ctx ends. It returns the reported error kind for each nonce
// that it has tried.
func appendNonce(ctx context.Context, client *store.Client, writer string) (reported map[string]store.Kind) {
	reported = map[string]store.Kind{}
	for i := 0; ctx.Err() == nil; i++ {
		r, err := client.Do(ctx, store.Op{Kind: store.OpGet, Key: "k"})
		if k := errorKind(err); k != 0 && k != store.KindNotFound {
			continue
		}
		var object sharedObject
		_ = json.Unmarshal(r.Object.Value, &object)
		nonce := fmt.Sprint(writer, "-", i)
		object.Nonces = append(object.Nonces, nonce)
		value, _ := json.Marshal(object)
		_, err = store.PutIdempotent(ctx, client, store.Op{Key: "k", Value: value, IfVersion: r.Object.Version})
		reported[nonce] = errorKind(err)
		if err == nil {
			return reported
		}
	}
	return reported
}

// Guards against a wrong report about a write if responses are lost and the
// store is slow: one that conflicted but took effect, one that succeeded but did
// not take effect, and one that took effect twice.
func TestPutIdempotentUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		runInVirtualTime(t, store.Config{}, func(f fixture) {
			ctx, cancel := context.WithTimeout(f.Context(), 10*time.Minute)
			defer cancel()
			reports := make(chan map[string]store.Kind, 8)
			for writer := range 8 {
				v := f.platform.View()
				v.SetFaults(platform.Faults{LoseProbability: 0.3, Latency: 50 * time.Millisecond, Jitter: 4 * time.Second})
				client := f.startClient(store.Config{CallsPerSecond: 50, Burst: 50, Seed: seed*8 + uint64(writer) + 1}, v)
				go func() { reports <- appendNonce(ctx, client, fmt.Sprint("w", writer)) }()
			}
			reported := map[string]store.Kind{}
			for range 8 {
				for nonce, k := range <-reports {
					reported[nonce] = k
				}
			}
			time.Sleep(10 * time.Second) // until slow writes have ended
			o, err := f.platform.Get(f.Context(), "k")
			must.NoError(f, err)
			var e sharedObject
			must.NoError(f, json.Unmarshal(o.Value, &e))
			checkOutcomes(f.T, reported, e.Nonces)
		})
	}
}

// checkOutcomes compares the reported error kind of each write, by its nonce,
// with the nonces that the store holds.
func checkOutcomes(t *testing.T, reported map[string]store.Kind, stored []string) {
	t.Helper()
	applied := 0
	for nonce, kind := range reported {
		occurrences := 0
		for _, s := range stored {
			if s == nonce {
				occurrences++
			}
		}
		switch kind {
		case 0:
			applied++
			must.Eq(t, 1, occurrences, must.Sprint(nonce))
		case store.KindConflict:
			must.False(t, slices.Contains(stored, nonce), must.Sprint(nonce))
		default:
			must.LessEq(t, 1, occurrences, must.Sprint(nonce))
		}
	}
	must.Positive(t, applied)
}

// Guards against a lost response that makes the only writer fail.
func TestPutIdempotentRecognisesOwnWrite(t *testing.T) {
	runInVirtualTime(t, store.Config{}, func(f fixture) {
		f.view.SetFaults(platform.Faults{LoseAnswers: 1})
		v, err := store.PutIdempotent(f.Context(), f.client, store.Op{Key: "k", Value: []byte("nonce")})
		must.NoError(f, err)
		must.Eq(f, 1, v)
		must.Eq(f, 1, f.view.Calls().Put)
	})
}

// scriptedDoer is a Doer that returns prepared results in order.
type scriptedDoer []struct {
	result store.Result
	err    error
}

func (s *scriptedDoer) Do(context.Context, store.Op) (store.Result, error) {
	next := (*s)[0]
	*s = (*s)[1:]
	return next.result, next.err
}

// Guards against taking a writer's own slow write for that of another writer
// when the repetition of the write conflicts with it.
func TestPutIdempotentConflictWithOwnWrite(t *testing.T) {
	lost := &store.Error{Kind: store.KindUnavailable, MayHaveApplied: true}
	conflict := &store.Error{Kind: store.KindConflict, Current: 5}
	for value, want := range map[string]store.Kind{"mine": 0, "other": store.KindConflict} {
		s := &scriptedDoer{
			{err: lost},
			{result: store.Result{Object: store.Object{Version: 4, Value: []byte("before")}}},
			{err: conflict},
			{result: store.Result{Object: store.Object{Version: 5, Value: []byte(value)}}},
		}
		v, err := store.PutIdempotent(t.Context(), s, store.Op{Value: []byte("mine"), IfVersion: 4})
		must.Eq(t, want, errorKind(err))
		must.Eq(t, err == nil, v == 5)
		must.Len(t, 0, *s)
	}
}
