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
	// keyedService has backend servers that divide its keys, plainService has
	// backend servers without keys.
	keyedService = "prices"
	plainService = "reports"
	// eventRingSize bounds the queued events; a second of a large run has about
	// 2,000.
	eventRingSize = 8192
	// startupTime is the time within which all keys must be held after the
	// start.
	startupTime = 15 * time.Second
	// recoveryTime is the time after the last disturbance within which all keys
	// and requests must be served again, as the users' platform requires.
	recoveryTime = 15 * time.Second
	// finalCheckTime is the period at the end of a run in which requests must be
	// answered.
	finalCheckTime = 2 * time.Second
	// minAnsweredRatio is the ratio of the requests of finalCheckTime that must
	// be answered successfully. A fault that makes nodes refuse callers without
	// breaking another guarantee would lower it.
	minAnsweredRatio = 0.98
	pollInterval     = 100 * time.Millisecond
	// timerCheckInterval is the interval of the checks of timers.
	timerCheckInterval = 20 * time.Millisecond
	// minTimerDelay is the least delay of a timer that is reported. A call to the
	// store may take 900 ms and a request 2 s.
	minTimerDelay = 300 * time.Millisecond
)

// Options are the parameters of a run.
type Options struct {
	// Binary is the path of the program under test.
	Binary string
	// Dir is the directory for the settings files and logs of the processes. It
	// is created if it does not exist.
	Dir   string
	Seed  uint64
	Shape Shape
	// PerSecond is the request rate of all callers together.
	PerSecond int
	// CallersPerNode is the number of callers that share the request rate of
	// one node. Each keeps a connection open.
	CallersPerNode int
	// FirstAddress is the number of the first address of the run. Runs of one
	// process that overlap in time need separate addresses.
	FirstAddress int
	// Out receives a line for each disturbance.
	Out io.Writer
}

// Result holds the plan, the totals and the violations of a run.
type Result struct {
	Seed       uint64
	Shape      Shape
	Took       time.Duration
	Steps      []Step
	Violations []Violation
	Counts     Counts
	// MaxMemoryMB is the greatest memory that a process used.
	MaxMemoryMB int
	// LateTimers are the delays of at least minTimerDelay with which timers of
	// this process expired. They show when the stand-ins and the callers got no
	// processor time.
	LateTimers []LateTimer
}

// run is the state of one run. The goroutine that calls Run executes the plan;
// another one owns the Checker and applies the events to it.
type run struct {
	opts             Options
	ctx              context.Context
	started          time.Time
	store            *objects.Store
	vms              []*vm
	events           *ring.Ring[Event]
	checker          *Checker
	checkerGoroutine sync.WaitGroup
	mutedHosts       atomic.Pointer[map[netip.Addr]bool]
	firstError       atomic.Pointer[error]
	configVersion    int
	// scheduled are the goroutines of runAfter, which end disturbances and run
	// delayed checks.
	scheduled sync.WaitGroup
	// scheduledTurns are the goroutines that throttle processes.
	scheduledTurns sync.WaitGroup
	// maxMemoryMB is the greatest memory of a process; checkMemory sets it.
	maxMemoryMB int
	// lateTimers is for Result.LateTimers; watchTimers appends to it.
	lateTimers []LateTimer
}

// elapsed returns the time since the start of the run.
func (r *run) elapsed() time.Duration { return time.Since(r.started) }

// fail keeps the first failure of the run itself; Run returns it.
func (r *run) fail(err error) { r.firstError.CompareAndSwap(nil, &err) }

// record queues an event for the Checker, and blocks while the queue is full.
func (r *run) record(e Event) {
	if err := r.events.Push(context.Background(), e); err != nil {
		r.fail(wrapError("queue an event for the checker", err))
	}
}

// observer records what the backend servers of a service observe.
type observer struct {
	run     *run
	service string
}

// RequestStarted implements keyed.Observer.
func (o observer) RequestStarted(server string, execution keyed.Request) {
	o.run.record(RequestStart{o.run.elapsed(), server, o.service, callerService(execution.ID), execution})
}

// SlotsExceeded implements keyed.Observer.
func (o observer) SlotsExceeded(server string, running int64) {
	o.run.record(SlotOverrun{o.run.elapsed(), server, running, serverSlots})
}

// KeysGranted implements keyed.Observer.
func (o observer) KeysGranted(server string, rows []keyed.KeyRange, until time.Time) {
	o.run.record(HeldRanges{o.run.elapsed(), until.Sub(o.run.started), server, slices.Clone(rows)})
}

// Ended implements keyed.Observer.
func (o observer) Ended(server string) { o.run.record(ServerExit{server}) }

// LeaveAcknowledged implements keyed.Observer.
func (o observer) LeaveAcknowledged(server string) { o.run.record(LeaveAck{o.run.elapsed(), server}) }

