package backend

import (
	"context"
	"math"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/platform"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

// Report takes a status report and returns the answer, or false when the duty
// is too busy to answer in time.
func (s *Server) Report(ctx context.Context, r platform.StatusReport) (Ack, bool) {
	reply := ring.NewReply[Ack]()
	if s.events.Push(ctx, statusReport{r, reply}) != nil {
		return Ack{}, false
	}
	ack, ok := reply.Wait(ctx)
	if !ok || !ack.OK || !ack.Keys {
		return ack, ok
	}
	d := s.cfg.Keys()
	if d == nil {
		return ack, true
	}
	ack.Grant, ok = d.Grant(ctx, shards.BackendReport{
		Holder: s.holder(r), Ready: !r.Leaving, Slots: r.Slots, Holds: r.Held, Freed: r.Freed,
		Demand: math.Float64frombits(s.demand.Load()),
	})
	return ack, ok
}

func (s *Server) holder(r platform.StatusReport) shards.Holder {
	return shards.Holder{Node: s.cfg.Node, Instance: r.Instance, Born: r.StartedUnixMs}
}

// Leave takes the last call of a run.
func (s *Server) Leave(ctx context.Context, instance string) (Ack, bool) {
	reply := ring.NewReply[Ack]()
	if s.events.Push(ctx, left{instance, reply}) != nil {
		return Ack{}, false
	}
	return reply.Wait(ctx)
}

func (m statusReport) apply(st *state) { m.reply.Send(st.report(m.report)) }

// report takes over a status report. Reports of earlier runs and late ones
// change nothing, and are acknowledged so that they are not sent again.
func (st *state) report(r platform.StatusReport) Ack {
	if r.Service != st.cfg.Service {
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "service": r.Service}).Warn("report of another service")
		return Ack{OK: true}
	}
	h := st.holder(r)
	switch {
	case h == st.run.Holder && r.Sequence <= st.sequence:
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "seq": r.Sequence, "newest": st.sequence}).Info("late report")
		return Ack{OK: true}
	case h != st.run.Holder && r.StartedUnixMs < st.run.Holder.Born:
		st.cfg.Log.WithFields(log.Fields{"instance": r.Instance, "born": r.StartedUnixMs, "present": st.run.Holder.Born}).
			Info("report of an earlier run")
		return Ack{OK: true}
	case h != st.run.Holder:
		st.begin(h, r)
	}
	st.sequence, st.reported = r.Sequence, st.now()
	if st.silent {
		st.silent = false
		st.cfg.Log.WithField("instance", r.Instance).Info("backend server reports again")
	}
	st.refused = 0
	if st.run.Slots != r.Slots {
		st.run.Slots = r.Slots
		st.queue.Resize(r.Slots)
		st.changed()
	}
	if r.Leaving {
		st.leave("draining")
	} else if st.run.Gone && !st.run.Leaving {
		st.revive()
	}
	return Ack{OK: true, Keys: r.Sharded}
}

// begin takes a new run over.
func (st *state) begin(h shards.Holder, r platform.StatusReport) {
	old := st.run.Holder
	st.cfg.Log.WithFields(log.Fields{
		"instance": h.Instance, "born": h.Born, "former": old.Instance, "slots": r.Slots, "cold_ms": r.WarmupRemaining.Milliseconds(),
	}).Info("backend server started")
	if d := st.cfg.Keys(); d != nil && old != shards.NoHolder {
		d.Ended(old)
	}
	st.run = Run{Holder: h, Ready: true, Slots: r.Slots}
	st.introduced = false
	st.closing.Store(0)
	st.queue.ResetServiceTimes()
	st.queue.Resize(r.Slots)
	st.queue.SetOpen(true)
	st.changed()
}

// revive takes a run back into use that was taken for ended.
func (st *state) revive() {
	st.run.Gone, st.run.Ready = false, true
	st.queue.SetOpen(true)
	st.changed()
}

// leave begins the drain of the present run. The acknowledgement is the moment
// from which its time counts.
func (st *state) leave(reason string) {
	if st.run.Leaving {
		return
	}
	st.run.Leaving, st.run.Ready = true, false
	st.closing.Store(int64(st.now().Add(max(0, st.cfg.Drain-drainMargin))))
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "reason": reason}).Info("backend server leaves")
	st.changed()
}

func (m left) apply(st *state) {
	m.reply.Send(Ack{OK: true})
	if m.instance != st.run.Holder.Instance {
		return
	}
	st.leave("deregistered")
	if d := st.cfg.Keys(); d != nil {
		d.Silent(st.run.Holder)
	}
}

// Closing returns when requests may no longer be sent to the present run.
func (s *Server) Closing() clock.Instant { return clock.Instant(s.closing.Load()) }
