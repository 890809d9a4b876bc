package once

import (
	"slices"

	"marjoramshore.example/core"
)

// ownedRange is an owned range with its horizon in ms since the epoch; see
// Table. Zero means that the records of the range are complete.
type ownedRange struct {
	keys    core.Range
	horizon int64
}

// ownedRanges holds the ranges of an owner in order and without overlaps. Its
// length is bounded by the number of ranges that the owner holds.
type ownedRanges struct{ sorted []ownedRange }

// find returns the owned range that contains h, or nil.
func (s *ownedRanges) find(h core.Hash) *ownedRange {
	i, ok := slices.BinarySearchFunc(s.sorted, h, func(x ownedRange, h core.Hash) int {
		switch {
		case x.keys.Hi < h:
			return -1
		case x.keys.Lo > h:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return nil
	}
	return &s.sorted[i]
}

// clear removes r and cuts owned ranges that overlap its ends.
func (s *ownedRanges) clear(r core.Range) {
	kept := make([]ownedRange, 0, len(s.sorted)+1)
	for _, x := range s.sorted {
		if !x.keys.Overlaps(r) {
			kept = append(kept, x)
			continue
		}
		if x.keys.Lo < r.Lo {
			kept = append(kept, ownedRange{core.Range{Lo: x.keys.Lo, Hi: r.Lo - 1}, x.horizon})
		}
		if x.keys.Hi > r.Hi {
			kept = append(kept, ownedRange{core.Range{Lo: r.Hi + 1, Hi: x.keys.Hi}, x.horizon})
		}
	}
	s.sorted = kept
}

// set adds r with the horizon, in place of what it overlaps.
func (s *ownedRanges) set(r core.Range, horizon int64) {
	s.clear(r)
	i, _ := slices.BinarySearchFunc(s.sorted, r.Lo, func(x ownedRange, lo core.Hash) int {
		if x.keys.Lo < lo {
			return -1
		}
		return 1
	})
	s.sorted = slices.Insert(s.sorted, i, ownedRange{r, horizon})
}

// within returns the parts of the owned ranges that lie inside r.
func (s *ownedRanges) within(r core.Range) []ownedRange {
	var out []ownedRange
	for _, x := range s.sorted {
		if x.keys.Overlaps(r) {
			out = append(out, ownedRange{core.Range{Lo: max(x.keys.Lo, r.Lo), Hi: min(x.keys.Hi, r.Hi)}, x.horizon})
		}
	}
	return out
}
