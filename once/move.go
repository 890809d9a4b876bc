package once

import (
	"time"

	"marjoramshore.example/core"
)

// Piece is a part of a moved range with the horizon of its former owner. A
// zero horizon means that nothing is missing.
type Piece struct {
	Range   core.Range
	Horizon time.Time
}

// Transfer is the knowledge of a range that moves with it.
type Transfer struct {
	Pieces  []Piece
	Records []Record
	// Cursor is the point up to which this transfer is complete.
	Cursor uint64
}

// Export copies the knowledge of a range. The owner must have stopped
// beginning new requests of the range, and releases it before the new owner
// imports the transfer.
//
// A large range is copied in two steps, because its records can take longer
// than a move may last: the new owner learns the records of a first Export
// while the range is still in service, and imports the result of ExportSince.
func (t *Table) Export(r core.Range) Transfer {
	out := t.pieces(r)
	out.Records = t.RecordsIn(r)
	return out
}

// ExportSince is Export without the records that an earlier transfer of the
// range contains and that have not changed.
func (t *Table) ExportSince(r core.Range, earlier Transfer) Transfer {
	out := t.pieces(r)
	for _, x := range earlier.Records {
		if now := t.records.find(x.ID); x.State == Running && now != nil && now.state != Running {
			out.Records = append(out.Records, now.public())
		}
	}
	t.records.since(earlier.Cursor, func(x *record) {
		if r.Contains(x.hash) {
			out.Records = append(out.Records, x.public())
		}
	})
	return out
}

func (t *Table) pieces(r core.Range) Transfer {
	out := Transfer{Cursor: t.records.added}
	for _, s := range t.spans.within(r) {
		p := Piece{Range: s.r}
		if s.horizon > 0 {
			p.Horizon = time.UnixMilli(s.horizon)
		}
		out.Pieces = append(out.Pieces, p)
	}
	return out
}

// RecordsIn copies the records of a range. A former owner sends them once more
// when exchanges end that were in flight during the move; see Learn.
func (t *Table) RecordsIn(r core.Range) []Record {
	var out []Record
	t.records.since(0, func(x *record) {
		if r.Contains(x.hash) {
			out = append(out, x.public())
		}
	})
	return out
}

// Import takes over a range by a planned move. Requests that still run at the
// former owner become unknown.
func (t *Table) Import(wall time.Time, in Transfer) {
	t.observe(wall)
	for _, p := range in.Pieces {
		ms := int64(0)
		if !p.Horizon.IsZero() {
			ms = p.Horizon.UnixMilli()
		}
		t.spans.set(p.Range, max(ms, t.unowned))
	}
	t.MergeRecords(in.Records)
}

// MergeRecords adds records of another owner. A record that is already known changes
// only from unknown to done.
func (t *Table) MergeRecords(in []Record) {
	for _, r := range in {
		x := compact(r)
		if x.state == Running {
			x.state = Unknown
		}
		old := t.records.find(x.id)
		switch {
		case old == nil:
			t.insert(x)
		case old.state == Unknown && x.state == Done:
			old.state, old.outcome, old.status = Done, x.outcome, x.status
		}
	}
}
