package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Member passes the coordinator's rows on to the backend server beside it, in the
// answers to its status reports or, once GrantByCall was called, by calls of its
// own. Its methods must not be called concurrently.
type Member struct {
	service     core.Service
	node        core.NodeID
	incarnation core.Incarnation
	maxHold     time.Duration

	holder Holder
	ready  bool
	// unreachable is set while the present run refuses connections and has not reported
	// since.
	unreachable bool
	// inheritedEnd is when the holds that a former process of the node may have
	// granted to the present run have ended, or 0 before the first check.
	inheritedEnd clock.Instant
	// startedAt is when the member built its first request, and longestLease the longest
	// lease that it has got since.
	startedAt    clock.Instant
	longestLease time.Duration
	// formerFreed are the spans that runs have told to have released while holds of a
	// former process could last.
	formerFreed []Row
	// departed is the last run that told that it leaves.
	departed Holder
	slots    int
	demand   float64
	loads    []KeyLoad

	term        uint64
	rowsVersion uint64
	// leaseEnd is the end of the lease for the present run, or 0 if there was none.
	leaseEnd clock.Instant
	rows     []Row
	// claimTerm is the term for whose coordinator the next requests claim the rows.
	claimTerm uint64

	// byCall selects the way of granting rows. The rows that were granted the
	// other way stay recorded until their holds end.
	byCall bool
	reportGrants
	calls         callGrants
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

// LeaseEnd returns the instant at which the lease for the present run ends, or 0 if
// there was none.
func (m *Member) LeaseEnd() clock.Instant { return m.leaseEnd }

// Term returns the newest term that the member knows of.
func (m *Member) Term() uint64 { return m.term }

// HasReleases reports whether the coordinator has releases to acknowledge, of
// which it should be told at once.
func (m *Member) HasReleases() bool { return len(m.releases) > 0 }

// maxEndedRuns bounds the ended runs that are reported. The keys of older ones
// can be reassigned once their leases have ended.
const maxEndedRuns = 16

// EndRun records that a run has ended and can hold no keys any more. Its rows may be
// given to others at once, so that nothing less than a report of a later run on the
// same VM shows this.
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
		m.replaceRun(NoHolder)
	}
}

// replaceRun sets the present run. A lease is for one run: the coordinator may give away
// the rows of any other one.
func (m *Member) replaceRun(h Holder) {
	m.holder, m.ready, m.unreachable, m.inheritedEnd, m.leaseEnd = h, false, false, 0, 0
	m.formerFreed = nil
	m.forgetGrants()
}

// AddRun sets the present run when its report came before this node followed
// the keys of the service, so that rows can be assigned to it before its next
// report.
func (m *Member) AddRun(h Holder, slots int) {
	if m.holder == NoHolder {
		m.replaceRun(h)
		m.ready, m.slots = h != m.departed, slots
	}
}

// SetLoad sets what the next request tells of the work that callers ask of the run.
func (m *Member) SetLoad(demand float64, loads []KeyLoad) { m.demand, m.loads = demand, loads }

// MarkSilent records that the present run gets no more keys before its next report.
func (m *Member) MarkSilent() { m.ready = false }

// MarkUnreachable records that a run refuses connections. It may live, hold its rows and
// work on them. They are released once its holds have ended without another report.
func (m *Member) MarkUnreachable(h Holder) {
	if m.holder == h && h != NoHolder {
		m.unreachable = true
	}
}

// MarkLeaving records that a run accepts no more keys. A report of it that arrives
// later may be older.
func (m *Member) MarkLeaving(h Holder) {
	m.departed = h
	if m.holder == h {
		m.ready = false
	}
}

// GrantByCall selects whether rows are granted by calls. Rows that the run may
// still hold by the other way are not released before those holds have ended.
func (m *Member) GrantByCall(byCall bool) {
	if m.byCall != byCall {
		m.byCall = byCall
		for _, way := range m.ways() {
			way.leaveAll()
		}
	}
}

// grantWay is a way of granting rows to a run, which remembers what the run may
// hold by it.
type grantWay interface {
	// mayHold reports whether the run may hold a part of a span.
	mayHold(s Span) bool
	// dropExpired forgets the rows that the run can hold no more.
	dropExpired(now clock.Instant)
	// leaveAll makes the rows unusable until they are granted again.
	leaveAll()
	// forget drops all rows, because the run has ended.
	forget()
}

// ways returns both ways of granting rows.
func (m *Member) ways() [2]grantWay { return [2]grantWay{&m.reportGrants, &m.calls} }

// mayHold reports whether the run may hold a part of a span by either way.
func (m *Member) mayHold(s Span) bool { return m.reportGrants.mayHold(s) || m.calls.mayHold(s) }

// forgetGrants drops what was granted to a run that has ended.
func (m *Member) forgetGrants() {
	for _, way := range m.ways() {
		way.forget()
	}
}

// HandleReport takes in a report of the backend server and returns its grant,
// which is empty while rows are granted by calls, and for a run that has ended.
func (m *Member) HandleReport(now clock.Instant, r BackendReport) Grant {
	if slices.Contains(m.endedRuns, r.Holder) {
		return Grant{}
	}
	if r.Holder != m.holder {
		m.EndRun(m.holder)
		m.replaceRun(r.Holder)
	}
	m.unreachable = false
	m.ready, m.slots, m.demand = r.Ready && r.Holder != m.departed, r.Slots, r.Demand
	m.calls.awaitsReport = false
	if m.byCall {
		return Grant{}
	}
	m.calls.dropExpired(now)
	for _, freed := range r.Freed {
		m.releaseSpan(freed.Span, freed.Handover)
	}
	m.releaseExpired(now, r.Holds)
	if m.formerHoldsEnded(now) {
		m.releaseUngranted(r.Holds, append(m.formerFreed, r.Freed...))
		m.formerFreed = nil
	} else {
		m.formerFreed = append(m.formerFreed, r.Freed...)
	}
	return m.nextGrant(now, r.Holds)
}

