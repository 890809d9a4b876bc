package once

import (
	"slices"

	"marjoramshore.example/core"
)

// span is an owned range with the horizon of its knowledge, in ms since the
// epoch. Zero means that nothing is missing.
type span struct {
	r       core.Range
	horizon int64
}

// spans is ordered by range and free of overlaps. Its length is bounded by the
// number of ranges that the owner holds.
type spans struct{ list []span }

func (s *spans) find(h core.Hash) *span {
	i, ok := slices.BinarySearchFunc(s.list, h, func(x span, h core.Hash) int {
		switch {
		case x.r.Hi < h:
			return -1
		case x.r.Lo > h:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return nil
	}
	return &s.list[i]
}

// clear removes r, cutting spans that overlap its ends.
func (s *spans) clear(r core.Range) {
	kept := make([]span, 0, len(s.list)+1)
	for _, x := range s.list {
		if !x.r.Overlaps(r) {
			kept = append(kept, x)
			continue
		}
		if x.r.Lo < r.Lo {
			kept = append(kept, span{core.Range{Lo: x.r.Lo, Hi: r.Lo - 1}, x.horizon})
		}
		if x.r.Hi > r.Hi {
			kept = append(kept, span{core.Range{Lo: r.Hi + 1, Hi: x.r.Hi}, x.horizon})
		}
	}
	s.list = kept
}

// set replaces what is known of r.
func (s *spans) set(r core.Range, horizon int64) {
	s.clear(r)
	i, _ := slices.BinarySearchFunc(s.list, r.Lo, func(x span, lo core.Hash) int {
		if x.r.Lo < lo {
			return -1
		}
		return 1
	})
	s.list = slices.Insert(s.list, i, span{r, horizon})
}

// within returns the parts of the spans that lie inside r.
func (s *spans) within(r core.Range) []span {
	var out []span
	for _, x := range s.list {
		if x.r.Overlaps(r) {
			out = append(out, span{core.Range{Lo: max(x.r.Lo, r.Lo), Hi: min(x.r.Hi, r.Hi)}, x.horizon})
		}
	}
	return out
}
