// Package router sends callers' requests to backend servers. It matches a
// request with the routes in force, chooses a backend server or finds the owner
// of the key, and asks package dispatch what follows a failure.
package router

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/routes"
	"marjoramshore.example/sidecar/keys"
)

const (
	// maxBufferedBody is the size up to which a request body is read before the
	// request is sent, so that the request can be sent again and a slow caller
	// occupies no slot.
	maxBufferedBody = 512 << 10
	// ownerPollInterval is the time between lookups of a key's owner while a
	// request waits for one.
	ownerPollInterval = 40 * time.Millisecond
	// noConfigRetryAfter is the Retry-After for callers that come before the
	// node has a configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// A refusal that names no Retry-After gets a random one between
	// minRetryAfter and maxRetryAfter, which spreads the retries of callers.
	// Moves of keys and restarts take about that long.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// Sender sends a request to a peer's backend server. A failure is a *core.Error.
type Sender interface {
	Send(ctx context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error)
}

// Config configures a Router.
type Config struct {
	Node       core.NodeID
	DataCentre core.DataCentre
	// Origin is the service of the callers on this VM.
	Origin core.Service
	Clock  clock.Clock
	Log    log.Interface
	Routes *routes.CurrentTable
	// NewerConfig returns a configuration that other nodes have and this one
	// does not, or nil.
	NewerConfig func() *fleet.NewerConfig
	// ConfigDeadline is the time within which a new configuration must be in
	// force.
	ConfigDeadline time.Duration
	// FleetSnapshot returns the present view of the fleet.
	FleetSnapshot func() *fleet.Snapshot
	// KeyController returns the key controller of a service, or nil if the
	// service is not sharded.
	KeyController func(core.Service) *keys.Controller
	// FindParent returns the request that made a call with the given id, or false if
	// the id is not that of a call. It may be nil, if none can be told.
	FindParent func(id string) (Parent, bool)
	// ReserveLink reserves the time of a peer's link for a body that may wait for
	// maxWait. It may be nil, if links are not reserved.
	ReserveLink func(ctx context.Context, p *fleet.Peer, bytes int64, maxWait time.Duration) (fleet.Reservation, error)
	// EvacuatedSince returns since when the node knows that a data centre is
	// evacuated, or false if it is not. Nothing is sent there once EvacuationPeriod
	// has passed. It may be nil, for no evacuations.
	EvacuatedSince   func(core.DataCentre) (clock.Instant, bool)
	EvacuationPeriod time.Duration
	Budget           *dispatch.RetryBudget
	Sender           Sender
	// OnRequestEnd is called after each request.
	OnRequestEnd func(Summary)
}

// Parent is a request that runs at the node's own backend server and has made a call.
type Parent struct {
	// Priority ranks it; 0 is the most urgent.
	Priority int
	// Deadline is when its caller has no more use for its answer, or zero.
	Deadline time.Time
}

// Summary describes a request that has ended.
type Summary struct {
	// Route is the name of the route, or empty if none matched.
	Route string
	// Err is nil if the request succeeded.
	Err      *core.Error
	Duration time.Duration
	// Attempts counts the times that the request was sent to a node.
	Attempts int
	// Retries counts the failed attempts that reached a backend server, less the
	// first.
	Retries int
	// OwnerWait is how long the request waited for the owner of its key.
	OwnerWait time.Duration
}

// Router is the core.Handler of callers' requests. It is safe for concurrent
// use.
type Router struct {
	cfg Config
	// logLines counts the failures to log within the second logSecond, which is
	// a Unix time.
	logLines  atomic.Int64
	logSecond atomic.Int64
	// stop ends when EndRequests is called.
	stop       context.Context
	cancelStop context.CancelFunc
	stopping   atomic.Bool
}

// maxLogLinesPerSecond bounds the failures that are logged each second. A line
// costs about 10 µs, and a node in overload refuses hundreds of requests a
// second.
const maxLogLinesPerSecond = 30

// takeLogLine counts a line and reports whether it may be logged within the
// present second.
func (r *Router) takeLogLine(now time.Time) bool {
	if second := now.Unix(); r.logSecond.Swap(second) != second {
		r.logLines.Store(0)
	}
	return r.logLines.Add(1) <= maxLogLinesPerSecond
}

// New returns a router.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg}
	r.stop, r.cancelStop = context.WithCancel(context.Background())
	return r
}

// EndWaits makes requests that no backend server has received fail at once where
// they would wait or be tried again, because the node stops.
func (r *Router) EndWaits() { r.stopping.Store(true) }

// EndRequests ends the requests that still run, each with an answer: as not run
// if it was not sent, with an unknown outcome otherwise.
func (r *Router) EndRequests() { r.cancelStop() }

