package router

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/routes"
	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/keys"
)

// scriptedSender answers the attempts of one request with answers in turn, and
// records where they went.
type scriptedSender struct {
	answers []*core.Error // nil is a success
	bodies  []string
	nodes   []core.NodeID
}

// slowSender takes a while to refuse an attempt.
type slowSender struct {
	code     core.Code
	delay    time.Duration
	attempts int
}

// Send implements Sender.
func (s *slowSender) Send(context.Context, *fleet.Peer, *core.Request) (*core.Response, error) {
	s.attempts++
	time.Sleep(s.delay)
	return nil, failure(s.code)
}

// hungSender answers when the context ends.
type hungSender struct{ started chan struct{} }

// Send implements Sender.
func (s hungSender) Send(ctx context.Context, _ *fleet.Peer, _ *core.Request) (*core.Response, error) {
	s.started <- struct{}{}
	<-ctx.Done()
	return nil, core.Wrap(core.CodeUnknown, ctx.Err(), "fake")
}

// Send implements Sender.
func (s *scriptedSender) Send(_ context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	s.bodies, s.nodes = append(s.bodies, string(body)), append(s.nodes, p.Node)
	e := s.answers[len(s.bodies)-1]
	if e != nil {
		return nil, e
	}
	return &core.Response{Status: 200, Body: core.NoBody}, nil
}

// failure returns the failure of an attempt that reached no backend server.
func failure(c core.Code) *core.Error { return core.Fail(c, "fake") }

// nack returns the failure of an attempt that a backend server received but did
// not run.
func nack(c core.Code) *core.Error { return &core.Error{Code: c, Detail: "fake", ReachedBackend: true} }

// newRouter returns a router of a fleet of three nodes that sends to s.
func newRouter(s Sender, kind routes.Kind, onEnd func(Summary)) *Router {
	peers := make([]*fleet.Peer, 0, 3)
	for _, id := range []string{"a", "b", "c"} {
		peers = append(peers, &fleet.Peer{
			Entry: fleet.Entry{Node: core.NodeID(id), Service: "s", State: fleet.Ready, Slots: 4}, Alive: true, Load: &fleet.Load{},
		})
	}
	var current routes.CurrentTable
	current.ReplaceIfNewer(routes.Compile(routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Timeout: time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2,
		Destinations: []routes.Destination{{Service: "s", Weight: 1}},
	}}}))
	budget := dispatch.NewRetryBudget(dispatch.RetryBudgetConfig{Ratio: 0.2, MinRetries: 60, Window: 10 * time.Second})
	clk := clock.NewReal()
	budget.Advance(clk.Now(), []core.Service{"s"}, 1)
	return New(Config{
		Node: "x", Origin: "origin", Clock: clk, Log: &log.Logger{Handler: discard.Default}, Routes: &current,
		NewerConfig:   func() *fleet.NewerConfig { return nil },
		FleetSnapshot: func() *fleet.Snapshot { return &fleet.Snapshot{ByService: map[core.Service][]*fleet.Peer{"s": peers}} },
		KeyController: func(core.Service) *keys.Controller { return nil },
		Budget:        budget, Sender: s, OnRequestEnd: onEnd,
	})
}

func newRequest(body string) *core.Request {
	return &core.Request{
		ID: "id", Method: "POST", Path: "/x", Header: []core.Field{{Name: "Host", Value: "h"}},
		Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

// sendScripted sends one request through a router that sends its attempts to s.
func sendScripted(t *testing.T, s *scriptedSender, kind routes.Kind, body string) (*core.Response, *core.Error) {
	requestEnds := 0
	r := newRouter(s, kind, func(Summary) { requestEnds++ })
	resp, err := r.Serve(context.Background(), newRequest(body))
	must.Eq(t, 1, requestEnds)
	if err != nil {
		return nil, core.AsError(err)
	}
	must.NoError(t, resp.Body.Close())
	return resp, nil
}

// Guards against a request that is reported as not run although an earlier
// attempt may have run.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{failure(core.CodeUnknown), failure(core.CodeQueueFull), failure(core.CodeQueueFull), failure(core.CodeQueueFull), failure(core.CodeQueueFull)}}
	_, err := sendScripted(t, s, routes.Idempotent, "")
	must.NotNil(t, err)
	must.Eq(t, core.CodeUnknown, err.Code)
	must.False(t, err.Code.NotRun())
	must.Eq(t, 0, err.RetryAfter)
}

// Guards against a request that is not idempotent and runs twice, because it is
// sent again after an unknown outcome.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	for _, kind := range []routes.Kind{routes.NonIdempotent, routes.Upload} {
		s := &scriptedSender{answers: []*core.Error{failure(core.CodeUnknown)}}
		_, err := sendScripted(t, s, kind, "body")
		must.Eq(t, core.CodeUnknown, err.Code)
		must.Len(t, 1, s.nodes)
	}
}

