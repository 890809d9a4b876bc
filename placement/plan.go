package placement

import (
	"slices"

	"marjoramshore.example/core"
)

// Reason tells why a range moves.
type Reason string

const (
	// ReasonUnowned is for a range without an owner.
	ReasonUnowned Reason = "unowned"
	// ReasonDrain is for a range of a member whose weight is zero.
	ReasonDrain Reason = "drain"
	// ReasonOverload is for load that an owner holds above its share.
	ReasonOverload Reason = "overload"
	// ReasonIsolate is for a move that separates an oversized hash from all
	// other ranges.
	ReasonIsolate Reason = "isolate"
	// ReasonFill is for load given to a member far below its share.
	ReasonFill Reason = "fill"
	// ReasonReturn is for a hash that is no longer hot and goes back to the
	// owner of the hashes around it.
	ReasonReturn Reason = "return"
)

// Split divides a table entry into parts with the same owner. Parts are in
// ascending order and cover Range.
type Split struct {
	Range core.Range
	Parts []core.Range
}

// Merge joins the adjacent entries of one owner that Range covers.
type Merge struct{ Range core.Range }

// Move gives a range to another member. The range is an entry of the table
// after the plan's splits. From is core.NoOwner for a range without an owner.
// Load is in cost per second.
type Move struct {
	Range    core.Range
	From, To int // indexes into Table.Members
	Load     float64
	Reason   Reason
}

// OversizedHash reports a hash whose load exceeds the share of any member, so
// that no move can help.
type OversizedHash struct {
	Hash core.Hash
	// Member is the index in Table.Members of the owner after the plan's moves.
	Member int
	Load   float64
	// MaxLoad is the load to which the hash must be limited, or zero when the
	// owner can carry it or its capacity is not known.
	MaxLoad float64
}

// Plan is a set of changes to a table. Splits and merges change no owner and
// take effect at once, splits first. Each move then takes its own time.
type Plan struct {
	Splits          []Split
	Merges          []Merge
	Moves           []Move
	OversizedHashes []OversizedHash
	// Imbalance is the greatest ratio of a member's load to its share before
	// the plan.
	Imbalance float64
	// PredictedImbalance is the same ratio after the moves.
	PredictedImbalance float64
	// MinimumImbalance is the least ratio that any assignment can reach, since
	// the hottest hash cannot be divided.
	MinimumImbalance float64
	// MovedSpanFraction is the fraction of the span that the moves transfer.
	MovedSpanFraction float64
	// DeferredMoves counts the attempts to move that were put off because of
	// the limits on moves, table entries or churn.
	DeferredMoves int
}

func (p *Plan) ChangesNothing() bool { return len(p.Splits)+len(p.Merges)+len(p.Moves) == 0 }

// ApplySplitsAndMerges returns the entries of table after the plan's splits and
// merges. Owners do not change. Each part of a split keeps the token of the
// entry, and a merged entry gets the newest token of its parts.
func (p *Plan) ApplySplitsAndMerges(table *core.Table) []core.Entry {
	var out []core.Entry
	for _, e := range table.Entries {
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
		out = mergeEntries(out, m.Range)
	}
	return out
}

// mergeEntries replaces the entries that r covers by one. It returns entries
// unchanged when r does not cover two or more whole entries of one owner.
func mergeEntries(entries []core.Entry, r core.Range) []core.Entry {
	lo := slices.IndexFunc(entries, func(e core.Entry) bool { return e.Range.Lo == r.Lo })
	hi := slices.IndexFunc(entries, func(e core.Entry) bool { return e.Range.Hi == r.Hi })
	if lo < 0 || hi <= lo {
		return entries
	}
	merged := entries[lo]
	merged.Range = r
	for _, e := range entries[lo+1 : hi+1] {
		if e.Owner != merged.Owner {
			return entries
		}
		if merged.Token.Less(e.Token) {
			merged.Token = e.Token
		}
	}
	return slices.Replace(entries, lo, hi+1, merged)
}
