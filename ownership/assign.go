package ownership

import (
	"slices"

	"marjoramshore.example/core"
)

// maxEntries bounds the table: past it, ranges are reassigned whole. 256
// entries of 10 members stay below 30 KB in the store.
const maxEntries = 256

// compactAt is the number of entries above which neighbours are joined.
const compactAt = 96

// assign gives a range to a run; the zero Run leaves it without an owner.
type assign struct {
	rng core.Range
	to  Run
	// keep preserves the token of an adopted lease; zero draws a new one.
	keep core.Token
}

// withMembers returns a copy of t that has exactly the given members. Entries
// of others lose their owner.
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

// apply returns t with the assignments made under version.
func apply(t *core.Table, list []assign, version core.Token) *core.Table {
	out := withMembers(t, t.Members)
	out.Version = version
	for _, a := range list {
		token := version
		if !a.keep.IsZero() {
			token = a.keep
		}
		out.Entries = overlay(out.Entries, core.Entry{Range: a.rng, Owner: indexOf(out, a.to), Token: token})
	}
	out.Entries = merge(out.Entries)
	return out
}

// overlay cuts e.Range out of the entries and inserts e.
func overlay(entries []core.Entry, e core.Entry) []core.Entry {
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

// merge joins neighbours with the same owner and token.
func merge(entries []core.Entry) []core.Entry {
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

// without returns the parts of r outside the given hashes.
func without(r core.Range, hashes []core.Hash) []core.Range {
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

// indexOf returns the position of run among the members, or NoOwner.
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

// widths returns the share of the key space that each run owns in t.
func widths(t *core.Table) map[Run]float64 {
	out := make(map[Run]float64, len(t.Members))
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			out[ownerOf(t, e)] += e.Range.Width()
		}
	}
	return out
}

// spread divides ranges among the targets so that the widths come out even.
// Ties go to the earlier target, so the result is reproducible.
func spread(t *core.Table, ranges []core.Range, targets []Run) []assign {
	if len(targets) == 0 {
		return nil
	}
	w := widths(t)
	ranges = cutFor(ranges, len(targets), maxEntries-len(t.Entries))
	var out []assign
	for _, r := range ranges {
		best := targets[0]
		for _, x := range targets[1:] {
			if w[x] < w[best] {
				best = x
			}
		}
		w[best] += r.Width()
		out = append(out, assign{rng: r, to: best})
	}
	return out
}

// cutFor halves the widest ranges until there are n of them, within budget.
func cutFor(ranges []core.Range, n, budget int) []core.Range {
	out := slices.Clone(ranges)
	for len(out) > 0 && len(out) < n && budget > 0 {
		budget--
		at := 0
		for i, r := range out {
			if r.Hi-r.Lo > out[at].Hi-out[at].Lo {
				at = i
			}
		}
		r := out[at]
		if r.Hi == r.Lo {
			break
		}
		mid := r.Lo + (r.Hi-r.Lo)/2
		out[at] = core.Range{Lo: r.Lo, Hi: mid}
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
