package backend

import (
	"context"
	"errors"
	"math"
	"net/http"
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
)

const (
	// expireEvery is how often waiting requests are looked through.
	expireEvery = 20 * time.Millisecond
	// missedReports is the number of missing reports after which a run hands
	// its keys on once its holds have ended.
	missedReports = 3
	// refusedDials is the number of refused connections in a row after which a
	// run counts as ended; nothing listens any more at its address.
	refusedDials = 2
	// drainMargin is kept between the last request and the end of a drain.
	drainMargin = 400 * time.Millisecond
)

// offer asks for a slot. The duty answers once.
type offer struct {
	ticket   slotqueue.Ticket
	decision ring.Reply[*core.Error]
}

// event is any other input of the duty.
type event interface{ apply(*state) }

type finished struct {
	o   *offer
	err *core.Error
	// fault is set when the backend server failed the request.
	fault bool
}

type canceled struct{ o *offer }

// statusReport is a status report with the channel of its answer.
type statusReport struct {
	report platform.StatusReport
	reply  ring.Reply[Ack]
}

type left struct {
	instance string
	reply    ring.Reply[Ack]
}

// Ack is the answer to a backend server.
type Ack struct {
	// OK acknowledges the report.
	OK bool
	// Keys reports that the run takes part in the division of keys.
	Keys  bool
	Grant shards.Grant
}

// state is owned by the duty's goroutine.
type state struct {
	*Server
	ctx      context.Context
	queue    *slotqueue.Queue
	faults   dispatch.FailureTracker
	run      Run
	sequence int64
	reported clock.Instant
	silent   bool
	refused  int
	// introduced is set once the key duty knows of the run.
	introduced bool
	arrivals   int
	counted    clock.Instant
}

const (
	// demandEvery is the interval at which the demand is measured.
	demandEvery = 250 * time.Millisecond
	// demandWeight is the weight of one interval; the average follows a change
	// within about 1.7 s.
	demandWeight = 0.15
	// maxDemand bounds one interval, since refused callers come again.
	maxDemand = 3
)

// measure updates the demand: the work that arrived, as a part of what the
// slots can do.
func (st *state) measure() {
	now := st.now()
	since := now.Sub(st.counted)
	q := st.queue.Stats()
	if since < demandEvery || q.Slots == 0 {
		return
	}
	work := float64(st.arrivals) * q.Service.Seconds()
	d := min(work/(since.Seconds()*float64(q.Slots)), maxDemand)
	old := math.Float64frombits(st.demand.Load())
	st.demand.Store(math.Float64bits(old + demandWeight*(d-old)))
	st.arrivals, st.counted = 0, now
}

// Run runs the duty until ctx ends.
func (s *Server) Run(ctx context.Context) {
	st := &state{Server: s, ctx: ctx, queue: slotqueue.New()}
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			st.tick()
		case <-s.offered.Ready():
			if o, ok := s.offered.Pop(); ok {
				st.offer(o)
			}
		case <-s.events.Ready():
			if e, ok := s.events.Pop(); ok {
				e.apply(st)
			}
		}
		st.publish()
	}
}

func (st *state) now() clock.Instant { return st.cfg.Clock.Now() }

func (st *state) publish() {
	q := st.queue.Stats()
	u := fleet.Usage{Running: q.Running, Waiting: q.Waiting, MeanServiceTime: q.Service, FailedShare: st.faults.FailedShare(st.now())}
	if *st.load.Load() != u {
		st.load.Store(&u)
	}
}

// admit asks the duty for a slot and waits for it.
func (s *Server) admit(ctx context.Context, req *core.Request) (*offer, error) {
	now := s.cfg.Clock.Now()
	at := func(t time.Time) clock.Instant {
		if t.IsZero() {
			return 0
		}
		return now.Add(time.Until(t))
	}
	o := &offer{
		ticket:   slotqueue.Ticket{Class: req.Route, Priority: req.Priority, Target: at(req.Target), Due: at(req.Deadline)},
		decision: ring.NewReply[*core.Error](),
	}
	o.ticket.Ref = o
	if s.offered.Push(ctx, o) != nil {
		return nil, core.Fail(core.CodeOverloaded, "too many requests wait for the duty")
	}
	e, ok := o.decision.Wait(ctx)
	if !ok {
		s.free(canceled{o})
		return nil, core.EndedNotRun(ctx)
	}
	if e != nil {
		return nil, e
	}
	return o, nil
}

