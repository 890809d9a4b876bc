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
	// offerRingSize is the number of requests that can wait for the duty. The
	// duty answers in microseconds, so a full ring means overload.
	offerRingSize = 1024
	// controlRingSize is the number of ends of exchanges and control messages
	// that can wait for the duty. The exchanges in flight limit their number,
	// so senders rarely block. None may be dropped, because a lost end of an
	// exchange would leak a slot.
	controlRingSize = 4096
	// tickInterval is the longest interval between two runs of timed work.
	tickInterval = 50 * time.Millisecond
	// handOverPollInterval is how often a pending hand-over checks whether the
	// keys of its range are idle.
	handOverPollInterval = 2 * time.Millisecond
	// brokenRetention is how long an exchange whose connection broke still
	// counts as in flight when the backend server dies. The death is noticed
	// only by the next probe.
	brokenRetention = 2 * time.Second
	// maxBrokenExchanges bounds the exchanges kept for brokenRetention.
	maxBrokenExchanges = 256
)

// exchange is one request at its owner and the response to it. Only the duty
// uses the fields below reply.
type exchange struct {
	req         *core.Request
	keyHash     core.Hash
	fingerprint suspect.Fingerprint
	ticket      admission.Ticket
	reply       ring.Reply[*core.Error]

	admissionID admission.ID
	recorded    bool // the at-most-once table holds a running record, recordID
	recordID    once.RequestID
	admitted    bool
	knownShort  bool // as in admission.Decision
	admittedAt  clock.Instant
	canceled    bool
	ended       bool
}

// message is a message to the duty; apply runs on the duty's goroutine. Only
// the types below implement it.
type message interface{ apply(*duty) }

// exchangeEnd reports the end of an admitted exchange. err is nil after a
// complete response; status is the status of the response, or 0 if no response
// began.
type exchangeEnd struct {
	x      *exchange
	status int
	err    *core.Error
}

// responseHead reports that the head of the response has arrived.
type responseHead struct {
	x      *exchange
	status int
}

// cancellation reports that the caller canceled the request before it learned
// that the request was admitted.
type cancellation struct{ x *exchange }

// leaseUpdate carries a new lease snapshot.
type leaseUpdate struct{ snapshot *ownership.Snapshot }

// handOverRequest asks for the records of a range that moves away. The reply is
// sent once the exchanges of the range have ended or the deadline has passed.
type handOverRequest struct {
	keyRange core.Range
	deadline time.Time
	reply    ring.Reply[handOverResult]
}

// handOverResult holds the records of a range, and the hashes that stay at this
// node because an exchange is in flight.
type handOverResult struct {
	transfer once.Transfer
	keep     []core.Hash
}

// recordImport imports the records of a range that is about to move here.
type recordImport struct {
	keyRange core.Range
	transfer once.Transfer
	reply    ring.Reply[struct{}]
}

// backendDeath reports the death of one run of the backend server, and whether
// a probe had reached that run.
type backendDeath struct {
	id     suspect.DeathID
	probed bool
}

// probeResult is the result of one probe of the backend server.
type probeResult struct{ answered, healthy bool }

// command is a function that runs on the duty's goroutine, for queries and
// operators' orders.
type command struct{ run func(*duty) }

// brokenExchange is an exchange whose connection to the backend server broke.
type brokenExchange struct {
	inflight suspect.InflightRequest
	brokeAt  time.Time
}

// duty holds the state that only the goroutine of Owner.Run uses.
type duty struct {
	cfg             Config
	clock           *clock.Real
	policy          *admission.Controller
	records         ownedRecords
	suspects        *suspect.Table
	monitor         *health.Monitor
	healthCheckedAt clock.Instant
	reportedState   health.State
	table           *core.Table

	inFlight    map[*exchange]struct{} // bounded by the controller's pool
	broken      []brokenExchange
	lastDeathAt clock.Instant // when the last death of the backend server was noticed
	handOvers   []handOverRequest
	counts      counts
}

func newDuty(cfg Config) *duty {
	d := &duty{
		cfg: cfg, clock: cfg.Clock,
		policy:   admission.New(cfg.Admission),
		records:  ownedRecords{table: once.New(cfg.Once)},
		suspects: suspect.New(cfg.Suspect),
		monitor:  health.New(cfg.Clock.Now(), cfg.Health),
		inFlight: map[*exchange]struct{}{},
	}
	d.reportedState, _ = d.monitor.State()
	return d
}

func (d *duty) run(ctx context.Context, offered *ring.Ring[*exchange], control *ring.Ring[message]) {
	due := time.Now().Add(tickInterval)
	timer := time.NewTimer(tickInterval)
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
				d.handleOffer(x)
			}
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(due) {
			d.runTimedWork(now)
			due = now.Add(d.untilNextTick())
			timer.Reset(due.Sub(now))
		} else if earlier := now.Add(d.untilNextTick()); earlier.Before(due) {
			due = earlier
			timer.Reset(due.Sub(now))
		}
	}
}

// untilNextTick returns the time until runTimedWork is due.
func (d *duty) untilNextTick() time.Duration {
	n := d.policy.ExpireInterval()
	if n <= 0 {
		n = tickInterval
	}
	if len(d.handOvers) > 0 {
		n = min(n, handOverPollInterval)
	}
	return min(n, tickInterval)
}

