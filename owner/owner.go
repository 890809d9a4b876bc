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

// Config configures an Owner. Clock, Lease and Backend are required.
type Config struct {
	Self  core.Member
	Clock *clock.Real
	// Lease returns the newest lease snapshot, or nil before the first. It must
	// be safe for concurrent use.
	Lease func() *ownership.Snapshot
	// Backend forwards admitted requests to the backend server.
	Backend core.Handler
	// Weight returns a customer's weight in fair queueing; nil means 1 for all.
	Weight    func(core.Customer) float32
	Admission admission.Config
	Once      once.Config
	Suspect   suspect.Config
	Health    health.Config
	// The functions below are called on the goroutine of Owner.Run and must not
	// block. OnQuarantine is called for a fingerprint whose requests are
	// refused from now on, OnMarks with the marks to send to other nodes after
	// a death, OnHealthChange for a new health state of the backend server, and
	// RequestProbe when the backend server should be probed at once.
	OnQuarantine   func(suspect.Fingerprint)
	OnMarks        func([]suspect.Mark)
	OnHealthChange func(health.State, health.Reason)
	RequestProbe   func()
	// MaxWaitingForLease bounds the requests that wait while their range moves
	// or the lease is renewed. Zero means 512.
	MaxWaitingForLease int
}

// maxLeaseWait is how long a request waits for a lease on its key while the
// range moves. A move takes at most 50 ms, and a hand-over that fails ends
// within a second.
const maxLeaseWait = 1200 * time.Millisecond

// counts are the counters of Stats that the duty itself keeps.
type counts struct{ refused, duplicates, unknownOutcomes uint64 }

// Stats is a snapshot of an Owner's state and counters.
type Stats struct {
	Admission                            admission.Stats
	Once                                 once.Stats
	Health                               health.State
	HealthReason                         health.Reason
	Refused, Duplicates, UnknownOutcomes uint64
	WaitingForLease                      int64
}

// Owner is the core.Handler for the keys that this node owns. Its methods are
// safe for concurrent use.
type Owner struct {
	cfg             Config
	offers          *ring.Ring[*exchange]
	control         *ring.Ring[message]
	duty            *duty
	waitingForLease atomic.Int64
	// leaseChanged holds a channel that is closed and replaced with every new
	// lease snapshot.
	leaseChanged atomic.Pointer[chan struct{}]
}

// New returns an Owner. It serves no requests until Run is called.
func New(cfg Config) *Owner {
	if cfg.MaxWaitingForLease <= 0 {
		cfg.MaxWaitingForLease = 512
	}
	cfg = cfg.withDefaults()
	o := &Owner{
		cfg:     cfg,
		offers:  ring.New[*exchange]("offers", offerRingSize, ring.Refuse),
		control: ring.New[message]("owner control", controlRingSize, ring.Block),
		duty:    newDuty(cfg),
	}
	c := make(chan struct{})
	o.leaseChanged.Store(&c)
	return o
}

func (c Config) withDefaults() Config {
	if c.OnQuarantine == nil {
		c.OnQuarantine = func(suspect.Fingerprint) {}
	}
	if c.OnMarks == nil {
		c.OnMarks = func([]suspect.Mark) {}
	}
	if c.OnHealthChange == nil {
		c.OnHealthChange = func(health.State, health.Reason) {}
	}
	if c.RequestProbe == nil {
		c.RequestProbe = func() {}
	}
	return c
}

// Run processes messages until ctx ends. It must be called once.
func (o *Owner) Run(ctx context.Context) { o.duty.run(ctx, o.offers, o.control) }

// UpdateLease passes a new lease snapshot to the duty and wakes the requests
// that wait for a lease.
func (o *Owner) UpdateLease(ctx context.Context, s *ownership.Snapshot) {
	_ = o.control.Push(ctx, leaseUpdate{s})
	next := make(chan struct{})
	close(*o.leaseChanged.Swap(&next))
}