// free queues an event that must not be lost, since it frees a slot.
func (s *Server) free(e event) {
	for s.events.Push(context.Background(), e) != nil {
		s.cfg.Log.Warn("backend duty behind")
	}
}

func (s *Server) done(ctx context.Context, o *offer, resp *core.Response, err error) {
	f := finished{o: o}
	if err != nil {
		f.err = core.AsError(err)
	}
	// A caller that left says nothing about the backend server.
	f.fault = ctx.Err() != context.Canceled && failed(resp, f.err)
	s.free(f)
}

// failed reports whether the backend server failed a request.
func failed(resp *core.Response, err *core.Error) bool {
	if err == nil {
		return resp.Status >= http.StatusInternalServerError
	}
	switch err.Code {
	case core.CodeUnknown, core.CodeDeadline:
		return true
	}
	return err.Code == core.CodeOverloaded && err.Arrived
}

// hung is how many times the mean service time a request without an answer ran
// before its deadline counts against the backend server. One that started late
// does not.
const hung = 4

func (st *state) offer(o *offer) {
	st.arrivals++
	d := st.queue.Offer(st.now(), &o.ticket)
	switch d.Verdict {
	case slotqueue.Admit:
		o.decision.Send(nil)
	case slotqueue.Refuse:
		o.decision.Send(&core.Error{Code: d.Code, Detail: "no slot in time", RetryAfter: d.RetryAfter})
	}
}

func (st *state) start(list []*slotqueue.Ticket) {
	for _, t := range list {
		t.Ref.(*offer).decision.Send(nil)
	}
}

func (st *state) refuse(list []*slotqueue.Ticket, code core.Code, detail string) {
	for _, t := range list {
		t.Ref.(*offer).decision.Send(core.Fail(code, detail))
	}
}

func (m canceled) apply(st *state) { st.start(st.queue.Cancel(st.now(), &m.o.ticket)) }

func (m finished) apply(st *state) {
	st.start(st.queue.Done(st.now(), &m.o.ticket, m.err == nil))
	late := m.err != nil && m.err.Code == core.CodeDeadline && m.o.ticket.Ran(st.now()) < hung*st.queue.Stats().Service
	st.faults.Record(st.now(), m.fault && !late)
	switch {
	case m.err == nil:
		st.refused = 0
	case errors.Is(m.err, syscall.ECONNREFUSED):
		st.refused++
		if st.refused == refusedDials {
			st.end("connections refused")
		}
	}
}

func (st *state) tick() {
	st.measure()
	refused, started := st.queue.Expire(st.now())
	st.refuse(refused, core.CodeDeadlineNotRun, "no slot before the deadline")
	st.start(started)
	if at := clock.Instant(st.closing.Load()); at != 0 && !st.now().Before(at) {
		st.queue.Open(false)
		st.refuse(st.queue.Flush(), core.CodeDraining, "backend server has left")
	}
	st.watchReports()
	if d := st.cfg.Keys(); d != nil && st.run.Ready && !st.introduced {
		st.introduced = true
		d.AddRun(st.run.Holder, st.run.Slots)
	}
}

// watchReports hands the keys of a run on that no longer reports.
func (st *state) watchReports() {
	quiet := st.now().Sub(st.reported)
	if st.run.Holder == shards.NoHolder || st.silent || quiet < missedReports*st.cfg.ReportEvery {
		return
	}
	st.silent = true
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "quiet_ms": quiet.Milliseconds()}).
		Warn("backend server does not report")
	if d := st.cfg.Keys(); d != nil {
		d.MarkLeaving(st.run.Holder)
	}
}

// end records that the present run is over.
func (st *state) end(reason string) {
	if st.run.Holder == shards.NoHolder || st.run.Gone {
		return
	}
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "reason": reason}).Info("backend server ended")
	st.run.Ready, st.run.Gone = false, true
	st.queue.Open(false)
	st.refuse(st.queue.Flush(), core.CodeBackendDown, "backend server ended")
	if d := st.cfg.Keys(); d != nil {
		d.EndRun(st.run.Holder)
	}
	st.changed()
}

func (st *state) changed() { st.cfg.Changed(st.run) }
