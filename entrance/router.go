package entrance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/routing"
)

// PeerClient sends a request to the node at a peer address. An error that it
// returns is a *core.Error whose code tells whether the request may have run.
type PeerClient interface {
	Exchange(ctx context.Context, addr string, req *core.Request) (*core.Response, error)
}

// maxResumeJitter is the longest random delay of a request that waited for an
// owner. In 100 ms, 17 slots with requests of 3 ms serve more than 500
// requests.
const maxResumeJitter = 100 * time.Millisecond

// Config holds the dependencies and limits of a Router.
type Config struct {
	// Self is this node. Requests for its address go to LocalHandler.
	Self   core.Member
	Tables *Tables
	Peers  PeerClient
	// LocalHandler serves requests for the keys that this node owns.
	LocalHandler core.Handler
	Clock        *clock.Real
	// MaxWaitingRequests bounds the requests that wait for an owner at the same
	// time. The default is 1024.
	MaxWaitingRequests int
	// DefaultDeadline is the time limit of a request without a deadline. The
	// default is 30 s. It does not apply to requests of kind long, which set a
	// deadline of their own if they need one.
	DefaultDeadline time.Duration
}

// Stats holds counters since the Router was created. OwnerWaits counts the
// waits of requests for a new owner, and RefusedOwnerWaits those refused
// because Config.MaxWaitingRequests were waiting. Waiting is the number of
// requests that wait now.
type Stats struct {
	Requests, Attempts, OwnerWaits, RefusedOwnerWaits uint64
	Waiting                                           int64
}

// Router is the core.Handler that sends a caller's request to the owner of its
// key.
type Router struct {
	cfg     Config
	policy  *routing.RetryPolicy
	waiting atomic.Int64
	counts  struct{ requests, attempts, ownerWaits, refusedWaits atomic.Uint64 }
}

// NewRouter returns a Router, with defaults for the limits that cfg leaves
// zero.
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
		OwnerWaits: r.counts.ownerWaits.Load(), RefusedOwnerWaits: r.counts.refusedWaits.Load(),
		Waiting: r.waiting.Load(),
	}
}

// Serve implements core.Handler.
func (r *Router) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	r.counts.requests.Add(1)
	r.policy.Budget.RecordFirstAttempt()
	q := &routedRequest{router: r, req: req, keyHash: req.Hash(), body: newReplayBody(req.Body)}
	if !req.Deadline.IsZero() {
		q.deadline = r.cfg.Clock.InstantAt(req.Deadline)
	} else if req.Kind != core.KindLong {
		q.deadline = r.cfg.Clock.Now().Add(r.cfg.DefaultDeadline)
	}
	return q.route(ctx)
}

// routedRequest is the state of one request while the Router handles it.
type routedRequest struct {
	router       *Router
	req          *core.Request
	keyHash      core.Hash
	body         *replayBody
	deadline     clock.Instant
	attemptsMade int
	// mayHaveRun is set once an attempt may have reached a backend server. The
	// caller must then not be told that the request did not run, whatever later
	// attempts return.
	mayHaveRun bool
	// noOwnerFound reports that the latest lookup found no owner, so that
	// nothing was sent.
	noOwnerFound bool
	// hintedAddr is the owner's peer address that the last failure named, or
	// empty. The next attempt uses it instead of the view.
	hintedAddr string
	// redirected is set if the latest attempt went to a hinted address.
	redirected bool
	// sentTo is the address of the latest attempt, and refusedBy those that have
	// refused the request as not the owner since the last wait in vain.
	sentTo    string
	refusedBy []string
}

func (q *routedRequest) route(ctx context.Context) (*core.Response, error) {
	for {
		tried := q.router.cfg.Tables.current.Load()
		resp, route, err := q.attempt(ctx, tried.view)
		if err == nil {
			return resp, nil
		}
		q.mayHaveRun = q.mayHaveRun || !err.Code.NotRun()
		if err.Code == core.CodeNotOwner {
			q.refusedBy = append(q.refusedBy, q.sentTo)
		}
		if ctx.Err() != nil {
			return nil, q.callerError(err, err.Code, err.RetryAfter)
		}
		decision := q.router.policy.Decide(q.router.cfg.Clock.Now(), q.retryInput(err))
		switch decision.Action {
		case routing.RetryOwner:
			q.hintedAddr = decision.Owner
			q.router.cfg.Tables.RequestRefresh(route.Group)
		case routing.RefreshTable:
			// Try again even if no other owner appears: the same owner may
			// respond now, after a broken connection or an outdated table.
			if !q.awaitOwner(ctx, tried, route, fetchTimeout) {
				// Without a newer table, a node that refused may have become
				// the owner meanwhile.
				q.refusedBy = nil
			}
		case routing.WaitForOwner:
			if !q.awaitOwner(ctx, tried, route, min(decision.Wait, q.router.policy.MaxWait)) {
				return nil, q.callerError(err, core.CodeNoOwner, q.router.policy.Jitter(0))
			}
			q.waitJitter(ctx)
		default:
			return nil, q.callerError(err, decision.Code, decision.Wait)
		}
	}
}

