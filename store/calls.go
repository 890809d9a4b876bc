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

// Op is one operation of a Client.
type Op struct {
	Kind OpKind
	// Key is the object's key, or the prefix of a List.
	Key string
	// Value and IfVersion apply to OpPut, IfVersion also to OpDelete.
	Value     []byte
	IfVersion uint64
	// Urgent operations have a budget of their own, and after a failure wait
	// for Config.BackoffMin at most.
	Urgent bool
	// MaxAge, if positive, lets an OpGet be answered from the cache without a
	// call if the cached state is at most this old.
	MaxAge time.Duration
	// AllowStale lets an OpGet be answered from the cache with state of any age
	// while the store does not answer.
	AllowStale bool
}

func (o Op) isWrite() bool { return o.Kind == OpPut || o.Kind == OpDelete }

// Result is the result of an Op. Its values are shared with other callers and
// must not be changed.
type Result struct {
	Object  Object   // of OpGet
	List    []Object // of OpList
	Version uint64   // of OpPut
	// FromCache reports that Object comes from the cache.
	FromCache bool
	// Age is the time since the call that returned Object was sent.
	Age time.Duration
}

// Do runs one operation within the call budget. If ctx ends before the operation
// was sent, the error is KindBudgetExhausted; afterwards it is KindUnavailable,
// with MayHaveApplied for a write.
func (c *Client) Do(ctx context.Context, op Op) (Result, error) {
	w := &waiter{allowStale: op.AllowStale, reply: ring.NewReply[callResult]()}
	if err := c.enqueue(ctx, op.Key, func(s *loopState) { s.handleOp(op, w) }); err != nil {
		c.counters.refused.Add(1)
		return Result{}, err
	}
	var cause error
	select {
	case res := <-w.reply.C():
		return res.result, res.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-c.stopped:
		cause = &ring.ClosedError{Ring: c.commands.Name()}
	}
	if w.phase.CompareAndSwap(phaseWaiting, phaseAbandoned) {
		c.counters.refused.Add(1)
		return Result{}, &Error{Kind: KindBudgetExhausted, Key: op.Key, Cause: cause}
	}
	return Result{}, &Error{Kind: KindUnavailable, Key: op.Key, MayHaveApplied: op.isWrite(), Cause: cause}
}

type callResult struct {
	result Result
	err    error
	// notSent is set if every caller abandoned the call before it was sent.
	notSent bool
}

// Phases of a waiter. The caller tries to change phaseWaiting to phaseAbandoned,
// and the worker to phaseStarted. The one that succeeds decides whether the
// operation is sent.
const (
	phaseWaiting int32 = iota
	phaseStarted
	phaseAbandoned
)

