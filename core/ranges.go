package core

// Subtract returns the parts of r outside cut, in order.
func (r Range) Subtract(cut Range) []Range {
	if !r.Overlaps(cut) {
		return []Range{r}
	}
	var out []Range
	if r.Lo < cut.Lo {
		out = append(out, Range{Lo: r.Lo, Hi: cut.Lo - 1})
	}
	if cut.Hi < r.Hi {
		out = append(out, Range{Lo: cut.Hi + 1, Hi: r.Hi})
	}
	return out
}

// SubtractAll returns the parts of the ranges outside cut.
func SubtractAll(ranges []Range, cut Range) []Range {
	var out []Range
	for _, r := range ranges {
		out = append(out, r.Subtract(cut)...)
	}
	return out
}

// Intersect returns the common part of two ranges that overlap.
func (r Range) Intersect(o Range) Range {
	return Range{Lo: max(r.Lo, o.Lo), Hi: min(r.Hi, o.Hi)}
}
