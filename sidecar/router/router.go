// Package router takes callers' requests to a backend server: it matches the
// configuration in force, chooses the backend server or finds the owner of the
// key, and decides with package dispatch what follows a failure.
package router

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/routes"
	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/keys"
)

const (
	// keepBody is the size up to which a request body is read before it is
	// sent, so that it can be sent once more and a slow caller takes no slot.
	keepBody = 512 << 10
	// holdStep is the pause between two looks for the owner of a key.
	holdStep = 40 * time.Millisecond
	// holdPart is the part of a request's target for which it may wait for the
	// owner of its key. Refused callers return after it, which serves them
	// sooner than a wait that ends in a refusal.
	holdPart = 4
	// firstConfig is when a caller may return that came before any
	// configuration is known.
	firstConfig = 300 * time.Millisecond
	// returnMin and returnMax spread the return of refused callers, unless the
	// refusal names a time: moves and restarts take about that long.
	returnMin = 250 * time.Millisecond
	returnMax = 600 * time.Millisecond
)

// Sender sends a request to the node of a peer.
type Sender interface {
	Send(ctx context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error)
}

// Config sets up a Router.
type Config struct {
	Node       core.NodeID
	DataCentre core.DataCentre
	// Origin is the service of this VM.
	Origin core.Service
	Clock  clock.Clock
	Log    log.Interface
	Routes *routes.InForce
	// Fleet returns the present view.
	Fleet func() *fleet.Snapshot
	// Keys returns the duty of a service's keys, or nil.
	Keys   func(core.Service) *keys.Controller
	Budget *dispatch.RetryBudget
	Sender Sender
	// Ended is called after each request.
	Ended func(Summary)
}

// Summary describes one request after its end.
type Summary struct {
	Route    string
	Err      *core.Error
	Took     time.Duration
	Attempts int
	Repeats  int
	Held     time.Duration
}

// Router is the handler of callers' requests.
type Router struct {
	cfg Config
	// lines counts the explanations of the second that window names.
	lines  atomic.Int64
	window atomic.Int64
}

// maxLines bounds the explanations of one second. Each costs about 10 µs, and a
// node in overload refuses hundreds of requests a second.
const maxLines = 30

// mayExplain reports whether another line fits into the present second.
func (r *Router) mayExplain(now time.Time) bool {
	if w := now.Unix(); r.window.Swap(w) != w {
		r.lines.Store(0)
	}
	return r.lines.Add(1) <= maxLines
}

// New returns a router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// request is the state of one request on its way.
type request struct {
	*Router
	req     *core.Request
	table   *routes.Table
	choice  *routes.Choice
	started time.Time
	sharded bool
	key     int
	body    []byte
	kept    bool
	spent   bool

	tried    []core.NodeID
	arrivals int
	refusals int
	// mayHaveRun is set after an attempt whose outcome is unknown.
	mayHaveRun bool
	sends      int
	held       time.Duration
	peer       *fleet.Peer
	version    uint64
}

// Serve implements core.Handler.
func (r *Router) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	x := &request{Router: r, req: req, started: time.Now()}
	if err := x.match(); err != nil {
		return nil, x.end(err)
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	resp, err := x.serve(ctx)
	if err != nil {
		cancel()
		return nil, x.end(core.AsError(err))
	}
	resp.Body = &canceling{resp.Body, cancel}
	r.cfg.Ended(x.summary(nil))
	return resp, nil
}

// canceling ends the request's context with its answer.
type canceling struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *canceling) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// match finds the route and completes the request from it.
func (x *request) match() *core.Error {
	x.table = x.cfg.Routes.Load()
	if x.table == nil {
		return &core.Error{Code: core.CodeStaleRevision, Detail: "no configuration yet", RetryAfter: firstConfig}
	}
	host := ""
	for _, f := range x.req.Header {
		if f.Name == "Host" {
			host = f.Value
		}
	}
	choice, ok := x.table.Match(host, x.req.Path)
	if !ok {
		return core.Fail(core.CodeNotFound, "no route for "+host)
	}
	x.choice = choice
	x.req.Route, x.req.Priority = choice.Name, choice.Priority
	x.req.Idempotent = choice.Kind == routes.Idempotent
	x.req.Service, x.req.Origin = choice.Pick(), x.cfg.Origin
	x.req.Target = x.started.Add(choice.Target)
	if end := x.started.Add(choice.Timeout); choice.Timeout > 0 && (x.req.Deadline.IsZero() || end.Before(x.req.Deadline)) {
		x.req.Deadline = end
	}
	if x.req.Deadline.IsZero() {
		x.req.Deadline = x.started.Add(defaultTimeout)
	}
	return x.readKey()
}

