package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
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

// Member passes the coordinator's rows on to the backend server beside it. Its
// methods must not be called concurrently.
type Member struct {
	service     core.Service
	node        core.NodeID
	incarnation core.Incarnation
	maxHold     time.Duration

	holder Holder
	ready  bool
	slots  int
	demand float64

	term        uint64
	rowsVersion uint64
	leaseEnd    clock.Instant
	rows        []Row

	granted       []grantedRow
	recalled      []Row // rows that the coordinator has recalled
	releases      []Release
	lastReleaseID uint64
	endedRuns     []Holder
}

// NewMember returns a member without a backend server. maxHold bounds the hold
// time of a grant.
func NewMember(service core.Service, node core.NodeID, incarnation core.Incarnation, maxHold time.Duration) *Member {
	return &Member{service: service, node: node, incarnation: incarnation, maxHold: maxHold}
}

// Holder returns the present run of the backend server, or NoHolder.
func (m *Member) Holder() Holder { return m.holder }

// LeaseEnd returns the instant at which the lease ends.
func (m *Member) LeaseEnd() clock.Instant { return m.leaseEnd }

// Term returns the newest term that the member knows of.
func (m *Member) Term() uint64 { return m.term }

// HasReleases reports whether the coordinator has releases to acknowledge, of
// which it should be told at once.
func (m *Member) HasReleases() bool { return len(m.releases) > 0 }

// maxEndedRuns bounds the ended runs that are reported. The keys of older ones
// can be reassigned once their leases have ended.
const maxEndedRuns = 16

// EndRun records that a run has ended and can hold no keys any more.
func (m *Member) EndRun(h Holder) {
	if h == NoHolder {
		return
	}
	for _, o := range m.endedRuns {
		if o == h {
			return
		}
	}
	m.endedRuns = append(m.endedRuns, h)
	if len(m.endedRuns) > maxEndedRuns {
		m.endedRuns = m.endedRuns[1:]
	}
	if m.holder == h {
		m.holder, m.ready, m.granted = NoHolder, false, nil
	}
}

// AddRun sets the present run when its report came before this node followed
// the keys of the service, so that rows can be assigned to it before its next
// report.
func (m *Member) AddRun(h Holder, slots int) {
	if m.holder == NoHolder {
		m.holder, m.ready, m.slots = h, true, slots
	}
}

// MarkLeaving records that the present run accepts no more keys.
func (m *Member) MarkLeaving() { m.ready = false }

// HandleReport takes in a report of the backend server and returns its grant.
func (m *Member) HandleReport(now clock.Instant, r BackendReport) Grant {
	if r.Holder != m.holder {
		m.EndRun(m.holder)
		m.holder, m.granted = r.Holder, nil
		m.endedRuns = slices.DeleteFunc(m.endedRuns, func(h Holder) bool { return h == r.Holder })
	}
	m.ready, m.slots, m.demand = r.Ready, r.Slots, r.Demand
	for _, freed := range r.Freed {
		m.releaseSpan(freed.Span, freed.Handover)
	}
	m.releaseExpired(now, r.Holds)
	m.releaseUngranted()
	return m.nextGrant(now, r.Holds)
}

