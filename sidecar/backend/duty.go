package backend

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
	"marjoramshore.example/slotqueue"
	"marjoramshore.example/suspect"
)

const (
	// expireInterval is how often waiting requests are checked against their
	// deadlines.
	expireInterval = 20 * time.Millisecond
	// idleInterval is the time between ticks while no request waits. Each tick
	// wakes the process.
	idleInterval = 100 * time.Millisecond
	// maxMissedReports is the number of missing reports after which the keys of
	// a run are reassigned once its holds have ended.
	maxMissedReports = 3
	// drainMargin is the time from the last request that is sent to the end of a
	// drain.
	drainMargin = 400 * time.Millisecond
)

// slotRequest asks for a slot. It gets one decision: nil for a slot, or the
// refusal.
type slotRequest struct {
	ticket   slotqueue.Ticket
	sendID   core.SendID // zero if the request cannot be withdrawn
	instance string      // run of the backend server that the request is meant for
	decision ring.Reply[*core.Error]
	// rateLimit is the limit of the run that the sending node knows of, or 0.
	rateLimit float64
	// statement is what the answer says of the run. It is set before the completion
	// of the request is queued, and nil without an answer.
	statement *platform.Statement
	// key is the key of the request, or -1.
	key int
	// stream is the body, or nil if it was read before.
	stream *bodyStream
	// fingerprints are those of the request, or nil if none was marked when it arrived.
	fingerprints []suspect.Fingerprint
	// unanswered is set if the request was sent and not answered, answered if it was
	// answered whole, and lost describes it in the first case. They are set before the
	// completion of the request is queued.
	unanswered, answered bool
	lost                 *lostRequest
	// suspectStarted is set by the goroutine of Proxy.Run while the table of suspects
	// counts the request.
	suspectStarted bool
	// canceled is set by the goroutine of Proxy.Run once the request no longer waits.
	// Its cancellation may come first, since it takes another ring.
	canceled bool
}

// event is an input of the proxy's event loop other than a slotRequest.
type event interface{ apply(*state) }

// completion reports that an admitted request has ended.
type completion struct {
	request *slotRequest
	err     *core.Error
	// backendFailed reports that the backend server failed the request.
	backendFailed bool
}

// cancellation reports that a request no longer waits for a slot.
type cancellation struct{ request *slotRequest }

// waitsEnd reports that the node stops and waits no longer.
type waitsEnd struct{}

// reportCall is a status report of the backend server.
type reportCall struct {
	report platform.StatusReport
	reply  ring.Reply[Ack]
}

// leaveCall is the call by which a run of the backend server deregisters.
type leaveCall struct {
	Leave
	reply ring.Reply[Ack]
}

// Ack is the answer to a call of the backend server.
type Ack struct {
	// OK acknowledges the report.
	OK bool
	// Current is set for the newest report of the present run.
	Current bool
	// Ready reports that the run may get keys.
	Ready bool
	// Slots is the number of slots by which keys are assigned to the run.
	Slots int
	// Sharded reports that the run takes part in the key assignment. Grant is
	// valid only then.
	Sharded bool
	Grant   shards.Grant
	// kept is set if the call tells of a leave. The reply comes once the leave
	// outlives the process, which is before it is acknowledged.
	kept *ring.Reply[struct{}]
}

// state is the proxy's state. Only the goroutine of Proxy.Run may use it.
type state struct {
	*Proxy
	ctx context.Context
	// instant is the time at which the present event is handled. The clock is
	// read once for each event, since a reading is a system call.
	instant  clock.Instant
	queue    *slotqueue.Queue
	failures dispatch.FailureTracker
	sends    sendRecords
	// streams are the requests with a slot whose bodies are still being received.
	streams      map[*slotRequest]struct{}
	run          Run
	limit        namedLimit
	cold         coldness
	evacuation   evacuation
	lastSequence int64
	lastReport   clock.Instant
	// deregistered is set once the present run has deregistered. formerMayLeave is set
	// while the former run had the same name and had not.
	deregistered, formerMayLeave bool
	// silent is set while reports of the run are missing.
	silent bool
	// refusedDials counts the connections refused in a row.
	refusedDials int
	// unreachableAt is when the present run became unreachable, and answeredSince is set once
	// it has answered a request since.
	unreachableAt clock.Instant
	answeredSince bool
	// suspects knows the requests that may crash backend servers, held are those of them
	// that wait, and lost the requests without an answer. crashed is the last run whose
	// crash was recorded, lastAnswerAt the time of the last answer.
	suspects       *suspect.Table
	held           []heldRequest
	lost           []lostRequest
	crashed        shards.Holder
	lastAnswerAt   clock.Instant
	recordedDeaths []suspect.DeathID // the last crashes that were recorded here
	// suspectsKnown is set once the kept quarantines and the marks of others are known.
	suspectsKnown bool
	// runAdded is set once the key controller knows of the run.
	runAdded bool
	// arrivals counts the slot requests since demandUpdatedAt.
	arrivals        int
	demandUpdatedAt clock.Instant
	keys            keyCounter
	// departures are the runs that have left, those recorded by former processes
	// included once formerKnown is set.
	departures  []fleet.Departure
	formerKnown bool
	startedAt   clock.Instant
	// runReports counts the reports of the present run.
	runReports int
}

