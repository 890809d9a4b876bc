package soak

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/ring"
	"marjoramshore.example/standin/loopback"
	"marjoramshore.example/standin/wire"
)

// newTestVM returns a VM without a process, whose events are dropped.
func newTestVM(t *testing.T, index int) *vm {
	r := &run{ctx: t.Context(), started: time.Now(), events: ring.New[Event]("test_events", 1024, ring.Block)}
	go ring.Consume(context.Background(), r.events, 0, func(Event) {}, nil)
	t.Cleanup(r.events.Close)
	return &vm{run: r, name: "node", service: plainService, ip: loopback.IP(2, index), serverTurn: make(chan struct{}, 1)}
}

// Guards against a run that ends with "address already in use", because the child
// process of a node that is being started has a copy of the listener of a backend
// server that was ended.
func TestBackendServerStartsOnAddressThatIsFreedLate(t *testing.T) {
	v := newTestVM(t, 201)
	ln, err := net.Listen("tcp", v.ip+":"+strconv.Itoa(wire.PortBackend))
	must.NoError(t, err)
	time.AfterFunc(300*time.Millisecond, func() { _ = ln.Close() })
	must.NoError(t, v.startServer())
	v.server.Load().Crash()
}

// Guards against a run that ends with a panic, or with a backend server that
// nobody stops, because two steps replace the backend server of a VM at once. The
// regression seed 2015 found it beside load.
func TestBackendServerReplacedTwiceAtOnce(t *testing.T) {
	v := newTestVM(t, 200)
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