// request is the state of a request that is being served.
type request struct {
	*Router
	req        *core.Request
	routeTable *routes.Table
	route      *routes.MatchedRoute
	started    time.Time
	// keyed requests can go only to the owner of key.
	keyed        bool
	key          int
	bufferedBody []byte
	bodyBuffered bool
	// bodyConsumed is set once a part of an unbuffered body was sent.
	bodyConsumed bool

	triedNodes []core.NodeID
	// arrivals counts the attempts that reached a backend server, refusals
	// those that did not.
	arrivals int
	refusals int
	// mayHaveRun is set once an attempt failed with an unknown outcome.
	mayHaveRun bool
	attempts   int
	// sendingSince is when the first attempt began.
	sendingSince time.Time
	// ownerWaitStart is when an attempt first found no owner, or zero. waited
	// counts from there, the time of later attempts included.
	ownerWaitStart time.Time
	waited         time.Duration
	peer           *fleet.Peer
	// reserved is the peer whose link is reserved for the body from linkFreeAt on, or
	// nil.
	reserved         *fleet.Peer
	linkFreeAt       time.Time
	linkFull         bool // the link of peer has no room for the body
	keyTableRevision uint64
}

// Serve implements core.Handler.
func (r *Router) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	q := &request{Router: r, req: req, started: time.Now()}
	if err := q.matchRoute(); err != nil {
		return nil, q.completeFailure(err)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer context.AfterFunc(r.stop, cancel)()
	resp, err := q.sendUntilDone(ctx)
	if err != nil {
		cancel()
		return nil, q.completeFailure(core.AsError(err))
	}
	resp.Body = &cancelingBody{resp.Body, cancel}
	r.cfg.OnRequestEnd(q.summarize(nil))
	return resp, nil
}

// cancelingBody cancels the request's context when the response body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// sendUntilDone sends the request until it is answered or package dispatch
// returns the failure.
func (q *request) sendUntilDone(ctx context.Context) (*core.Response, error) {
	q.cfg.Budget.CountRequest(q.req.Service)
	q.sendingSince = time.Now()
	if err := q.reserveFirst(ctx); err != nil {
		return nil, err
	}
	if err := q.bufferBody(ctx); err != nil {
		return nil, err
	}
	q.sendingSince = time.Now()
	for {
		resp, err := q.sendOnce(ctx)
		if err == nil {
			return resp, nil
		}
		e := core.AsError(err)
		if q.stop.Err() != nil {
			return nil, &core.Error{Code: e.Code, Detail: "the node stops and ends the request", Cause: e}
		}
		switch dispatch.DecideNext(q.recordFailure(e)) {
		case dispatch.ReturnFailure:
			return nil, e
		case dispatch.TryOtherBackend:
			q.refusals++
		case dispatch.WaitForOwner:
			if q.startOwnerWait() {
				q.logFailure(e)
			}
			if !q.waitForOwner(ctx) {
				return nil, core.ContextErrorBeforeSend(ctx)
			}
			continue
		case dispatch.Retry:
			if !q.cfg.Budget.TakeRetry(q.req.Service) {
				return nil, e
			}
		}
		q.logFailure(e)
	}
}

// bufferBody reads the body if it has at most maxBufferedBody bytes.
func (q *request) bufferBody(ctx context.Context) *core.Error {
	if q.req.Length == core.UnknownLength {
		return q.bufferChunks(ctx)
	}
	if q.req.Length > maxBufferedBody {
		return nil
	}
	data, err := core.ReadFullBody(ctx, q.req.Body, q.req.Length)
	if err != nil {
		return core.AsError(err)
	}
	q.bufferedBody, q.bodyBuffered = data, true
	return nil
}

// bufferChunks reads a body of unknown length, whose length is known then if it
// has at most maxBufferedBody bytes.
func (q *request) bufferChunks(ctx context.Context) *core.Error {
	data, whole, err := core.ReadBodyUpTo(ctx, q.req.Body, maxBufferedBody)
	if err != nil {
		return core.AsError(err)
	}
	if whole {
		q.bufferedBody, q.bodyBuffered, q.req.Length = data, true, int64(len(data))
		return nil
	}
	q.req.Body = &partlyReadBody{io.MultiReader(bytes.NewReader(data), q.req.Body), q.req.Body}
	return nil
}

// partlyReadBody is a body of which the first part was read.
type partlyReadBody struct {
	io.Reader
	io.Closer
}

