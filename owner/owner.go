package owner

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/health"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

// Config joins an Owner to its surroundings.
type Config struct {
	Self  core.Member
	Clock *clock.Real
	// Lease returns the newest lease snapshot, or nil.
	Lease func() *ownership.Snapshot
	// Gate forwards to the backend server.
	Gate core.Handler
	// Weight returns the weight of a customer; nil means 1 for all.
	Weight    func(core.Customer) float32
	Admission admission.Config
	Once      once.Config
	Suspect   suspect.Config
	Health    health.Config
	// The functions below are called on the duty's goroutine and must not
	// block. Quarantined tells of a request that is refused from now on,
	// Marked passes on the marks of a death, HealthChanged tells of a new state
	// of the backend server, and ProbeNow asks for a probe at once.
	Quarantined   func(suspect.Fingerprint)
	Marked        func([]suspect.Mark)
	HealthChanged func(health.State, health.Reason)
	ProbeNow      func()
	// MaxMoving bounds the requests that wait while their range moves or the
	// lease is being renewed; 512.
	MaxMoving int
}

// movingWait bounds the wait of a request whose range is moving. A move takes
// at most 50 ms, and a hand-over that fails ends within a second.
const movingWait = 1200 * time.Millisecond

type counts struct{ refused, duplicates, unknown uint64 }

// Stats are the figures of the owner's side.
type Stats struct {
	Admission                    admission.Stats
	Once                         once.Stats
	Health                       health.State
	HealthReason                 health.Reason
	Refused, Duplicates, Unknown uint64
	Moving                       int64
}

// Owner is the core.Handler that serves the keys of this node.
type Owner struct {
	cfg     Config
	offers  *ring.Ring[*exchange]
	control *ring.Ring[message]
	duty    *duty
	moving  atomic.Int64
	// changed is closed and replaced with every lease snapshot.
	changed atomic.Pointer[chan struct{}]
}

// New makes an Owner. Run starts its duty.
func New(cfg Config) *Owner {
	if cfg.MaxMoving <= 0 {
		cfg.MaxMoving = 512
	}
	cfg = cfg.withCallbacks()
	o := &Owner{
		cfg:     cfg,
		offers:  ring.New[*exchange]("offers", offers, ring.Refuse),
		control: ring.New[message]("owner control", controls, ring.Wait),
		duty:    newDuty(cfg),
	}
	c := make(chan struct{})
	o.changed.Store(&c)
	return o
}

func (c Config) withCallbacks() Config {
	if c.Quarantined == nil {
		c.Quarantined = func(suspect.Fingerprint) {}
	}
	if c.Marked == nil {
		c.Marked = func([]suspect.Mark) {}
	}
	if c.HealthChanged == nil {
		c.HealthChanged = func(health.State, health.Reason) {}
	}
	if c.ProbeNow == nil {
		c.ProbeNow = func() {}
	}
	return c
}

// Run is the duty's goroutine. It returns when ctx ends.
func (o *Owner) Run(ctx context.Context) { o.duty.run(ctx, o.offers, o.control) }

// LeaseChanged tells the owner of a new snapshot.
func (o *Owner) LeaseChanged(ctx context.Context, s *ownership.Snapshot) {
	_ = o.control.Push(ctx, lease{s})
	next := make(chan struct{})
	close(*o.changed.Swap(&next))
}

