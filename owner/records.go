package owner

import (
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
)

// importValidity is how long imported records of a range that this node does
// not own yet count as complete. If the reply to a hand-over is lost, the former
// owner continues to serve the range. It can lose the range no sooner than the
// promise (1.5 s) less one heartbeat (0.6 s) later. An assignment after
// importValidity is therefore treated as one from a lost owner.
const importValidity = 700 * time.Millisecond

// firstAssignment is the token of the assignment that creates a group. Its keys
// had no owner before, so none of their requests can have run.
var firstAssignment = core.Token{Term: 1, Sequence: 1}

// importedRange is a range, not owned yet, whose records were imported.
type importedRange struct {
	keyRange   core.Range
	importedAt time.Time
}

// ownedRecords keeps the at-most-once table consistent with the ranges that
// this node owns.
type ownedRecords struct {
	table    *once.Table
	owned    []ownership.HeldRange
	imported []importedRange
	released []releasedPiece
}

// releasedPiece is a part of a range whose records were sent to its next owner,
// with the token under which this node owned it.
type releasedPiece struct {
	piece once.Piece
	token core.Token
}

// applyTable compares the node's ranges in a new table with the previous ones.
// A range whose token is unchanged had no other owner in between. A range that
// came without a hand-over was taken from a lost owner: requests issued before
// now may have run there.
func (rec *ownedRecords) applyTable(t *core.Table, self core.Member, wall time.Time) {
	rec.dropExpiredImports(wall)
	next := heldRanges(t, self)
	for _, h := range next {
		uncovered := []core.Range{h.Range}
		for _, o := range rec.owned {
			if o.Token == h.Token {
				uncovered = core.SubtractAll(uncovered, o.Range)
			}
		}
		for _, imp := range rec.imported {
			uncovered = core.SubtractAll(uncovered, imp.keyRange)
		}
		for _, r := range uncovered {
			if h.Token == firstAssignment {
				rec.table.AcquireNew(r)
			} else {
				rec.table.Acquire(r, wall)
			}
		}
	}
	for _, o := range rec.owned {
		lost := []core.Range{o.Range}
		for _, h := range next {
			lost = core.SubtractAll(lost, h.Range)
		}
		for _, imp := range rec.imported {
			lost = core.SubtractAll(lost, imp.keyRange)
		}
		for _, r := range lost {
			rec.table.Release(r)
		}
	}
	rec.owned = next
	rec.dropUnassigned(next)
	for _, h := range next {
		rec.consumeImports(h.Range)
	}
}

// consumeImports invalidates the imports of a range that is now owned, so that
// they do not count if the range is lost and assigned to this node again.
func (rec *ownedRecords) consumeImports(r core.Range) {
	var left []importedRange
	for _, imp := range rec.imported {
		for _, x := range imp.keyRange.Subtract(r) {
			left = append(left, importedRange{keyRange: x, importedAt: imp.importedAt})
		}
	}
	rec.imported = left
}

// dropExpiredImports removes the imports that are older than importValidity.
func (rec *ownedRecords) dropExpiredImports(wall time.Time) {
	kept := rec.imported[:0]
	for _, imp := range rec.imported {
		if wall.Sub(imp.importedAt) < importValidity {
			kept = append(kept, imp)
		}
	}
	rec.imported = kept
}

// importTransfer imports the records of a range that is about to move here. A
// transfer without pieces is an incomplete part; only the last part has pieces.
func (rec *ownedRecords) importTransfer(wall time.Time, r core.Range, t once.Transfer) {
	rec.table.Import(wall, t)
	if len(t.Pieces) == 0 {
		return
	}
	rec.dropExpiredImports(wall)
	rec.imported = append(rec.imported, importedRange{keyRange: r, importedAt: wall})
}

// exportRange releases a range that moves away, except the hashes in keep, and
// returns its records. The range counts as not owned from then on, unless
// restoreReleased finds that the hand-over did not complete.
func (rec *ownedRecords) exportRange(r core.Range, keep []core.Hash) once.Transfer {
	out := rec.table.Export(r)
	left := []core.Range{r}
	for _, h := range keep {
		left = core.SubtractAll(left, core.Range{Lo: h, Hi: h})
	}
	for _, x := range left {
		rec.table.Release(x)
		for _, p := range out.Pieces {
			rec.rememberReleased(p, x)
		}
	}
	return out
}

// rememberReleased keeps the horizon of the part of p that lies in the moving
// range, with the token under which this node owns it.
func (rec *ownedRecords) rememberReleased(p once.Piece, moving core.Range) {
	for _, o := range rec.owned {
		if !p.Range.Overlaps(moving) || !p.Range.Intersect(moving).Overlaps(o.Range) {
			continue
		}
		part := once.Piece{Range: p.Range.Intersect(moving).Intersect(o.Range), Horizon: p.Horizon}
		rec.released = append(rec.released, releasedPiece{piece: part, token: o.Token})
	}
}

// restoreReleased takes back released parts that this node still serves under
// the same token, because the hand-over failed or took longer than the lease
// protocol waits. After a completed hand-over, a range is never served again
// under its old token.
func (rec *ownedRecords) restoreReleased(own []ownership.HeldRange, wall time.Time) {
	for _, h := range own {
		var left []releasedPiece
		for _, part := range rec.released {
			if part.token != h.Token || !part.piece.Range.Overlaps(h.Range) {
				left = append(left, part)
				continue
			}
			back := once.Piece{Range: part.piece.Range.Intersect(h.Range), Horizon: part.piece.Horizon}
			rec.table.Import(wall, once.Transfer{Pieces: []once.Piece{back}})
			for _, x := range part.piece.Range.Subtract(h.Range) {
				left = append(left, releasedPiece{piece: once.Piece{Range: x, Horizon: part.piece.Horizon}, token: part.token})
			}
		}
		rec.released = left
	}
}

// dropUnassigned removes the released parts that are no longer assigned to this
// node under the same token.
func (rec *ownedRecords) dropUnassigned(next []ownership.HeldRange) {
	var left []releasedPiece
	for _, part := range rec.released {
		for _, h := range next {
			if part.token == h.Token && part.piece.Range.Overlaps(h.Range) {
				left = append(left, releasedPiece{piece: once.Piece{Range: part.piece.Range.Intersect(h.Range), Horizon: part.piece.Horizon}, token: part.token})
			}
		}
	}
	rec.released = left
}

// heldRanges returns the ranges that a table assigns to self.
func heldRanges(t *core.Table, self core.Member) []ownership.HeldRange {
	var out []ownership.HeldRange
	if t == nil {
		return out
	}
	selfIndex := t.IndexOf(self)
	for _, e := range t.Entries {
		if selfIndex != core.NoOwner && e.Owner == selfIndex {
			out = append(out, ownership.HeldRange{Range: e.Range, Token: e.Token})
		}
	}
	return out
}