// defaultTimeout bounds requests without a time from the caller or the route.
const defaultTimeout = 30 * time.Second

func (x *request) readKey() *core.Error {
	s, ok := x.table.Service(x.req.Service)
	if !ok || !s.Sharded || x.req.Key == "" {
		return nil
	}
	key, err := strconv.Atoi(x.req.Key)
	if err != nil || key < 0 || key >= shards.KeyCount {
		return core.Fail(core.CodeInvalid, "malformed key")
	}
	x.sharded, x.key = true, key
	return nil
}

func (x *request) serve(ctx context.Context) (*core.Response, error) {
	x.cfg.Budget.CountRequest(x.req.Service)
	if err := x.keep(ctx); err != nil {
		return nil, err
	}
	for {
		resp, err := x.attempt(ctx)
		if err == nil {
			return resp, nil
		}
		e := core.AsError(err)
		switch dispatch.DecideNext(x.failure(e)) {
		case dispatch.ReturnFailure:
			return nil, e
		case dispatch.TryOtherBackend:
			x.refusals++
		case dispatch.WaitForOwner:
			if x.held == 0 {
				x.explain(e)
			}
			if !x.pause(ctx) {
				return nil, core.EndedNotRun(ctx)
			}
			continue
		case dispatch.Retry:
			if !x.cfg.Budget.TakeRetry(x.req.Service) {
				return nil, e
			}
		}
		x.explain(e)
	}
}

// keep reads a body of moderate size.
func (x *request) keep(ctx context.Context) *core.Error {
	if x.req.Length > keepBody || x.req.Length == core.UnknownLength {
		return nil
	}
	data, err := core.ReadWhole(ctx, x.req.Body, x.req.Length)
	if err != nil {
		return core.AsError(err)
	}
	x.body, x.kept = data, true
	return nil
}

// failure describes the last attempt to package dispatch.
func (x *request) failure(e *core.Error) dispatch.FailedAttempt {
	if e.Arrived || !e.Code.NotRun() {
		x.arrivals++
	}
	x.mayHaveRun = x.mayHaveRun || !e.Code.NotRun()
	return dispatch.FailedAttempt{
		Err: e, Keyed: x.sharded, Idempotent: x.req.Idempotent, BodyConsumed: x.spent,
		Arrivals: x.arrivals, MaxArrivals: x.choice.Attempts, Refusals: x.refusals,
		Waited: x.held, MaxWait: x.choice.Target / holdPart, TimeLeft: time.Until(x.req.Deadline),
	}
}

