package once

import (
	"time"

	"marjoramshore.example/core"
)

// Piece is a part of a moved range with the horizon of its former owner. A zero
// horizon means that the records are complete.
type Piece struct {
	Range   core.Range
	Horizon time.Time
}

// Transfer holds the records of a range and their horizons, which move with the
// range to another owner.
type Transfer struct {
	Pieces  []Piece
	Records []Record
	// Cursor is the point up to which the transfer holds all records. It is
	// meaningful only to the table that exported it.
	Cursor uint64
}

// Export copies the records of a range with their horizons. The owner must have
// stopped beginning new requests of the range, and must release it before the
// new owner imports the transfer.
//
// A large range is copied in two steps, because copying its records can take
// longer than a move may last. The new owner merges the records of a first
// Export while the range is still served, and imports the result of
// ExportSince.
func (t *Table) Export(r core.Range) Transfer {
	out := t.exportPieces(r)
	out.Records = t.RecordsIn(r)
	return out
}

// ExportSince is Export without the records that an earlier transfer of the
// range holds and that have not changed since.
func (t *Table) ExportSince(r core.Range, earlier Transfer) Transfer {
	out := t.exportPieces(r)
	for _, x := range earlier.Records {
		if now := t.records.find(x.ID); x.State == Running && now != nil && now.state != Running {
			out.Records = append(out.Records, now.toRecord())
		}
	}
	t.records.eachSince(earlier.Cursor, func(x *record) {
		if r.Contains(x.hash) {
			out.Records = append(out.Records, x.toRecord())
		}
	})
	return out
}

// exportPieces returns a transfer of the range without its records.
func (t *Table) exportPieces(r core.Range) Transfer {
	out := Transfer{Cursor: t.records.added}
	for _, s := range t.owned.within(r) {
		p := Piece{Range: s.keys}
		if s.horizon > 0 {
			p.Horizon = time.UnixMilli(s.horizon)
		}
		out.Pieces = append(out.Pieces, p)
	}
	return out
}

// RecordsIn copies the records of a range. A former owner sends them again when
// exchanges end that were in flight during the move; see MergeRecords.
func (t *Table) RecordsIn(r core.Range) []Record {
	var out []Record
	t.records.eachSince(0, func(x *record) {
		if r.Contains(x.hash) {
			out = append(out, x.toRecord())
		}
	})
	return out
}

// Import takes over a range in a planned move. Requests that are still running
// at the former owner become Unknown.
func (t *Table) Import(wall time.Time, in Transfer) {
	t.observeWall(wall)
	for _, p := range in.Pieces {
		ms := int64(0)
		if !p.Horizon.IsZero() {
			ms = p.Horizon.UnixMilli()
		}
		t.owned.set(p.Range, max(ms, t.unownedHorizon))
	}
	t.MergeRecords(in.Records)
}

// MergeRecords adds records of another owner. Running ones become Unknown. A
// record that is already known changes only from Unknown to Done.
func (t *Table) MergeRecords(in []Record) {
	for _, r := range in {
		x := compactRecord(r)
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
