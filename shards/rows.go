package shards

import "slices"

// cut replaces the part of rows inside s by one row for each overlap, changed
// by f. The result is ordered and covers the same keys.
func cut(rows []Row, s Span, f func(*Row)) []Row {
	out := make([]Row, 0, len(rows)+2)
	for _, r := range rows {
		if !r.Overlaps(s) {
			out = append(out, r)
			continue
		}
		if r.From < s.From {
			left := r
			left.To = s.From - 1
			out = append(out, left)
		}
		mid := r
		mid.From, mid.To = max(r.From, s.From), min(r.To, s.To)
		f(&mid)
		out = append(out, mid)
		if r.To > s.To {
			right := r
			right.From = s.To + 1
			out = append(out, right)
		}
	}
	return out
}

// join merges neighbours that differ in nothing but their span. Rows with a
// handover stay apart, because it names the state of exactly that span.
func join(rows []Row) []Row {
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

// complete returns rows that cover all keys, with gaps given to nobody. Rows
// that overlap earlier ones are dropped.
func complete(rows []Row) []Row {
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
