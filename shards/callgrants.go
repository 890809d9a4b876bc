package shards

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

const (
	// grantTimeout bounds the wait for the answer to a grant. The backend server
	// runs on the same VM and answers within milliseconds.
	grantTimeout = 250 * time.Millisecond
	// maxCallDelay is the longest time after which a call without an answer is
	// carried out.
	maxCallDelay = 12 * time.Second
	// renewBefore is the time before the end of a hold at which it is renewed. It
	// leaves room for three grants without an answer.
	renewBefore = 1200 * time.Millisecond
	// minGrantHold is the shortest hold that is worth a call.
	minGrantHold = 200 * time.Millisecond
	// settlingHold is the hold of a grant that only makes earlier calls without
	// an answer ineffective.
	settlingHold = 300 * time.Millisecond
	// retryPause separates the calls for a row after one that was refused or did
	// not reach the backend server.
	retryPause = 200 * time.Millisecond
	// inheritedFences is the number of fences that are left out after a start,
	// because the former process of the node may have used them in calls that are
	// still to be carried out.
	inheritedFences = 64
)

// callRow is a row of the present run that is granted by calls.
type callRow struct {
	Row
	// fence is the fence of the next grant, from Row.Fence up.
	fence int64
	// usableUntil is the earliest instant at which an answered grant ends, and
	// holdEnd the latest one, by the clock of the backend server.
	usableUntil, holdEnd clock.Instant
	// A call without an answer may have effect until doubtUntil, under a fence of
	// up to doubtFence. An answered grant with a greater fence makes it
	// ineffective.
	doubtUntil clock.Instant
	doubtFence int64
	// granted is set once a grant was sent that may have had effect.
	granted bool
	// leaving is set once the row is to be taken back, taking once that was sent.
	leaving, taking bool
	// lapsed is set if the lease has ended since the coordinator last named the
	// row. The keys may have another holder then, and must not be granted.
	lapsed bool
	// call is the ID of the call that is under way, or 0.
	call uint64
	// retryAt is the instant before which no further call is made.
	retryAt clock.Instant
}

// exhausted reports whether the run has refused all fences of the row. The
// coordinator must assign it again.
func (r *callRow) exhausted() bool { return r.fence >= r.Fence+FencesPerRow }

// inDoubt reports whether a call without an answer may still have effect.
func (r *callRow) inDoubt(now clock.Instant) bool { return now.Before(r.doubtUntil) }

// callGrants are the rows that are granted by calls, sorted by key.
type callGrants struct {
	rows   []callRow
	lastID uint64
	// inheritedFence is the greatest fence of the first rows that the coordinator
	// named. The former process of this node may have granted them; its calls
	// without an answer are carried out before inheritedUntil.
	inheritedFence int64
	inheritedUntil clock.Instant
	// awaitsReport is set once the run may have ended. Another run may listen at
	// its address then, so that no call is made before the next status report.
	awaitsReport bool
}

// noteFirstRows records the first rows that a coordinator named for a run, which
// may be none. An answer to a request without a run says nothing.
func (g *callGrants) noteFirstRows(now clock.Instant, h Holder, rows []Row) {
	if g.inheritedUntil == 0 && h != NoHolder {
		g.inheritedFence, g.inheritedUntil = greatestFence(rows), now.Add(maxCallDelay)
	}
}

// noteLapse records that the lease has ended, if it has.
func (g *callGrants) noteLapse(now, leaseEnd clock.Instant) {
	for i := range g.rows {
		g.rows[i].lapsed = g.rows[i].lapsed || !now.Before(leaseEnd)
	}
}

// mayHold implements grantWay.
func (g *callGrants) mayHold(s Span) bool {
	return slices.ContainsFunc(g.rows, func(r callRow) bool { return r.granted && r.Overlaps(s) })
}

// dropExpired implements grantWay.
func (g *callGrants) dropExpired(now clock.Instant) {
	g.rows = slices.DeleteFunc(g.rows, func(r callRow) bool {
		return r.call == 0 && !now.Before(r.holdEnd) && !r.inDoubt(now)
	})
}

// leaveAll implements grantWay.
func (g *callGrants) leaveAll() {
	for i := range g.rows {
		g.rows[i].leaving = true
	}
}

// forget implements grantWay.
func (g *callGrants) forget() { g.rows, g.awaitsReport = nil, false }

// usable returns the rows on which the run may begin requests. None is usable
// after the end of the lease.
func (g *callGrants) usable(leaseEnd clock.Instant) []UsableRow {
	rows := make([]UsableRow, 0, len(g.rows))
	for _, r := range g.rows {
		if !r.leaving && r.usableUntil != 0 {
			rows = append(rows, UsableRow{r.Row, min(r.usableUntil, leaseEnd)})
		}
	}
	return rows
}

