package backend

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/shards"
)

// evacuationShare is the part of the period of an evacuation for which requests are
// still sent to a run whose keys move away. Moves take up to 2.5 s; the rest is left
// for a node that hears of the evacuation late.
const evacuationShare = 0.6

// evacuation is what is known of the evacuation of the data centre.
type evacuation struct {
	// known is set once the node knows whether there is one.
	known bool
	on    bool
}

// evacuationChange says that the evacuation of the data centre has begun or ended.
type evacuationChange struct{ on bool }

// SetEvacuated tells whether operators have the data centre evacuated. While they do,
// the run gets no keys, and after a part of the period no requests.
func (p *Proxy) SetEvacuated(on bool) {
	// Push fails only on a closed ring, while the node ends.
	_ = p.events.Push(context.Background(), evacuationChange{on})
}

func (m evacuationChange) apply(st *state) {
	first := !st.evacuation.known
	st.evacuation.known = true
	if m.on == st.evacuation.on {
		if first {
			st.reopenRun()
		}
		return
	}
	st.evacuation.on = m.on
	st.cfg.Log.WithFields(log.Fields{"evacuated": m.on, "instance": st.run.Holder.Instance, "waiting": st.queue.Stats().Waiting, "running": st.queue.Stats().Running}).
		Info("evacuation of the data centre begins or ends")
	if m.on {
		period := time.Duration(float64(st.cfg.EvacuationPeriod) * evacuationShare)
		st.evacuatedFrom.Store(int64(st.now().Add(period)))
		st.withdrawRun()
		return
	}
	st.evacuatedFrom.Store(0)
	st.suspectCold()
	st.reopenRun()
}

// reopenRun lets the present run take requests again unless it leaves or refuses connections.
func (st *state) reopenRun() {
	if st.run.Holder != shards.NoHolder && !st.run.Leaving && !st.run.Unreachable {
		st.openRun()
		st.notifyRunChange()
	}
}

// withdrawRun announces that the present run takes no requests, and lets its keys move
// to others.
func (st *state) withdrawRun() {
	if st.run.Holder == shards.NoHolder || st.run.Leaving {
		return
	}
	st.run.Ready, st.run.Evacuated = false, true
	if c := st.cfg.KeyController(); c != nil {
		c.MarkSilent(st.run.Holder)
	}
	st.notifyRunChange()
}

// openRun lets the present run take requests, unless its data centre is evacuated or
// may be, or the run may have left.
func (st *state) openRun() {
	st.run.Evacuated = st.evacuation.on
	boundKnown := st.cold.until == 0 || st.cold.boundKnown
	st.run.Ready = st.formerKnown && st.suspectsKnown && boundKnown && st.evacuation.known && !st.evacuation.on
	st.queue.SetOpen(st.run.Ready)
}

// checkEvacuation refuses the requests that still wait once nothing may be sent to an
// evacuated data centre.
func (st *state) checkEvacuation() {
	if from := clock.Instant(st.evacuatedFrom.Load()); from != 0 && !st.now().Before(from) {
		st.queue.SetOpen(false)
		st.refuseAll(st.queue.Flush(), core.CodeDraining, evacuatedDetail)
	}
}

const evacuatedDetail = "the data centre is evacuated; its backend servers take no requests"
