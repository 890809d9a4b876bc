package backend

import (
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/shards"
)

const (
	// maxRefusedDials is the number of connections refused in a row after which a run
	// counts as unreachable. It may have ended. It may also be full, or leave, and be at
	// work.
	maxRefusedDials = 2
	// minUnreachable is the time after which an answer of an unreachable run makes it
	// reachable again, which bounds how often the other nodes are told.
	minUnreachable = 250 * time.Millisecond
)

// suspendRun records that the present run refuses connections, and refuses the requests
// that wait for it. It may hold its keys and work on requests, so that nobody else gets
// its keys before its holds have ended.
func (st *state) suspendRun() {
	if st.run.Holder == shards.NoHolder || st.run.Unreachable {
		return
	}
	st.counts.unreachable.Add(1)
	st.cfg.Log.WithFields(log.Fields{
		"instance": st.run.Holder.Instance, "running": st.queue.Stats().Running, "waiting": st.queue.Stats().Waiting,
		"leaving": st.run.Leaving, "quiet_ms": st.now().Sub(st.lastReport).Milliseconds(),
	}).Warn("backend server refuses connections; it keeps its keys until its holds end, and gets no requests before it reports or answers")
	st.run.Ready, st.run.Unreachable = false, true
	st.unreachableAt, st.answeredSince = st.now(), false
	st.queue.SetOpen(false)
	st.refuseAll(st.queue.Flush(), core.CodeBackendDown, "the backend server refuses connections")
	st.refuseHeld(core.CodeBackendDown, "the backend server refuses connections")
	if c := st.cfg.KeyController(); c != nil {
		c.MarkUnreachable(st.run.Holder)
	}
	st.notifyRunChange()
}

// checkUnreachable opens the queue again for a run that refused connections and has
// answered a request since.
func (st *state) checkUnreachable() {
	if st.run.Unreachable && !st.run.Leaving && st.answeredSince && st.now().Sub(st.unreachableAt) >= minUnreachable {
		st.resumeRun("answer")
	}
}

// resumeRun opens the queue again for a run that refused connections. sign is what shows
// that it lives.
func (st *state) resumeRun(sign string) {
	st.cfg.Log.WithFields(log.Fields{"instance": st.run.Holder.Instance, "sign": sign, "after_ms": st.now().Sub(st.unreachableAt).Milliseconds()}).
		Info("backend server that refused connections gets requests again")
	st.run.Unreachable, st.refusedDials = false, 0
	st.openRun()
	st.notifyRunChange()
}
