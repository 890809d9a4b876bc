package ownership

import (
	"slices"

	"marjoramshore.example/core"
)

// maxTableEntries bounds the table: from there on, ranges are assigned whole.
// 256 entries of 10 members stay below 30 KB in the store.
const maxTableEntries = 256

// compactAbove is the number of entries above which neighbouring ranges of one
// owner are joined under a new token.
const compactAbove = 96

// assignment gives a range to a run. The zero Run leaves it without an owner.
type assignment struct {
	keyRange core.Range
	to       Run
	// adoptedToken keeps the token of an adopted lease. Zero means that the
	// assignment gets the version of the new table as its token.
	adoptedToken core.Token
}

// withMembers returns a copy of t that has exactly the given members. Entries
// of other members lose their owner.
func withMembers(t *core.Table, members []core.Member) *core.Table {
	out := &core.Table{Group: t.Group, Version: t.Version, Members: members}
	out.Entries = slices.Clone(t.Entries)
	for i, e := range out.Entries {
		if e.Owner != core.NoOwner {
			out.Entries[i].Owner = out.IndexOf(t.Members[e.Owner])
		}
	}
	return out
}

// applyAssignments returns a copy of t under version, changed by the
// assignments.
func applyAssignments(t *core.Table, assignments []assignment, version core.Token) *core.Table {
	out := withMembers(t, t.Members)
	out.Version = version
	for _, a := range assignments {
		token := version
		if !a.adoptedToken.IsZero() {
			token = a.adoptedToken
		}
		out.Entries = replaceRange(out.Entries, core.Entry{Range: a.keyRange, Owner: indexOf(out, a.to), Token: token})
	}
	out.Entries = mergeNeighbours(out.Entries)
	return out
}

// replaceRange returns the entries with e in place of whatever covered e.Range,
// in key order.
func replaceRange(entries []core.Entry, e core.Entry) []core.Entry {
	out := make([]core.Entry, 0, len(entries)+2)
	for _, x := range entries {
		for _, r := range x.Range.Subtract(e.Range) {
			out = append(out, core.Entry{Range: r, Owner: x.Owner, Token: x.Token})
		}
	}
	out = append(out, e)
	slices.SortFunc(out, func(a, b core.Entry) int {
		if a.Range.Lo < b.Range.Lo {
			return -1
		}
		return 1
	})
	return out
}

// mergeNeighbours joins neighbouring entries with the same owner and token.
func mergeNeighbours(entries []core.Entry) []core.Entry {
	out := entries[:0:0]
	for _, e := range entries {
		if n := len(out); n > 0 && out[n-1].Owner == e.Owner && out[n-1].Token == e.Token && out[n-1].Range.Hi+1 == e.Range.Lo {
			out[n-1].Range.Hi = e.Range.Hi
			continue
		}
		out = append(out, e)
	}
	return out
}

// subtractHashes returns the parts of r outside the given hashes.
func subtractHashes(r core.Range, hashes []core.Hash) []core.Range {
	out := []core.Range{r}
	for _, h := range hashes {
		var next []core.Range
		for _, x := range out {
			next = append(next, x.Subtract(core.Range{Lo: h, Hi: h})...)
		}
		out = next
	}
	return out
}

// indexOf returns the position of run among the members, or core.NoOwner.
func indexOf(t *core.Table, run Run) int {
	return slices.IndexFunc(t.Members, func(m core.Member) bool { return RunOf(m) == run })
}

// ownerOf returns the run that owns e in t, or the zero Run.
func ownerOf(t *core.Table, e core.Entry) Run {
	if e.Owner == core.NoOwner {
		return Run{}
	}
	return RunOf(t.Members[e.Owner])
}

// ownedWidths returns the share of the key space that each run owns in t.
func ownedWidths(t *core.Table) map[Run]float64 {
	out := make(map[Run]float64, len(t.Members))
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			out[ownerOf(t, e)] += e.Range.Width()
		}
	}
	return out
}

// spreadRanges divides ranges among the targets so that each owns about the
// same width. Ties go to the earlier target, so the result is reproducible.
func spreadRanges(t *core.Table, ranges []core.Range, targets []Run) []assignment {
	if len(targets) == 0 {
		return nil
	}
	widths := ownedWidths(t)
	ranges = splitWidest(ranges, len(targets), maxTableEntries-len(t.Entries))
	var out []assignment
	for _, r := range ranges {
		best := targets[0]
		for _, x := range targets[1:] {
			if widths[x] < widths[best] {
				best = x
			}
		}
		widths[best] += r.Width()
		out = append(out, assignment{keyRange: r, to: best})
	}
	return out
}

// splitWidest halves the widest ranges until there are n of them, with at most
// budget cuts. It returns them widest first.
func splitWidest(ranges []core.Range, n, budget int) []core.Range {
	out := slices.Clone(ranges)
	for len(out) > 0 && len(out) < n && budget > 0 {
		budget--
		widest := 0
		for i, r := range out {
			if r.Hi-r.Lo > out[widest].Hi-out[widest].Lo {
				widest = i
			}
		}
		r := out[widest]
		if r.Hi == r.Lo {
			break
		}
		mid := r.Lo + (r.Hi-r.Lo)/2
		out[widest] = core.Range{Lo: r.Lo, Hi: mid}
		out = append(out, core.Range{Lo: mid + 1, Hi: r.Hi})
	}
	slices.SortFunc(out, func(a, b core.Range) int {
		if wa, wb := a.Hi-a.Lo, b.Hi-b.Lo; wa > wb {
			return -1
		} else if wa < wb {
			return 1
		}
		return 0
	})
	return out
}