// Guards against a retry that goes to the same backend server, sends another
// body, or exceeds the attempts of the route.
func TestRetryAfterBackendRefusal(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{nack(core.CodeOverloaded), nil}}
	resp, err := sendScripted(t, s, routes.NonIdempotent, "body")
	must.Nil(t, err)
	must.Eq(t, 200, resp.Status)
	must.Eq(t, []string{"body", "body"}, s.bodies)
	must.NotEq(t, s.nodes[0], s.nodes[1])

	s = &scriptedSender{answers: []*core.Error{nack(core.CodeOverloaded), nack(core.CodeOverloaded)}}
	_, err = sendScripted(t, s, routes.NonIdempotent, "")
	must.Eq(t, core.CodeOverloaded, err.Code)
	must.Positive(t, err.RetryAfter)
	must.Len(t, 2, s.nodes)
}

// Guards against refusals by other nodes, which no backend server received, that
// use up the attempts of the route.
func TestPeerRefusalsUseNoAttempts(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{failure(core.CodeQueueFull), failure(core.CodeDraining), nil}}
	_, err := sendScripted(t, s, routes.NonIdempotent, "body")
	must.Nil(t, err)
	must.Len(t, 3, s.nodes)
}

// Guards against a request that is answered with 404 before the node has a
// configuration. The caller must be told to retry.
func TestMissingConfigurationIsRetryable(t *testing.T) {
	r := New(Config{Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Routes: &routes.CurrentTable{}, OnRequestEnd: func(Summary) {}})
	_, err := r.Serve(context.Background(), &core.Request{Path: "/", Body: core.NoBody})
	e := core.AsError(err)
	must.True(t, e.Code.NotRun())
	must.Positive(t, e.RetryAfter)
}

// newKeyedRouter returns a router like newRouter for which node a holds all keys
// of the service.
func newKeyedRouter(t *testing.T, s Sender) *Router {
	r := newRouter(s, routes.Idempotent, func(Summary) {})
	table := *r.cfg.Routes.Load()
	r.cfg.Routes = &routes.CurrentTable{}
	route, found := table.Match("h", "/")
	must.True(t, found)
	r.cfg.Routes.ReplaceIfNewer(routes.Compile(routes.Config{Version: 2, Services: []routes.Service{{Name: "s", Sharded: true}}, Routes: []routes.Route{route.Route}}))
	peers := r.cfg.FleetSnapshot().ByService["s"]
	snapshot := &fleet.Snapshot{Nodes: map[core.NodeID]*fleet.Peer{"a": peers[0]}}
	r.cfg.FleetSnapshot = func() *fleet.Snapshot { return snapshot }
	controller := keys.New(keys.Config{Service: "s", Node: "x", Clock: r.cfg.Clock, Log: r.cfg.Log})
	holder := shards.Holder{Node: "a", Instance: "i", Born: 1}
	rows := []shards.Row{{Span: shards.Span{From: 0, To: shards.KeyCount - 1}, Holder: holder, Fence: 1}}
	controller.ObserveRecord(shards.Assignment{Service: "s", Term: 1, Rows: rows}, 1, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	done := make(chan struct{})
	go func() {
		controller.Run(ctx)
		close(done)
	}()
	for controller.Table() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	must.NotNil(t, controller.Table())
	r.cfg.KeyController = func(core.Service) *keys.Controller { return controller }
	return r
}

// Guards against a request that is held for seconds while it looks for the owner
// of its key, because only the pauses between slow attempts count.
func TestOwnerWaitCountsSlowAttempts(t *testing.T) {
	s := &slowSender{code: core.CodeNotOwner, delay: 100 * time.Millisecond}
	r := newKeyedRouter(t, s)
	req := newRequest("")
	req.Key = "7"
	_, err := r.Serve(t.Context(), req)
	must.Eq(t, core.CodeNotOwner, core.CodeOf(err))
	must.Between(t, 2, s.attempts, 3, must.Sprint("the target of 400 ms allows a wait of 100 ms"))
}

// Guards against a request without a key that is held until its target by nodes
// which take long to refuse it, because only the number of refusals is bounded.
// Its caller comes back sooner after an early refusal.
func TestSlowRefusalsEndEarly(t *testing.T) {
	s := &slowSender{code: core.CodeQueueFull, delay: 220 * time.Millisecond}
	_, err := newRouter(s, routes.Idempotent, func(Summary) {}).Serve(t.Context(), newRequest(""))
	e := core.AsError(err)
	must.Eq(t, core.CodeQueueFull, e.Code)
	must.Positive(t, e.RetryAfter)
	must.Eq(t, 1, s.attempts, must.Sprint("the target of 400 ms allows 200 ms of refusals"))
}

// Guards against a stop that cuts off requests without an answer.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	s := hungSender{make(chan struct{})}
	r := newRouter(s, routes.NonIdempotent, func(Summary) {})
	done := make(chan error, 1)
	go func() {
		_, err := r.Serve(t.Context(), newRequest(""))
		done <- err
	}()
	<-s.started
	r.EndRequests()
	must.Eq(t, core.CodeUnknown, core.CodeOf(<-done))
}

