package entrance

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/routing"
)

// Peers sends one exchange to the node at an address. A failure is a
// *core.Error whose code tells whether the request may have run.
type Peers interface {
	Exchange(ctx context.Context, addr string, req *core.Request) (*core.Response, error)
}

// spreadOver is the time over which waiting requests return. 100 ms lets 17
// slots at 3 ms work off more than 500 of them.
const spreadOver = 100 * time.Millisecond

// Config joins a Router to its surroundings.
type Config struct {
	Self   core.Member
	Tables *Tables
	Peers  Peers
	// LocalHandler serves the keys of this node.
	LocalHandler core.Handler
	Clock        *clock.Real
	// MaxWaitingRequests bounds the requests that wait for an owner; 1024.
	MaxWaitingRequests int
	// DefaultDeadline applies to requests without one; 30 s. Long work that
	// needs more states its own deadline.
	DefaultDeadline time.Duration
}

// Stats are counters since the router was made.
type Stats struct {
	Requests, Attempts, Waited, RefusedWaiting uint64
	Waiting                                    int64
}

// Router is the core.Handler that takes a caller's request to the owner of its
// key.
type Router struct {
	cfg     Config
	policy  *routing.RetryPolicy
	waiting atomic.Int64
	counts  struct{ requests, attempts, waited, refused atomic.Uint64 }
}

// NewRouter makes a Router.
func NewRouter(cfg Config) *Router {
	if cfg.MaxWaitingRequests <= 0 {
		cfg.MaxWaitingRequests = 1024
	}
	if cfg.DefaultDeadline <= 0 {
		cfg.DefaultDeadline = 30 * time.Second
	}
	return &Router{cfg: cfg, policy: routing.NewRetryPolicy(rand.Uint64)}
}

// Stats returns the router's counters.
func (r *Router) Stats() Stats {
	return Stats{
		Requests: r.counts.requests.Load(), Attempts: r.counts.attempts.Load(),
		Waited: r.counts.waited.Load(), RefusedWaiting: r.counts.refused.Load(),
		Waiting: r.waiting.Load(),
	}
}

// Serve implements core.Handler.
func (r *Router) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	r.counts.requests.Add(1)
	r.policy.Budget.RecordFirstAttempt()
	x := &journey{r: r, req: req, hash: req.Hash(), body: newReplayBody(req.Body)}
	if !req.Deadline.IsZero() {
		x.deadline = r.cfg.Clock.InstantAt(req.Deadline)
	} else if req.Kind != core.KindLong {
		x.deadline = r.cfg.Clock.Now().Add(r.cfg.DefaultDeadline)
	}
	return x.run(ctx)
}

// journey is one request on its way to an owner.
type journey struct {
	r        *Router
	req      *core.Request
	hash     core.Hash
	body     *replayBody
	deadline clock.Instant
	attempts int
	// mayHaveRun is set once an attempt may have reached a backend server. No
	// later refusal may then claim that the request did not run.
	mayHaveRun bool
	// unsent is set when the latest lookup found no owner to send to.
	unsent bool
	// hint is the address of the next attempt when a failure named it.
	hint string
}

func (x *journey) run(ctx context.Context) (*core.Response, error) {
	for {
		seen := x.r.cfg.Tables.current.Load()
		resp, route, err := x.try(ctx, seen.view)
		if err == nil {
			return resp, nil
		}
		x.mayHaveRun = x.mayHaveRun || !err.Code.NotRun()
		if ctx.Err() != nil {
			return nil, x.stop(err, err.Code, err.RetryAfter)
		}
		d := x.r.policy.Decide(x.r.cfg.Clock.Now(), x.failure(err))
		switch d.Action {
		case routing.RetryOwner:
			x.hint = d.Owner
			x.r.cfg.Tables.RequestRefresh(route.Group)
		case routing.RefreshTable:
			// The same owner may answer: its connection broke, or it is the
			// table that was old.
			x.await(ctx, seen, route, fetchTimeout)
		case routing.WaitForOwner:
			if !x.await(ctx, seen, route, min(d.Wait, x.r.policy.MaxWait)) {
				return nil, x.stop(err, core.CodeNoOwner, x.r.policy.Jitter(0))
			}
			x.spread(ctx)
		default:
			return nil, x.stop(err, d.Code, d.Wait)
		}
	}
}