const (
	// demandInterval is how often the demand is measured.
	demandInterval = 250 * time.Millisecond
	// demandWeight is the weight of one interval in the moving average, which
	// follows a change within about 1.7 s.
	demandWeight = 0.15
	// maxDemand bounds the demand of one interval, because the retries of
	// refused callers are counted as well.
	maxDemand = 3
)

// updateDemand updates the moving average of the demand, which is the work that
// arrived as a share of what the slots can do, or of what the backend server's own
// limit allows if that is less.
func (st *state) updateDemand() {
	now := st.now()
	elapsed := now.Sub(st.demandUpdatedAt)
	q := st.queue.Stats()
	if elapsed < demandInterval || q.Slots == 0 {
		return
	}
	work := float64(st.arrivals) * q.MeanServiceTime.Seconds()
	demand := work / (elapsed.Seconds() * float64(q.Slots))
	if q.Rate > 0 {
		demand = max(demand, float64(st.arrivals)/(elapsed.Seconds()*q.Rate))
	}
	demand = min(demand, maxDemand)
	old := math.Float64frombits(st.demandBits.Load())
	st.demandBits.Store(math.Float64bits(old + demandWeight*(demand-old)))
	st.keyLoads.Store(st.keys.endInterval(demand))
	st.arrivals, st.demandUpdatedAt = 0, now
}

// Run runs the proxy's event loop until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	st := &state{Proxy: p, ctx: ctx, queue: slotqueue.New(), sends: newSendRecords(), streams: map[*slotRequest]struct{}{}, formerKnown: p.cfg.Departures == nil, suspects: suspect.New(suspect.Config{MinDeaths: minDeaths, MaxHold: maxSuspectWait}), suspectsKnown: p.cfg.Suspects == nil}
	st.evacuation.known = p.cfg.EvacuationPeriod == 0
	st.readClock()
	st.followColdBound()
	st.startedAt = st.now()
	interval := idleInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		// The interval grows at ticks only: a ticker that is reset again and
		// again does not tick.
		if next := st.tickInterval(); next < interval {
			interval = next
			ticker.Reset(interval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			st.readClock()
			st.tick()
			if next := st.tickInterval(); next != interval {
				interval = next
				ticker.Reset(interval)
			}
		case <-p.requests.Ready():
			st.readClock()
			if request, ok := p.requests.Pop(); ok {
				st.offerRequest(request)
			}
		case <-p.events.Ready():
			st.readClock()
			if e, ok := p.events.Pop(); ok {
				e.apply(st)
			}
		}
		st.publishUsage()
	}
}

// tickInterval returns the time between ticks for the present state.
func (st *state) tickInterval() time.Duration {
	if st.queue.Stats().Waiting > 0 || len(st.held) > 0 {
		return expireInterval
	}
	return idleInterval
}

func (st *state) readClock() { st.instant = st.cfg.Clock.Now() }

func (st *state) now() clock.Instant { return st.instant }

// publishUsage makes the load visible to other goroutines.
func (st *state) publishUsage() {
	q := st.queue.Stats()
	u := fleet.Usage{Running: q.Running, Waiting: q.Waiting, MeanServiceTime: q.MeanServiceTime, FailedShare: st.failures.FailedShare(st.now())}
	if q.Rate > 0 {
		// Other nodes choose by the rate at which slots become free.
		u.MeanServiceTime = max(u.MeanServiceTime, time.Duration(float64(q.Slots)/q.Rate*float64(time.Second)))
	}
	if *st.usage.Load() != u {
		st.usage.Store(&u)
	}
}

