package shards

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// memberState is what the coordinator knows of one member.
type memberState struct {
	node        core.NodeID
	incarnation core.Incarnation
	// former are the last processes of the node that reported before this one.
	former []core.Incarnation
	// claimed is set once the claim of the member's process was taken in.
	claimed bool
	holder  Holder
	ready   bool
	// unreachable is as in LeaseRequest.
	unreachable bool
	slots       int
	demand      float64
	loads       []KeyLoad
	// readySince is when the present run first reported that it is ready. It is
	// meaningful only while ready is set.
	readySince clock.Instant
	// leaseEnds holds, for each run beside the member, the instant at which the
	// leases issued for it have ended. A run that is missing got none from this
	// coordinator.
	leaseEnds map[Holder]clock.Instant
	// lastRequestAt is when the last request arrived.
	lastRequestAt clock.Instant
	releases      []Release
	endedRuns     []Holder
	// recalled are rows that the member has been asked to return.
	recalled []Row
	// rowsVersion counts changes of the rows that the member may hold. sentRows
	// are those of this version.
	rowsVersion uint64
	sentRows    []Row
}

// Coordinator assigns the keys of one service. Its methods must not be called
// concurrently.
type Coordinator struct {
	timing      Timing
	node        core.NodeID
	incarnation core.Incarnation

	// fencesPerRow is the number of fences, from that of a row up, which a member
	// may use for the row.
	fencesPerRow int64

	active   bool
	stopping bool
	record   Assignment
	// rowsByHolder holds the rows of record by holder, NoHolder included.
	rowsByHolder map[Holder][]Row
	// claims are the rows that members have claimed in this term, the last ones at
	// claimedAt. claimsUnwritten is set while the stored record lacks some.
	claims          []Row
	claimedAt       clock.Instant
	claimsUnwritten bool

	revision    uint64
	confirmedAt clock.Instant
	tookOverAt  clock.Instant
	// earlierLeasesEnd is when every lease of earlier coordinators has ended.
	earlierLeasesEnd clock.Instant
	memberStates     map[core.NodeID]*memberState
	membersChangedAt clock.Instant // last change of the set of ready members
	balanceCheckedAt clock.Instant // last check of the balance
	recallSeenAt     clock.Instant // last time at which recalled rows were outstanding
	// movedLoads are the spans that were recalled for their load and have no
	// holder yet.
	movedLoads []movedLoad
	// reclaims are what runs lose in the assignment that Plan returned last.
	reclaims     []Reclaim
	writePending bool
	// withheldRows are the rows that writes without a known result give away. Such a
	// row may have another holder at any moment, so that its holder in record is not
	// granted it any more.
	withheldRows []Row
	// withheldHolders are the runs from which a write that is under way takes
	// keys that they have not released. They get no lease, whether or not their
	// member has reported them before.
	withheldHolders map[Holder]bool
	// writeUncertain is set while a write whose answer is missing may still
	// take effect. Leases that it withholds stay withheld until a later write
	// or read shows the result.
	writeUncertain bool
	// unreadSince is the instant of a failed write, or 0. The record is read
	// after it and before the next write, because the failed write may have
	// changed it.
	unreadSince clock.Instant
}

// NewCoordinator returns a coordinator without authority. TakeOver gives it
// authority.
func NewCoordinator(timing Timing, node core.NodeID, incarnation core.Incarnation) *Coordinator {
	return &Coordinator{timing: timing, node: node, incarnation: incarnation, memberStates: make(map[core.NodeID]*memberState), withheldHolders: make(map[Holder]bool)}
}

// GrantByCall selects whether members grant rows by calls and use up to
// FencesPerRow fences for a row.
func (c *Coordinator) GrantByCall(byCall bool) {
	c.fencesPerRow = 1
	if byCall {
		c.fencesPerRow = FencesPerRow
	}
}

// Active reports whether this node is the coordinator.
func (c *Coordinator) Active() bool { return c.active }

// Record returns the last confirmed assignment and its revision.
func (c *Coordinator) Record() (Assignment, uint64) { return c.record, c.revision }

// FormerState says what is known of the former coordinator at a takeover.
type FormerState uint8

// States of a former coordinator.
const (
	// FormerUnknown means that it may still issue leases until its authority
	// ends.
	FormerUnknown FormerState = iota
	// FormerEnded means that it has ended, or has confirmed that it issues no
	// more leases.
	FormerEnded
	// FormerNone means that there was none.
	FormerNone
)

// TakeOver makes this node the coordinator after its write of record was
// confirmed. The write was sent at sentAt and confirmed at now.
// earlierLeasesEnded is that of the record before the write: unless it is set,
// leases of coordinators before the former one may still be valid.
func (c *Coordinator) TakeOver(sentAt, now clock.Instant, record Assignment, revision uint64, former FormerState, earlierLeasesEnded bool) {
	c.active, c.stopping, c.writePending, c.writeUncertain, c.unreadSince = true, false, false, false, 0
	c.claims, c.claimsUnwritten = nil, false
	c.setRecord(record, revision)
	c.confirmedAt, c.tookOverAt, c.membersChangedAt = sentAt, now, now
	c.memberStates = make(map[core.NodeID]*memberState)
	c.clearWithheld()
	switch {
	case former == FormerNone:
		c.earlierLeasesEnd = now
	case former == FormerEnded && earlierLeasesEnded:
		c.earlierLeasesEnd = now.Add(stretchForDrift(c.timing.Lease))
	default:
		c.earlierLeasesEnd = now.Add(stretchForDrift(c.timing.Authority + c.timing.Lease))
	}
}

