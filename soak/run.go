package soak

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/ring"
	"marjoramshore.example/standin/keyed"
	"marjoramshore.example/standin/objects"
)

const (
	keyedService = "prices"
	plainService = "reports"
	// eventRing bounds queued events; a second of a large run has some 2,000.
	eventRing = 8192
	// settleIn is the longest time until all keys are served at the start.
	settleIn = 15 * time.Second
	// recovery is the time after the last disturbance within which everything
	// is served again; the bound of the users' platform.
	recovery = 15 * time.Second
	// lastLook is the end of a run, in which everything must be served.
	lastLook = 2 * time.Second
	// servedPart is the part of the requests of lastLook that must be answered.
	// Callers that were sent away by a hidden fault would show here.
	servedPart = 0.98
	poll       = 100 * time.Millisecond
)

// Options set up a run.
type Options struct {
	// Binary is the program under test.
	Binary string
	// Dir gets the logs of the processes.
	Dir   string
	Seed  uint64
	Shape Shape
	// PerSecond is the number of requests of all callers in a second.
	PerSecond int
	// Out gets a line for each disturbance.
	Out io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Shape      Shape
	Took       time.Duration
	Steps      []Step
	Violations []Violation
	Counts     Counts
}

// run is one run. Its goroutine carries out the plan; the ledger's goroutine
// owns what was seen.
type run struct {
	opts    Options
	ctx     context.Context
	started time.Time
	store   *objects.Store
	vms     []*vm
	events  *ring.Ring[Event]
	ledger  *Ledger
	written sync.WaitGroup
	muted   atomic.Pointer[map[netip.Addr]bool]
	failure atomic.Pointer[error]
	version int
	// effects end disturbances that are under way.
	effects sync.WaitGroup
}

func (r *run) now() time.Duration { return time.Since(r.started) }

func (r *run) fail(err error) { r.failure.CompareAndSwap(nil, &err) }

func (r *run) record(e Event) {
	if err := r.events.Push(context.Background(), e); err != nil {
		r.fail(fault("record an event", err))
	}
}

// observer passes what a backend server sees to the ledger.
type observer struct {
	r       *run
	service string
}

// RequestStarted implements keyed.Observer.
func (o observer) RequestStarted(server string, x keyed.Request) {
	o.r.record(Began{o.r.now(), server, o.service, callerOf(x.ID), x})
}

// SlotsExceeded implements keyed.Observer.
func (o observer) SlotsExceeded(server string, running int64) {
	o.r.record(Crowded{o.r.now(), server, running, slots})
}

// KeysGranted implements keyed.Observer.
func (o observer) KeysGranted(server string, rows []keyed.KeyRange, until time.Time) {
	o.r.record(Holds{o.r.now(), until.Sub(o.r.started), server, slices.Clone(rows)})
}

// LeaveAcknowledged implements keyed.Observer.
func (o observer) LeaveAcknowledged(server string) { o.r.record(Left{o.r.now(), server}) }

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, fault("create the directory of logs", err)
	}
	var err error
	if o.Binary, err = filepath.Abs(o.Binary); err != nil {
		return Result{}, fault("path of the program", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{opts: o, ctx: ctx, started: time.Now(), events: ring.New[Event]("soak_events", eventRing, ring.Block), ledger: NewLedger()}
	r.muted.Store(&map[netip.Addr]bool{})
	if r.store, err = objects.New(); err != nil {
		return Result{}, fault("start the store", err)
	}
	defer r.store.Close()
	r.written.Go(func() {
		ring.Consume(context.Background(), r.events, 0, func(e Event) { e.apply(r.ledger) }, nil)
	})
	res := Result{Seed: o.Seed, Shape: o.Shape, Steps: Plan(o.Seed, o.Shape)}
	err = r.play(ctx, cancel, res.Steps)
	r.events.Close()
	r.written.Wait()
	if f := r.failure.Load(); err == nil && f != nil {
		err = *f
	}
	res.Took = r.now()
	res.Violations, res.Counts = r.ledger.Judge()
	return res, err
}

// play starts everything, carries the steps out, and looks whether everything
// is served at the end.
func (r *run) play(ctx context.Context, cancel context.CancelFunc, steps []Step) error {
	r.configure()
	defer r.close()
	for i := range r.opts.Shape.Nodes() {
		service := keyedService
		if i >= r.opts.Shape.Keyed {
			service = plainService
		}
		v, err := newVM(r, i, service)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	if !r.await(settleIn, func() bool { return r.unheld() == 0 }) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return fault("start", &unheldError{r.unheld()})
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	r.call(ctx, &callers)
	from := r.now()
	for _, s := range steps {
		if !r.wait(ctx, from+s.At-r.now()) {
			return ctx.Err()
		}
		fmt.Fprintln(r.opts.Out, s)
		r.begin(s)
	}
	r.effects.Wait()
	if !r.wait(ctx, recovery) {
		return ctx.Err()
	}
	r.look(ctx)
	return nil
}

type unheldError struct{ n int }

func (e *unheldError) Error() string { return fmt.Sprintf("%d keys are not held", e.n) }

// look checks that everything is served.
func (r *run) look(ctx context.Context) {
	if n := r.unheld(); n > 0 {
		r.record(Unserved{r.now(), (&unheldError{n}).Error()})
	}
	from := r.now()
	r.wait(ctx, lastLook)
	to := r.now()
	r.wait(ctx, callerPatience) // until what was sent has ended
	r.ask(func(l *Ledger) { l.served(from, to) })
}

// query asks the ledger's goroutine.
type query struct {
	f    func(*Ledger)
	done ring.Reply[struct{}]
}

func (q query) apply(l *Ledger) {
	q.f(l)
	q.done.Send(struct{}{})
}

func (r *run) ask(f func(*Ledger)) {
	q := query{f, ring.NewReply[struct{}]()}
	r.record(q)
	q.done.Wait(context.Background())
}

func (r *run) unheld() (n int) {
	r.ask(func(l *Ledger) { n = l.Unheld(r.now()) })
	return n
}

func (r *run) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *run) await(limit time.Duration, ok func() bool) bool {
	for end := r.now() + limit; r.now() < end; {
		if ok() {
			return true
		}
		if !r.wait(r.ctx, poll) {
			return false
		}
	}
	return false
}

func (r *run) close() {
	var all sync.WaitGroup
	for _, v := range r.vms {
		all.Go(v.close)
	}
	all.Wait()
}
