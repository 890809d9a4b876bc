package owner

import (
	"context"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

// handOverDrainTime is how long a hand-over waits for exchanges in flight. With
// the transfer and the assignment it must fit into the 50 ms for which a key
// may be unavailable.
const handOverDrainTime = 15 * time.Millisecond

// HandOver prepares the move of a range to another node. It waits a short time
// for exchanges in flight, releases the range and returns its at-most-once
// records, and the hashes that stay here because an exchange is still in
// flight.
func (o *Owner) HandOver(ctx context.Context, r core.Range) (once.Transfer, []core.Hash, error) {
	reply := ring.NewReply[handOverResult]()
	if err := o.control.Push(ctx, handOverRequest{keyRange: r, deadline: time.Now().Add(handOverDrainTime), reply: reply}); err != nil {
		return once.Transfer{}, nil, core.Wrap(core.CodeUnavailable, err, "hand-over of a range not started")
	}
	result, ok := reply.Wait(ctx)
	if !ok {
		return once.Transfer{}, nil, core.Fail(core.CodeUnavailable, "hand-over of a range did not finish in time")
	}
	return result.transfer, result.keep, nil
}

// ImportRecords imports the at-most-once records of a range that is about to
// move here. It returns once they are in the table.
func (o *Owner) ImportRecords(ctx context.Context, r core.Range, t once.Transfer) error {
	reply := ring.NewReply[struct{}]()
	if err := o.control.Push(ctx, recordImport{keyRange: r, transfer: t, reply: reply}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "import of the records of a range not started")
	}
	if _, ok := reply.Wait(ctx); !ok {
		return core.Fail(core.CodeUnavailable, "import of the records of a range did not finish in time")
	}
	return nil
}

// RecordBackendDeath marks the requests that were in flight when a run of the
// backend server died. If no probe reached that run (probed is false), only
// exchanges that broke after the last death prove that it existed, and only
// those are marked.
func (o *Owner) RecordBackendDeath(id suspect.DeathID, probed bool) { o.send(backendDeath{id, probed}) }

// RecordProbe records the result of one probe: whether the backend server
// answered, and whether it reported that it is healthy.
func (o *Owner) RecordProbe(answered, healthy bool) { o.send(probeResult{answered, healthy}) }

// RecordBackendRestart records a new run of the backend server, which starts
// cold.
func (o *Owner) RecordBackendRestart() {
	o.send(command{func(d *duty) {
		d.monitor.RecordRestart(d.clock.Now())
		d.reportHealth()
	}})
}

// PermitEjection sets whether the service can do without this backend server,
// so that it may be ejected for a reason that is not hard.
func (o *Owner) PermitEjection(permitted bool) {
	o.send(command{func(d *duty) { d.monitor.PermitEjection(permitted) }})
}

// MergeMarks merges the marks that another node sent after a death of its
// backend server.
func (o *Owner) MergeMarks(marks []suspect.Mark) {
	o.send(command{func(d *duty) {
		for _, f := range d.suspects.Merge(d.clock.Now(), time.Now(), marks) {
			d.cfg.OnQuarantine(f)
		}
	}})
}

// Resize applies the limits that the backend server announced.
func (o *Owner) Resize(slots, connections int) {
	o.send(command{func(d *duty) { d.policy.Resize(slots, connections) }})
}

// InFlight returns the number of exchanges that are queued or running, or zero
// when ctx ends first.
func (o *Owner) InFlight(ctx context.Context) int {
	n, _ := askDuty(ctx, o, func(d *duty) int { return len(d.inFlight) })
	return n
}

// Quarantines returns the quarantined requests, or nil when ctx ends first.
func (o *Owner) Quarantines(ctx context.Context) []suspect.QuarantinedRequest {
	list, _ := askDuty(ctx, o, func(d *duty) []suspect.QuarantinedRequest { return d.suspects.ListQuarantined(d.clock.Now()) })
	return list
}

// Quarantine quarantines the requests with fingerprint f on an operator's
// order.
func (o *Owner) Quarantine(f suspect.Fingerprint) {
	o.send(command{func(d *duty) { d.suspects.Quarantine(d.clock.Now(), f, "by an operator") }})
}

// LiftQuarantine ends a quarantine on an operator's order. It reports whether
// f was quarantined.
func (o *Owner) LiftQuarantine(ctx context.Context, f suspect.Fingerprint) bool {
	ok, _ := askDuty(ctx, o, func(d *duty) bool { return d.suspects.Lift(d.clock.Now(), f) })
	return ok
}

// Stats returns a snapshot of the owner's figures, or false when ctx ends
// first.
func (o *Owner) Stats(ctx context.Context) (Stats, bool) {
	s, ok := askDuty(ctx, o, func(d *duty) Stats {
		state, reason := d.monitor.State()
		return Stats{Admission: d.policy.Stats(), Once: d.records.table.Stats(), Health: state, HealthReason: reason,
			Refused: d.counts.refused, Duplicates: d.counts.duplicates, UnknownOutcomes: d.counts.unknownOutcomes}
	})
	s.WaitingForLease = o.waitingForLease.Load()
	return s, ok
}

// OfferRing returns the counters of the ring that carries new requests.
func (o *Owner) OfferRing() ring.Stats { return o.offers.Stats() }

// ControlRing returns the counters of the ring that carries the ends of
// exchanges and control messages.
func (o *Owner) ControlRing() ring.Stats { return o.control.Stats() }

// askDuty runs f on the duty's goroutine and returns its result, or false when
// ctx ends first.
func askDuty[T any](ctx context.Context, o *Owner, f func(*duty) T) (T, bool) {
	reply := ring.NewReply[T]()
	if err := o.control.Push(ctx, command{func(d *duty) { reply.Send(f(d)) }}); err != nil {
		var zero T
		return zero, false
	}
	return reply.Wait(ctx)
}
