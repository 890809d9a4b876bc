package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
)

const (
	// maxClockLag bounds by how much a backend server's clock may be slow while
	// it counts a hold. The platform specifies 2%.
	maxClockLag = 0.02
	// holdMargin is the least time between the end of a hold and the end of the
	// lease.
	holdMargin = 20 * time.Millisecond
)

// BackendReport is what a backend server reports of its keys.
type BackendReport struct {
	Holder Holder
	// Ready is false once the run is about to stop.
	Ready bool
	Slots int
	// Demand is as in LeaseRequest.
	Demand float64
	// Holds are the spans that the run holds or still works on.
	Holds []Row
	// Freed are the spans released since the last report that was acknowledged.
	Freed []Row
}

// Grant is the answer to a BackendReport: all rows that the run may hold.
// HoldTime counts from when the run sent the report; zero renews nothing.
type Grant struct {
	Rows     []Row
	HoldTime time.Duration
}

// grantedRow is a row that was granted to the present run.
type grantedRow struct {
	Row
	// holdEnd is the latest instant at which the run's hold ends.
	holdEnd clock.Instant
	// inLastGrant is false once the row was left out of a later grant.
	inLastGrant bool
}

// reportGrants are the rows that were granted in answers to status reports.
type reportGrants struct{ granted []grantedRow }

// mayHold implements grantWay.
func (g *reportGrants) mayHold(s Span) bool {
	return slices.ContainsFunc(g.granted, func(r grantedRow) bool { return r.Overlaps(s) })
}

// leaveAll implements grantWay.
func (g *reportGrants) leaveAll() {
	for i := range g.granted {
		g.granted[i].inLastGrant = false
	}
}

// forget implements grantWay.
func (g *reportGrants) forget() { g.granted = nil }

// dropExpired implements grantWay.
func (g *reportGrants) dropExpired(now clock.Instant) {
	g.granted = slices.DeleteFunc(g.granted, func(r grantedRow) bool { return !now.Before(r.holdEnd) })
}

// usable returns the rows of the last grant.
func (g *reportGrants) usable() []UsableRow {
	rows := make([]UsableRow, 0, len(g.granted))
	for _, r := range g.granted {
		if r.inLastGrant {
			rows = append(rows, UsableRow{r.Row, r.holdEnd})
		}
	}
	return rows
}

// releaseSpan records that the run released a span. Rows of the last grant are
// not affected.
func (m *Member) releaseSpan(s Span, handover string) {
	kept := m.granted[:0:0]
	for _, g := range m.granted {
		if g.inLastGrant || !g.Overlaps(s) || m.calls.mayHold(g.Span) {
			kept = append(kept, g)
			continue
		}
		part := Span{max(g.From, s.From), min(g.To, s.To)}
		m.queueRelease(Release{Span: part, Holder: m.holder, Fence: g.Fence, Handover: handover})
		kept = append(kept, g.subtract(part)...)
	}
	m.granted = kept
}

// subtract returns the parts of g that lie outside s.
func (g grantedRow) subtract(s Span) []grantedRow {
	var out []grantedRow
	if g.From < s.From {
		left := g
		left.To = s.From - 1
		out = append(out, left)
	}
	if g.To > s.To {
		right := g
		right.From = s.To + 1
		out = append(out, right)
	}
	return out
}

// releaseExpired releases rows that were left out of the last grant, whose hold
// has ended, and which the run neither holds nor works on.
func (m *Member) releaseExpired(now clock.Instant, holds []Row) {
	kept := m.granted[:0]
	for _, g := range m.granted {
		if g.inLastGrant || now.Before(g.holdEnd) || overlapsAnyRow(g.Span, holds) || m.calls.mayHold(g.Span) {
			kept = append(kept, g)
			continue
		}
		m.queueRelease(Release{Span: g.Span, Holder: m.holder, Fence: g.Fence})
	}
	m.granted = kept
}

func overlapsAnyRow(s Span, rows []Row) bool {
	for _, r := range rows {
		if s.Overlaps(r.Span) {
			return true
		}
	}
	return false
}

// nextGrant returns and records what the run may hold from now on.
func (m *Member) nextGrant(now clock.Instant, holds []Row) Grant {
	hold := min(m.leaseEnd.Sub(now)-holdMargin, m.maxHold)
	hold = time.Duration(float64(hold) / (1 + maxClockLag))
	if hold <= 0 || m.holder == NoHolder {
		return Grant{}
	}
	rows := selectFitting(m.grantableRows(), holds)
	until := now.Add(time.Duration(float64(hold) * (1 + maxClockLag)))
	m.recordGrant(rows, until)
	return Grant{Rows: rows, HoldTime: hold}
}

const (
	// maxGrantBytes bounds the encoded rows in one answer to a backend server,
	// which accepts 4 KiB.
	maxGrantBytes = 3900
	// rowOverheadBytes is the size of an encoded row without its numbers and
	// its handover: brackets, quotes and commas.
	rowOverheadBytes = 8
)

// encodedSize returns the bytes of an encoded row.
func encodedSize(r Row) int {
	return rowOverheadBytes + countDigits(int64(r.From)) + countDigits(int64(r.To)) + countDigits(r.Fence) + len(r.Handover)
}

// countDigits returns the length of n in decimal, with its sign.
func countDigits(n int64) int {
	count := 1
	if n < 0 {
		count++
	}
	for n /= 10; n != 0; n /= 10 {
		count++
	}
	return count
}

// selectFitting returns the rows that fit into one answer. Rows that the run
// already holds come first. The others are granted after a later report, when
// handovers that were taken no longer use space.
func selectFitting(rows, held []Row) []Row {
	bytesLeft := maxGrantBytes
	out := make([]Row, 0, len(rows))
	others := make([]Row, 0, len(rows))
	for _, r := range rows {
		if !isHeld(&r, held) {
			others = append(others, r)
			continue
		}
		r.Handover = "" // the run has taken it
		bytesLeft -= encodedSize(r)
		out = append(out, r)
	}
	for _, r := range others {
		if bytes := encodedSize(r); bytes <= bytesLeft {
			bytesLeft -= bytes
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return a.From - b.From })
	return out
}

// recordGrant records the rows of a grant, which are sorted and do not overlap.
// Parts of earlier grants that they do not cover stay recorded, because the run
// may still hold them.
func (g *reportGrants) recordGrant(rows []Row, until clock.Instant) {
	next := make([]grantedRow, 0, max(len(g.granted), len(rows)))
	for _, former := range g.granted {
		former.inLastGrant = false
		next = appendUncovered(next, former, rows)
	}
	for _, r := range rows {
		next = append(next, grantedRow{Row: r, holdEnd: until, inLastGrant: true})
	}
	g.granted = next
}

// appendUncovered appends the parts of g that none of the rows covers. The rows
// are sorted and do not overlap.
func appendUncovered(out []grantedRow, g grantedRow, rows []Row) []grantedRow {
	first, _ := slices.BinarySearchFunc(rows, g.From, func(r Row, from int) int { return r.To - from })
	for _, r := range rows[first:] {
		if r.From > g.To {
			break
		}
		if g.From < r.From {
			left := g
			left.To = r.From - 1
			out = append(out, left)
		}
		g.From = r.To + 1
	}
	if g.From <= g.To {
		out = append(out, g)
	}
	return out
}

// isHeld reports whether one held row covers r under the same fence.
func isHeld(r *Row, held []Row) bool {
	for i := range held {
		if h := &held[i]; h.From <= r.From && r.To <= h.To && h.Fence == r.Fence {
			return true
		}
	}
	return false
}
