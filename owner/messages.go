package owner

import (
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/core"
	"marjoramshore.example/health"
	"marjoramshore.example/once"
	"marjoramshore.example/suspect"
)

func (m answered) apply(d *duty) {
	if m.x.recorded {
		d.knowledge.table.RecordEnd(m.x.record, once.Done, core.OutcomeAnswered, m.status)
		m.x.recorded = false
	}
}

func (m end) apply(d *duty) {
	x := m.x
	if x.ended {
		return
	}
	x.ended = true
	delete(d.running, x)
	now := d.clock.Now()
	switch {
	case m.err == nil:
	case m.err.Code.NotRun():
		d.forget(x)
	case x.recorded:
		d.knowledge.table.RecordEnd(x.record, once.Unknown, core.OutcomeUnknown, 0)
		x.recorded = false
	}
	if x.started {
		d.monitor.EndRequest(now, x.short, now.Sub(x.letInAt), healthOf(m.err))
	}
	if m.err != nil && m.err.Code == core.CodeUnknown {
		d.remember(x)
	}
	if m.err != nil && (m.err.Code == core.CodeUnknown || m.err.Code == core.CodeBackendDown) {
		d.cfg.ProbeNow()
	}
	d.suspects.Finish(now, x.fingerprint, m.err == nil)
	d.start(d.policy.Done(now, x.id, resultOf(m.status, m.err)))
}

func resultOf(status int, err *core.Error) admission.Result {
	const unavailable = 503
	switch {
	case err != nil && err.Code == core.CodeCanceledNotRun:
		return admission.Abandoned
	case err != nil:
		return admission.Failed
	case status == unavailable:
		return admission.Shed
	default:
		return admission.OK
	}
}

// healthOf tells what the end of an exchange says about the backend server.
func healthOf(err *core.Error) health.Result {
	switch {
	case err == nil:
		return health.OK
	case err.Code == core.CodeBackendDown:
		return health.Refused
	case err.Code == core.CodeUnknown:
		return health.Failed
	default:
		return health.Abandoned
	}
}

// remember keeps an exchange whose connection broke for a death that is
// noticed a moment later. One that was let in before the last death was marked
// at that death.
func (d *duty) remember(x *exchange) {
	if x.letInAt <= d.diedAt {
		return
	}
	if len(d.broken) == maxBroken {
		d.broken = d.broken[1:]
	}
	d.broken = append(d.broken, broken{inflight: inflight(x), at: time.Now()})
}

func inflight(x *exchange) suspect.InflightRequest {
	return suspect.InflightRequest{Fingerprint: x.fingerprint,
		Note: string(x.req.Service) + " " + x.req.Method + " " + x.req.Path + " key " + x.req.Key}
}

func (m cancel) apply(d *duty) {
	x := m.x
	x.canceled = true
	if x.ended || x.id == 0 {
		return
	}
	if x.started {
		// It was let in while the caller left, and was never sent.
		end{x: x, err: core.Fail(core.CodeCanceledNotRun, "caller left")}.apply(d)
		return
	}
	x.ended = true
	delete(d.running, x)
	d.forget(x)
	now := d.clock.Now()
	d.suspects.Finish(now, x.fingerprint, false)
	d.start(d.policy.Cancel(now, x.id))
}

func (m lease) apply(d *duty) {
	if m.snapshot.Table != d.table {
		d.table = m.snapshot.Table
		d.knowledge.follow(d.table, d.cfg.Self, time.Now())
	}
	d.knowledge.resume(m.snapshot.Own, time.Now())
}

func (m handOver) apply(d *duty) {
	d.moves = append(d.moves, m)
	d.finishMoves(time.Now())
}

// finishMoves answers the hand-overs whose exchanges have ended or whose time
// is over. Hashes that are still busy stay with this node.
func (d *duty) finishMoves(now time.Time) {
	left := d.moves[:0]
	for _, m := range d.moves {
		keep := d.busy(m.rng)
		if state, reason := d.monitor.State(); state == health.Ejected && reason.Unresponsive() {
			// A frozen or dead backend server ends nothing. Its keys must be
			// served elsewhere; what it may still run becomes unknown there.
			keep = nil
		}
		if len(keep) > 0 && now.Before(m.until) {
			left = append(left, m)
			continue
		}
		m.reply.Send(handedOver{transfer: d.knowledge.give(m.rng, keep), keep: keep})
	}
	d.moves = left
}

func (d *duty) busy(r core.Range) []core.Hash {
	seen := map[core.Hash]bool{}
	var out []core.Hash
	for x := range d.running {
		if r.Contains(x.hash) && !seen[x.hash] {
			seen[x.hash] = true
			out = append(out, x.hash)
		}
	}
	return out
}

func (m accept) apply(d *duty) {
	d.knowledge.accept(time.Now(), m.rng, m.transfer)
	m.reply.Send(struct{}{})
}

func (m died) apply(d *duty) {
	var list []suspect.InflightRequest
	for x := range d.running {
		if m.seen && x.started {
			list = append(list, inflight(x))
		}
	}
	for _, b := range d.broken {
		list = append(list, b.inflight)
	}
	d.broken = nil
	if !m.seen && len(list) == 0 {
		return
	}
	now := d.clock.Now()
	d.diedAt = now
	if len(list) == 0 {
		return
	}
	for _, f := range d.suspects.RecordDeath(now, m.id, list) {
		d.cfg.Quarantined(f)
	}
	d.cfg.Marked(d.suspects.Export(now, time.Now(), maxMarks))
}

// maxMarks bounds the marks sent to the other nodes of the service at a death.
const maxMarks = 256

func (m probe) apply(d *duty) { d.monitor.RecordProbe(d.clock.Now(), m.ok, m.healthy) }

func (m query) apply(d *duty) { m.f(d) }
