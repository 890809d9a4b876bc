package shards

import "slices"

// beginWrite withholds the rows that next gives away from their holders, and leases from
// those that have not released them, until the result of the write is known.
func (c *Coordinator) beginWrite(next []Row) {
	c.writePending, c.claimsUnwritten = true, false
	if !c.writeUncertain {
		c.clearWithheld()
	}
	for _, r := range c.record.Rows {
		if r.Holder == NoHolder || !reassigns(next, r) {
			continue
		}
		c.withheldRows = appendReassigned(c.withheldRows, next, r)
		if isReleased(c.memberStates[r.Holder.Node], r) {
			continue
		}
		for _, part := range unreleasedParts(c.memberStates[r.Holder.Node], r) {
			if reassigns(next, part) {
				c.withheldHolders[r.Holder] = true
			}
		}
	}
}

// clearWithheld ends the withholding of rows and leases.
func (c *Coordinator) clearWithheld() {
	c.withheldRows = nil
	clear(c.withheldHolders)
}

// Withheld is what a run does not get because the result of a write that gives its keys
// away is not known.
type Withheld struct {
	// Lease is set if the run gets no lease.
	Lease bool
	// Keys is the number of keys that the run is not granted.
	Keys int
}

// WithheldFrom returns what is withheld from a run now.
func (c *Coordinator) WithheldFrom(h Holder) Withheld {
	w := Withheld{Lease: c.withheldHolders[h]}
	var rows []Row
	for _, r := range c.withheldRows {
		if r.Holder == h {
			rows = append(rows, r)
		}
	}
	// Several writes may give the same keys away.
	slices.SortFunc(rows, func(a, b Row) int { return a.From - b.From })
	next := 0
	for _, r := range rows {
		w.Keys += max(0, r.To+1-max(next, r.From))
		next = max(next, r.To+1)
	}
	return w
}

// isReleased reports whether one release of a member covers a row.
func isReleased(state *memberState, r Row) bool {
	return state != nil && slices.ContainsFunc(state.releases, func(x Release) bool {
		return x.Holder == r.Holder && x.Fence == r.Fence && x.From <= r.From && r.To <= x.To
	})
}

// unreleasedParts returns the parts of a row that a member has not released.
// state is nil if the member has not reported.
func unreleasedParts(state *memberState, r Row) []Row {
	parts := []Row{r}
	if state == nil {
		return parts
	}
	for _, release := range state.releases {
		if release.Holder == r.Holder {
			parts = subtractSpan(parts, release.Span, release.Fence)
		}
	}
	return parts
}

// reassigns reports whether next, which is sorted, gives a part of a row away.
func reassigns(next []Row, r Row) bool {
	return slices.ContainsFunc(overlappingRows(next, r.Span), r.isReassignedBy)
}

// isReassignedBy reports whether a row that shares keys with r has another holder or
// fence.
func (r Row) isReassignedBy(n Row) bool { return n.Holder != r.Holder || n.Fence != r.Fence }

// appendReassigned appends the parts of a row that next, which is sorted, gives away.
func appendReassigned(out, next []Row, r Row) []Row {
	for _, n := range overlappingRows(next, r.Span) {
		if r.isReassignedBy(n) {
			part := r
			part.From, part.To = max(r.From, n.From), min(r.To, n.To)
			out = append(out, part)
		}
	}
	return out
}
