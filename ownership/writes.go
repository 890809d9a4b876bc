package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// tableDraft is a table that is not granted yet. The coordinator grants its
// assignments once the table is written, or without the write while the store
// is unavailable.
type tableDraft struct {
	table *core.Table
	// baseVersion is the version of the table that the draft was built from.
	baseVersion core.Token
	assignments []assignment
	// record is the write that carries the draft, or nil while none has been
	// submitted.
	record *GroupRecord
}

// queue adds assignments to the next draft.
func (n *Node) queue(list []assignment) { n.coordinator.queue = append(n.coordinator.queue, list...) }

// ungrantedAssignments returns all assignments that are decided but not
// granted.
func (n *Node) ungrantedAssignments() []assignment {
	if n.coordinator.draft == nil {
		return n.coordinator.queue
	}
	return append(slices.Clone(n.coordinator.draft.assignments), n.coordinator.queue...)
}

// draftNotWritten records that p did not store the draft. The draft is kept and
// submitted again with the next write.
func (c *coordinatorState) draftNotWritten(p *pendingWrite) {
	if c.draft != nil && c.draft.record == p.record {
		c.draft.record = nil
	}
}

// membersChanged reports whether the member list differs from the table's.
func (c *coordinatorState) membersChanged() bool {
	kept := 0
	for _, info := range c.members {
		if info.fenced || !info.inTable {
			return true
		}
		kept++
	}
	return kept != len(c.table.Members)
}

// nextMembers lists the members of the next table: all that are not fenced.
func (c *coordinatorState) nextMembers() []core.Member {
	var out []core.Member
	for _, info := range c.members {
		if !info.fenced {
			out = append(out, info.member)
		}
	}
	return out
}

// tickWrites builds and submits the next table. While the store is unavailable,
// it grants a draft without the write if that is safe.
func (n *Node) tickWrites() {
	c := n.coordinator
	if c.draft == nil && (len(c.queue) > 0 || c.membersChanged() || len(c.unownedRanges(c.table)) > 0) {
		n.buildDraft()
	}
	if n.store.pendingWrite == nil {
		n.writeIfDue()
	}
	if c.draft == nil || !n.store.unavailable || n.now >= n.promiseEnd() {
		return
	}
	if !n.mayGrantUnwritten() && n.othersWaitForDraft() {
		n.cancelOwnMoves()
	}
	if n.mayGrantUnwritten() {
		n.recordEvent(EventAssignmentUnwritten, Run{}, core.Range{})
		n.installDraft()
	}
}

// othersWaitForDraft reports whether anything but moves from this node is
// decided but not granted.
func (n *Node) othersWaitForDraft() bool {
	c := n.coordinator
	return c.membersChanged() || len(c.unownedRanges(c.table)) > 0 ||
		slices.ContainsFunc(n.ungrantedAssignments(), n.mayAssignUnwritten)
}

// cancelOwnMoves gives the ranges that move away from this node back to it, since
// their assignment needs the store, and makes a new draft of what else is decided.
// The moves start again once the store is available. A write with the former draft
// may still take effect; no other node serves under it.
func (n *Node) cancelOwnMoves() {
	c := n.coordinator
	assignments := slices.Clone(n.ungrantedAssignments())
	var cancelled []assignment
	for i, a := range assignments {
		if n.mayAssignUnwritten(a) {
			continue
		}
		if !ownsWhole(c.table, n.self, a.keyRange) {
			return
		}
		cancelled = append(cancelled, a)
		assignments[i] = assignment{keyRange: a.keyRange, to: n.self}
	}
	for _, a := range cancelled {
		n.recordEvent(EventMoveCancelled, a.to, a.keyRange)
	}
	c.cancelledMoves = append(c.cancelledMoves, cancelled...)
	c.draft, c.queue = nil, assignments
	n.buildDraft()
}

// buildDraft makes a draft of the queued assignments, gives unowned ranges to
// the assignable members, and merges neighbouring entries of a long table. It
// makes none if the table would not change.
func (n *Node) buildDraft() {
	c := n.coordinator
	assignments := c.queue
	base := withMembers(c.table, c.nextMembers())
	version := core.Token{Term: c.term, Sequence: c.lastSequence + 1}
	table := applyAssignments(base, assignments, version)
	if unowned := c.unownedRanges(table); len(unowned) > 0 {
		assignments = append(assignments, spreadRanges(table, unowned, n.assignableRuns())...)
		table = applyAssignments(base, assignments, version)
	}
	if len(assignments) == 0 && !c.membersChanged() {
		return
	}
	if merged := n.mergeOwnedNeighbours(table); len(merged) > 0 {
		assignments = append(assignments, merged...)
		table = applyAssignments(base, assignments, version)
	}
	c.queue = nil
	c.lastSequence++
	c.draft = &tableDraft{table: table, baseVersion: c.table.Version, assignments: assignments}
}

