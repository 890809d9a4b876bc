package placement

import (
	"slices"

	"marjoramshore.example/core"
)

// Reason tells why a range moves.
type Reason string

// Reasons of moves.
const (
	// ReasonUnowned gives a range without an owner to a member.
	ReasonUnowned Reason = "unowned"
	// ReasonDrain empties a member that takes no work.
	ReasonDrain Reason = "drain"
	// ReasonOverload takes load from an owner above its share.
	ReasonOverload Reason = "overload"
	// ReasonIsolate separates a hash that fills an owner from all other work.
	ReasonIsolate Reason = "isolate"
	// ReasonFill gives load to a member far below its share.
	ReasonFill Reason = "fill"
	// ReasonReturn brings a hash that is no longer hot back to the owner of
	// the hashes around it.
	ReasonReturn Reason = "return"
)

// Split divides an entry of the table into parts with the same owner.
type Split struct {
	Range core.Range
	Parts []core.Range
}

// Merge joins adjacent entries of one owner. Range covers all of them.
type Merge struct{ Range core.Range }

// Move gives a range, after the splits, to another member. From is NoOwner for
// a range without an owner.
type Move struct {
	Range    core.Range
	From, To int // indexes into Table.Members
	Load     float64
	Reason   Reason
}

// OversizedHash reports a hash whose load exceeds what one owner's share allows. No
// move can help it.
type OversizedHash struct {
	Hash  core.Hash
	Owner int
	Load  float64
	// Allowed is the load to which the hash must be limited, or zero when the
	// owner can carry it.
	Allowed float64
}

// Plan is what to change in a table. Splits and merges change no owner and
// take effect at once, splits first; each move then takes its own time.
type Plan struct {
	Splits []Split
	Merges []Merge
	Moves  []Move
	Limits []OversizedHash
	// Imbalance is the greatest ratio of an owner's load to its share now.
	Imbalance float64
	// Predicted is that ratio after the moves.
	Predicted float64
	// Floor is the least ratio that any assignment can reach, because the
	// hottest hash cannot be divided.
	Floor float64
	// KeySpaceMoved is the part of the span that the moves transfer.
	KeySpaceMoved float64
	// Deferred counts moves that wait for the churn budget or for running
	// moves to finish.
	Deferred int
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool { return len(p.Splits)+len(p.Merges)+len(p.Moves) == 0 }

// Divide returns the entries of t after the plan's splits and merges. Owners
// and tokens stay: a part keeps the token of its whole, and a merged entry
// takes the newest token of its parts.
func (p *Plan) Divide(t *core.Table) []core.Entry {
	var out []core.Entry
	for _, e := range t.Entries {
		i := slices.IndexFunc(p.Splits, func(s Split) bool { return s.Range == e.Range })
		if i < 0 {
			out = append(out, e)
			continue
		}
		for _, r := range p.Splits[i].Parts {
			out = append(out, core.Entry{Range: r, Owner: e.Owner, Token: e.Token})
		}
	}
	for _, m := range p.Merges {
		out = joined(out, m.Range)
	}
	return out
}

func joined(entries []core.Entry, r core.Range) []core.Entry {
	lo := slices.IndexFunc(entries, func(e core.Entry) bool { return e.Range.Lo == r.Lo })
	hi := slices.IndexFunc(entries, func(e core.Entry) bool { return e.Range.Hi == r.Hi })
	if lo < 0 || hi <= lo {
		return entries
	}
	whole := entries[lo]
	whole.Range = r
	for _, e := range entries[lo+1 : hi+1] {
		if e.Owner != whole.Owner {
			return entries
		}
		if whole.Token.Less(e.Token) {
			whole.Token = e.Token
		}
	}
	return slices.Replace(entries, lo, hi+1, whole)
}