// recordFailure updates the counts after a failed attempt and describes it to
// package dispatch.
func (q *request) recordFailure(e *core.Error) dispatch.FailedAttempt {
	if e.ReachedBackend || !e.Code.NotRun() {
		q.arrivals++
	}
	q.mayHaveRun = q.mayHaveRun || !e.Code.NotRun()
	if !q.ownerWaitStart.IsZero() {
		q.waited = time.Since(q.ownerWaitStart)
	}
	waited := q.waited
	if !q.keyed {
		waited = time.Since(q.sendingSince)
	}
	return dispatch.FailedAttempt{
		Err: e, Keyed: q.keyed, Idempotent: q.req.Idempotent, BodyConsumed: q.bodyConsumed,
		Arrivals: q.arrivals, MaxArrivals: q.route.MaxAttempts, Refusals: q.refusals, LinkFull: q.linkFull,
		Stopping: q.stopping.Load(), Waited: waited, MaxWait: dispatch.MaxWait(q.target(), q.keyed, e.Code), TimeLeft: time.Until(q.req.Deadline),
	}
}

// startOwnerWait notes when the request began to wait for an owner. It returns
// false if it waits already.
func (q *request) startOwnerWait() bool {
	if !q.ownerWaitStart.IsZero() {
		return false
	}
	q.ownerWaitStart = time.Now()
	return true
}

// waitForOwner waits for ownerPollInterval before the next lookup of the key's
// owner. It returns false if ctx ends first.
func (q *request) waitForOwner(ctx context.Context) bool {
	t := time.NewTimer(ownerPollInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendOnce chooses a node and sends the request to it.
func (q *request) sendOnce(ctx context.Context) (*core.Response, error) {
	q.peer = nil
	p, err := q.choosePeer()
	if err != nil {
		return nil, err
	}
	q.peer = p
	if refusal := q.waitForLink(ctx, p); refusal != nil {
		q.triedNodes = append(q.triedNodes, p.Node)
		return nil, refusal
	}
	q.triedNodes = append(q.triedNodes, p.Node)
	out := *q.req
	out.Attempt = q.attempts
	q.attempts++
	if q.bodyBuffered {
		out.Body = io.NopCloser(bytes.NewReader(q.bufferedBody))
		return q.cfg.Sender.Send(ctx, p, &out)
	}
	if out.Length == 0 {
		return q.cfg.Sender.Send(ctx, p, &out)
	}
	body := &attemptBody{ReadCloser: out.Body}
	out.Body = body
	resp, sendErr := q.cfg.Sender.Send(ctx, p, &out)
	if sendErr != nil {
		q.bodyConsumed = body.endAttempt()
	}
	return resp, sendErr
}

// completeFailure ends the request with a failure. The returned error tells the
// caller whether the request may have run and when to retry.
func (q *request) completeFailure(e *core.Error) *core.Error {
	if q.mayHaveRun && e.Code.NotRun() {
		// The last attempt did not run, but an earlier one may have.
		e = &core.Error{Code: core.CodeUnknown, Detail: "an earlier attempt may have run; the last one failed with " + e.Code.String(), Cause: e}
	}
	if e.Code.NotRun() && e.RetryAfter == 0 {
		e.RetryAfter = minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	}
	q.cfg.OnRequestEnd(q.summarize(e))
	q.logFailure(e)
	return e
}

func (q *request) summarize(e *core.Error) Summary {
	s := Summary{Err: e, Duration: time.Since(q.started), Attempts: q.attempts, Retries: max(0, q.arrivals-1), OwnerWait: q.waited}
	if q.route != nil {
		s.Route = q.route.Name
	}
	return s
}

// logFailure logs a failed attempt, which may be followed by another one, or the
// failure that ends the request.
func (q *request) logFailure(e *core.Error) {
	if !q.takeLogLine(time.Now()) {
		return
	}
	fields := log.Fields{
		"id": q.req.ID, "code": e.Code.String(), "detail": e.Detail, "arrived": e.ReachedBackend,
		"attempt": q.attempts, "arrivals": q.arrivals, "took_ms": time.Since(q.started).Milliseconds(),
		"held_ms": q.waited.Milliseconds(), "retry_after_ms": e.RetryAfter.Milliseconds(), "body": q.req.Length,
	}
	if e.Cause != nil {
		fields["cause"] = e.Cause.Error()
	}
	if q.routeTable != nil {
		fields["config"] = q.routeTable.Version
	}
	if q.route != nil {
		fields["route"], fields["service"], fields["priority"] = q.route.Name, q.req.Service, q.req.Priority
		fields["left_ms"] = time.Until(q.req.Deadline).Milliseconds()
	}
	if q.keyed {
		fields["key"], fields["table"] = q.key, q.keyTableRevision
	}
	if q.peer != nil {
		running, waiting := q.peer.Load.RequestCounts()
		fields["peer"], fields["instance"], fields["running"], fields["waiting"] = q.peer.Node, q.req.Instance, running, waiting
		if e.PeerReadDelay+e.PeerTime > 0 {
			fields["peer_late_ms"], fields["peer_ms"] = e.PeerReadDelay.Milliseconds(), e.PeerTime.Milliseconds()
		}
	}
	q.cfg.Log.WithFields(fields).Info("request or attempt failed: " + e.Code.String())
}
