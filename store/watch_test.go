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

// Guards against one store call for each watcher of a key, and against a
// watcher that misses the current version or a deletion.
func TestWatchersShareOneCall(t *testing.T) {
	run(t, store.Config{Burst: 100}, func(b bench) {
		b.put("k", "1", 0)
		got := make([][]string, 10)
		ctx, cancel := context.WithCancel(b.Context())
		for i := range got {
			must.NoError(b, b.duty.Watch(ctx, "k", func(u store.Update) {
				got[i] = append(got[i], fmt.Sprint(u.Object.Version, u.Deleted))
			}))
		}
		synctest.Wait()
		b.put("k", "2", 1)
		synctest.Wait()
		must.NoError(b, b.p.Delete(b.Context(), "k", 2))
		synctest.Wait()
		b.put("k", "3", 0)
		synctest.Wait()
		for _, g := range got {
			must.Eq(b, []string{"1 false", "2 false", "0 true", "3 false"}, g)
		}
		must.Eq(b, 5, b.view.Calls().Watch) // four changes and the wait
		cancel()
		synctest.Wait()
		must.Eq(b, 0, b.duty.Stats().Watches)
	})
}

// Guards against a watch that dies with an outage, or that reports a version
// again afterwards.
func TestWatchOutlivesOutage(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		b.put("k", "1", 0)
		var versions []uint64
		must.NoError(b, b.duty.Watch(b.Context(), "k", func(u store.Update) {
			versions = append(versions, u.Object.Version)
		}))
		synctest.Wait()
		b.view.SetFaults(platform.Faults{Down: true})
		time.Sleep(time.Hour)
		b.put("k", "2", 1)
		time.Sleep(time.Minute)
		synctest.Wait()
		must.Eq(b, []uint64{1}, versions)
		b.view.SetFaults(platform.Faults{})
		time.Sleep(11 * time.Second)
		synctest.Wait()
		must.Eq(b, []uint64{1, 2}, versions)
	})
}

// Guards against a watcher that learns of its own node's write only from the
// store's slower notification, and against too many watched keys.
func TestWatchSeesOwnWriteAndIsBounded(t *testing.T) {
	run(t, store.Config{WatchWorkers: 1}, func(b bench) {
		var versions []uint64
		must.NoError(b, b.duty.Watch(b.Context(), "k", func(u store.Update) {
			versions = append(versions, u.Object.Version)
		}))
		must.Eq(b, store.KindBudgetExhausted, kind(b.duty.Watch(b.Context(), "other", func(store.Update) {})))
		_, err := b.duty.Do(b.Context(), store.Op{Kind: store.OpPut, Key: "k"})
		must.NoError(b, err)
		synctest.Wait()
		must.Eq(b, []uint64{1}, versions)
	})
}

type entry struct{ Nonces []string }

// appendNonce adds nonce to the shared object until it succeeds or ctx ends.
// It returns what the writer was told about each of its attempts.
func appendNonce(ctx context.Context, d *store.Client, writer string) (told map[string]store.Kind) {
	told = map[string]store.Kind{}
	for i := 0; ctx.Err() == nil; i++ {
		r, err := d.Do(ctx, store.Op{Kind: store.OpGet, Key: "k"})
		if k := kind(err); k != 0 && k != store.KindNotFound {
			continue
		}
		var e entry
		_ = json.Unmarshal(r.Object.Value, &e)
		nonce := fmt.Sprint(writer, "-", i)
		e.Nonces = append(e.Nonces, nonce)
		value, _ := json.Marshal(e)
		_, err = store.PutIdempotent(ctx, d, store.Op{Key: "k", Value: value, IfVersion: r.Object.Version})
		told[nonce] = kind(err)
		if err == nil {
			return told
		}
	}
	return told
}

// Guards against a write that is reported as lost and took effect, reported as
// done and did not, or took effect twice, when answers are lost and the store
// is slow.
func TestPutIdempotentUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		run(t, store.Config{}, func(b bench) {
			ctx, cancel := context.WithTimeout(b.Context(), 10*time.Minute)
			defer cancel()
			told := make(chan map[string]store.Kind, 8)
			for w := range 8 {
				v := b.p.View()
				v.SetFaults(platform.Faults{LoseShare: 0.3, Latency: 50 * time.Millisecond, Jitter: 4 * time.Second})
				d := b.start(store.Config{CallsPerSecond: 50, Burst: 50, Seed: seed*8 + uint64(w) + 1}, v)
				go func() { told <- appendNonce(ctx, d, fmt.Sprint("w", w)) }()
			}
			all := map[string]store.Kind{}
			for range 8 {
				for nonce, k := range <-told {
					all[nonce] = k
				}
			}
			time.Sleep(10 * time.Second) // slow writes end
			o, err := b.p.Get(b.Context(), "k")
			must.NoError(b, err)
			var e entry
			must.NoError(b, json.Unmarshal(o.Value, &e))
			checkFates(b.T, all, e.Nonces)
		})
	}
}

func checkFates(t *testing.T, told map[string]store.Kind, stored []string) {
	t.Helper()
	done := 0
	for nonce, k := range told {
		n := 0
		for _, s := range stored {
			if s == nonce {
				n++
			}
		}
		switch k {
		case 0:
			done++
			must.Eq(t, 1, n, must.Sprint(nonce))
		case store.KindConflict:
			must.False(t, slices.Contains(stored, nonce), must.Sprint(nonce))
		default:
			must.LessEq(t, 1, n, must.Sprint(nonce))
		}
	}
	must.Positive(t, done)
}

// Guards against a lost answer that makes the only writer give up.
func TestPutIdempotentRecognisesOwnWrite(t *testing.T) {
	run(t, store.Config{}, func(b bench) {
		b.view.SetFaults(platform.Faults{LoseAnswers: 1})
		v, err := store.PutIdempotent(b.Context(), b.duty, store.Op{Key: "k", Value: []byte("nonce")})
		must.NoError(b, err)
		must.Eq(b, 1, v)
		must.Eq(b, 1, b.view.Calls().Put)
	})
}

// script is a Doer with prepared answers.
type script []struct {
	result store.Result
	err    error
}

func (s *script) Do(context.Context, store.Op) (store.Result, error) {
	next := (*s)[0]
	*s = (*s)[1:]
	return next.result, next.err
}

// Guards against a slow write whose repetition conflicts with itself being
// taken for another writer's.
func TestPutIdempotentConflictsWithItself(t *testing.T) {
	lost := &store.Error{Kind: store.KindUnavailable, MayHaveApplied: true}
	conflict := &store.Error{Kind: store.KindConflict, Current: 5}
	for value, want := range map[string]store.Kind{"mine": 0, "other": store.KindConflict} {
		s := &script{
			{err: lost},
			{result: store.Result{Object: store.Object{Version: 4, Value: []byte("before")}}},
			{err: conflict},
			{result: store.Result{Object: store.Object{Version: 5, Value: []byte(value)}}},
		}
		v, err := store.PutIdempotent(t.Context(), s, store.Op{Value: []byte("mine"), IfVersion: 4})
		must.Eq(t, want, kind(err))
		must.Eq(t, err == nil, v == 5)
		must.Len(t, 0, *s)
	}
}