// Run executes the plan for one seed and returns what the checks found. An error
// is a failure of the run itself, whose result is then incomplete or empty.
func Run(ctx context.Context, opts Options) (Result, error) {
	if err := os.MkdirAll(opts.Dir, 0o755); err != nil {
		return Result{}, wrapError("create the directory for logs", err)
	}
	var err error
	if opts.Binary, err = filepath.Abs(opts.Binary); err != nil {
		return Result{}, wrapError("resolve the path of the program under test", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{opts: opts, ctx: ctx, started: time.Now(), events: ring.New[Event]("soak_events", eventRingSize, ring.Block), checker: NewChecker()}
	r.mutedHosts.Store(&map[netip.Addr]bool{})
	if r.store, err = objects.New(); err != nil {
		return Result{}, wrapError("start the stand-in store", err)
	}
	defer r.store.Close()
	r.checkerGoroutine.Go(func() {
		ring.Consume(context.Background(), r.events, 0, func(e Event) { e.apply(r.checker) }, nil)
	})
	result := Result{Seed: opts.Seed, Shape: opts.Shape, Steps: Plan(opts.Seed, opts.Shape)}
	err = r.execute(ctx, cancel, result.Steps)
	r.events.Close()
	r.checkerGoroutine.Wait()
	if failure := r.firstError.Load(); err == nil && failure != nil {
		err = *failure
	}
	result.Took, result.MaxMemoryMB, result.LateTimers = r.elapsed(), r.maxMemoryMB, r.lateTimers
	result.Violations, result.Counts = r.checker.Finish()
	return result, err
}

// execute starts the nodes, the backend servers and the callers, executes the
// steps at their times, and checks the recovery.
func (r *run) execute(ctx context.Context, cancel context.CancelFunc, steps []Step) error {
	r.publishConfig()
	defer r.close()
	defer cancel()
	for index := range r.opts.Shape.Nodes() {
		service := keyedService
		if index >= r.opts.Shape.Keyed {
			service = plainService
		}
		v, err := newVM(r, index, service)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	if !r.waitUntil(startupTime, func() bool { return r.unheldKeys() == 0 }) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return wrapError("wait for the keys to be held after the start", &unheldError{r.unheldKeys()})
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	r.startCallers(ctx, &callers)
	callers.Go(func() { r.checkMemory(ctx) })
	callers.Go(func() { r.watchTimers(ctx) })
	from := r.elapsed()
	for _, s := range steps {
		if !r.sleep(ctx, from+s.At-r.elapsed()) {
			return ctx.Err()
		}
		fmt.Fprintln(r.opts.Out, s)
		r.startStep(s)
	}
	r.scheduled.Wait()
	if !r.sleep(ctx, recoveryTime) {
		return ctx.Err()
	}
	r.checkRecovery(ctx)
	return nil
}

// LateTimer is a timer of the soak that expired Delay late, at At after the start
// of the run.
type LateTimer struct{ At, Delay time.Duration }

// watchTimers measures how late timers of this process expire until ctx ends.
func (r *run) watchTimers(ctx context.Context) {
	for from := r.elapsed(); r.sleep(ctx, timerCheckInterval); from = r.elapsed() {
		now := r.elapsed()
		if delay := now - from - timerCheckInterval; delay >= minTimerDelay {
			r.lateTimers = append(r.lateTimers, LateTimer{now, delay})
		}
	}
}

// unheldError reports the number of keys that no backend server holds.
type unheldError struct{ count int }

func (e *unheldError) Error() string { return fmt.Sprintf("%d keys have no holder", e.count) }

// checkRecovery checks that all keys are held, and that the requests of the next
// finalCheckTime are answered.
func (r *run) checkRecovery(ctx context.Context) {
	if n := r.unheldKeys(); n > 0 {
		r.record(FailedRecovery{r.elapsed(), (&unheldError{n}).Error()})
	}
	from := r.elapsed()
	r.sleep(ctx, finalCheckTime)
	to := r.elapsed()
	r.sleep(ctx, clientTimeout) // until the last of these requests has ended
	r.queryChecker(func(c *Checker) { c.checkAnsweredRatio(from, to) })
}

// checkerQuery is an event that runs fn on the goroutine that owns the Checker.
type checkerQuery struct {
	fn   func(*Checker)
	done ring.Reply[struct{}]
}

func (q checkerQuery) apply(c *Checker) {
	q.fn(c)
	q.done.Send(struct{}{})
}

// queryChecker runs fn on the goroutine that owns the Checker, after all events
// that are queued, and waits for its end.
func (r *run) queryChecker(fn func(*Checker)) {
	q := checkerQuery{fn, ring.NewReply[struct{}]()}
	r.record(q)
	q.done.Wait(context.Background())
}

// unheldKeys returns the number of keys without a holder at the time of the call. The
// checker may be behind, so that the holds that it knows of when it takes the query
// have ended by then.
func (r *run) unheldKeys() (n int) {
	at := r.elapsed()
	r.queryChecker(func(c *Checker) { n = c.UnheldKeys(at) })
	return n
}

// sleep waits for d. It returns false if ctx ends first.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntil polls condition and returns true once it holds, or false after the
// timeout or at the end of the run.
func (r *run) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := r.elapsed() + timeout; r.elapsed() < end; {
		if condition() {
			return true
		}
		if !r.sleep(r.ctx, pollInterval) {
			return false
		}
	}
	return false
}

// close stops all processes and backend servers.
func (r *run) close() {
	r.scheduledTurns.Wait()
	var goroutines sync.WaitGroup
	for _, v := range r.vms {
		goroutines.Go(v.close)
	}
	goroutines.Wait()
}