// releaseSpan records that the run released a span. Rows of the last grant are
// not affected.
func (m *Member) releaseSpan(s Span, handover string) {
	kept := m.granted[:0:0]
	for _, g := range m.granted {
		if g.inLastGrant || !g.Overlaps(s) {
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

func (m *Member) queueRelease(release Release) {
	m.lastReleaseID++
	release.ID = m.lastReleaseID
	m.releases = append(m.releases, release)
}

// releaseExpired releases rows that were left out of the last grant, whose hold
// has ended, and which the run neither holds nor works on.
func (m *Member) releaseExpired(now clock.Instant, holds []Row) {
	kept := m.granted[:0]
	for _, g := range m.granted {
		if g.inLastGrant || now.Before(g.holdEnd) || overlapsAnyRow(g.Span, holds) {
			kept = append(kept, g)
			continue
		}
		m.queueRelease(Release{Span: g.Span, Holder: m.holder, Fence: g.Fence})
	}
	m.granted = kept
}

// releaseUngranted releases recalled rows that were never granted, for example
// because the grant had no room for them.
func (m *Member) releaseUngranted() {
	for _, r := range m.recalled {
		wasGranted := slices.ContainsFunc(m.granted, func(g grantedRow) bool { return g.Overlaps(r.Span) })
		alreadyReleased := slices.ContainsFunc(m.releases, func(release Release) bool { return release.Overlaps(r.Span) && release.Fence == r.Fence })
		if r.Holder == m.holder && !wasGranted && !alreadyReleased {
			m.queueRelease(Release{Span: r.Span, Holder: r.Holder, Fence: r.Fence})
		}
	}
}

// ReleaseSilentRun releases the rows of a leaving run that stopped reporting,
// once all its holds have ended. It reports whether it released any.
func (m *Member) ReleaseSilentRun(now clock.Instant) bool {
	if m.holder == NoHolder || m.ready || len(m.granted) == 0 {
		return false
	}
	for _, g := range m.granted {
		if now.Before(g.holdEnd) {
			return false
		}
	}
	for _, g := range m.granted {
		m.queueRelease(Release{Span: g.Span, Holder: m.holder, Fence: g.Fence})
	}
	m.granted = nil
	return true
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

// grantableRows returns the coordinator's rows for the present run except those
// that it has released.
func (m *Member) grantableRows() []Row {
	var out []Row
	for _, r := range m.rows {
		if r.Holder == m.holder {
			out = append(out, r)
		}
	}
	for _, release := range m.releases {
		var rest []Row
		for _, r := range out {
			if !r.Overlaps(release.Span) || r.Fence > release.Fence {
				rest = append(rest, r)
				continue
			}
			for _, p := range (grantedRow{Row: r}).subtract(release.Span) {
				rest = append(rest, p.Row)
			}
		}
		out = rest
	}
	return out
}

// recordGrant records the rows of a grant, which are sorted and do not overlap.
// Parts of earlier grants that they do not cover stay recorded, because the run
// may still hold them.
func (m *Member) recordGrant(rows []Row, until clock.Instant) {
	next := make([]grantedRow, 0, max(len(m.granted), len(rows)))
	for _, g := range m.granted {
		g.inLastGrant = false
		next = appendUncovered(next, g, rows)
	}
	for _, r := range rows {
		next = append(next, grantedRow{Row: r, holdEnd: until, inLastGrant: true})
	}
	m.granted = next
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

// UsableRows returns the rows on which the run may begin requests, and the end
// of its hold.
func (m *Member) UsableRows() ([]Row, clock.Instant) {
	rows := make([]Row, 0, len(m.granted))
	var until clock.Instant
	for _, g := range m.granted {
		if g.inLastGrant {
			rows = append(rows, g.Row)
			until = g.holdEnd
		}
	}
	return rows, until
}

// BuildRequest returns the next request to the coordinator.
func (m *Member) BuildRequest() LeaseRequest {
	return LeaseRequest{
		Service: m.service, Node: m.node, Incarnation: m.incarnation, Term: m.term,
		Holder: m.holder, Ready: m.ready, Slots: m.slots, Demand: m.demand,
		Freed: append([]Release(nil), m.releases...), Over: append([]Holder(nil), m.endedRuns...), Rows: m.rowsVersion,
	}
}

// HandleAnswer takes in the answer to a request that was sent at sentAt. It
// reports whether the answer came from the present coordinator.
func (m *Member) HandleAnswer(sentAt clock.Instant, a LeaseAnswer) bool {
	if a.Term < m.term {
		return false
	}
	if a.Term > m.term {
		m.term, m.rowsVersion = a.Term, 0
	}
	if !a.Coordinator {
		return false
	}
	if a.Version != m.rowsVersion {
		m.rowsVersion, m.rows = a.Version, a.Rows
	}
	m.recalled = a.Return
	m.dropAcknowledged(a.FreedThrough)
	if until := sentAt.Add(a.Lease); a.Lease > 0 && until.After(m.leaseEnd) {
		m.leaseEnd = until
	}
	return true
}

func (m *Member) dropAcknowledged(throughID uint64) {
	kept := m.releases[:0]
	for _, release := range m.releases {
		if release.ID > throughID {
			kept = append(kept, release)
		}
	}
	m.releases = kept
}
