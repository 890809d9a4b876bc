package owner

import (
	"time"

	"marjoramshore.example/admission"
	"marjoramshore.example/core"
	"marjoramshore.example/health"
	"marjoramshore.example/once"
	"marjoramshore.example/suspect"
)

func (m responseHead) apply(d *duty) {
	if m.x.recorded {
		d.records.table.RecordEnd(m.x.recordID, once.Done, core.OutcomeAnswered, m.status)
		m.x.recorded = false
	}
}

func (m exchangeEnd) apply(d *duty) {
	x := m.x
	if x.ended {
		return
	}
	x.ended = true
	delete(d.inFlight, x)
	now := d.clock.Now()
	switch {
	case m.err == nil:
	case m.err.Code.NotRun():
		d.forgetRecord(x)
	case x.recorded:
		d.records.table.RecordEnd(x.recordID, once.Unknown, core.OutcomeUnknown, 0)
		x.recorded = false
	}
	if x.admitted {
		d.monitor.EndRequest(now, x.knownShort, now.Sub(x.admittedAt), healthResult(m.err))
	}
	if m.err != nil && m.err.Code == core.CodeUnknown {
		d.rememberBroken(x)
	}
	if m.err != nil && (m.err.Code == core.CodeUnknown || m.err.Code == core.CodeBackendDown) {
		d.cfg.RequestProbe()
	}
	d.suspects.Finish(now, x.fingerprint, m.err == nil)
	d.admitAll(d.policy.Done(now, x.admissionID, admissionResult(m.status, m.err)))
}

// admissionResult returns what the end of an exchange means for the admission
// controller.
func admissionResult(status int, err *core.Error) admission.Result {
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

// healthResult returns what the end of an exchange means for the backend
// server's health.
func healthResult(err *core.Error) health.Result {
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

// rememberBroken keeps an exchange whose connection broke, in case the next
// probe finds that the backend server died. An exchange that was admitted
// before the last death was already marked at that death.
func (d *duty) rememberBroken(x *exchange) {
	if x.admittedAt <= d.lastDeathAt {
		return
	}
	if len(d.broken) == maxBrokenExchanges {
		d.broken = d.broken[1:]
	}
	d.broken = append(d.broken, brokenExchange{inflight: inflightMark(x), brokeAt: time.Now()})
}

// inflightMark describes an exchange for the table of suspect requests.
func inflightMark(x *exchange) suspect.InflightRequest {
	return suspect.InflightRequest{Fingerprint: x.fingerprint,
		Note: string(x.req.Service) + " " + x.req.Method + " " + x.req.Path + " key " + x.req.Key}
}

func (m cancellation) apply(d *duty) {
	x := m.x
	x.canceled = true
	if x.ended || x.admissionID == 0 {
		return
	}
	if x.admitted {
		// The request was admitted while the caller canceled it, and was never
		// sent to the backend server.
		exchangeEnd{x: x, err: core.Fail(core.CodeCanceledNotRun, "caller canceled before the request was sent")}.apply(d)
		return
	}
	x.ended = true
	delete(d.inFlight, x)
	d.forgetRecord(x)
	now := d.clock.Now()
	d.suspects.Finish(now, x.fingerprint, false)
	d.admitAll(d.policy.Cancel(now, x.admissionID))
}

func (m leaseUpdate) apply(d *duty) {
	if m.snapshot.Table != d.table {
		d.table = m.snapshot.Table
		d.records.applyTable(d.table, d.cfg.Self, time.Now())
	}
	d.records.restoreReleased(m.snapshot.OwnRanges, time.Now())
}

func (m handOverRequest) apply(d *duty) {
	d.handOvers = append(d.handOvers, m)
	d.finishHandOvers(time.Now())
}

// finishHandOvers replies to the hand-overs whose exchanges have ended or whose
// deadline has passed. Hashes with an exchange in flight stay at this node.
func (d *duty) finishHandOvers(now time.Time) {
	pending := d.handOvers[:0]
	for _, m := range d.handOvers {
		keep := d.busyHashes(m.keyRange)
		if state, reason := d.monitor.State(); state == health.Ejected && reason.Unresponsive() {
			// A frozen or dead backend server completes no exchanges. Another
			// node must serve its keys; the outcome of requests that it may
			// still be running is unknown there.
			keep = nil
		}
		if len(keep) > 0 && now.Before(m.deadline) {
			pending = append(pending, m)
			continue
		}
		m.reply.Send(handOverResult{transfer: d.records.exportRange(m.keyRange, keep), keep: keep})
	}
	d.handOvers = pending
}

// busyHashes returns the hashes in r that have an exchange in flight.
func (d *duty) busyHashes(r core.Range) []core.Hash {
	seen := map[core.Hash]bool{}
	var out []core.Hash
	for x := range d.inFlight {
		if r.Contains(x.keyHash) && !seen[x.keyHash] {
			seen[x.keyHash] = true
			out = append(out, x.keyHash)
		}
	}
	return out
}

func (m recordImport) apply(d *duty) {
	d.records.importTransfer(time.Now(), m.keyRange, m.transfer)
	m.reply.Send(struct{}{})
}

func (m backendDeath) apply(d *duty) {
	var suspects []suspect.InflightRequest
	for x := range d.inFlight {
		if m.probed && x.admitted {
			suspects = append(suspects, inflightMark(x))
		}
	}
	for _, b := range d.broken {
		suspects = append(suspects, b.inflight)
	}
	d.broken = nil
	if !m.probed && len(suspects) == 0 {
		return
	}
	now := d.clock.Now()
	d.lastDeathAt = now
	if len(suspects) == 0 {
		return
	}
	for _, f := range d.suspects.RecordDeath(now, m.id, suspects) {
		d.cfg.OnQuarantine(f)
	}
	d.cfg.OnMarks(d.suspects.Export(now, time.Now(), maxExportedMarks))
}

// maxExportedMarks bounds the marks that are sent to the other nodes of the
// service after a death.
const maxExportedMarks = 256

func (m probeResult) apply(d *duty) { d.monitor.RecordProbe(d.clock.Now(), m.answered, m.healthy) }

func (m command) apply(d *duty) { m.run(d) }