// pause waits for a new owner of the key.
func (x *request) pause(ctx context.Context) bool {
	t := time.NewTimer(holdStep)
	defer t.Stop()
	from := time.Now()
	defer func() { x.held += time.Since(from) }()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request to one backend server.
func (x *request) attempt(ctx context.Context) (*core.Response, error) {
	x.peer = nil
	p, err := x.find()
	if err != nil {
		return nil, err
	}
	x.peer = p
	x.tried = append(x.tried, p.Node)
	out := *x.req
	out.Attempt = x.sends
	x.sends++
	switch {
	case x.kept:
		out.Body = io.NopCloser(bytes.NewReader(x.body))
	case out.Length != 0:
		out.Body = &spending{out.Body, x}
	}
	return x.cfg.Sender.Send(ctx, p, &out)
}

// spending notes that a part of the body is gone.
type spending struct {
	io.ReadCloser
	x *request
}

// Read implements io.Reader.
func (s *spending) Read(p []byte) (int, error) {
	s.x.spent = true
	return s.ReadCloser.Read(p)
}

// find returns the peer that the next attempt goes to.
func (x *request) find() (*fleet.Peer, *core.Error) {
	s := x.cfg.Fleet()
	if x.sharded {
		return x.owner(s)
	}
	wish := dispatch.RequestInfo{
		Service: x.req.Service, DataCentre: x.cfg.DataCentre, BodyBytes: x.req.Length, Tried: x.tried,
	}
	now := x.cfg.Clock.Now()
	p := dispatch.ChoosePeer(now, s, wish, rand.Uint64())
	if p == nil && len(x.tried) > 0 {
		wish.Tried = nil
		p = dispatch.ChoosePeer(now, s, wish, rand.Uint64())
	}
	if p == nil {
		return nil, core.Fail(core.CodeNoOwner, "no backend server of the service is known")
	}
	x.req.Instance = p.Instance
	return p, nil
}

// owner returns the node beside the owner of the key.
func (x *request) owner(s *fleet.Snapshot) (*fleet.Peer, *core.Error) {
	d := x.cfg.Keys(x.req.Service)
	if d == nil {
		return nil, core.Fail(core.CodeNoOwner, "no table of the service")
	}
	t := d.Table()
	if t == nil || len(t.Rows) == 0 {
		return nil, core.Fail(core.CodeNoOwner, "no table of the service")
	}
	x.version = t.Revision
	row := t.Find(x.key)
	if row.Holder == shards.NoHolder {
		return nil, core.Fail(core.CodeNoOwner, "the key has no owner")
	}
	p := s.Nodes[row.Holder.Node]
	switch {
	case p == nil:
		return nil, core.Fail(core.CodeNoOwner, "the owner's node is not known")
	case !p.Alive:
		return nil, core.Fail(core.CodePeerUnreachable, "the owner's node is silent")
	}
	x.req.Instance = row.Holder.Instance
	return p, nil
}

// end completes a failure for the caller.
func (x *request) end(e *core.Error) *core.Error {
	if x.mayHaveRun && e.Code.NotRun() {
		// The last attempt did not run, but an earlier one may have.
		e = &core.Error{Code: core.CodeUnknown, Detail: "an earlier attempt may have run; the last one: " + e.Code.String(), Cause: e}
	}
	if e.Code.NotRun() && e.RetryAfter == 0 {
		e.RetryAfter = returnMin + rand.N(returnMax-returnMin)
	}
	x.cfg.Ended(x.summary(e))
	x.explain(e)
	return e
}

func (x *request) summary(e *core.Error) Summary {
	s := Summary{Err: e, Took: time.Since(x.started), Attempts: x.sends, Repeats: max(0, x.arrivals-1), Held: x.held}
	if x.choice != nil {
		s.Route = x.choice.Name
	}
	return s
}

// explain writes the line from which a failed request can be traced.
func (x *request) explain(e *core.Error) {
	if !x.mayExplain(time.Now()) {
		return
	}
	f := log.Fields{
		"id": x.req.ID, "code": e.Code.String(), "detail": e.Detail, "arrived": e.Arrived,
		"attempt": x.sends, "arrivals": x.arrivals, "took_ms": time.Since(x.started).Milliseconds(),
		"held_ms": x.held.Milliseconds(), "retry_after_ms": e.RetryAfter.Milliseconds(),
	}
	if e.Cause != nil {
		f["cause"] = e.Cause.Error()
	}
	if x.table != nil {
		f["config"] = x.table.Version
	}
	if x.choice != nil {
		f["route"], f["service"], f["priority"] = x.choice.Name, x.req.Service, x.req.Priority
		f["left_ms"] = time.Until(x.req.Deadline).Milliseconds()
	}
	if x.sharded {
		f["key"], f["table"] = x.key, x.version
	}
	if x.peer != nil {
		running, waiting := x.peer.Load.RequestCounts()
		f["peer"], f["instance"], f["running"], f["waiting"] = x.peer.Node, x.req.Instance, running, waiting
	}
	x.cfg.Log.WithFields(f).Info("request failed: " + e.Code.String())
}
