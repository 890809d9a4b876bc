package shards

import "slices"

// KeyLoad is the part of a run's arriving work that concerns the keys of a span.
type KeyLoad struct {
	Span
	// Share is the part of all arriving work, from 0 to 1.
	Share float64
}

// maxKeyLoads is the number of spans into which the arriving work of a run is
// divided. Each has about the same share, so that a busy key has a span of its own.
const maxKeyLoads = 24

// DivideByLoad divides the keys of the counted requests into spans with about the
// same number of requests. The spans are sorted and do not overlap.
func DivideByLoad(counts map[int]int) []KeyLoad {
	keys := make([]int, 0, len(counts))
	total := 0
	for key, n := range counts {
		keys = append(keys, key)
		total += n
	}
	slices.Sort(keys)
	var out []KeyLoad
	part := 0
	for i, key := range keys {
		if part == 0 {
			out = append(out, KeyLoad{Span: Span{From: key}})
		}
		part += counts[key]
		last := &out[len(out)-1]
		last.To, last.Share = key, float64(part)/float64(total)
		// A busy key ends the span before it, too.
		if part*maxKeyLoads >= total || i+1 < len(keys) && counts[keys[i+1]]*maxKeyLoads >= total {
			part = 0
		}
	}
	return out
}

// movedLoad is the work that follows keys which were moved for their load, until the
// demand of their new holder shows it.
type movedLoad struct {
	Span
	// work is in slots.
	work float64
}

// spansToMove returns the spans of a run that are to be moved to get rid of a part
// of its work, and the shares of the work that they have. The densest ones come
// first, because moving few keys makes few of them unavailable. One span always
// stays, and one that has more than the part stays, since its new holder would be as
// busy.
func spansToMove(loads []KeyLoad, part float64) []KeyLoad {
	order := slices.Clone(loads)
	slices.SortStableFunc(order, func(a, b KeyLoad) int {
		switch da, db := a.Share/float64(a.Width()), b.Share/float64(b.Width()); {
		case da > db:
			return -1
		case da < db:
			return 1
		}
		return 0
	})
	var out []KeyLoad
	left := part
	for _, l := range order {
		if l.Share <= left && len(out) < len(loads)-1 {
			out = append(out, l)
			left -= l.Share
		}
	}
	return out
}
