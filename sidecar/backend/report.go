package backend

import (
	"context"
	"net/netip"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

// HandleReport takes in a status report and returns the answer, or false if there
// is none before ctx ends.
func (p *Proxy) HandleReport(ctx context.Context, r platform.StatusReport) (Ack, bool) {
	reply := ring.NewReply[Ack]()
	if p.events.Push(ctx, reportCall{r, reply}) != nil {
		return Ack{}, false
	}
	ack, ok := p.waitKept(ctx, reply)
	if !ok || !ack.OK || !ack.Current {
		return ack, ok
	}
	controller := p.cfg.KeyController()
	if controller == nil || !r.Sharded && !controller.GrantsByCall() {
		return ack, true
	}
	ack.Sharded = r.Sharded
	ack.Grant, ok = controller.HandleReport(ctx, shards.BackendReport{
		Holder: p.holderOf(r), Ready: ack.Ready, Slots: ack.Slots, Holds: r.Held, Freed: r.Freed,
		Demand: p.Demand(),
	})
	return ack, ok
}

func (p *Proxy) holderOf(r platform.StatusReport) shards.Holder {
	return shards.Holder{Node: p.cfg.Node, Instance: r.Instance, Born: r.StartedUnixMs}
}

// Leave is the call by which a run deregisters.
type Leave struct {
	Instance string
	// BornUnixMs is the start of the run, or 0 if the call does not tell it.
	BornUnixMs int64
	// CallerGone is set if the caller has closed its connection without waiting for the
	// answer.
	CallerGone bool
}

// HandleLeave takes in the call by which a run deregisters. It returns false if
// there is no answer before ctx ends.
func (p *Proxy) HandleLeave(ctx context.Context, l Leave) (Ack, bool) {
	reply := ring.NewReply[Ack]()
	if p.events.Push(ctx, leaveCall{l, reply}) != nil {
		return Ack{}, false
	}
	return p.waitKept(ctx, reply)
}

func (m reportCall) apply(st *state) { m.reply.Send(st.applyReport(m.report)) }

// applyReport takes in a status report. Reports of earlier runs and reports that
// arrive out of order change nothing, but are acknowledged so that they are not
// sent again.
func (st *state) applyReport(r platform.StatusReport) Ack {
	if field := st.foreignField(r); field != "" {
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "field": field, "service": r.Service, "address": r.Address, "born": r.StartedUnixMs}).
			Warn("status report ignored: it does not describe the backend server beside this node")
		return Ack{OK: true}
	}
	h := st.holderOf(r)
	switch {
	case h == st.run.Holder && r.Sequence <= st.lastSequence:
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "seq": r.Sequence, "newest": st.lastSequence}).Info("status report ignored: it is not newer than the last one of this run")
		return Ack{OK: true}
	case h != st.run.Holder && st.run.Holder != shards.NoHolder && r.StartedUnixMs <= st.run.Holder.Born:
		// Only a later start shows that the present run has ended.
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "born": r.StartedUnixMs, "present": st.run.Holder.Born}).
			Info("status report ignored: it comes from a run of the backend server that did not start after the present one")
		return Ack{OK: true}
	case h != st.run.Holder:
		st.beginRun(h, r)
	}
	st.lastSequence, st.lastReport = r.Sequence, st.now()
	st.reportedAt.Store(int64(st.lastReport))
	st.noteCold(r.WarmupRemaining)
	st.runReports++
	if st.silent {
		st.silent = false
		st.cfg.Log.WithField("instance", r.Instance).Info("backend server sends status reports again")
	}
	st.refusedDials = 0
	if st.run.Slots != r.Slots {
		st.run.Slots = r.Slots
		st.queue.Resize(r.Slots)
		st.notifyRunChange()
	}
	if r.Leaving {
		st.beginDrain("draining")
	} else if st.run.Unreachable && !st.run.Leaving {
		st.resumeRun("report")
	}
	if st.run.Leaving {
		return Ack{OK: true, Current: true, Slots: r.Slots, kept: st.recordDeparture()}
	}
	// Before the departures of the former process are known, the run may have left. One
	// that is not ready because suspect requests or evacuations are not known keeps its
	// keys.
	return Ack{OK: true, Current: st.formerKnown && st.suspectsKnown && st.evacuation.known, Ready: st.run.Ready, Slots: st.assignableSlots()}
}

