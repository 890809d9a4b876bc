package store

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"marjoramshore.example/ring"
)

// OpKind selects the store call of an Op.
type OpKind uint8

// Kinds of operation.
const (
	OpGet OpKind = iota + 1
	OpList
	OpPut
	OpDelete
)

// Op is one operation for the duty.
type Op struct {
	Kind OpKind
	// Key is the object's key, or the prefix of a List.
	Key string
	// Value and IfVersion belong to Put; IfVersion also to Delete.
	Value     []byte
	IfVersion uint64
	// Urgent operations have a budget of their own, and after a failure wait
	// for BackoffMin only.
	Urgent bool
	// MaxAge, when positive, lets a Get be answered from memory with state of
	// at most that age, without a call.
	MaxAge time.Duration
	// AllowStale lets a Get be answered from memory with state of any age
	// while the store does not answer.
	AllowStale bool
}

func (o Op) write() bool { return o.Kind == OpPut || o.Kind == OpDelete }

// Result is the answer to an Op. Values are shared and must not be changed.
type Result struct {
	Object  Object   // of a Get
	List    []Object // of a List
	Version uint64   // of a Put
	// FromMemory reports that Object is last known state.
	FromMemory bool
	// Age is the time since the store was asked for Object.
	Age time.Duration
}

// Do runs one operation within the budget. When ctx ends before the operation
// was sent, the error is KindBudget; afterwards it is KindUnavailable, with
// MayHaveApplied for a write.
func (d *Client) Do(ctx context.Context, op Op) (Result, error) {
	w := &waiter{allowStale: op.AllowStale, reply: ring.NewReply[answer]()}
	if err := d.push(ctx, op.Key, func(s *state) { s.accept(op, w) }); err != nil {
		d.count.refused.Add(1)
		return Result{}, err
	}
	var cause error
	select {
	case a := <-w.reply.C():
		return a.result, a.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-d.stopped:
		cause = &ring.ClosedError{Ring: d.in.Name()}
	}
	if w.phase.CompareAndSwap(phaseWaiting, phaseAbandoned) {
		d.count.refused.Add(1)
		return Result{}, &Error{Kind: KindBudgetExhausted, Key: op.Key, Cause: cause}
	}
	return Result{}, &Error{Kind: KindUnavailable, Key: op.Key, MayHaveApplied: op.write(), Cause: cause}
}

type answer struct {
	result Result
	err    error
	// notSent marks a call that every caller abandoned before it was sent.
	notSent bool
}

// Phases of a waiter. Both the caller and the duty move it on, so the change
// decides whether an operation was sent.
const (
	phaseWaiting int32 = iota
	phaseStarted
	phaseAbandoned
)

type waiter struct {
	phase      atomic.Int32
	allowStale bool
	reply      ring.Reply[answer]
}

// call is one store call and the callers that wait for it.
type call struct {
	op      Op
	waiters []*waiter
}

type readKey struct {
	kind OpKind
	key  string
}

// readState is the sharing of one read: callers join a read that has not been
// sent. They never join one in flight, because it may have been answered
// before a write that the caller knows of.
type readState struct {
	inFlight bool
	next     *call
}

func (s *state) accept(op Op, w *waiter) {
	if s.answerFromMemory(op, w) {
		return
	}
	if op.write() {
		s.enqueue(&call{op: op, waiters: []*waiter{w}})
		return
	}
	key := readKey{op.Kind, op.Key}
	r := s.reads[key]
	if r == nil {
		r = &readState{}
		s.reads[key] = r
	}
	if r.next != nil && len(r.next.waiters) >= maxWaiters {
		s.refuse(op, w)
		return
	}
	if r.next != nil {
		r.next.waiters = append(r.next.waiters, w)
		r.next.op.Urgent = r.next.op.Urgent || op.Urgent
		s.count.batched.Add(1)
		return
	}
	c := &call{op: op, waiters: []*waiter{w}}
	if s.enqueue(c) {
		r.next = c
	} else if !r.inFlight {
		delete(s.reads, key)
	}
}

// answerFromMemory replies when last known state satisfies op.
func (s *state) answerFromMemory(op Op, w *waiter) bool {
	k, seen := s.memory.objects[op.Key]
	if op.Kind != OpGet || !seen {
		return false
	}
	age := time.Since(k.at)
	fresh := op.MaxAge > 0 && age <= op.MaxAge
	outage := op.AllowStale && s.failures > 0
	if !fresh && !outage {
		return false
	}
	s.count.fromMemory.Add(1)
	w.reply.Send(k.answer(age))
	return true
}

func (k known) answer(age time.Duration) answer {
	if k.deleted {
		return answer{err: &Error{Kind: KindNotFound, Key: k.object.Key}}
	}
	return answer{result: Result{Object: k.object, FromMemory: true, Age: age}}
}

