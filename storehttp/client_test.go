package storehttp_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/platform"
	"marjoramshore.example/store"
	"marjoramshore.example/storehttp"
)

// newTestClient returns a simulated platform and a client of its store.
func newTestClient(t *testing.T, cfg storehttp.Config) (*platform.Store, *storehttp.Client) {
	p := platform.New(1)
	srv := httptest.NewServer(platform.Handler(p))
	t.Cleanup(srv.Close)
	cfg.BaseURL = srv.URL
	c, err := storehttp.New(cfg)
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return p, c
}

func asStoreError(t *testing.T, err error) *store.Error {
	t.Helper()
	var e *store.Error
	must.True(t, errors.As(err, &e))
	return e
}

// Guards against an encoding that changes a condition, a version or a value.
func TestConditionalUpdates(t *testing.T) {
	_, c := newTestClient(t, storehttp.Config{})
	ctx := t.Context()
	_, err := c.Get(ctx, "group/a b/1")
	must.Eq(t, store.KindNotFound, asStoreError(t, err).Kind)
	value := []byte{0, 0xff, '"', '\n'}
	v, err := c.Put(ctx, "group/a b/1", value, 0)
	must.NoError(t, err)
	must.Eq(t, 1, v)
	o, err := c.Get(ctx, "group/a b/1")
	must.NoError(t, err)
	must.Eq(t, store.Object{Key: "group/a b/1", Version: 1, Value: value}, o)

	_, err = c.Put(ctx, "group/a b/1", nil, 0)
	must.Eq(t, store.KindConflict, asStoreError(t, err).Kind)
	must.Eq(t, 1, asStoreError(t, err).Current)
	must.False(t, asStoreError(t, err).MayHaveApplied)
	must.Eq(t, store.KindConflict, asStoreError(t, c.Delete(ctx, "group/a b/1", 7)).Kind)
	must.NoError(t, c.Delete(ctx, "group/a b/1", 1))
	v, err = c.Put(ctx, "group/a b/1", nil, 0)
	must.NoError(t, err)
	must.Eq(t, 2, v)
	list, err := c.List(ctx, "group/")
	must.NoError(t, err)
	must.Eq(t, 1, len(list))
}

// Guards against a value of the largest size that is refused, and against a
// larger one that is truncated.
func TestValueLimit(t *testing.T) {
	p, c := newTestClient(t, storehttp.Config{})
	_, err := c.Put(t.Context(), "k", make([]byte, store.MaxValueBytes), 0)
	must.NoError(t, err)
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, store.MaxValueBytes, len(o.Value))
	_, err = c.Put(t.Context(), "k", make([]byte, store.MaxValueBytes+1), 1)
	must.Eq(t, store.KindTooLarge, asStoreError(t, err).Kind)
	_, err = p.Put(t.Context(), "k", make([]byte, store.MaxValueBytes+1), 1)
	must.Eq(t, store.KindTooLarge, asStoreError(t, err).Kind)
}

// Guards against reporting that a write had no effect if its response was lost
// or did not arrive in time, so that it may have taken effect.
func TestMayHaveApplied(t *testing.T) {
	p, c := newTestClient(t, storehttp.Config{})
	p.SetFaults(platform.Faults{LoseAnswers: 1})
	_, err := c.Put(t.Context(), "k", []byte("x"), 0)
	must.Eq(t, store.KindUnavailable, asStoreError(t, err).Kind)
	must.True(t, asStoreError(t, err).MayHaveApplied)
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, 1, o.Version)

	p.SetFaults(platform.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	must.True(t, asStoreError(t, c.Delete(ctx, "k", 1)).MayHaveApplied)
	p.SetFaults(platform.Faults{Down: true})
	must.False(t, asStoreError(t, c.Delete(t.Context(), "k", 1)).MayHaveApplied)
}

// Guards against reporting that a write may have taken effect if the connection
// was refused.
func TestUnreachableStore(t *testing.T) {
	c, err := storehttp.New(storehttp.Config{BaseURL: "http://127.0.0.1:1"})
	must.NoError(t, err)
	_, err = c.Put(t.Context(), "k", nil, 0)
	must.Eq(t, store.KindUnavailable, asStoreError(t, err).Kind)
	must.False(t, asStoreError(t, err).MayHaveApplied)
	_, err = storehttp.New(storehttp.Config{BaseURL: "10.0.0.1:7000"})
	must.Eq(t, store.KindInvalid, asStoreError(t, err).Kind)
}

// Guards against a watch that misses a change between two polls, and against
// polls that return at once and overload the store.
func TestWatch(t *testing.T) {
	p, c := newTestClient(t, storehttp.Config{WatchWait: 30 * time.Millisecond})
	type watchResult struct {
		o   store.Object
		err error
	}
	results := make(chan watchResult, 1)
	watch := func(after uint64) {
		go func() { o, err := c.Watch(t.Context(), "k", after); results <- watchResult{o, err} }()
	}
	watch(0)
	for p.Calls().Watch < 3 { // the poll has been repeated
		time.Sleep(time.Millisecond)
	}
	_, err := p.Put(t.Context(), "k", []byte("1"), 0)
	must.NoError(t, err)
	must.Eq(t, 1, (<-results).o.Version)
	watch(1)
	must.NoError(t, p.Delete(t.Context(), "k", 1))
	must.Eq(t, store.KindNotFound, asStoreError(t, (<-results).err).Kind)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Watch(ctx, "k", 0)
	must.Eq(t, store.KindUnavailable, asStoreError(t, err).Kind)
}
