// Package backend serves the backend server beside the node: it takes its
// status reports, admits requests to its slots and passes them on. One duty
// owns the state of the present run and the queue of requests.
package backend

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/gate"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/keys"
)

// Limits of the connections and rings.
const (
	// maxConns is above the slots of every backend server met, and below the
	// connections that one accepts.
	maxConns = 64
	// dialTimeout bounds a new connection on the same VM.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is below the shortest that sites state for backend servers.
	idleTimeout = 4 * time.Second
	// silentAfter is how long sent bytes stay unacknowledged.
	silentAfter = 800 * time.Millisecond
	// wholeUpTo is the size up to which an answer is read before any of it is
	// passed on, so that one that breaks off can be replaced.
	wholeUpTo = 256 << 10
	// bufferSize holds a usual answer.
	bufferSize = 4 << 10
	offers     = 1024
	events     = 256
	queueFor   = 200 * time.Millisecond
)

// Config sets up a Server.
type Config struct {
	Node    core.NodeID
	Service core.Service
	// Address is the backend server's.
	Address string
	// Drain is how long after its acknowledged leave a run takes requests.
	Drain time.Duration
	// ReportEvery is the interval of status reports.
	ReportEvery time.Duration
	Clock       clock.Clock
	Log         log.Interface
	// Keys is the duty of the service's keys, or nil when it has none.
	Keys func() *keys.Duty
	// Changed is called by the duty after a change of the run.
	Changed func(Run)
}

// Run is the present run of the backend server as other nodes see it.
type Run struct {
	Holder  shards.Holder
	Ready   bool
	Leaving bool
	Gone    bool
	Slots   int
}

// Server is the node's side of its backend server.
type Server struct {
	cfg     Config
	gate    *gate.Gate
	offered *ring.Ring[*offer]
	events  *ring.Ring[event]
	load    atomic.Pointer[fleet.Usage]
	// closing is when requests may no longer be sent to the present run, or 0.
	closing atomic.Int64
	sent    atomic.Int64
	// demand holds the bits of a float64.
	demand atomic.Uint64
}

// New returns a server; Run runs its duty.
func New(cfg Config) (*Server, error) {
	s := &Server{
		cfg: cfg, offered: ring.New[*offer]("backend_offers", offers, ring.Refuse),
		events: ring.New[event]("backend_events", events, ring.Block),
	}
	s.load.Store(&fleet.Usage{})
	g, err := gate.New(gate.Config{
		BackendAddr: cfg.Address, Dialect: platform.BackendDialect{}, Permit: s.permit, TCPUserTimeout: silentAfter, BufferSize: bufferSize,
		MaxConns: maxConns, DialTimeout: dialTimeout, IdleTimeout: idleTimeout,
	})
	if err != nil {
		return nil, err
	}
	s.gate = g
	return s, nil
}

// Load implements peers.Loads.
func (s *Server) Load() fleet.Usage { return *s.load.Load() }

// InFlight is the number of requests that wait or run here.
func (s *Server) InFlight() int64 { return s.sent.Load() }

// Rings returns the counters of the duty's rings.
func (s *Server) Rings() (offered, events ring.Stats) { return s.offered.Stats(), s.events.Stats() }

// permit runs right before the first byte of a request is sent.
func (s *Server) permit(req *core.Request) (gate.Permit, error) {
	now := s.cfg.Clock.Now()
	if at := clock.Instant(s.closing.Load()); at != 0 && !now.Before(at) {
		return gate.Permit{}, core.Fail(core.CodeDraining, "backend server has left")
	}
	if req.Key == "" || s.cfg.Keys() == nil {
		return gate.Permit{LeaseLeft: time.Hour}, nil
	}
	key, err := strconv.Atoi(req.Key)
	if err != nil {
		return gate.Permit{}, core.Wrap(core.CodeInvalid, err, "key")
	}
	u := s.cfg.Keys().Usable()
	if u == nil || u.Holder.Instance != req.Instance || !u.Covers(now, key) {
		return gate.Permit{}, core.Fail(core.CodeNotOwner, "key is not held here")
	}
	return gate.Permit{LeaseLeft: u.Until.Sub(now)}, nil
}

// Serve implements core.Handler.
func (s *Server) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	if req.Service != s.cfg.Service {
		return nil, core.Fail(core.CodeNotOwner, "another service runs here")
	}
	if ctx.Err() != nil {
		return nil, core.ContextErrorBeforeSend(ctx) // read too late
	}
	s.sent.Add(1)
	defer s.sent.Add(-1)
	o, err := s.admit(ctx, req)
	if err != nil {
		return nil, err
	}
	resp, err := s.send(ctx, req)
	s.done(ctx, o, resp, err)
	return resp, err
}

// send passes an admitted request on and reads its answer.
func (s *Server) send(ctx context.Context, req *core.Request) (*core.Response, error) {
	resp, err := s.gate.Serve(ctx, req)
	if err != nil {
		e := core.AsError(err)
		if e.Code == core.CodeUnknown && ctx.Err() == context.DeadlineExceeded {
			return nil, core.Wrap(core.CodeDeadline, err, "no answer before the deadline")
		}
		return nil, err
	}
	switch platform.ClassifyResponse(resp) {
	case platform.Misdirected:
		_ = resp.Body.Close()
		return nil, &core.Error{Code: core.CodeNotOwner, Detail: "refused by the backend server as misdirected", ReachedBackend: true}
	case platform.Refused:
		_ = resp.Body.Close()
		return nil, &core.Error{Code: core.CodeOverloaded, Detail: "refused by the backend server", ReachedBackend: true}
	case platform.Unsigned:
		_ = resp.Body.Close()
		return nil, core.Fail(core.CodeUnknown, "answer without a signature")
	}
	return whole(resp)
}

// whole reads a small answer to its end. Larger ones stream.
func whole(resp *core.Response) (*core.Response, error) {
	if resp.Length > wholeUpTo {
		return resp, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, wholeUpTo+1))
	if err != nil {
		_ = resp.Body.Close()
		return nil, core.Wrap(core.CodeUnknown, err, "answer broke off")
	}
	if len(data) > wholeUpTo {
		resp.Body = &rest{Reader: io.MultiReader(bytes.NewReader(data), resp.Body), body: resp.Body}
		return resp, nil
	}
	if err := resp.Body.Close(); err != nil {
		return nil, core.Wrap(core.CodeUnknown, err, "close of an answer")
	}
	resp.Length = int64(len(data))
	resp.Body = io.NopCloser(bytes.NewReader(data))
	return resp, nil
}

// rest is a long answer of which the first part was read.
type rest struct {
	io.Reader
	body io.Closer
}

// Close implements io.Closer.
func (r *rest) Close() error { return r.body.Close() }

// Close waits for the requests in flight until ctx ends.
func (s *Server) Close(ctx context.Context) error { return s.gate.Shutdown(ctx) }