// StepDown ends the coordinator's authority at once.
func (c *Coordinator) StepDown() { c.active = false }

// MarkStopping records that this node is about to end, so that another node
// takes over while this one still issues leases.
func (c *Coordinator) MarkStopping() { c.stopping = true }

// Stopping reports whether another node should take over.
func (c *Coordinator) Stopping() bool { return c.stopping }

// UnconfirmedFor returns the time since the start of the last confirmed access
// to the record.
func (c *Coordinator) UnconfirmedFor(now clock.Instant) time.Duration { return now.Sub(c.confirmedAt) }

// ObserveRecord takes in a record that was read from the store by a call sent
// at sentAt. It reports whether this node is still the coordinator.
func (c *Coordinator) ObserveRecord(sentAt clock.Instant, record Assignment, revision uint64) bool {
	if !c.active {
		return false
	}
	if record.Term != c.record.Term || record.Incarnation != c.incarnation {
		c.active = false
		return false
	}
	if sentAt.After(c.confirmedAt) {
		c.confirmedAt = sentAt
	}
	if sentAt.After(c.unreadSince) {
		c.unreadSince = 0
	}
	if revision > c.revision && !c.writePending {
		c.adoptRecord(record, revision)
	}
	return true
}

// adoptRecord takes in a newer confirmed record of this coordinator's term, for
// example the result of a write whose answer was lost.
func (c *Coordinator) adoptRecord(record Assignment, revision uint64) {
	c.setRecord(record, revision)
	c.writeUncertain = false
	c.clearWithheld()
	for _, state := range c.memberStates {
		state.recalled = keepAssigned(state.recalled, c.record.Rows)
	}
}

// setRecord replaces the record and the index of its rows.
func (c *Coordinator) setRecord(record Assignment, revision uint64) {
	c.record, c.revision = record, revision
	c.indexRows(fillGaps(record.Rows))
	c.applyClaims()
}

// indexRows replaces the rows of the record and their index.
func (c *Coordinator) indexRows(rows []Row) {
	c.record.Rows = rows
	c.rowsByHolder = make(map[Holder][]Row)
	for _, r := range c.record.Rows {
		c.rowsByHolder[r.Holder] = append(c.rowsByHolder[r.Holder], r)
	}
}

// keepAssigned returns the parts of recalled rows that the record still assigns
// to the same holder under the same fence.
func keepAssigned(recalled, rows []Row) []Row {
	var out []Row
	for _, recalledRow := range recalled {
		for _, r := range rows {
			if r.Overlaps(recalledRow.Span) && r.Holder == recalledRow.Holder && r.Fence == recalledRow.Fence {
				part := recalledRow
				part.From, part.To = max(recalledRow.From, r.From), min(recalledRow.To, r.To)
				out = append(out, part)
			}
		}
	}
	return out
}

// hasAuthority reports whether leases may be issued.
func (c *Coordinator) hasAuthority(now clock.Instant) bool {
	return c.active && now.Sub(c.confirmedAt) < c.timing.Authority
}

// HandleRequest updates the state of a member and returns its answer.
func (c *Coordinator) HandleRequest(now clock.Instant, r LeaseRequest) LeaseAnswer {
	if !c.active || r.Term > c.record.Term {
		return LeaseAnswer{Term: max(r.Term, c.record.Term)}
	}
	state := c.memberStates[r.Node]
	if state != nil && c.isFormerProcess(now, state, r.Incarnation) {
		return LeaseAnswer{Term: c.record.Term}
	}
	if state == nil || state.incarnation != r.Incarnation {
		state = c.newMemberState(r, state)
		c.memberStates[r.Node] = state
	}
	if now.Before(c.earlierLeasesEnd) {
		c.takeClaim(now, state, r.Claim)
		if c.wantsClaim(state) {
			return LeaseAnswer{Term: c.record.Term, WantsClaim: true}
		}
	}
	if state.holder != r.Holder || state.ready != r.Ready {
		state.readySince, c.membersChangedAt = now, now
	}
	state.holder, state.ready, state.slots, state.demand = r.Holder, r.Ready, max(1, r.Slots), r.Demand
	state.loads, state.unreachable = r.Loads, r.Unreachable
	state.lastRequestAt, state.releases, state.endedRuns = now, r.Freed, r.Over
	a := LeaseAnswer{Term: c.record.Term, Coordinator: true, Return: c.rowsToReturn(state), FreedThrough: c.lastRecordedRelease(state)}
	rows := c.grantableRows(state)
	if !equalRows(rows, state.sentRows) || state.rowsVersion == 0 {
		state.sentRows = rows
		state.rowsVersion++
	}
	a.Version = state.rowsVersion
	// The version of a member that knows of an earlier term only is the count of
	// an earlier coordinator.
	if a.Version != r.Rows || r.Term < c.record.Term {
		a.Rows = rows
	}
	if state.holder != NoHolder && c.hasAuthority(now) && !c.withheldHolders[state.holder] {
		a.Lease = c.timing.Lease
		state.leaseEnds[state.holder] = now.Add(stretchForDrift(c.timing.Lease))
	}
	return a
}