func (m *Member) queueRelease(release Release) {
	m.lastReleaseID++
	release.ID = m.lastReleaseID
	m.releases = append(m.releases, release)
}

// formerHoldsEnded reports whether all holds have ended that a former process of the node
// may have granted. Until then a report shows nothing of rows that this process has not
// granted, since it may have been sent before the former process granted them.
func (m *Member) formerHoldsEnded(now clock.Instant) bool {
	return m.longestLease > 0 && now.After(m.startedAt.Add(stretchForDrift(m.longestLease)))
}

// releaseUngranted releases recalled rows that this process has not granted, for
// example because the grant had no room for them, or because the former process of
// the node granted them. holds are the spans that the run holds or still works on,
// freed those that it has released, in their order.
func (m *Member) releaseUngranted(holds, freed []Row) {
	for _, r := range m.ungranted() {
		if overlapsAnyRow(r.Span, holds) {
			continue
		}
		release := Release{Span: r.Span, Holder: r.Holder, Fence: r.Fence}
		for _, f := range freed {
			if f.Span == r.Span {
				release.Handover = f.Handover
			}
		}
		m.queueRelease(release)
	}
}

// ungranted returns the recalled rows of the present run that this process has not
// granted and not released.
func (m *Member) ungranted() []Row {
	var out []Row
	for _, r := range m.recalled {
		released := slices.ContainsFunc(m.releases, func(release Release) bool { return release.Overlaps(r.Span) && release.Fence == r.Fence })
		if r.Holder == m.holder && !released && !m.mayHold(r.Span) {
			out = append(out, r)
		}
	}
	return out
}

// ReleaseSilentRun releases the rows of a run that stopped reporting and leaves or is
// unreachable, once all its holds have ended, those granted by a former process of the
// node included. It reports whether it released any.
func (m *Member) ReleaseSilentRun(now clock.Instant) bool {
	if m.holder == NoHolder || m.byCall {
		return false
	}
	if m.inheritedEnd == 0 {
		m.inheritedEnd = now.Add(time.Duration(float64(m.maxHold) * (1 + maxClockLag)))
	}
	if m.ready && !m.unreachable {
		return false
	}
	released := m.releaseGranted(now)
	if now.Before(m.inheritedEnd) {
		return released
	}
	for _, r := range m.ungranted() {
		m.queueRelease(Release{Span: r.Span, Holder: r.Holder, Fence: r.Fence})
		released = true
	}
	return released
}

// releaseGranted releases the rows that this process has granted, once all their
// holds have ended. It reports whether it released any.
func (m *Member) releaseGranted(now clock.Instant) bool {
	if len(m.granted) == 0 {
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

// grantableRows returns the coordinator's rows for the present run except those
// that it has released.
func (m *Member) grantableRows() []Row { return m.withoutReleased(m.rows) }

// withoutReleased returns the parts of rows of the present run that it has not
// released.
func (m *Member) withoutReleased(rows []Row) []Row {
	var out []Row
	for _, r := range rows {
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

// UsableRow is a row for which the run may begin requests until HoldEnd.
type UsableRow struct {
	Row
	HoldEnd clock.Instant
}

// UsableRows returns the rows on which the run may begin requests, sorted by key.
func (m *Member) UsableRows() []UsableRow {
	if m.byCall {
		return m.calls.usable(m.leaseEnd)
	}
	return m.reportGrants.usable()
}

// BuildRequest returns the next request to the coordinator, which is sent at now.
func (m *Member) BuildRequest(now clock.Instant) LeaseRequest {
	if m.startedAt == 0 {
		m.startedAt = now
	}
	return LeaseRequest{
		Service: m.service, Node: m.node, Incarnation: m.incarnation, Term: m.term,
		Holder: m.holder, Ready: m.ready, Unreachable: m.unreachable, Slots: m.slots, Demand: m.demand, Loads: m.loads,
		Freed: append([]Release(nil), m.releases...), Over: append([]Holder(nil), m.endedRuns...), Rows: m.rowsVersion, Claim: m.claim(now),
	}
}

// HandleAnswer takes in the answer to request r, which was sent at sentAt. It reports
// whether the answer came from the present coordinator. A lease for another run than the
// present one has no effect.
func (m *Member) HandleAnswer(sentAt clock.Instant, r LeaseRequest, a LeaseAnswer) bool {
	if a.Term < m.term {
		return false
	}
	if a.Term > m.term {
		m.term, m.rowsVersion = a.Term, 0
	}
	if a.WantsClaim {
		m.claimTerm = a.Term
		return true
	}
	if !a.Coordinator {
		return false
	}
	m.claimTerm = 0
	if a.Version != m.rowsVersion {
		m.rowsVersion, m.rows = a.Version, a.Rows
	}
	m.calls.noteFirstRows(sentAt, r.Holder, append(slices.Clone(m.rows), a.Return...))
	m.recalled = a.Return
	m.dropAcknowledged(a.FreedThrough)
	m.calls.noteLapse(sentAt, m.leaseEnd)
	m.longestLease = max(m.longestLease, a.Lease)
	until := sentAt.Add(a.Lease)
	if r.Holder == m.holder && m.holder != NoHolder && a.Lease > 0 && until.After(m.leaseEnd) {
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
