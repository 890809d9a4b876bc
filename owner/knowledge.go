package owner

import (
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/once"
	"marjoramshore.example/ownership"
)

// importedFor is how long records that arrived ahead of their range count as
// complete. A hand-over whose answer was lost leaves the former owner serving;
// it can lose the range no sooner than the promise (1.5 s) less one heartbeat
// (0.6 s) later. An assignment that comes after importedFor is therefore
// treated like one from a lost owner.
const importedFor = 700 * time.Millisecond

// firstToken is the token of the assignment that creates a group. Nobody owned
// its keys before, so no request can have run unseen.
var firstToken = core.Token{Term: 1, Sequence: 1}

type imported struct {
	rng core.Range
	at  time.Time
}

// knowledge keeps the at-most-once table in step with the ranges that this
// node owns.
type knowledge struct {
	table    *once.Table
	owned    []ownership.HeldRange
	imported []imported
	given    []given
}

// given is a part of a range whose records were sent to its next owner.
type given struct {
	piece once.Piece
	token core.Token
}

// follow compares the node's ranges in a new table with those before. A range
// under an unchanged token had no other owner in between. A range that came
// without a hand-over was taken from a lost owner: knowledge begins now.
func (k *knowledge) follow(t *core.Table, self core.Member, wall time.Time) {
	k.forget(wall)
	next := heldBy(t, self)
	for _, h := range next {
		unknown := []core.Range{h.Range}
		for _, o := range k.owned {
			if o.Token == h.Token {
				unknown = core.SubtractAll(unknown, o.Range)
			}
		}
		for _, m := range k.imported {
			unknown = core.SubtractAll(unknown, m.rng)
		}
		for _, r := range unknown {
			if h.Token == firstToken {
				k.table.AcquireNew(r)
			} else {
				k.table.Acquire(r, wall)
			}
		}
	}
	for _, o := range k.owned {
		gone := []core.Range{o.Range}
		for _, h := range next {
			gone = core.SubtractAll(gone, h.Range)
		}
		for _, m := range k.imported {
			gone = core.SubtractAll(gone, m.rng)
		}
		for _, r := range gone {
			k.table.Release(r)
		}
	}
	k.owned = next
	k.drop(next)
	for _, h := range next {
		k.consume(h.Range)
	}
}

// consume ends the validity of imported records once their range is owned, so
// that a later loss of the range is not mistaken for the same move.
func (k *knowledge) consume(r core.Range) {
	var left []imported
	for _, m := range k.imported {
		for _, x := range m.rng.Subtract(r) {
			left = append(left, imported{rng: x, at: m.at})
		}
	}
	k.imported = left
}

func (k *knowledge) forget(wall time.Time) {
	kept := k.imported[:0]
	for _, m := range k.imported {
		if wall.Sub(m.at) < importedFor {
			kept = append(kept, m)
		}
	}
	k.imported = kept
}

// accept takes the records of a range that is about to be moved here. A
// transfer without pieces is a part of one whose last part is yet to come.
func (k *knowledge) accept(wall time.Time, r core.Range, t once.Transfer) {
	k.table.Import(wall, t)
	if len(t.Pieces) == 0 {
		return
	}
	k.forget(wall)
	k.imported = append(k.imported, imported{rng: r, at: wall})
}

// give returns the records of a range that moves away, without the hashes that
// stay. From here on the range is not known here, until resume finds that the
// hand-over did not complete.
func (k *knowledge) give(r core.Range, keep []core.Hash) once.Transfer {
	out := k.table.Export(r)
	left := []core.Range{r}
	for _, h := range keep {
		left = core.SubtractAll(left, core.Range{Lo: h, Hi: h})
	}
	for _, x := range left {
		k.table.Release(x)
		for _, p := range out.Pieces {
			k.remember(p, x)
		}
	}
	return out
}

// remember keeps the horizon of the part of p inside x, under its token.
func (k *knowledge) remember(p once.Piece, x core.Range) {
	for _, o := range k.owned {
		if !p.Range.Overlaps(x) || !p.Range.Intersect(x).Overlaps(o.Range) {
			continue
		}
		part := once.Piece{Range: p.Range.Intersect(x).Intersect(o.Range), Horizon: p.Horizon}
		k.given = append(k.given, given{piece: part, token: o.Token})
	}
}

// resume takes back what was given away and is served again under the token of
// that time: the hand-over failed, or took longer than the lease protocol
// waits. A range that was released is never served again under its old token.
func (k *knowledge) resume(own []ownership.HeldRange, wall time.Time) {
	for _, h := range own {
		var left []given
		for _, g := range k.given {
			if g.token != h.Token || !g.piece.Range.Overlaps(h.Range) {
				left = append(left, g)
				continue
			}
			back := once.Piece{Range: g.piece.Range.Intersect(h.Range), Horizon: g.piece.Horizon}
			k.table.Import(wall, once.Transfer{Pieces: []once.Piece{back}})
			for _, x := range g.piece.Range.Subtract(h.Range) {
				left = append(left, given{piece: once.Piece{Range: x, Horizon: g.piece.Horizon}, token: g.token})
			}
		}
		k.given = left
	}
}

// drop forgets what was given away and is no longer assigned to this node.
func (k *knowledge) drop(next []ownership.HeldRange) {
	var left []given
	for _, g := range k.given {
		for _, h := range next {
			if g.token == h.Token && g.piece.Range.Overlaps(h.Range) {
				left = append(left, given{piece: once.Piece{Range: g.piece.Range.Intersect(h.Range), Horizon: g.piece.Horizon}, token: g.token})
			}
		}
	}
	k.given = left
}

func heldBy(t *core.Table, self core.Member) []ownership.HeldRange {
	var out []ownership.HeldRange
	if t == nil {
		return out
	}
	me := t.IndexOf(self)
	for _, e := range t.Entries {
		if me != core.NoOwner && e.Owner == me {
			out = append(out, ownership.HeldRange{Range: e.Range, Token: e.Token})
		}
	}
	return out
}
