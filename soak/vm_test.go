package soak

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/ring"
)

// Guards against a run that ends with a panic, or with a backend server that
// nobody stops, because two steps replace the backend server of a VM at once. The
// regression seed 2015 found it beside load.
func TestBackendServerReplacedTwiceAtOnce(t *testing.T) {
	r := &run{ctx: t.Context(), started: time.Now(), events: ring.New[Event]("test_events", 1024, ring.Block)}
	go ring.Consume(context.Background(), r.events, 0, func(Event) {}, nil)
	t.Cleanup(r.events.Close)
	v := &vm{run: r, name: "node", service: plainService, ip: loopbackIP(2, 200), serverTurn: make(chan struct{}, 1)}
	must.NoError(t, v.startServer())
	var steps sync.WaitGroup
	errs := make(chan error, 4)
	for range cap(errs) {
		steps.Go(func() { errs <- v.restartServer() })
	}
	steps.Wait()
	for range cap(errs) {
		must.NoError(t, <-errs)
	}
	must.Eq(t, 5, v.serverStarts)
	v.server.Load().Crash()
}