// Serve implements core.Handler.
func (o *Owner) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	hash := req.Hash()
	if err := o.awaitLease(ctx, req, hash); err != nil {
		return nil, err
	}
	prefix, err := peek(req)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		req: req, hash: hash, reply: ring.NewReply[*core.Error](),
		fingerprint: suspect.NewFingerprint(req.Service, req.Key, req.Method, req.Path, prefix),
		ticket:      admission.Ticket{Customer: req.Customer, Kind: req.Kind, Key: req.Key, Path: req.Path, Length: req.Length},
	}
	if o.cfg.Weight != nil {
		x.ticket.Weight = o.cfg.Weight(req.Customer)
	}
	if !req.Deadline.IsZero() {
		x.ticket.Deadline = o.cfg.Clock.At(req.Deadline)
	}
	if err := o.enter(ctx, x); err != nil {
		return nil, err
	}
	resp, err := o.cfg.Gate.Serve(ctx, req)
	if err != nil {
		e := core.AsError(err)
		o.send(end{x: x, err: e})
		return nil, o.withHint(e, hash)
	}
	o.send(answered{x: x, status: resp.Status})
	resp.Owner = o.cfg.Self.CallerAddress
	resp.Body = &trackedBody{ReadCloser: resp.Body, ended: func(err *core.Error) { o.send(end{x: x, status: resp.Status, err: err}) }}
	return resp, nil
}

// enter waits until the duty lets the request in.
func (o *Owner) enter(ctx context.Context, x *exchange) error {
	if err := o.offers.Push(ctx, x); err != nil {
		return &core.Error{Code: core.CodeQueueFull, Detail: "admission is behind", RetryAfter: 100 * time.Millisecond}
	}
	verdict, ok := x.reply.Wait(ctx)
	if !ok {
		o.send(cancel{x})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return core.Fail(core.CodeDeadlineNotRun, "deadline passed while waiting for a slot")
		}
		return core.Fail(core.CodeCanceledNotRun, "caller left while waiting for a slot")
	}
	if verdict != nil {
		return o.withHint(verdict, x.hash)
	}
	return nil
}

// send delivers a message that must not be lost. It blocks only while the duty
// is behind by a full ring.
func (o *Owner) send(m message) { _ = o.control.Push(context.Background(), m) }

// awaitLease refuses a request for a key of another node, and lets one wait
// while its range is being handed over or the lease is being renewed.
func (o *Owner) awaitLease(ctx context.Context, req *core.Request, hash core.Hash) error {
	var timeout <-chan time.Time
	for {
		changed := *o.changed.Load()
		s := o.cfg.Lease()
		if s == nil || s.Group.Service != req.Service {
			return core.Fail(core.CodeNotOwner, "this node does not serve the service")
		}
		_, code := s.Check(o.cfg.Clock.Now(), hash)
		switch code {
		case 0:
			return nil
		case core.CodeNoOwner, core.CodeLeaseExpired:
		default:
			return o.withHint(core.Fail(code, "key of another node"), hash)
		}
		if timeout == nil {
			if o.moving.Add(1) > int64(o.cfg.MaxMoving) {
				o.moving.Add(-1)
				return core.Fail(code, "too many requests wait for the range")
			}
			defer o.moving.Add(-1)
			t := time.NewTimer(movingWait)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-timeout:
			return o.withHint(core.Fail(code, "no lease for the key"), hash)
		case <-ctx.Done():
			return core.Fail(core.CodeCanceledNotRun, "caller left while the range moved")
		}
	}
}

// withHint names the present owner in a refusal by a node that is not it.
func (o *Owner) withHint(e *core.Error, h core.Hash) *core.Error {
	if e.Code != core.CodeNotOwner || e.Owner != "" {
		return e
	}
	if s := o.cfg.Lease(); s != nil && s.Table != nil {
		if m, _, ok := s.Table.Owner(h); ok && !m.SameRun(o.cfg.Self) {
			e.Owner = m.Address
		}
	}
	return e
}

// trackedBody reports the end of an exchange once.
type trackedBody struct {
	io.ReadCloser
	ended func(*core.Error)
	done  atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		b.report(nil)
	case err != nil:
		b.report(core.AsError(err))
	}
	return n, err
}

func (b *trackedBody) Close() error {
	b.report(core.Fail(core.CodeAborted, "answer abandoned"))
	return b.ReadCloser.Close()
}

func (b *trackedBody) report(err *core.Error) {
	if !b.done.Swap(true) {
		b.ended(err)
	}
}

func statusText(code int) string { return strconv.Itoa(code) }