// NextCalls returns calls to the backend server that are due, at most room of
// each kind while none is under way. The caller makes them at once, in any order,
// and passes each outcome to CompleteCall.
func (m *Member) NextCalls(now clock.Instant, room int) []Call {
	if !m.byCall || m.holder == NoHolder {
		return nil
	}
	m.reportGrants.dropExpired(now)
	m.calls.noteLapse(now, m.leaseEnd)
	m.updateCallRows(now)
	m.releaseTakenBack(now)
	m.releaseUngranted(nil, nil)
	if m.calls.awaitsReport {
		return nil
	}
	grants, releases := m.calls.countCalls(room)
	var out []Call
	for _, i := range m.calls.byUrgency() {
		r := &m.calls.rows[i]
		c, ok := m.nextCall(now, r)
		left := &grants
		if c.Kind == ReleaseCall {
			left = &releases
		}
		if !ok || *left == 0 {
			continue
		}
		*left--
		m.calls.lastID++
		c.ID, r.call = m.calls.lastID, m.calls.lastID
		if c.Kind == GrantCall {
			r.granted = true
		} else {
			r.taking = true
		}
		out = append(out, c)
	}
	return out
}

// countCalls returns how many calls of each kind may be added to those under way.
func (g *callGrants) countCalls(room int) (grants, releases int) {
	grants, releases = room, room
	counted := make(map[uint64]bool)
	for _, r := range g.rows {
		if r.call == 0 || counted[r.call] {
			continue
		}
		counted[r.call] = true
		if r.taking {
			releases = max(0, releases-1)
		} else {
			grants = max(0, grants-1)
		}
	}
	return grants, releases
}

// byUrgency returns the indices of the rows in the order of the ends of their
// holds, those without a hold first.
func (g *callGrants) byUrgency() []int {
	order := make([]int, len(g.rows))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(g.rows[a].usableUntil, g.rows[b].usableUntil) })
	return order
}

// updateCallRows makes the rows those that the coordinator assigned to the run,
// and those that are still to be taken back.
func (m *Member) updateCallRows(now clock.Instant) {
	wanted := m.grantableRows()
	next := make([]callRow, 0, len(wanted)+4)
	for _, r := range m.calls.rows {
		next = appendSplit(next, r, wanted, now.Before(m.leaseEnd))
	}
	for _, w := range wanted {
		for _, part := range uncoveredParts(w, next) {
			next = append(next, m.newCallRow(now, part))
		}
	}
	// The former process of the node may have granted a row that is recalled.
	for _, recalled := range m.withoutReleased(m.recalled) {
		for _, part := range uncoveredParts(recalled, next) {
			if r := m.newCallRow(now, part); r.granted {
				r.leaving = true
				next = append(next, r)
			}
		}
	}
	slices.SortFunc(next, func(a, b callRow) int { return a.From - b.From })
	m.calls.rows = next
}

// appendSplit appends the parts of r that lie inside and outside the wanted rows
// with its fence. The latter are to be taken back. A row that a call has begun to
// take back stays so: the coordinator assigns it again under another fence.
// leased is set if the wanted rows are those of a lease that has not ended.
func appendSplit(out []callRow, r callRow, wanted []Row, leased bool) []callRow {
	rest := []Row{r.Row}
	for _, w := range wanted {
		if w.Fence != r.Fence || !w.Overlaps(r.Span) {
			continue
		}
		part := r
		part.From, part.To = max(r.From, w.From), min(r.To, w.To)
		part.leaving = r.taking || r.exhausted()
		part.lapsed = r.lapsed && !leased
		out = append(out, part)
		rest = subtractSpan(rest, part.Span, r.Fence)
	}
	for _, row := range rest {
		part := r
		part.Row, part.leaving = row, true
		out = append(out, part)
	}
	return out
}

// uncoveredParts returns the parts of a wanted row that have no call row. A part
// that the run may hold under another fence is left out until that has ended.
func uncoveredParts(w Row, rows []callRow) []Row {
	parts := []Row{w}
	for _, r := range rows {
		if r.Overlaps(w.Span) {
			parts = subtractSpan(parts, r.Span, w.Fence)
		}
	}
	return parts
}

func (m *Member) newCallRow(now clock.Instant, row Row) callRow {
	r := callRow{Row: row, fence: row.Fence}
	if row.Fence <= m.calls.inheritedFence && now.Before(m.calls.inheritedUntil) {
		r.granted = true
		r.doubtUntil, r.doubtFence = m.calls.inheritedUntil.Add(m.maxHold), row.Fence+inheritedFences-1
	}
	return r
}

