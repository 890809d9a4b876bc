package shards

import "slices"

// applyReleases returns rows in which what their holders have released has no
// holder any more. Rows are split at the bounds of the releases. The result is
// sorted and covers the same keys.
func applyReleases(rows []Row, releases []Release) []Row {
	byHolder := make(map[Holder][]Release)
	for _, release := range releases {
		byHolder[release.Holder] = append(byHolder[release.Holder], release)
	}
	for _, list := range byHolder {
		slices.SortStableFunc(list, func(a, b Release) int { return a.From - b.From })
	}
	out := make([]Row, 0, len(rows)+2*len(releases))
	for _, r := range rows {
		for _, release := range byHolder[r.Holder] {
			if release.Fence != r.Fence || !release.Overlaps(r.Span) {
				continue
			}
			if r.From < release.From {
				left := r
				left.To = release.From - 1
				out = append(out, left)
			}
			free := r
			free.From, free.To = max(r.From, release.From), min(r.To, release.To)
			free.Holder, free.Handover = NoHolder, release.Handover
			out = append(out, free)
			r.From = free.To + 1
			if r.From > r.To {
				break
			}
		}
		if r.From <= r.To {
			out = append(out, r)
		}
	}
	return out
}

// overlappingRows returns the rows that share a key with a span. The rows are
// sorted and do not overlap.
func overlappingRows(rows []Row, s Span) []Row {
	first, _ := slices.BinarySearchFunc(rows, s.From, func(r Row, from int) int { return r.To - from })
	end := first
	for end < len(rows) && rows[end].From <= s.To {
		end++
	}
	return rows[first:end]
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
