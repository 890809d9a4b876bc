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
				k.table.Create(r)
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
// stay. From here on the range is not known here.
func (k *knowledge) give(r core.Range, keep []core.Hash) once.Transfer {
	out := k.table.Export(r)
	left := []core.Range{r}
	for _, h := range keep {
		left = core.SubtractAll(left, core.Range{Lo: h, Hi: h})
	}
	for _, x := range left {
		k.table.Release(x)
	}
	return out
}

// restore takes back a range whose hand-over failed.
func (k *knowledge) restore(wall time.Time, t once.Transfer) { k.table.Import(wall, t) }

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