// isFormerProcess reports whether a request comes late from a process that another one of
// the node has replaced. If the other one is not heard any more, it was its request that
// came late.
func (c *Coordinator) isFormerProcess(now clock.Instant, state *memberState, i core.Incarnation) bool {
	return i != state.incarnation && slices.Contains(state.former, i) && now.Sub(state.lastRequestAt) < c.timing.Lease/2
}

// maxFormer bounds the former processes of a node that are remembered. Their requests are
// late by seconds at most.
const maxFormer = 8

// newMemberState returns the state of a member's process that reports for the
// first time. Lease ends and the version of the rows are kept from its former
// process.
func (c *Coordinator) newMemberState(r LeaseRequest, previous *memberState) *memberState {
	state := &memberState{node: r.Node, incarnation: r.Incarnation, leaseEnds: make(map[Holder]clock.Instant)}
	if previous != nil {
		state.leaseEnds, state.rowsVersion, state.sentRows = previous.leaseEnds, previous.rowsVersion+1, previous.sentRows
		state.former = append(slices.Clone(previous.former), previous.incarnation)
		state.former = state.former[max(0, len(state.former)-maxFormer):]
	}
	return state
}

// lastRecordedRelease returns the ID up to which the member's releases are in
// the record, or 0.
func (c *Coordinator) lastRecordedRelease(state *memberState) uint64 {
	last := uint64(0)
	for _, release := range state.releases {
		if c.isAssigned(release.Holder, release.Span, release.Fence) {
			break
		}
		last = release.ID
	}
	return last
}

// isAssigned reports whether the record still assigns a part of s to h under a
// fence.
func (c *Coordinator) isAssigned(h Holder, s Span, fence int64) bool {
	return slices.ContainsFunc(c.rowsByHolder[h], func(r Row) bool { return r.Overlaps(s) && r.Fence == fence })
}

// grantableRows returns the rows that a member may hold: those of the record except the
// released, the recalled and the withheld ones.
func (c *Coordinator) grantableRows(state *memberState) []Row {
	if state.holder == NoHolder {
		return nil
	}
	rows := c.rowsByHolder[state.holder]
	for _, release := range state.releases {
		rows = subtractSpan(rows, release.Span, release.Fence)
	}
	for _, recalledRow := range state.recalled {
		rows = subtractSpan(rows, recalledRow.Span, recalledRow.Fence)
	}
	for _, withheld := range c.withheldRows {
		if withheld.Holder == state.holder {
			rows = subtractSpan(rows, withheld.Span, withheld.Fence)
		}
	}
	if !state.ready {
		return nil
	}
	return rows
}

// rowsToReturn returns the rows that a member is to return: those that are recalled,
// and all of a run that leaves. A process that started after they were granted knows
// of the latter from this alone.
func (c *Coordinator) rowsToReturn(state *memberState) []Row {
	if state.ready || state.holder == NoHolder {
		return state.recalled
	}
	rows := c.rowsByHolder[state.holder]
	for _, release := range state.releases {
		rows = subtractSpan(rows, release.Span, release.Fence)
	}
	return rows
}

// subtractSpan removes a span from those rows that have a given fence.
func subtractSpan(rows []Row, s Span, fence int64) []Row {
	var out []Row
	for _, r := range rows {
		if !r.Overlaps(s) || r.Fence != fence {
			out = append(out, r)
			continue
		}
		for _, g := range (grantedRow{Row: r}).subtract(s) {
			out = append(out, g.Row)
		}
	}
	return out
}

func equalRows(a, b []Row) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// NeedsConfirmation reports whether the record should be read now, to confirm
// the authority or to learn the result of a failed write.
func (c *Coordinator) NeedsConfirmation(now clock.Instant) bool {
	return c.active && !c.writePending && (c.unreadSince != 0 || now.Sub(c.confirmedAt) >= c.timing.ConfirmInterval)
}

// CompleteWrite takes in the result of a write that was sent at sentAt. On
// success, record and revision are what was written. After a failure,
// ObserveRecord must be called with a later read before Plan returns another
// assignment.
func (c *Coordinator) CompleteWrite(sentAt, now clock.Instant, ok bool, record Assignment, revision uint64) {
	c.writePending = false
	if !c.active {
		return
	}
	c.writeUncertain = !ok
	if !ok {
		c.unreadSince = now
	}
	if ok {
		if sentAt.After(c.confirmedAt) {
			c.confirmedAt = sentAt
		}
		c.adoptRecord(record, revision)
	}
}
