package shards

import "slices"

// updateSpan applies update to the parts of rows that lie inside span, and
// splits rows at its bounds. The result is sorted and covers the same keys.
func updateSpan(rows []Row, span Span, update func(*Row)) []Row {
	out := make([]Row, 0, len(rows)+2)
	for _, r := range rows {
		if !r.Overlaps(span) {
			out = append(out, r)
			continue
		}
		if r.From < span.From {
			left := r
			left.To = span.From - 1
			out = append(out, left)
		}
		mid := r
		mid.From, mid.To = max(r.From, span.From), min(r.To, span.To)
		update(&mid)
		out = append(out, mid)
		if r.To > span.To {
			right := r
			right.From = span.To + 1
			out = append(out, right)
		}
	}
	return out
}

// mergeRows merges, in place, neighbouring rows that differ only in their span.
// Rows with a handover are not merged, because it names the state of exactly
// that span.
func mergeRows(rows []Row) []Row {
	out := rows[:0]
	for _, r := range rows {
		if n := len(out); n > 0 {
			last := &out[n-1]
			if last.Holder == r.Holder && last.Fence == r.Fence && last.Handover == "" && r.Handover == "" && last.To+1 == r.From {
				last.To = r.To
				continue
			}
		}
		out = append(out, r)
	}
	return out
}

// divideWideRows returns a copy of rows in which those of more than maxWidth keys
// are divided into parts of width keys.
func divideWideRows(rows []Row, maxWidth, width int) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		if r.Width() > maxWidth {
			for r.Width() > width {
				part := r
				part.To = r.From + width - 1
				out = append(out, part)
				r.From = part.To + 1
			}
		}
		out = append(out, r)
	}
	return out
}

// fillGaps returns rows that cover all keys. Gaps become rows without a holder;
// rows that overlap earlier ones or lie outside the keys are dropped.
func fillGaps(rows []Row) []Row {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return a.From - b.From })
	out := make([]Row, 0, len(sorted)+1)
	next := 0
	for _, r := range sorted {
		if r.From < next || r.To < r.From || r.To >= KeyCount {
			continue
		}
		if r.From > next {
			out = append(out, Row{Span: Span{next, r.From - 1}})
		}
		out = append(out, r)
		next = r.To + 1
	}
	if next < KeyCount {
		out = append(out, Row{Span: Span{next, KeyCount - 1}})
	}
	return out
}