// mergeOwnedNeighbours returns assignments that join neighbouring ranges of one
// owner under a new token. It returns none unless the table has more than
// compactAbove entries. Ranges that are being moved stay as they are: a release
// under the former token must stay valid for them.
func (n *Node) mergeOwnedNeighbours(t *core.Table) []assignment {
	if len(t.Entries) <= compactAbove {
		return nil
	}
	var out []assignment
	for i := 0; i < len(t.Entries); {
		first := t.Entries[i]
		j := i + 1
		for j < len(t.Entries) && t.Entries[j].Owner == first.Owner && t.Entries[j-1].Range.Hi+1 == t.Entries[j].Range.Lo {
			j++
		}
		r := core.Range{Lo: first.Range.Lo, Hi: t.Entries[j-1].Range.Hi}
		if j-i > 1 && first.Owner != core.NoOwner && !n.isRangeBusy(r) {
			out = append(out, assignment{keyRange: r, to: ownerOf(t, first)})
		}
		i = j
	}
	return out
}

// unownedRanges returns the ranges of t that have no owner and that no member
// can hold under an earlier lease.
func (c *coordinatorState) unownedRanges(t *core.Table) []core.Range {
	var out []core.Range
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			continue
		}
		parts := []core.Range{e.Range}
		for _, f := range c.frozenRanges {
			parts = core.SubtractAll(parts, f.keyRange)
		}
		for _, v := range c.vacantRanges {
			parts = core.SubtractAll(parts, v)
		}
		out = append(out, parts...)
	}
	return out
}

// writeIfDue submits the record if it has changed, or if a confirmed write is
// needed to keep the authority.
func (n *Node) writeIfDue() {
	c := n.coordinator
	successors, pending, changed := n.nextSuccessors()
	refreshAt := n.refreshAt()
	if !n.reachesGroup() {
		refreshAt = max(refreshAt, n.authorityEnd().Add(2*n.timing.TermLease))
	}
	if c.draft == nil && !c.tableUnwritten && !changed && n.now < refreshAt {
		n.wakeAt(refreshAt)
		return
	}
	table := c.table
	if c.draft != nil {
		table = c.draft.table
	}
	rec := &GroupRecord{
		Term: c.term, Coordinator: n.self, Successors: successors, PendingSuccessor: pending,
		Table: *table, Draining: c.drainingRuns(),
	}
	if c.draft != nil {
		c.draft.record = rec
	}
	if changed {
		n.addPair(successors)
	}
	n.submitWrite(writeUpdate, rec, n.version)
}

// refreshAt returns when a write is due although nothing has changed. Half of
// the term lease leaves room for one slow write.
func (n *Node) refreshAt() clock.Instant {
	c := n.coordinator
	beforeExpiry := max(c.confirmedWriteSentAt.Add(n.timing.TermLease/2), n.promiseEnd().Add(-n.timing.PromiseDuration/6))
	return min(beforeExpiry, c.confirmedWriteSentAt.Add(n.timing.MaxUnconfirmed/3))
}

// reachesGroup reports whether the coordinator's messages arrive: a successor
// has answered within 5/4 of a heartbeat interval, or half of the other members
// have confirmed an answer that was sent since. A coordinator that is cut off
// must not keep its term alive through the store, because then no successor
// could take over.
func (n *Node) reachesGroup() bool {
	c := n.coordinator
	var lastAnswerAt clock.Instant
	for _, r := range n.record.Successors {
		p := c.promiseOf(r)
		lastAnswerAt = max(lastAnswerAt, p.lastAnswerAt)
		if p.revisionRefusedAt > 0 && n.now < p.revisionRefusedAt.Add(2*n.timing.HeartbeatInterval) {
			return false // this node's configuration is outdated; a successor takes over
		}
	}
	if len(n.record.Successors) == 0 || n.now < lastAnswerAt.Add(n.timing.HeartbeatInterval*5/4) || c.withoutContact {
		return true
	}
	others, reached := 0, 0
	for _, info := range c.members {
		if info.run == n.self || info.fenced || !n.heardRecently(info) || slices.Contains(n.record.Successors, info.run) {
			continue
		}
		others++
		if info.lastReachedAt > lastAnswerAt.Add(n.timing.HeartbeatInterval*5/4) && n.now < info.lastReachedAt.Add(3*n.timing.HeartbeatInterval) {
			reached++
		}
	}
	return others > 0 && 2*reached >= others
}

