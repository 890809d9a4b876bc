package owner

import (
	"context"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

// settleTime is how long a hand-over waits for exchanges in flight. With the
// transfer and the assignment it must stay within the 50 ms in which a key may
// be unavailable.
const settleTime = 15 * time.Millisecond

// HandOver stops knowing a range and returns its records and the hashes that
// stay because an exchange is in flight.
func (o *Owner) HandOver(ctx context.Context, r core.Range) (once.Transfer, []core.Hash, error) {
	reply := ring.NewReply[handedOver]()
	if err := o.control.Push(ctx, handOver{rng: r, until: time.Now().Add(settleTime), reply: reply}); err != nil {
		return once.Transfer{}, nil, core.Wrap(core.CodeUnavailable, err, "hand-over")
	}
	h, ok := reply.Wait(ctx)
	if !ok {
		return once.Transfer{}, nil, core.Fail(core.CodeUnavailable, "hand-over timed out")
	}
	return h.transfer, h.keep, nil
}

// Accept takes the records of a range that is about to move here. It returns
// once the records are in place.
func (o *Owner) Accept(ctx context.Context, r core.Range, t once.Transfer) error {
	reply := ring.NewReply[struct{}]()
	if err := o.control.Push(ctx, accept{rng: r, transfer: t, reply: reply}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "accept records")
	}
	if _, ok := reply.Wait(ctx); !ok {
		return core.Fail(core.CodeUnavailable, "accept records timed out")
	}
	return nil
}

// BackendDied marks the requests in flight at the death of one run of the
// backend server. When no probe saw that run, only exchanges that broke after
// the last death prove that there was one, and only they are marked.
func (o *Owner) BackendDied(id suspect.DeathID, seen bool) { o.send(died{id, seen}) }

// Probed reports one probe: whether the backend server answered, and whether
// it says that it is healthy.
func (o *Owner) Probed(ok, healthy bool) { o.send(probe{ok, healthy}) }

// Restarted reports a new run of the backend server, which starts cold.
func (o *Owner) Restarted() {
	o.send(query{func(d *duty) {
		d.monitor.RecordRestart(d.clock.Now())
		d.reportHealth()
	}})
}

// PermitEjection tells whether the service may lose this backend server for a
// soft reason.
func (o *Owner) PermitEjection(ok bool) {
	o.send(query{func(d *duty) { d.monitor.PermitEjection(ok) }})
}

// MergeMarks takes the marks of a death at another node.
func (o *Owner) MergeMarks(marks []suspect.Mark) {
	o.send(query{func(d *duty) {
		for _, f := range d.suspects.Merge(d.clock.Now(), time.Now(), marks) {
			d.cfg.Quarantined(f)
		}
	}})
}

// Resize takes new limits from the backend server's announcement.
func (o *Owner) Resize(slots, connections int) {
	o.send(query{func(d *duty) { d.policy.Resize(slots, connections) }})
}

// InFlight returns the number of exchanges that are queued or running.
func (o *Owner) InFlight(ctx context.Context) int {
	n, _ := ask(ctx, o, func(d *duty) int { return len(d.running) })
	return n
}

// Quarantines lists the quarantined requests.
func (o *Owner) Quarantines(ctx context.Context) []suspect.QuarantinedRequest {
	list, _ := ask(ctx, o, func(d *duty) []suspect.QuarantinedRequest { return d.suspects.ListQuarantined(d.clock.Now()) })
	return list
}

// Impose quarantines requests by an operator's order.
func (o *Owner) Impose(f suspect.Fingerprint) {
	o.send(query{func(d *duty) { d.suspects.Quarantine(d.clock.Now(), f, "by an operator") }})
}

// Lift ends a quarantine by an operator's order.
func (o *Owner) Lift(ctx context.Context, f suspect.Fingerprint) bool {
	ok, _ := ask(ctx, o, func(d *duty) bool { return d.suspects.Lift(d.clock.Now(), f) })
	return ok
}

// Stats returns the figures of the owner's side.
func (o *Owner) Stats(ctx context.Context) (Stats, bool) {
	s, ok := ask(ctx, o, func(d *duty) Stats {
		state, reason := d.monitor.State()
		return Stats{Admission: d.policy.Stats(), Once: d.knowledge.table.Stats(), Health: state, HealthReason: reason,
			Refused: d.counts.refused, Duplicates: d.counts.duplicates, Unknown: d.counts.unknown}
	})
	s.Moving = o.moving.Load()
	return s, ok
}

// OfferRing returns the counters of the ring of new requests.
func (o *Owner) OfferRing() ring.Stats { return o.offers.Stats() }

// ControlRing returns the counters of the ring of ends and control messages.
func (o *Owner) ControlRing() ring.Stats { return o.control.Stats() }

// ask runs f on the duty's goroutine and returns its result, or false when ctx
// ends first.
func ask[T any](ctx context.Context, o *Owner, f func(*duty) T) (T, bool) {
	reply := ring.NewReply[T]()
	if err := o.control.Push(ctx, query{func(d *duty) { reply.Send(f(d)) }}); err != nil {
		var zero T
		return zero, false
	}
	return reply.Wait(ctx)
}