func (x *journey) failure(err *core.Error) routing.Failure {
	f := routing.Failure{
		Code: err.Code, Owner: err.OwnerPeerAddress, RetryAfter: err.RetryAfter,
		Idempotent: x.req.Idempotent, MayHaveReachedBackend: x.mayHaveRun,
		BodyConsumed: !x.body.replayable(), Attempts: x.attempts, Deadline: x.deadline,
	}
	if x.unsent {
		f.Attempts = 0
	}
	return f
}

// stop returns the failure that the caller sees. The cause and its detail are
// kept; the code is the policy's.
func (x *journey) stop(err *core.Error, code core.Code, retryAfter time.Duration) *core.Error {
	if x.mayHaveRun && code.NotRun() {
		code = core.CodeUnknown
	}
	out := *err
	out.Code, out.RetryAfter = code, retryAfter
	return &out
}

// try makes one attempt with the view at hand.
func (x *journey) try(ctx context.Context, v *routing.View) (*core.Response, routing.Route, *core.Error) {
	route, status := v.Lookup(x.req.Service, x.hash)
	addr := x.hint
	x.hint = ""
	switch {
	case addr != "":
	case status == routing.NoService:
		return nil, route, core.Fail(core.CodeUnknownService, "service is not declared")
	case status != routing.Found:
		x.unsent = true
		return nil, route, core.Fail(core.CodeNoOwner, "no owner is known")
	default:
		addr = route.Member.Address
	}
	x.unsent = false
	x.attempts++
	x.r.counts.attempts.Add(1)
	resp, err := x.send(ctx, addr)
	if err != nil {
		return nil, route, core.AsError(err)
	}
	return resp, route, nil
}

func (x *journey) send(ctx context.Context, addr string) (*core.Response, error) {
	req := *x.req
	req.Attempt = x.attempts
	body := x.body.attempt()
	req.Body = body
	var resp *core.Response
	var err error
	if addr == x.r.cfg.Self.Address {
		resp, err = x.r.cfg.LocalHandler.Serve(ctx, &req)
	} else {
		resp, err = x.r.cfg.Peers.Exchange(ctx, addr, &req)
	}
	if err != nil {
		_ = body.Close()
	}
	return resp, err
}

// spread delays a request that waited for an owner. All requests for a lost
// node's keys learn of its successor at once, and together they would overrun
// its queue.
func (x *journey) spread(ctx context.Context) {
	timer := time.NewTimer(rand.N(spreadOver))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// await waits until another owner may be known. It returns false when the wait
// ended without one, or too many requests wait already.
func (x *journey) await(ctx context.Context, seen *published, route routing.Route, wait time.Duration) bool {
	if x.r.waiting.Add(1) > int64(x.r.cfg.MaxWaitingRequests) {
		x.r.waiting.Add(-1)
		x.r.counts.refused.Add(1)
		return false
	}
	defer x.r.waiting.Add(-1)
	x.r.counts.waited.Add(1)
	end := time.Now().Add(wait)
	for ctx.Err() == nil {
		x.r.cfg.Tables.RequestRefresh(route.Group)
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		x.r.cfg.Tables.await(ctx, seen, min(left, 2*refreshInterval))
		seen = x.r.cfg.Tables.current.Load()
		now, status := seen.view.Lookup(x.req.Service, x.hash)
		if status == routing.Found && (route.Member == nil || now.Token != route.Token || !now.Member.SameRun(*route.Member)) {
			return true
		}
	}
	return false
}