// foreignField returns the field of a report by which it cannot be from the backend
// server beside the node, or "" if there is none.
func (st *state) foreignField(r platform.StatusReport) string {
	keyController := st.cfg.KeyController()
	switch {
	case r.Service != st.cfg.Service:
		return "service"
	case !sameAddress(r.Address, st.cfg.Address):
		return "address"
	case keyController != nil && !keyController.GrantsByCall() && !r.Sharded:
		return "holds"
	}
	return ""
}

// sameAddress reports whether two texts of the form host:port name one address.
func sameAddress(a, b string) bool {
	x, errA := netip.ParseAddrPort(a)
	y, errB := netip.ParseAddrPort(b)
	if errA != nil || errB != nil {
		return a == b
	}
	return x == y
}

// beginRun replaces the present run by a new one.
func (st *state) beginRun(h shards.Holder, r platform.StatusReport) {
	former := st.run.Holder
	st.recordCrash("a later run reports")
	st.cfg.Log.WithFields(log.Fields{
		"instance": h.Instance, "born": h.Born, "former": former.Instance, "slots": r.Slots, "cold_ms": r.WarmupRemaining.Milliseconds(),
	}).Info("new run of the backend server started")
	if c := st.cfg.KeyController(); c != nil && former != shards.NoHolder {
		c.EndRun(former)
	}
	st.forgetLimit()
	if former != shards.NoHolder {
		st.forgetSent()
	}
	st.setCold(0)
	st.run = Run{Holder: h, Slots: r.Slots}
	st.noteCold(r.WarmupRemaining)
	st.formerMayLeave = former.Instance == h.Instance && !st.deregistered
	st.deregistered = false
	st.runAdded, st.runReports = false, 0
	st.sendDeadline.Store(0)
	st.queue.ResetServiceTimes()
	st.queue.Resize(r.Slots)
	if d, left := fleet.FindDeparture(st.departures, h.Instance, h.Born); left {
		st.resumeDrain(d)
		return
	}
	st.openRun()
	st.notifyRunChange()
}

// SendPeriod returns how long requests may be sent to a run within a drain period.
func SendPeriod(drain time.Duration) time.Duration { return max(0, drain-drainMargin) }

// beginDrain begins the drain of the present run. The drain period counts from
// the report or call, which is acknowledged later, or from an answer in which the
// run says that it leaves.
func (st *state) beginDrain(reason string) {
	if st.run.Leaving {
		return
	}
	d := fleet.Departure{Instance: st.run.Holder.Instance, BornUnixMs: st.run.Holder.Born, LeftUnixMs: time.Now().UnixMilli()}
	st.departures = fleet.AddDepartures(st.departures, d)
	st.drainFor(SendPeriod(st.cfg.DrainPeriod), reason)
}

// drainFor begins the drain of the present run, which takes requests for the period
// given.
func (st *state) drainFor(period time.Duration, reason string) {
	st.run.Leaving, st.run.Ready = true, false
	st.sendDeadline.Store(int64(st.now().Add(period)))
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "reason": reason, "sends_ms": period.Milliseconds()}).
		Info("backend server is leaving; its drain begins")
	if c := st.cfg.KeyController(); c != nil {
		c.MarkLeaving(st.run.Holder)
	}
	st.notifyRunChange()
}

func (m leaveCall) apply(st *state) {
	ack := Ack{OK: true}
	switch {
	case st.isLate(m.Leave):
		st.cfg.Log.WithFields(log.Fields{"instance": m.Instance, "born": m.BornUnixMs, "present": st.run.Holder.Born, "caller_gone": m.CallerGone}).
			Info("leave ignored: it comes from an earlier run of the backend server")
	case m.Instance == st.run.Holder.Instance && m.BornUnixMs <= st.run.Holder.Born:
		st.deregistered = true
		st.beginDrain("deregistered")
		ack.kept = st.recordDeparture()
	default:
		ack.kept = st.recordUnknown(m.Leave)
	}
	m.reply.Send(ack)
}

// isLate reports whether a leave is that of an earlier run with the name of the present
// one. If the call does not tell the start of its run, it is late if the former run has
// not deregistered yet and the caller is gone, as after the end of its process. The
// present run waits for the answer.
func (st *state) isLate(l Leave) bool {
	switch {
	case l.Instance != st.run.Holder.Instance:
		return false
	case l.BornUnixMs > 0:
		return l.BornUnixMs < st.run.Holder.Born
	}
	return l.CallerGone && st.formerMayLeave
}

// SendDeadline returns the instant from which no requests may be sent to the
// present run, or 0 if there is none.
func (p *Proxy) SendDeadline() clock.Instant { return clock.Instant(p.sendDeadline.Load()) }
