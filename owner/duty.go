package owner

import (
	"context"
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

const (
	// offers bounds the requests that wait for the duty itself; the duty
	// answers in microseconds, so a full ring means overload.
	offers = 1024
	// controls bounds ends of exchanges and control messages. Their number is
	// limited by the exchanges in flight, so producers rarely wait; an end
	// that were lost would leak a slot.
	controls = 4096
	// tick is how often time-driven work is done while nothing else happens.
	tick = 50 * time.Millisecond
	// moveTick is how often a pending hand-over looks for idle keys.
	moveTick = 2 * time.Millisecond
	// brokenFor is how long an exchange whose connection broke still counts
	// as in flight at a death: the death is noticed by the next probe.
	brokenFor = 2 * time.Second
	// maxBroken bounds the exchanges remembered for brokenFor.
	maxBroken = 256
)

// exchange is one request at the owner. Fields below reply belong to the duty.
type exchange struct {
	req         *core.Request
	hash        core.Hash
	fingerprint suspect.Fingerprint
	ticket      admission.Ticket
	reply       ring.Reply[*core.Error]

	id       admission.ID
	recorded bool // once holds a running record under record
	record   once.RequestID
	started  bool
	short    bool // known to be answered quickly
	letInAt  clock.Instant
	canceled bool
	ended    bool
}

// message is one message to the duty. The set is closed: the types below.
type message interface{ apply(*duty) }

// end reports the end of an exchange that was let in. Err is nil after a whole
// answer; Status is that of the answer, or 0 when none began.
type end struct {
	x      *exchange
	status int
	err    *core.Error
}

// answered reports that the head of the answer has arrived.
type answered struct {
	x      *exchange
	status int
}

// cancel reports that the caller left before the request was let in.
type cancel struct{ x *exchange }

// lease reports a new lease snapshot.
type lease struct{ snapshot *ownership.Snapshot }

// handOver asks for the records of a range that moves away, once its short
// exchanges have ended or the time is over.
type handOver struct {
	rng   core.Range
	until time.Time
	reply ring.Reply[handedOver]
}

type handedOver struct {
	transfer once.Transfer
	keep     []core.Hash
}

// accept takes the records of a range that is about to move here.
type accept struct {
	rng      core.Range
	transfer once.Transfer
	reply    ring.Reply[struct{}]
}

// died reports the death of one run of the backend server, and whether a probe
// saw that run.
type died struct {
	id   suspect.DeathID
	seen bool
}

// probe reports one probe of the backend server.
type probe struct{ ok, healthy bool }

// query runs f on the duty and is used for reports and operators' orders.
type query struct{ f func(*duty) }

type broken struct {
	inflight suspect.InflightRequest
	at       time.Time
}

// duty is the state of the owner's side. Its goroutine is Owner.Run.
type duty struct {
	cfg       Config
	clock     *clock.Real
	policy    *admission.Controller
	knowledge knowledge
	suspects  *suspect.Table
	monitor   *health.Monitor
	ticked    clock.Instant
	toldState health.State
	table     *core.Table

	running map[*exchange]struct{} // bounded by the controller's pool
	broken  []broken
	diedAt  clock.Instant // when the last death was noticed
	moves   []handOver
	counts  counts
}

func newDuty(cfg Config) *duty {
	d := &duty{
		cfg: cfg, clock: cfg.Clock,
		policy:    admission.New(cfg.Admission),
		knowledge: knowledge{table: once.New(cfg.Once)},
		suspects:  suspect.New(cfg.Suspect),
		monitor:   health.New(cfg.Clock.Now(), cfg.Health),
		running:   map[*exchange]struct{}{},
	}
	d.toldState, _ = d.monitor.State()
	return d
}

func (d *duty) run(ctx context.Context, offered *ring.Ring[*exchange], control *ring.Ring[message]) {
	due := time.Now().Add(tick)
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-control.Ready():
			if m, ok := control.Pop(); ok {
				m.apply(d)
			}
		case <-offered.Ready():
			if x, ok := offered.Pop(); ok {
				d.offer(x)
			}
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(due) {
			d.passTime(now)
			due = now.Add(d.next())
			timer.Reset(due.Sub(now))
		} else if sooner := now.Add(d.next()); sooner.Before(due) {
			due = sooner
			timer.Reset(due.Sub(now))
		}
	}
}

// next returns the time until passTime is due.
func (d *duty) next() time.Duration {
	n := d.policy.Next()
	if n <= 0 {
		n = tick
	}
	if len(d.moves) > 0 {
		n = min(n, moveTick)
	}
	return min(n, tick)
}