func (q *routedRequest) retryInput(err *core.Error) routing.Failure {
	f := routing.Failure{
		Code: err.Code, Owner: err.OwnerPeerAddress, Redirected: q.redirected, RetryAfter: err.RetryAfter,
		OwnerRefused: slices.Contains(q.refusedBy, err.OwnerPeerAddress),
		Idempotent:   q.req.Idempotent, MayHaveReachedBackend: q.mayHaveRun,
		BodyConsumed: !q.body.replayable(), Attempts: q.attemptsMade, Deadline: q.deadline,
	}
	if q.noOwnerFound {
		f.Attempts = 0
	}
	return f
}

// callerError returns the error for the caller: err with the given code and
// retry delay. A code that says that the request did not run becomes
// core.CodeUnknown if an attempt may have run.
func (q *routedRequest) callerError(err *core.Error, code core.Code, retryAfter time.Duration) *core.Error {
	if q.mayHaveRun && code.NotRun() {
		code = core.CodeUnknown
	}
	out := *err
	out.Code, out.RetryAfter = code, retryAfter
	return &out
}

// attempt looks up the owner in v and sends the request to it once. The route
// is returned with an error too.
func (q *routedRequest) attempt(ctx context.Context, v *routing.View) (*core.Response, routing.Route, *core.Error) {
	route, status := v.Lookup(q.req.Service, q.keyHash)
	addr := q.hintedAddr
	q.hintedAddr, q.redirected = "", addr != ""
	switch {
	case addr != "":
	case status == routing.NoService:
		return nil, route, core.Fail(core.CodeUnknownService, "service is not declared")
	case status != routing.Found:
		q.noOwnerFound = true
		return nil, route, core.Fail(core.CodeNoOwner, "no owner is known for the key")
	default:
		addr = route.Member.Address
	}
	q.noOwnerFound, q.sentTo = false, addr
	q.attemptsMade++
	q.router.counts.attempts.Add(1)
	resp, err := q.sendAttempt(ctx, addr)
	if err != nil {
		return nil, route, core.AsError(err)
	}
	return resp, route, nil
}

func (q *routedRequest) sendAttempt(ctx context.Context, addr string) (*core.Response, error) {
	req := *q.req
	req.Attempt = q.attemptsMade
	body := q.body.newAttempt()
	req.Body = body
	var resp *core.Response
	var err error
	if addr == q.router.cfg.Self.Address {
		resp, err = q.router.cfg.LocalHandler.Serve(ctx, &req)
	} else {
		resp, err = q.router.cfg.Peers.Exchange(ctx, addr, &req)
	}
	if err != nil {
		_ = body.Close()
	}
	return resp, err
}

// waitJitter sleeps for a random time of up to maxResumeJitter. All requests
// that wait for the keys of a lost node learn of the new owner at the same
// moment, and together they would overflow its queue.
func (q *routedRequest) waitJitter(ctx context.Context) {
	timer := time.NewTimer(rand.N(maxResumeJitter))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitOwner waits until the view names another owner than route: another
// member, another run of it, or the same one with a new token. It requests
// refreshes of the table meanwhile. It returns false when wait passed or ctx
// ended without such an owner, or when too many requests wait already.
func (q *routedRequest) awaitOwner(ctx context.Context, known *viewVersion, route routing.Route, wait time.Duration) bool {
	if q.router.waiting.Add(1) > int64(q.router.cfg.MaxWaitingRequests) {
		q.router.waiting.Add(-1)
		q.router.counts.refusedWaits.Add(1)
		return false
	}
	defer q.router.waiting.Add(-1)
	q.router.counts.ownerWaits.Add(1)
	waitEnd := time.Now().Add(wait)
	for ctx.Err() == nil {
		q.router.cfg.Tables.RequestRefresh(route.Group)
		left := time.Until(waitEnd)
		if left <= 0 {
			return false
		}
		q.router.cfg.Tables.awaitNewView(ctx, known, min(left, 2*refreshInterval))
		known = q.router.cfg.Tables.current.Load()
		current, status := known.view.Lookup(q.req.Service, q.keyHash)
		if status == routing.Found && (route.Member == nil || current.Token != route.Token || !current.Member.SameRun(*route.Member)) {
			return true
		}
	}
	return false
}