// Guards against an upload that waits behind other bodies until it is late,
// instead of being refused at once. Small requests still pass.
func TestFullLinkRefusesBodiesAtOnce(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{nil}}
	r := newRouter(s, routes.Upload, func(Summary) {})
	for _, p := range r.cfg.FleetSnapshot().ByService["s"] {
		p.LinkMbps = 10
		p.Load.SetUsage(fleet.Usage{UnreadBodyBytes: 500_000}) // 400 ms
	}
	_, err := r.Serve(t.Context(), newRequest(strings.Repeat("x", 60_000)))
	e := core.AsError(err)
	must.Eq(t, core.CodeQueueFull, e.Code)
	must.Eq(t, 400*time.Millisecond, e.RetryAfter)
	must.Len(t, 0, s.nodes)
	resp, err := r.Serve(t.Context(), newRequest("small"))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
}

// Guards against a request in chunks that is passed on before its body has
// arrived: it would hold a slot while the body is on its way, could not be tried
// again, and nothing would notice that its caller leaves while it waits.
func TestBodyOfUnknownLengthIsReadBeforeSending(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{nack(core.CodeOverloaded), nil}}
	r := newRouter(s, routes.Upload, func(Summary) {})
	body, writer := io.Pipe()
	req := newRequest("")
	req.Length, req.Body, req.Deadline = core.UnknownLength, body, time.Now().Add(time.Second)
	done := make(chan error, 1)
	go func() {
		_, err := r.Serve(t.Context(), req)
		done <- err
	}()
	_, err := io.WriteString(writer, strings.Repeat("x", 100_000))
	must.NoError(t, err)
	must.NoError(t, writer.Close())
	must.NoError(t, <-done)
	must.Eq(t, []string{strings.Repeat("x", 100_000), strings.Repeat("x", 100_000)}, s.bodies)
}

// Guards against passing on a request in chunks whose caller left within the body.
func TestCutBodyOfUnknownLengthIsNotSent(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{nil}}
	r := newRouter(s, routes.Upload, func(Summary) {})
	body, writer := io.Pipe()
	req := newRequest("")
	req.Length, req.Body, req.Deadline = core.UnknownLength, body, time.Now().Add(time.Second)
	go func() {
		_, _ = io.WriteString(writer, "part")
		_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	}()
	_, err := r.Serve(t.Context(), req)
	must.Eq(t, core.CodeCanceledNotRun, core.CodeOf(err))
	must.SliceEmpty(t, s.nodes)
}

// Guards against a body that is too long to be kept and reaches the backend server
// without its first part.
func TestLongBodyOfUnknownLengthIsStreamedWhole(t *testing.T) {
	s := &scriptedSender{answers: []*core.Error{nil}}
	r := newRouter(s, routes.Upload, func(Summary) {})
	long := strings.Repeat("0123456789", maxBufferedBody/10+100)
	req := newRequest(long)
	req.Length, req.Deadline = core.UnknownLength, time.Now().Add(time.Second)
	_, err := r.Serve(t.Context(), req)
	must.NoError(t, err)
	must.Eq(t, []string{long}, s.bodies)
}