// waiter is a caller of Do that waits for its result.
type waiter struct {
	phase      atomic.Int32
	allowStale bool
	reply      ring.Reply[callResult]
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

// sharedRead holds the calls for one read. Callers join the next call, which has
// not been sent. They never join one in flight, because the store may have
// answered it before a write that the caller knows of.
type sharedRead struct {
	inFlight bool
	next     *call // nil if no caller waits for a call to be sent
}

// handleOp answers op from the cache, lets it join a waiting read, or queues a
// call for it.
func (s *loopState) handleOp(op Op, w *waiter) {
	if s.replyFromCache(op, w) {
		return
	}
	if op.isWrite() {
		s.enqueue(&call{op: op, waiters: []*waiter{w}})
		return
	}
	key := readKey{op.Kind, op.Key}
	r := s.sharedReads[key]
	if r == nil {
		r = &sharedRead{}
		s.sharedReads[key] = r
	}
	if r.next != nil && len(r.next.waiters) >= maxSharedWaiters {
		s.reject(op, w)
		return
	}
	if r.next != nil {
		r.next.waiters = append(r.next.waiters, w)
		r.next.op.Urgent = r.next.op.Urgent || op.Urgent
		s.counters.coalesced.Add(1)
		return
	}
	c := &call{op: op, waiters: []*waiter{w}}
	if s.enqueue(c) {
		r.next = c
	} else if !r.inFlight {
		delete(s.sharedReads, key)
	}
}

// replyFromCache answers op if the cached state satisfies it, and reports
// whether it did.
func (s *loopState) replyFromCache(op Op, w *waiter) bool {
	entry, seen := s.cache.entries[op.Key]
	if op.Kind != OpGet || !seen {
		return false
	}
	age := time.Since(entry.requestedAt)
	fresh := op.MaxAge > 0 && age <= op.MaxAge
	outage := op.AllowStale && s.consecutiveFailures > 0
	if !fresh && !outage {
		return false
	}
	s.counters.fromCache.Add(1)
	w.reply.Send(entry.toResult(age))
	return true
}

func (e cacheEntry) toResult(age time.Duration) callResult {
	if e.deleted {
		return callResult{err: &Error{Kind: KindNotFound, Key: e.object.Key}}
	}
	return callResult{result: Result{Object: e.object, FromCache: true, Age: age}}
}

// enqueue adds c to the waiting calls and reports whether it did. If there is no
// room, it rejects c.
func (s *loopState) enqueue(c *call) bool {
	if len(s.pending) >= s.cfg.MaxPending {
		s.pending = slices.DeleteFunc(s.pending, s.dropIfAbandoned)
	}
	if len(s.pending) >= s.cfg.MaxPending {
		s.reject(c.op, c.waiters[0])
		return false
	}
	s.pending = append(s.pending, c)
	s.counters.pending.Store(int64(len(s.pending)))
	return true
}

// dropIfAbandoned reports whether every caller of c has abandoned it. If so, no
// further caller can join c.
func (s *loopState) dropIfAbandoned(c *call) bool {
	for _, w := range c.waiters {
		if w.phase.Load() != phaseAbandoned {
			return false
		}
	}
	s.detachRead(c)
	return true
}

// detachRead keeps further callers from joining c, a read that has been sent or
// dropped.
func (s *loopState) detachRead(c *call) {
	key := readKey{c.op.Kind, c.op.Key}
	if r := s.sharedReads[key]; r != nil && r.next == c {
		r.next = nil
		if !r.inFlight {
			delete(s.sharedReads, key)
		}
	}
}

func (s *loopState) reject(op Op, w *waiter) {
	s.counters.refused.Add(1)
	w.reply.Send(callResult{err: &Error{Kind: KindBudgetExhausted, Key: op.Key}})
}

// startCalls starts the waiting calls that the budget, the back-off and the
// worker pool allow, urgent ones first. It returns the time until the next
// attempt can succeed.
func (s *loopState) startCalls(now time.Time) time.Duration {
	s.pending = slices.DeleteFunc(s.pending, s.dropIfAbandoned)
	next := maxDispatchWait
	for _, urgent := range []bool{true, false} {
		kept := s.pending[:0]
		for _, c := range s.pending {
			if c.op.Urgent != urgent {
				kept = append(kept, c)
				continue
			}
			wait := s.startCall(c, now)
			if wait > 0 {
				kept = append(kept, c)
				next = min(next, wait)
			}
		}
		clear(s.pending[len(kept):])
		s.pending = kept
	}
	s.counters.pending.Store(int64(len(s.pending)))
	return next
}

// startCall passes c to a worker and returns 0, or returns how long c has to
// wait.
func (s *loopState) startCall(c *call, now time.Time) time.Duration {
	budget, wait := s.urgentBudget, s.urgentRetryAt.Sub(now)
	if !c.op.Urgent {
		budget, wait = s.ordinaryBudget, s.retryAt.Sub(now)
	}
	if wait = max(wait, tokenWait(budget, now)); wait > 0 {
		return wait
	}
	r := s.sharedReads[readKey{c.op.Kind, c.op.Key}]
	if !c.op.isWrite() && r.inFlight || s.inFlight >= s.cfg.CallWorkers {
		return maxDispatchWait // dispatch runs again when a call ends
	}
	if err := s.callPool.Submit(s.callTask(c, now)); err != nil {
		return poolRetryWait
	}
	s.recordStart(c, r, budget, now)
	return 0
}

func (s *loopState) recordStart(c *call, r *sharedRead, budget *rate.Limiter, now time.Time) {
	budget.AllowN(now, 1)
	s.inFlight++
	s.counters.inFlight.Store(int64(s.inFlight))
	if !c.op.isWrite() {
		r.inFlight = true
		s.detachRead(c)
	}
	s.callCounter(c.op.Kind).Add(1)
}

func (s *loopState) callCounter(kind OpKind) *atomic.Uint64 {
	switch kind {
	case OpGet:
		return &s.counters.get
	case OpList:
		return &s.counters.list
	case OpPut:
		return &s.counters.put
	default:
		return &s.counters.deletes
	}
}

// callTask returns the function that a pool worker runs for c. It drops the
// callers that have abandoned c. If none is left it does not send c, because Do
// has reported the operation as not sent.
func (s *loopState) callTask(c *call, sentAt time.Time) func() {
	client, runCtx := s.Client, s.ctx
	return func() {
		c.waiters = slices.DeleteFunc(c.waiters, func(w *waiter) bool {
			return !w.phase.CompareAndSwap(phaseWaiting, phaseStarted)
		})
		ctx, cancel := context.WithTimeout(runCtx, client.cfg.CallTimeout)
		defer cancel()
		res := callResult{notSent: len(c.waiters) == 0}
		if !res.notSent {
			res = client.execute(ctx, c.op)
		}
		// The ring has room for a result of every worker, so Push never waits.
		_ = client.results.Push(runCtx, func(s *loopState) { s.finishCall(c, sentAt, res) })
	}
}

func (c *Client) execute(ctx context.Context, op Op) (res callResult) {
	switch op.Kind {
	case OpGet:
		res.result.Object, res.err = c.store.Get(ctx, op.Key)
	case OpList:
		res.result.List, res.err = c.store.List(ctx, op.Key)
	case OpPut:
		res.result.Version, res.err = c.store.Put(ctx, op.Key, op.Value, op.IfVersion)
	case OpDelete:
		res.err = c.store.Delete(ctx, op.Key, op.IfVersion)
	default:
		res.err = &Error{Kind: KindInvalid, Key: op.Key}
	}
	return res
}

// errorKind returns the kind of err, or 0 if err is nil. An error that is no
// *Error counts as KindUnavailable.
func errorKind(err error) Kind {
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