func (d *duty) passTime(now time.Time) {
	starts, refusals := d.policy.Expire(d.clock.Now())
	d.start(starts)
	for _, r := range refusals {
		d.refuse(r.Ref.(*exchange), &core.Error{Code: r.Code, RetryAfter: r.RetryAfter, Detail: "waited too long for a slot"})
	}
	d.watchHealth()
	for len(d.broken) > 0 && now.Sub(d.broken[0].at) > brokenFor {
		d.broken = d.broken[1:]
	}
	d.finishMoves(now)
}

// healthInterval is how often the health of the backend server is judged.
const healthInterval = 100 * time.Millisecond

func (d *duty) watchHealth() {
	now := d.clock.Now()
	if now.Sub(d.ticked) < healthInterval {
		return
	}
	d.ticked = now
	// The share of a warming or suspect server is for placement. Refusing its
	// keys' requests would help nobody, because no other node may serve them.
	d.monitor.Tick(now)
	d.reportHealth()
}

// reportHealth tells of a change of state. It compares with what was told last,
// because the end of an exchange changes the state between two ticks as well.
func (d *duty) reportHealth() {
	state, reason := d.monitor.State()
	if state != d.toldState {
		d.toldState = state
		d.cfg.HealthChanged(state, reason)
	}
}

// offer decides about a new request in the order of what must not be wrong:
// duplicates first, then requests that crash backend servers, then load.
func (d *duty) offer(x *exchange) {
	if x.canceled {
		return
	}
	if state, reason := d.monitor.State(); state == health.Ejected {
		x.reply.Send(core.Fail(core.CodeBackendDown, "backend server ejected: "+reason.String()))
		return
	}
	if err := d.begin(x); err != nil {
		x.reply.Send(err)
		return
	}
	now := d.clock.Now()
	switch d.suspects.Start(now, x.fingerprint) {
	case suspect.Quarantined:
		d.forget(x)
		x.reply.Send(core.Fail(core.CodeQuarantined, "this request was in flight when backend servers died"))
		return
	case suspect.Hold:
		d.forget(x)
		x.reply.Send(&core.Error{Code: core.CodeOverloaded, Detail: "another suspect request is being tried", RetryAfter: time.Second})
		return
	}
	x.ticket.Ref = x
	switch v := d.policy.Offer(now, x.ticket); v.Verdict {
	case admission.Admit:
		x.id = v.ID
		d.running[x] = struct{}{}
		d.letIn(x, v.KnownShort)
	case admission.Queue:
		x.id = v.ID
		d.running[x] = struct{}{}
	default:
		d.refuse(x, &core.Error{Code: v.Code, RetryAfter: v.RetryAfter})
	}
}

// begin records a non-idempotent request, or refuses it because it ran, may
// have run, or belongs to another owner.
func (d *duty) begin(x *exchange) *core.Error {
	if x.req.Idempotent {
		return nil
	}
	k := once.Key{Service: x.req.Service, Customer: x.req.Customer, IdempotencyKey: x.req.IdempotencyKey, Hash: x.hash}
	switch v := d.knowledge.table.Begin(time.Now(), k, x.req.IssuedAt); v.Verdict {
	case once.Run:
		x.record, x.recorded = v.ID, x.req.IdempotencyKey != ""
		return nil
	case once.Duplicate:
		d.counts.duplicates++
		return duplicate(v.Record)
	case once.MayHaveRun:
		d.counts.unknown++
		return core.Fail(core.CodeUnknown, "an earlier attempt may have run before this owner took over")
	default:
		return core.Fail(core.CodeNotOwner, "the range moved away")
	}
}

func duplicate(r once.Record) *core.Error {
	switch r.State {
	case once.Done:
		return core.Fail(core.CodeDuplicate, "an earlier attempt ran: "+string(r.Outcome)+" with status "+statusText(r.Status))
	case once.Running:
		return core.Fail(core.CodeDuplicate, "an earlier attempt is still running")
	default:
		return core.Fail(core.CodeUnknown, "an earlier attempt may have run")
	}
}

func (d *duty) start(list []admission.Start) {
	for _, s := range list {
		d.letIn(s.Ref.(*exchange), s.KnownShort)
	}
}

func (d *duty) letIn(x *exchange, short bool) {
	x.started, x.short, x.letInAt = true, short, d.clock.Now()
	d.monitor.BeginRequest(x.letInAt, short)
	x.reply.Send(nil)
}

// refuse ends an exchange that was never started.
func (d *duty) refuse(x *exchange, err *core.Error) {
	d.counts.refused++
	x.ended = true
	delete(d.running, x)
	d.forget(x)
	d.suspects.Finish(d.clock.Now(), x.fingerprint, false)
	x.reply.Send(err)
}

// forget removes the record of a request that certainly did not run.
func (d *duty) forget(x *exchange) {
	if x.recorded {
		d.knowledge.table.RemoveUnstarted(x.record)
		x.recorded = false
	}
}