// runTimedWork does the work that depends on the passage of time: it expires
// queued requests, checks the backend server's health and finishes hand-overs.
func (d *duty) runTimedWork(now time.Time) {
	starts, refusals := d.policy.Expire(d.clock.Now())
	d.admitAll(starts)
	for _, r := range refusals {
		d.refuse(r.Ref.(*exchange), &core.Error{Code: r.Code, RetryAfter: r.RetryAfter, Detail: "no slot of the backend server became free in time"})
	}
	d.checkHealth()
	for len(d.broken) > 0 && now.Sub(d.broken[0].brokeAt) > brokenRetention {
		d.broken = d.broken[1:]
	}
	d.finishHandOvers(now)
}

// healthInterval is the interval between evaluations of the backend server's
// health.
const healthInterval = 100 * time.Millisecond

func (d *duty) checkHealth() {
	now := d.clock.Now()
	if now.Sub(d.healthCheckedAt) < healthInterval {
		return
	}
	d.healthCheckedAt = now
	// Only placement uses the capacity share of a backend server that warms up
	// or is suspect. Refusing requests for its keys here would not help,
	// because no other node may serve them.
	d.monitor.Tick(now)
	d.reportHealth()
}

// reportHealth reports a change of the health state. It compares with the state
// that was last reported, because the end of an exchange can also change the
// state between two evaluations.
func (d *duty) reportHealth() {
	state, reason := d.monitor.State()
	if state != d.reportedState {
		d.reportedState = state
		d.cfg.OnHealthChange(state, reason)
	}
}

// handleOffer admits, queues or refuses a new request. It checks what is worst
// to get wrong first: duplicates, then requests that crash backend servers,
// then load.
func (d *duty) handleOffer(x *exchange) {
	if x.canceled {
		return
	}
	if state, reason := d.monitor.State(); state == health.Ejected {
		x.reply.Send(core.Fail(core.CodeBackendDown, "backend server ejected: "+reason.String()))
		return
	}
	if err := d.beginRecord(x); err != nil {
		x.reply.Send(err)
		return
	}
	now := d.clock.Now()
	switch d.suspects.Start(now, x.fingerprint) {
	case suspect.Quarantined:
		d.forgetRecord(x)
		x.reply.Send(core.Fail(core.CodeQuarantined, "request quarantined, by an operator or because it was in flight when backend servers died"))
		return
	case suspect.Hold:
		d.forgetRecord(x)
		x.reply.Send(&core.Error{Code: core.CodeOverloaded, Detail: "request may crash backend servers; another suspect request is running", RetryAfter: time.Second})
		return
	}
	x.ticket.Ref = x
	switch v := d.policy.Offer(now, x.ticket); v.Verdict {
	case admission.Admit:
		x.admissionID = v.ID
		d.inFlight[x] = struct{}{}
		d.admit(x, v.KnownShort)
	case admission.Queue:
		x.admissionID = v.ID
		d.inFlight[x] = struct{}{}
	default:
		d.refuse(x, &core.Error{Code: v.Code, RetryAfter: v.RetryAfter})
	}
}

// beginRecord records that a non-idempotent request runs. It returns an error
// if the request ran or may have run before, or if another node owns its key.
func (d *duty) beginRecord(x *exchange) *core.Error {
	if x.req.Idempotent {
		return nil
	}
	k := once.Key{Service: x.req.Service, Customer: x.req.Customer, IdempotencyKey: x.req.IdempotencyKey, Hash: x.keyHash}
	switch v := d.records.table.Begin(time.Now(), k, x.req.IssuedAt); v.Verdict {
	case once.Run:
		x.recordID, x.recorded = v.ID, x.req.IdempotencyKey != ""
		return nil
	case once.Duplicate:
		d.counts.duplicates++
		return duplicateError(v.Record)
	case once.MayHaveRun:
		d.counts.unknownOutcomes++
		return core.Fail(core.CodeUnknown, "an earlier attempt may have run before this owner took over")
	default:
		return core.Fail(core.CodeNotOwner, "the range of the key has moved to another node")
	}
}

// duplicateError returns the error for a request that has a record of an
// earlier attempt.
func duplicateError(r once.Record) *core.Error {
	switch r.State {
	case once.Done:
		return core.Fail(core.CodeDuplicate, "an earlier attempt ran: "+string(r.Outcome)+" with status "+statusText(r.Status))
	case once.Running:
		return core.Fail(core.CodeDuplicate, "an earlier attempt is still running")
	default:
		return core.Fail(core.CodeUnknown, "an earlier attempt may have run")
	}
}

func (d *duty) admitAll(list []admission.Start) {
	for _, s := range list {
		d.admit(s.Ref.(*exchange), s.KnownShort)
	}
}

// admit records that x is admitted and lets its goroutine forward the request.
func (d *duty) admit(x *exchange, knownShort bool) {
	x.admitted, x.knownShort, x.admittedAt = true, knownShort, d.clock.Now()
	d.monitor.BeginRequest(x.admittedAt, knownShort)
	x.reply.Send(nil)
}

// refuse ends an exchange that was not admitted.
func (d *duty) refuse(x *exchange, err *core.Error) {
	d.counts.refused++
	x.ended = true
	delete(d.inFlight, x)
	d.forgetRecord(x)
	d.suspects.Finish(d.clock.Now(), x.fingerprint, false)
	x.reply.Send(err)
}

// forgetRecord removes the record of a request that did not run.
func (d *duty) forgetRecord(x *exchange) {
	if x.recorded {
		d.records.table.RemoveUnstarted(x.recordID)
		x.recorded = false
	}
}