// Serve implements core.Handler. It forwards a request that is admitted to the
// backend server.
func (o *Owner) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	hash := req.Hash()
	if err := o.awaitLease(ctx, req, hash); err != nil {
		return nil, err
	}
	prefix, err := peekBody(req)
	if err != nil {
		return nil, err
	}
	x := &exchange{
		req: req, keyHash: hash, reply: ring.NewReply[*core.Error](),
		fingerprint: suspect.NewFingerprint(req.Service, req.Key, req.Method, req.Path, prefix),
		ticket:      admission.Ticket{Customer: req.Customer, Kind: req.Kind, Key: req.Key, Path: req.Path, Length: req.Length},
	}
	if o.cfg.Weight != nil {
		x.ticket.Weight = o.cfg.Weight(req.Customer)
	}
	if !req.Deadline.IsZero() {
		x.ticket.Deadline = o.cfg.Clock.InstantAt(req.Deadline)
	}
	if err := o.awaitAdmission(ctx, x); err != nil {
		return nil, err
	}
	resp, err := o.cfg.Backend.Serve(ctx, req)
	if err != nil {
		e := core.AsError(err)
		o.send(exchangeEnd{x: x, err: e})
		return nil, o.withOwnerHint(e, hash)
	}
	o.send(responseHead{x: x, status: resp.Status})
	resp.OwnerCallerAddress = o.cfg.Self.CallerAddress
	resp.Body = &trackedBody{ReadCloser: resp.Body, onEnd: func(err *core.Error) { o.send(exchangeEnd{x: x, status: resp.Status, err: err}) }}
	return resp, nil
}

// awaitAdmission waits until the duty admits or refuses the request.
func (o *Owner) awaitAdmission(ctx context.Context, x *exchange) error {
	if err := o.offers.Push(ctx, x); err != nil {
		return &core.Error{Code: core.CodeQueueFull, Detail: "too many requests wait for an admission decision", RetryAfter: 100 * time.Millisecond}
	}
	refusal, ok := x.reply.Wait(ctx)
	if !ok {
		o.send(cancellation{x})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return core.Fail(core.CodeDeadlineNotRun, "deadline passed while the request waited for a slot")
		}
		return core.Fail(core.CodeCanceledNotRun, "caller canceled while the request waited for a slot")
	}
	if refusal != nil {
		return o.withOwnerHint(refusal, x.keyHash)
	}
	return nil
}

// send sends a message that must not be lost to the duty. It blocks only while
// the control ring is full.
func (o *Owner) send(m message) { _ = o.control.Push(context.Background(), m) }

// awaitLease returns nil once this node holds the lease on the key. It refuses
// a request for a key of another node. A request waits while its range is
// handed over or the lease is renewed.
func (o *Owner) awaitLease(ctx context.Context, req *core.Request, hash core.Hash) error {
	var timeout <-chan time.Time
	for {
		changed := *o.leaseChanged.Load()
		s := o.cfg.Lease()
		if s == nil || s.Group.Service != req.Service {
			return core.Fail(core.CodeNotOwner, "this node has no lease for the service")
		}
		_, code := s.Check(o.cfg.Clock.Now(), hash)
		switch code {
		case 0:
			return nil
		case core.CodeNoOwner, core.CodeLeaseExpired:
		default:
			return o.withOwnerHint(core.Fail(code, "another node owns the key"), hash)
		}
		if timeout == nil {
			if o.waitingForLease.Add(1) > int64(o.cfg.MaxWaitingForLease) {
				o.waitingForLease.Add(-1)
				return core.Fail(code, "too many requests wait for a lease on their keys")
			}
			defer o.waitingForLease.Add(-1)
			t := time.NewTimer(maxLeaseWait)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-changed:
		case <-timeout:
			return o.withOwnerHint(core.Fail(code, "no lease covered the key in time"), hash)
		case <-ctx.Done():
			return core.Fail(core.CodeCanceledNotRun, "request ended while it waited for a lease on the key")
		}
	}
}

// withOwnerHint adds the address of the present owner to a refusal that says
// that this node is not the owner.
func (o *Owner) withOwnerHint(e *core.Error, h core.Hash) *core.Error {
	if e.Code != core.CodeNotOwner || e.OwnerPeerAddress != "" {
		return e
	}
	if s := o.cfg.Lease(); s != nil && s.Table != nil {
		if m, _, ok := s.Table.Owner(h); ok && !m.SameRun(o.cfg.Self) {
			e.OwnerPeerAddress = m.Address
		}
	}
	return e
}

// trackedBody is a response body that reports the end of its exchange, once, at
// the end of the body, at a read error or on Close.
type trackedBody struct {
	io.ReadCloser
	onEnd    func(*core.Error)
	reported atomic.Bool
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
	b.report(core.Fail(core.CodeAborted, "response body closed before its end"))
	return b.ReadCloser.Close()
}

func (b *trackedBody) report(err *core.Error) {
	if !b.reported.Swap(true) {
		b.onEnd(err)
	}
}

// statusText returns the decimal form of an HTTP status code.
func statusText(code int) string { return strconv.Itoa(code) }
