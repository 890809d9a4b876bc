package backend

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
)

const (
	// formerTimeout is how long a process waits after its start for the departures
	// that the former one recorded. A slow store takes 0.9 s for a call. While it is
	// down, a backend server takes requests from then on if it has sent
	// minRunReports; other nodes still know of the departures that they heard of.
	formerTimeout = 2 * time.Second
	// minRunReports is the number of reports that show without the store that a run
	// has not left. A single one may be late.
	minRunReports = 2
	// keepTimeout bounds how long the acknowledgement of a leave waits for its
	// record. The backend server waits for a second.
	keepTimeout = 400 * time.Millisecond
)

// formerDepartures passes on the departures that former processes recorded.
type formerDepartures struct{ departures []fleet.Departure }

// SetFormerDepartures passes on the departures that former processes of the node
// have recorded.
func (p *Proxy) SetFormerDepartures(departures []fleet.Departure) {
	// Push fails only on a closed ring, while the node ends.
	_ = p.events.Push(context.Background(), formerDepartures{departures})
}

func (m formerDepartures) apply(st *state) {
	st.departures = fleet.AddDepartures(m.departures, st.departures...)
	if len(m.departures) > 0 {
		last := m.departures[len(m.departures)-1]
		st.cfg.Log.WithFields(log.Fields{"departures": len(m.departures), "last": last.Instance, "left": last.LeftUnixMs}).
			Info("departures recorded by former processes of this node are known")
	}
	st.admitRun()
}

// checkFormer lets the present run take requests if the departures of former
// processes cannot be read.
func (st *state) checkFormer() {
	if (!st.formerKnown || !st.evacuation.known || !st.suspectsKnown) && st.runReports >= minRunReports && st.now().Sub(st.startedAt) >= formerTimeout {
		st.evacuation.known, st.suspectsKnown = true, true
		st.cfg.Log.WithField("instance", st.run.Holder.Instance).Warn("departures recorded by former processes of this node, evacuations, quarantines, or marks of other nodes cannot be read; the backend server counts as ready")
		st.admitRun()
	}
}

// admitRun decides whether the present run, which reported before the departures of
// former processes were known, is ready or has left.
func (st *state) admitRun() {
	st.formerKnown = true
	if st.run.Holder == shards.NoHolder || st.run.Leaving {
		return
	}
	if d, left := fleet.FindDeparture(st.departures, st.run.Holder.Instance, st.run.Holder.Born); left {
		st.resumeDrain(d)
	} else if !st.run.Ready {
		st.reopenRun()
	}
}

// resumeDrain goes on with the drain of the present run, which a former process
// acknowledged.
func (st *state) resumeDrain(d fleet.Departure) {
	period := SendPeriod(st.cfg.DrainPeriod)
	elapsed := time.Since(time.UnixMilli(d.LeftUnixMs))
	if elapsed < 0 {
		elapsed = period // the time of day went back: the drain may be over
	}
	period = max(0, period-elapsed)
	st.queue.SetOpen(period > 0)
	st.drainFor(period, "it left before this process started")
}

// recordDeparture records that the present run has left. It returns the reply to
// wait for, or nil if departures are not kept.
func (st *state) recordDeparture() *ring.Reply[struct{}] {
	d, left := fleet.FindDeparture(st.departures, st.run.Holder.Instance, st.run.Holder.Born)
	if !left {
		return nil // older than those that are kept
	}
	return st.record(d)
}

// recordUnknown records the departure of a run that has not reported, of which the start
// may be unknown.
func (st *state) recordUnknown(l Leave) *ring.Reply[struct{}] {
	for _, d := range st.departures {
		if d.Covers(l.Instance, l.BornUnixMs) {
			return st.record(d)
		}
	}
	now := time.Now().UnixMilli()
	d := fleet.Departure{Instance: l.Instance, BornUnixMs: now, LeftUnixMs: now}
	if l.BornUnixMs > 0 {
		d.BornUnixMs = l.BornUnixMs
	}
	st.departures = fleet.AddDepartures(st.departures, d)
	st.cfg.Log.WithFields(log.Fields{"instance": l.Instance, "born": l.BornUnixMs, "present": st.run.Holder.Instance}).Info("run of the backend server that has not reported to this process has left")
	return st.record(d)
}

func (st *state) record(d fleet.Departure) *ring.Reply[struct{}] {
	if st.cfg.Departures == nil {
		return nil
	}
	reply := st.cfg.Departures.Record(d)
	return &reply
}

// waitKept waits for the answer to a call of the backend server and, if the call
// tells of a leave, until the leave is kept or keepTimeout has passed.
func (p *Proxy) waitKept(ctx context.Context, reply ring.Reply[Ack]) (Ack, bool) {
	ack, ok := reply.Wait(ctx)
	if !ok || ack.kept == nil {
		return ack, ok
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if _, kept := ack.kept.Wait(ctx); !kept {
		p.cfg.Log.Warn("leave of the backend server acknowledged before it was recorded in the platform's store")
	}
	return ack, true
}
