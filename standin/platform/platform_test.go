package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/store"
)

func errorKind(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// Guards against a slow write that is dropped when its caller times out: it
// must still take effect later, as in the real store.
func TestSlowWriteAppliesAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1)
		v := p.View()
		v.SetFaults(Faults{Latency: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := v.Put(ctx, "k", []byte("late"), 0)
		var e *store.Error
		must.True(t, errors.As(err, &e))
		must.True(t, e.MayHaveApplied)
		time.Sleep(3 * time.Second)
		_, err = p.Get(t.Context(), "k")
		must.Eq(t, store.KindNotFound, errorKind(err))
		time.Sleep(2 * time.Second)
		o, err := p.Get(t.Context(), "k")
		must.NoError(t, err)
		must.Eq(t, "late", string(o.Value))
	})
}

// Guards against an outage of one client that affects another, and against a
// watch that keeps waiting after an outage of its client begins.
func TestViewFaultsAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(1)
		a, b := p.View(), p.View()
		errs := make(chan error, 1)
		go func() { _, err := a.Watch(t.Context(), "k", 0); errs <- err }()
		synctest.Wait()
		a.SetFaults(Faults{Down: true})
		must.Eq(t, store.KindUnavailable, errorKind(<-errs))
		_, err := b.Put(t.Context(), "k", nil, 0)
		must.NoError(t, err)
		must.Eq(t, CallCounts{Watch: 1}, a.Calls())
		must.Eq(t, CallCounts{Put: 1}, b.Calls())
		must.Eq(t, CallCounts{Put: 1, Watch: 1}, p.Calls())
	})
}

// Guards against stale reads that return the current version, and against
// versions that restart when a key is created again.
func TestStaleReadsAndVersions(t *testing.T) {
	p := New(1)
	ctx := t.Context()
	for i := range uint64(3) {
		_, err := p.Put(ctx, "k", []byte{byte(i)}, i)
		must.NoError(t, err)
	}
	p.SetFaults(Faults{StaleProbability: 1})
	o, err := p.Get(ctx, "k")
	must.NoError(t, err)
	must.Eq(t, 2, o.Version)
	p.SetFaults(Faults{})
	must.NoError(t, p.Delete(ctx, "k", 3))
	_, err = p.Watch(ctx, "k", 3)
	must.Eq(t, store.KindNotFound, errorKind(err))
	version, err := p.Put(ctx, "k", nil, 0)
	must.NoError(t, err)
	must.Eq(t, 4, version)
}

// Guards against two writers that both succeed with the same expected version.
func TestConditionalUpdatesAreExclusive(t *testing.T) {
	p := New(1)
	wins := make(chan error, 64)
	for range 64 {
		go func() { _, err := p.Put(context.Background(), "k", nil, 0); wins <- err }()
	}
	won := 0
	for range 64 {
		if err := <-wins; err == nil {
			won++
		} else {
			must.Eq(t, store.KindConflict, errorKind(err))
		}
	}
	must.Eq(t, 1, won)
}