// admit waits for a slot for a request without a body.
func (p *Proxy) admit(ctx context.Context, req *core.Request) (*slotRequest, error) {
	return p.admitAs(ctx, req, identity{req: req})
}

// admitAs waits for a slot. The caller must pass the returned request to
// completeRequest.
func (p *Proxy) admitAs(ctx context.Context, req *core.Request, id identity) (*slotRequest, error) {
	now := p.cfg.Clock.Now()
	toInstant := func(t time.Time) clock.Instant {
		if t.IsZero() {
			return 0
		}
		return now.Add(time.Until(t))
	}
	request := &slotRequest{
		ticket: slotqueue.Ticket{Class: req.Route, Priority: req.Priority, Call: req.Call, TargetTime: toInstant(req.TargetTime), Deadline: toInstant(req.Deadline)},
		sendID: req.SendID, instance: req.Instance, rateLimit: req.RateLimit, decision: ring.NewReply[*core.Error](),
	}
	request.stream, _ = req.Body.(*bodyStream)
	request.key = -1
	if key, err := strconv.Atoi(req.Key); err == nil {
		request.key = key
	}
	request.ticket.CallerData = request
	if p.hasSuspects() {
		request.fingerprints = id.fingerprints()
	}
	if p.requests.Push(ctx, request) != nil {
		return nil, core.Fail(core.CodeOverloaded, "the node's ring of requests for the backend server is full")
	}
	e, ok := request.decision.Wait(ctx)
	if !ok {
		p.pushEvent(cancellation{request})
		return nil, core.ContextErrorBeforeSend(ctx)
	}
	if e != nil {
		return nil, e
	}
	return request, nil
}

// pushEvent queues an event that frees a slot and so must not be lost. It waits
// for room in the ring.
func (p *Proxy) pushEvent(e event) {
	for p.events.Push(context.Background(), e) != nil {
		p.cfg.Log.Warn("release of a backend server's slot not queued: the event ring refused it; retrying")
	}
}

// EndWaits refuses the requests that wait for a slot, because the node stops.
func (p *Proxy) EndWaits() { p.pushEvent(waitsEnd{}) }

// completeRequest frees the slot of a request and records whether the backend
// server failed it.
func (p *Proxy) completeRequest(ctx context.Context, slot *slotRequest, resp *core.Response, err error) {
	done := completion{request: slot}
	if err != nil {
		done.err = core.AsError(err)
	}
	// A request that its caller canceled is no failure of the backend server.
	done.backendFailed = ctx.Err() != context.Canceled && isBackendFailure(resp, done.err)
	p.pushEvent(done)
}

// isBackendFailure reports whether the outcome of a request counts as a failure
// of the backend server.
func isBackendFailure(resp *core.Response, err *core.Error) bool {
	if err == nil {
		return resp.Status >= http.StatusInternalServerError
	}
	switch err.Code {
	case core.CodeUnknown, core.CodeDeadline:
		return true
	}
	return err.Code == core.CodeOverloaded && err.ReachedBackend
}

// hungFactor is the multiple of the mean service time for which a request must
// have run, if it passes its deadline without an answer, to count as a failure of
// the backend server. A request that started late does not count.
const hungFactor = 4

// offerRequest passes a slot request to the queue.
func (st *state) offerRequest(request *slotRequest) {
	if request.canceled || !st.startSuspect(request) {
		return
	}
	st.offerToQueue(request)
}

// offerToQueue offers a request to the queue.
func (st *state) offerToQueue(request *slotRequest) {
	st.arrivals++
	if request.key >= 0 {
		st.keys.count(request.key)
	}
	st.counts.offered.Add(1)
	st.adoptLimit(request)
	decision := st.queue.Offer(st.now(), &request.ticket)
	switch decision.Verdict {
	case slotqueue.Admit:
		st.admitAll([]*slotqueue.Ticket{&request.ticket})
	case slotqueue.Refuse:
		st.counts.refused.Add(1)
		detail := "no slot of the backend server becomes free in time"
		if st.limit.perSecond > 0 {
			detail = "the limit that the backend server names, or its slots, leave no room in time"
		}
		if decision.Code == core.CodeBackendDown {
			detail = "the backend server takes no requests"
		}
		request.decision.Send(&core.Error{Code: decision.Code, Detail: detail, RetryAfter: decision.RetryAfter})
		st.endSuspect(request, false)
	}
}