// drainingRuns lists the members whose drain was accepted.
func (c *coordinatorState) drainingRuns() []Run {
	var out []Run
	for _, info := range c.members {
		if info.drainAccepted {
			out = append(out, info.run)
		}
	}
	return out
}

// onUpdateConfirmed handles an update that is now known to be the stored
// record. sentAt is when the confirmed attempt was sent.
func (n *Node) onUpdateConfirmed(p *pendingWrite, version uint64, sentAt clock.Instant) {
	c := n.coordinator
	// The write succeeded without contact to the group, so no successor has
	// taken over although there was time. The coordinator keeps its authority
	// through the store.
	c.withoutContact = !n.reachesGroup()
	c.confirmedWriteSentAt = max(c.confirmedWriteSentAt, sentAt)
	n.endReplacedPairs(p.record, version)
	if c.draft != nil && c.draft.record == p.record {
		n.recordEvent(EventAssignmentWritten, Run{}, core.Range{})
		n.installDraft()
	}
	c.tableUnwritten = p.record.Table.Version != c.table.Version
	c.nextPromiseAt = min(c.nextPromiseAt, n.now)
}

// mayGrantUnwritten reports whether each assignment of the draft may be granted
// before it is written.
func (n *Node) mayGrantUnwritten() bool {
	return !slices.ContainsFunc(n.coordinator.draft.assignments, func(a assignment) bool { return !n.mayAssignUnwritten(a) })
}

// mayAssignUnwritten reports whether a reassigns no range that the stored record,
// or a write that may still take effect, gives to this node. A successor that
// takes over treats those ranges as free at once.
func (n *Node) mayAssignUnwritten(a assignment) bool {
	if a.to == n.self {
		return true
	}
	p := n.store.pendingWrite
	return !ownsPartOf(&n.record.Table, n.self, a.keyRange) && (p == nil || !ownsPartOf(&p.record.Table, n.self, a.keyRange))
}

// ownsPartOf reports whether t assigns any part of r to run.
func ownsPartOf(t *core.Table, run Run, r core.Range) bool {
	for _, e := range t.Entries {
		if e.Range.Overlaps(r) && e.Owner != core.NoOwner && ownerOf(t, e) == run {
			return true
		}
	}
	return false
}

// ownsWhole reports whether t assigns all of r to run.
func ownsWhole(t *core.Table, run Run, r core.Range) bool {
	rest := []core.Range{r}
	for _, e := range t.Entries {
		if ownerOf(t, e) == run {
			rest = core.SubtractAll(rest, e.Range)
		}
	}
	return len(rest) == 0
}

// installDraft makes the draft the table of the group and sends it to the
// members that gain ranges.
func (n *Node) installDraft() {
	c, d := n.coordinator, n.coordinator.draft
	c.draft = nil
	next := d.table
	if c.table.Version != d.baseVersion {
		// Claims were adopted since the draft was built. Its assignments are
		// applied to the present table.
		c.lastSequence++
		next = applyAssignments(withMembers(c.table, next.Members), d.assignments, core.Token{Term: c.term, Sequence: c.lastSequence})
	}
	n.installTable(next)
	c.tableUnwritten = true
	c.members = slices.DeleteFunc(c.members, func(info *memberInfo) bool { return info.fenced && indexOf(next, info.run) < 0 })
	for _, info := range c.members {
		info.inTable = indexOf(next, info.run) >= 0
	}
	n.pushTable(d.assignments)
}

// installTable makes t the table of the coordinator and of its own lease.
func (n *Node) installTable(t *core.Table) {
	n.coordinator.table = t
	n.setTable(t)
}

// pushTable sends the table to the members that gain ranges, so that they serve
// them at once. The others get it with their next renewal.
func (n *Node) pushTable(assignments []assignment) {
	if !n.hasAuthority() {
		return
	}
	for _, info := range n.coordinator.members {
		if info.run == n.self || info.fenced || !slices.ContainsFunc(assignments, func(a assignment) bool { return a.to == info.run }) {
			continue
		}
		n.send(info.member, &TablePush{Group: n.cfg.Group, From: n.self, Term: n.coordinator.term, Table: n.coordinator.table})
	}
}