// enqueue adds c to the waiting calls, or refuses it.
func (s *state) enqueue(c *call) bool {
	if len(s.pending) >= s.cfg.Pending {
		s.pending = slices.DeleteFunc(s.pending, s.abandoned)
	}
	if len(s.pending) >= s.cfg.Pending {
		s.refuse(c.op, c.waiters[0])
		return false
	}
	s.pending = append(s.pending, c)
	s.count.pending.Store(int64(len(s.pending)))
	return true
}

// abandoned reports whether every caller of c has left, and then forgets c.
func (s *state) abandoned(c *call) bool {
	for _, w := range c.waiters {
		if w.phase.Load() != phaseAbandoned {
			return false
		}
	}
	s.detach(c)
	return true
}

// detach ends the sharing of a read that has been sent or dropped.
func (s *state) detach(c *call) {
	key := readKey{c.op.Kind, c.op.Key}
	if r := s.reads[key]; r != nil && r.next == c {
		r.next = nil
		if !r.inFlight {
			delete(s.reads, key)
		}
	}
}

func (s *state) refuse(op Op, w *waiter) {
	s.count.refused.Add(1)
	w.reply.Send(answer{err: &Error{Kind: KindBudgetExhausted, Key: op.Key}})
}

// startCalls starts the waiting calls that the budget, the back-off and the
// worker pool allow, urgent ones first, and returns the time until the next
// attempt makes sense.
func (s *state) startCalls(now time.Time) time.Duration {
	s.pending = slices.DeleteFunc(s.pending, s.abandoned)
	next := idle
	for _, urgent := range []bool{true, false} {
		kept := s.pending[:0]
		for _, c := range s.pending {
			if c.op.Urgent != urgent {
				kept = append(kept, c)
				continue
			}
			wait := s.start(c, now)
			if wait > 0 {
				kept = append(kept, c)
				next = min(next, wait)
			}
		}
		clear(s.pending[len(kept):])
		s.pending = kept
	}
	s.count.pending.Store(int64(len(s.pending)))
	return next
}

// start sends c, or returns how long c has to wait.
func (s *state) start(c *call, now time.Time) time.Duration {
	budget, wait := s.urgent, s.urgentAt.Sub(now)
	if !c.op.Urgent {
		budget, wait = s.ordinary, s.retryAt.Sub(now)
	}
	if wait = max(wait, tokenWait(budget, now)); wait > 0 {
		return wait
	}
	r := s.reads[readKey{c.op.Kind, c.op.Key}]
	if !c.op.write() && r.inFlight || s.inFlight >= s.cfg.CallWorkers {
		return idle // the end of a call runs dispatch again
	}
	if err := s.calls.Submit(s.work(c, now)); err != nil {
		return saturated
	}
	s.sent(c, r, budget, now)
	return 0
}

func (s *state) sent(c *call, r *readState, budget *rate.Limiter, now time.Time) {
	budget.AllowN(now, 1)
	s.inFlight++
	s.count.inFlight.Store(int64(s.inFlight))
	if !c.op.write() {
		r.inFlight = true
		s.detach(c)
	}
	s.counter(c.op.Kind).Add(1)
}

func (s *state) counter(k OpKind) *atomic.Uint64 {
	switch k {
	case OpGet:
		return &s.count.get
	case OpList:
		return &s.count.list
	case OpPut:
		return &s.count.put
	default:
		return &s.count.remove
	}
}

// work returns the function that a pool worker runs for c. Callers that left
// before this moment are dropped, and a call that nobody waits for is not
// sent: its callers were told so.
func (s *state) work(c *call, sent time.Time) func() {
	d, parent := s.Client, s.ctx
	return func() {
		c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool {
			return !w.phase.CompareAndSwap(phaseWaiting, phaseStarted)
		})
		ctx, cancel := context.WithTimeout(parent, d.cfg.CallTimeout)
		defer cancel()
		a := answer{notSent: len(c.waiters) == 0}
		if !a.notSent {
			a = d.execute(ctx, c.op)
		}
		// The ring has room for every worker, so this never waits.
		_ = d.results.Push(parent, func(s *state) { s.finish(c, sent, a) })
	}
}

func (d *Client) execute(ctx context.Context, op Op) (a answer) {
	switch op.Kind {
	case OpGet:
		a.result.Object, a.err = d.store.Get(ctx, op.Key)
	case OpList:
		a.result.List, a.err = d.store.List(ctx, op.Key)
	case OpPut:
		a.result.Version, a.err = d.store.Put(ctx, op.Key, op.Value, op.IfVersion)
	case OpDelete:
		a.err = d.store.Delete(ctx, op.Key, op.IfVersion)
	default:
		a.err = &Error{Kind: KindInvalid, Key: op.Key}
	}
	return a
}

// kindOf returns the kind of a store failure, or zero without one.
func kindOf(err error) Kind {
	var e *Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &e):
		return e.Kind
	default:
		return KindUnavailable
	}
}