// admitAll grants a slot to each of the tickets. It refuses those of withdrawn
// requests and gives their slots to others.
func (st *state) admitAll(tickets []*slotqueue.Ticket) {
	for len(tickets) > 0 {
		request := tickets[0].CallerData.(*slotRequest)
		tickets = tickets[1:]
		switch {
		case st.sends.isWithdrawn(request.sendID):
			request.decision.Send(core.Fail(core.CodeCanceledNotRun, "the node that sent the request has withdrawn it"))
			tickets = append(tickets, st.queue.Done(st.now(), &request.ticket, false)...)
			st.endSuspect(request, false)
			continue
		case !request.sendID.IsZero():
			st.sends.admit(st.now(), request.sendID)
		}
		if request.stream != nil {
			st.streams[request] = struct{}{}
		}
		request.decision.Send(nil)
	}
}

// refuseAll refuses each of the tickets.
func (st *state) refuseAll(tickets []*slotqueue.Ticket, code core.Code, detail string) {
	for _, t := range tickets {
		request := t.CallerData.(*slotRequest)
		request.decision.Send(core.Fail(code, detail))
		st.endSuspect(request, false)
	}
}

func (m cancellation) apply(st *state) {
	m.request.canceled = true
	delete(st.streams, m.request)
	st.admitAll(st.queue.Cancel(st.now(), &m.request.ticket))
	st.endSuspect(m.request, false)
}

func (waitsEnd) apply(st *state) {
	st.queue.SetOpen(false)
	st.refuseAll(st.queue.Flush(), core.CodeDraining, "the node of the backend server stops")
	st.refuseHeld(core.CodeDraining, "the node of the backend server stops")
}

func (m completion) apply(st *state) {
	delete(st.streams, m.request)
	st.applyStatement(m.request)
	st.admitAll(st.queue.Done(st.now(), &m.request.ticket, m.err == nil))
	startedLate := m.err != nil && m.err.Code == core.CodeDeadline && m.request.ticket.RunTime(st.now()) < hungFactor*st.queue.Stats().MeanServiceTime
	st.failures.Record(st.now(), m.backendFailed && !startedLate)
	if m.request.lost != nil {
		st.noteLost(m.request.lost)
	} else if m.request.answered && m.request.instance == st.run.Holder.Instance {
		st.noteAnswer(m.request.ticket.StartedAt())
	}
	st.endSuspect(m.request, m.request.answered)
	switch {
	case m.err == nil || m.err.ReachedBackend:
		st.refusedDials = 0
		st.answeredSince = st.answeredSince || m.request.instance == st.run.Holder.Instance
	case errors.Is(m.err, syscall.ECONNREFUSED):
		st.refusedDials++
		if st.refusedDials == maxRefusedDials {
			st.suspendRun()
		}
	}
}

func (st *state) tick() {
	st.updateDemand()
	refused, started := st.queue.Expire(st.now())
	st.counts.expired.Add(int64(len(refused)))
	st.refuseAll(refused, core.CodeDeadlineNotRun, "no slot of the backend server became free before the deadline")
	st.admitAll(started)
	if deadline := clock.Instant(st.sendDeadline.Load()); deadline != 0 && !st.now().Before(deadline) {
		st.queue.SetOpen(false)
		st.refuseAll(st.queue.Flush(), core.CodeDraining, "the backend server has left and takes no more requests")
		st.refuseHeld(core.CodeDraining, "the backend server has left and takes no more requests")
	}
	st.endStalledStreams()
	st.checkEvacuation()
	st.checkCold()
	st.checkFormer()
	st.checkReports()
	st.checkUnreachable()
	st.checkCrash()
	st.offerHeld()
	if c := st.cfg.KeyController(); c != nil && st.run.Ready && !st.runAdded {
		st.runAdded = true
		c.AddRun(st.run.Holder, st.assignableSlots())
	}
}

// checkReports marks a run that has stopped reporting as leaving, so that its
// keys are reassigned.
func (st *state) checkReports() {
	silence := st.now().Sub(st.lastReport)
	if st.run.Holder == shards.NoHolder || st.silent || silence < maxMissedReports*st.cfg.ReportInterval {
		return
	}
	st.silent = true
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "quiet_ms": silence.Milliseconds()}).
		Warn("backend server has stopped sending status reports; it gets no new keys")
	if c := st.cfg.KeyController(); c != nil {
		c.MarkSilent(st.run.Holder)
	}
}

func (st *state) notifyRunChange() { st.cfg.OnRunChange(st.run) }
