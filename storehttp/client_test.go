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

func serve(t *testing.T, cfg storehttp.Config) (*platform.Platform, *storehttp.Client) {
	p := platform.New(1)
	srv := httptest.NewServer(platform.Handler(p))
	t.Cleanup(srv.Close)
	cfg.BaseURL = srv.URL
	c, err := storehttp.New(cfg)
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return p, c
}

func fault(t *testing.T, err error) *store.Error {
	t.Helper()
	var e *store.Error
	must.True(t, errors.As(err, &e))
	return e
}

// Guards against a condition, version or value changed by the encoding.
func TestConditionalUpdates(t *testing.T) {
	_, c := serve(t, storehttp.Config{})
	ctx := t.Context()
	_, err := c.Get(ctx, "group/a b/1")
	must.Eq(t, store.KindNotFound, fault(t, err).Kind)
	value := []byte{0, 0xff, '"', '\n'}
	v, err := c.Put(ctx, "group/a b/1", value, 0)
	must.NoError(t, err)
	must.Eq(t, 1, v)
	o, err := c.Get(ctx, "group/a b/1")
	must.NoError(t, err)
	must.Eq(t, store.Object{Key: "group/a b/1", Version: 1, Value: value}, o)

	_, err = c.Put(ctx, "group/a b/1", nil, 0)
	must.Eq(t, store.KindConflict, fault(t, err).Kind)
	must.Eq(t, 1, fault(t, err).Current)
	must.False(t, fault(t, err).MayHaveApplied)
	must.Eq(t, store.KindConflict, fault(t, c.Delete(ctx, "group/a b/1", 7)).Kind)
	must.NoError(t, c.Delete(ctx, "group/a b/1", 1))
	v, err = c.Put(ctx, "group/a b/1", nil, 0)
	must.NoError(t, err)
	must.Eq(t, 2, v)
	list, err := c.List(ctx, "group/")
	must.NoError(t, err)
	must.Eq(t, 1, len(list))
}

// Guards against a value of the largest size that fails in transit, and
// against a larger one that is cut.
func TestValueLimit(t *testing.T) {
	p, c := serve(t, storehttp.Config{})
	_, err := c.Put(t.Context(), "k", make([]byte, store.MaxValueBytes), 0)
	must.NoError(t, err)
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, store.MaxValueBytes, len(o.Value))
	_, err = c.Put(t.Context(), "k", make([]byte, store.MaxValueBytes+1), 1)
	must.Eq(t, store.KindTooLarge, fault(t, err).Kind)
	_, err = p.Put(t.Context(), "k", make([]byte, store.MaxValueBytes+1), 1)
	must.Eq(t, store.KindTooLarge, fault(t, err).Kind)
}

// Guards against a write that took effect being reported as one that did not.
func TestLostAnswer(t *testing.T) {
	p, c := serve(t, storehttp.Config{})
	p.SetFaults(platform.Faults{LoseAnswers: 1})
	_, err := c.Put(t.Context(), "k", []byte("x"), 0)
	must.Eq(t, store.KindUnavailable, fault(t, err).Kind)
	must.True(t, fault(t, err).MayHaveApplied)
	o, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, 1, o.Version)

	p.SetFaults(platform.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	must.True(t, fault(t, c.Delete(ctx, "k", 1)).MayHaveApplied)
	p.SetFaults(platform.Faults{Down: true})
	must.False(t, fault(t, c.Delete(t.Context(), "k", 1)).MayHaveApplied)
}

// Guards against a refused connection being reported as a doubtful write.
func TestUnreachable(t *testing.T) {
	c, err := storehttp.New(storehttp.Config{BaseURL: "http://127.0.0.1:1"})
	must.NoError(t, err)
	_, err = c.Put(t.Context(), "k", nil, 0)
	must.Eq(t, store.KindUnavailable, fault(t, err).Kind)
	must.False(t, fault(t, err).MayHaveApplied)
	_, err = storehttp.New(storehttp.Config{BaseURL: "10.0.0.1:7000"})
	must.Eq(t, store.KindInvalid, fault(t, err).Kind)
}

// Guards against a watch that misses a change between two polls, and against
// polls that hammer the store.
func TestWatch(t *testing.T) {
	p, c := serve(t, storehttp.Config{WatchWait: 30 * time.Millisecond})
	type answer struct {
		o   store.Object
		err error
	}
	got := make(chan answer, 1)
	watch := func(after uint64) {
		go func() { o, err := c.Watch(t.Context(), "k", after); got <- answer{o, err} }()
	}
	watch(0)
	for p.Calls().Watch < 3 { // the poll has been repeated
		time.Sleep(time.Millisecond)
	}
	_, err := p.Put(t.Context(), "k", []byte("1"), 0)
	must.NoError(t, err)
	must.Eq(t, 1, (<-got).o.Version)
	watch(1)
	must.NoError(t, p.Delete(t.Context(), "k", 1))
	must.Eq(t, store.KindNotFound, fault(t, (<-got).err).Kind)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Watch(ctx, "k", 0)
	must.Eq(t, store.KindUnavailable, fault(t, err).Kind)
}
