package core

// Subtract returns the parts of r outside other, in ascending order.
func (r Range) Subtract(other Range) []Range {
	if !r.Overlaps(other) {
		return []Range{r}
	}
	var out []Range
	if r.Lo < other.Lo {
		out = append(out, Range{Lo: r.Lo, Hi: other.Lo - 1})
	}
	if other.Hi < r.Hi {
		out = append(out, Range{Lo: other.Hi + 1, Hi: r.Hi})
	}
	return out
}

// SubtractAll subtracts other from each of the ranges and returns what is left.
func SubtractAll(ranges []Range, other Range) []Range {
	var out []Range
	for _, r := range ranges {
		out = append(out, r.Subtract(other)...)
	}
	return out
}

// Intersect returns the intersection of r and o, which must overlap.
func (r Range) Intersect(o Range) Range {
	return Range{Lo: max(r.Lo, o.Lo), Hi: min(r.Hi, o.Hi)}
}