// releaseTakenBack releases the rows that were taken back or have ended.
func (m *Member) releaseTakenBack(now clock.Instant) {
	m.calls.rows = slices.DeleteFunc(m.calls.rows, func(r callRow) bool {
		ended := !r.granted || !now.Before(r.holdEnd) && !r.inDoubt(now)
		if !r.leaving || r.call != 0 || !ended || m.reportGrants.mayHold(r.Span) {
			return false
		}
		m.queueRelease(Release{Span: r.Span, Holder: m.holder, Fence: r.Fence})
		return true
	})
}

// nextCall returns the call that is due for a row.
func (m *Member) nextCall(now clock.Instant, r *callRow) (Call, bool) {
	if r.call != 0 || now.Before(r.retryAt) {
		return Call{}, false
	}
	hold := m.longestHold(now)
	c := Call{Span: r.Span, Holder: m.holder, Fence: r.fence, SentAt: now}
	switch doubt := r.inDoubt(now); {
	case r.leaving && !doubt:
		c.Kind, c.Timeout, c.NeedsProof = ReleaseCall, max(grantTimeout, r.holdEnd.Sub(now)), true
		return c, r.granted && now.Before(r.holdEnd)
	case r.leaving:
		hold = min(hold, settlingHold)
	case !doubt && r.usableUntil.Sub(now) >= renewBefore:
		return c, false
	}
	if r.inDoubt(now) {
		c.Fence, c.NeedsProof = max(r.fence, r.doubtFence+1), true
	}
	c.Kind, c.HoldTime, c.Handover, c.Timeout = GrantCall, hold, r.Handover, grantTimeout
	return c, hold >= minGrantHold && !r.lapsed && c.Fence < r.Fence+FencesPerRow
}

// longestHold returns the longest hold that ends within the lease if the grant
// arrives before grantTimeout.
func (m *Member) longestHold(now clock.Instant) time.Duration {
	hold := min(m.leaseEnd.Sub(now)-holdMargin-grantTimeout, m.maxHold)
	return time.Duration(float64(hold) / (1 + maxClockLag)).Truncate(time.Millisecond)
}

// CompleteCall takes in the outcome of a call that NextCalls returned.
func (m *Member) CompleteCall(now clock.Instant, c Call, result CallResult) {
	if c.Holder != m.holder {
		return
	}
	m.calls.awaitsReport = m.calls.awaitsReport || result.Disconnected
	for i := range m.calls.rows {
		r := &m.calls.rows[i]
		if r.call != c.ID {
			continue
		}
		r.call = 0
		if c.Kind == ReleaseCall {
			m.completeRelease(now, r, result)
		} else {
			r.completeGrant(now, c, result.Outcome)
		}
	}
	if c.Kind == ReleaseCall {
		m.calls.rows = slices.DeleteFunc(m.calls.rows, func(r callRow) bool { return r.leaving && !r.granted && r.taking })
	}
}

// completeRelease releases a row that the run has given back.
func (m *Member) completeRelease(now clock.Instant, r *callRow, result CallResult) {
	if result.Outcome != CallDone {
		r.retryAt = now.Add(retryPause)
		return
	}
	m.queueRelease(Release{Span: r.Span, Holder: m.holder, Fence: r.Fence, Handover: result.Handover})
	r.granted = false
}

// completeGrant takes in the outcome of a grant.
func (r *callRow) completeGrant(now clock.Instant, c Call, outcome CallOutcome) {
	lastEnd := func(arrival clock.Instant) clock.Instant {
		return arrival.Add(time.Duration(float64(c.HoldTime) * (1 + maxClockLag)))
	}
	switch outcome {
	case CallDone:
		r.fence = c.Fence
		r.usableUntil = c.SentAt.Add(c.HoldTime)
		r.holdEnd = max(r.holdEnd, lastEnd(now))
		if c.Fence > r.doubtFence {
			r.doubtUntil = 0
		}
	case CallUnanswered:
		r.doubtUntil = max(r.doubtUntil, lastEnd(c.SentAt.Add(maxCallDelay)))
		r.doubtFence = max(r.doubtFence, c.Fence)
		r.retryAt = c.SentAt.Add(c.Timeout)
	case CallFenced:
		// The fence that the run has seen is not in its answer.
		r.usableUntil = 0
		r.fence = r.Fence + 2*(c.Fence-r.Fence) + 1
		r.retryAt = now.Add(retryPause)
	default:
		r.retryAt = now.Add(retryPause)
	}
}
