package ownership

import (
	"time"

	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// sentMessage records when a numbered message was sent, and to whom. A lease or
// promise is counted from when its request was sent.
type sentMessage struct {
	seq uint64
	at  clock.Instant
	to  core.Member
}

// groupFullRetry is how often a node asks again in a group without room. Its
// caller usually moves it to another group before.
const groupFullRetry = 5 * time.Second

// memberState is the state of the node as a member, which holds a lease.
type memberState struct {
	// groupFull is set while the coordinator has no room for this node.
	groupFull bool
	table     *core.Table
	// leaseTerm is the term in which the lease until leaseEnd was granted.
	leaseTerm uint64
	leaseEnd  clock.Instant
	// lastSeq is the number of the last renewal sent, and lastAnsweredSeq that
	// of the newest one answered.
	lastSeq         uint64
	lastAnsweredSeq uint64
	sentRenewals    [16]sentMessage
	nextRenewAt     clock.Instant
	// nextLookupAt is when the group record is next read to find the
	// coordinator.
	nextLookupAt clock.Instant
	lastGrantAt  clock.Instant
	// mustJoin is set when the coordinator does not know this node and needs
	// Renew.Join.
	mustJoin bool

	// actingSuccessor is the successor that acts for the coordinator until
	// actingSuccessorUntil.
	actingSuccessor      core.Member
	actingSuccessorUntil clock.Instant

	// releasedRanges may not be served again under their tokens or older ones.
	releasedRanges []HeldRange
	outgoingMoves  []*outgoingMove

	draining, stopping              bool
	drainStartedAt, drainAcceptedAt clock.Instant
	drainAccepted                   bool
	exchangesDrained                bool
	left                            bool

	// cachedOwn and cachedMoving are the result of ownRanges for the table and
	// the change count that they were built from.
	cachedOwn       []HeldRange
	cachedMoving    []core.Range
	cachedForTable  *core.Table
	changeCount     int
	cachedForChange int
}

// leaseEnd returns until when this node may serve its ranges. A coordinator
// serves as long as it has authority.
func (n *Node) leaseEnd() clock.Instant {
	if n.coordinator != nil {
		return n.authorityEnd()
	}
	end := n.member.leaseEnd
	if p := n.store.pendingWrite; p != nil && p.kind == writeTakeover {
		// If the takeover took effect without this node's knowledge, the next
		// successor treats this node's ranges as free L(1+D) after it saw the
		// record (L is Timing.TermLease, D is Timing.DriftPPM).
		end = min(end, p.firstSentAt.Add(n.timing.TermLease))
	}
	return end
}

func (n *Node) reason() Reason {
	m := &n.member
	switch {
	case m.left || n.isLeaving() && n.isOnlyMember():
		return ReasonLeft
	case n.isLeaving():
		return ReasonLeaving
	case m.stopping && n.now >= m.drainStartedAt.Add(n.timing.DrainGrace),
		m.draining && m.drainAccepted && n.now >= m.drainAcceptedAt.Add(n.timing.DrainGrace):
		return ReasonDraining
	case m.groupFull:
		return ReasonGroupFull
	case n.now >= n.leaseEnd():
		return ReasonNoLease
	}
	return ReasonServing
}

// isOnlyMember reports whether this node coordinates a group without other
// members, so that no other node can confirm that it leaves.
func (n *Node) isOnlyMember() bool { return n.coordinator != nil && len(n.coordinator.members) <= 1 }

// isLeaving reports whether a stopping node has ended its exchanges and serves
// no range any more.
func (n *Node) isLeaving() bool {
	m := &n.member
	if !m.stopping || !m.exchangesDrained {
		return false
	}
	own, moving := n.ownRanges()
	return n.now >= m.drainStartedAt.Add(n.timing.DrainGrace) || len(own)+len(moving) == 0
}

// ownRanges returns the ranges that this node serves, and those that wait for
// their hand-over.
func (n *Node) ownRanges() ([]HeldRange, []core.Range) {
	m := &n.member
	if m.table == nil {
		return nil, nil
	}
	if m.cachedForTable == m.table && m.cachedForChange == m.changeCount {
		return m.cachedOwn, m.cachedMoving
	}
	var own []HeldRange
	var moving []core.Range
	for _, e := range m.table.Entries {
		if ownerOf(m.table, e) != n.self {
			continue
		}
		for _, r := range m.unreleased(e) {
			served := []core.Range{r}
			for _, mv := range m.outgoingMoves {
				if mv.phase == moveStopping && mv.keyRange.Overlaps(r) {
					moving = append(moving, mv.keyRange.Intersect(r))
					served = core.SubtractAll(served, mv.keyRange)
				}
			}
			for _, s := range served {
				own = append(own, HeldRange{Range: s, Token: e.Token})
			}
		}
	}
	m.cachedOwn, m.cachedMoving, m.cachedForTable, m.cachedForChange = own, moving, m.table, m.changeCount
	return own, moving
}

// unreleased returns the parts of e that were not released under its token or a
// newer one. A delayed table may still name this node as their owner.
func (m *memberState) unreleased(e core.Entry) []core.Range {
	out := []core.Range{e.Range}
	for _, r := range m.releasedRanges {
		if !r.Token.Less(e.Token) {
			out = core.SubtractAll(out, r.Range)
		}
	}
	return out
}

// setTable installs a table and forgets releases that newer tokens supersede.
func (n *Node) setTable(t *core.Table) {
	m := &n.member
	m.table = t
	m.changeCount++
	m.releasedRanges = slices.DeleteFunc(m.releasedRanges, func(r HeldRange) bool {
		for _, e := range t.Entries {
			if e.Range.Overlaps(r.Range) && !r.Token.Less(e.Token) {
				return false
			}
		}
		return true
	})
}

func (n *Node) tickMember() {
	m := &n.member
	if m.left {
		return
	}
	n.expireHandOvers()
	if m.stopping {
		n.wakeAt(m.drainStartedAt.Add(n.timing.DrainGrace))
	}
	if m.draining && m.drainAccepted {
		n.wakeAt(m.drainAcceptedAt.Add(n.timing.DrainGrace))
	}
	if n.coordinator != nil {
		return
	}
	n.wakeAt(n.leaseEnd())
	if n.now >= m.nextRenewAt {
		m.nextRenewAt = n.now.Add(n.timing.HeartbeatInterval)
		n.sendRenewals()
	}
	n.wakeAt(m.nextRenewAt)
	n.lookUpCoordinator()
}

// lookUpCoordinator reads the group record when no lease has been granted for
// the length of a member lease.
func (n *Node) lookUpCoordinator() {
	m := &n.member
	searchAt := max(m.lastGrantAt, n.startedAt).Add(n.timing.MemberLease)
	if n.now < searchAt {
		n.wakeAt(searchAt)
		return
	}
	if n.now >= m.nextLookupAt {
		m.nextLookupAt = n.now.Add(4 * n.timing.HeartbeatInterval)
		n.store.readWanted = true
	}
	n.wakeAt(m.nextLookupAt)
}

// sendRenewals renews the lease with the coordinator, and with a successor that
// acts for it.
func (n *Node) sendRenewals() {
	if n.termCoordinator.Node != "" && RunOf(n.termCoordinator) != n.self {
		n.sendRenewal(n.termCoordinator)
	}
	if n.now < n.member.actingSuccessorUntil && n.member.actingSuccessor.Node != n.termCoordinator.Node {
		n.sendRenewal(n.member.actingSuccessor)
	}
}

func (n *Node) sendRenewal(to core.Member) {
	m := &n.member
	m.lastSeq++
	m.sentRenewals[m.lastSeq%uint64(len(m.sentRenewals))] = sentMessage{seq: m.lastSeq, at: n.now, to: to}
	r := &Renew{
		Group: n.cfg.Group, From: n.self, Term: n.term, Seq: m.lastSeq, Answered: m.lastAnsweredSeq, Revision: n.revision,
		Draining: m.draining, Stopping: m.stopping, Leaving: n.isLeaving(),
	}
	if m.table != nil {
		r.Table = m.table.Version
	}
	// Without a lease, this node may have been removed from the group. The
	// coordinator then needs an address to answer to.
	if m.mustJoin || n.now >= n.leaseEnd() || m.table == nil || indexOf(m.table, n.self) < 0 {
		self := n.cfg.Self
		r.Join = &self
	}
	if m.leaseTerm < n.term && n.now < n.leaseEnd() {
		own, _ := n.ownRanges()
		r.Claim = &Claim{Term: m.leaseTerm, Ranges: own}
	}
	n.send(to, r)
}

func (n *Node) onRenewAnswer(a *RenewAnswer) {
	m := &n.member
	sent := m.sentRenewals[a.Seq%uint64(len(m.sentRenewals))]
	if a.To != n.self || sent.seq != a.Seq || n.coordinator != nil || m.left {
		return
	}
	m.lastAnsweredSeq = max(m.lastAnsweredSeq, a.Seq)
	n.requiredRevision = max(n.requiredRevision, a.Revision)
	if a.Removed && n.isLeaving() {
		m.left, m.leaseEnd = true, 0
		n.recordEvent(EventMemberLeft, n.self, core.Range{})
		return
	}
	m.groupFull = false
	switch a.Verdict {
	case Granted:
		if a.Acting {
			n.extendLease(a, sent)
		} else {
			n.installLease(a, sent)
		}
	case RefusedClaimNeeded:
		to := sent.to
		to.Incarnation = a.From.Incarnation
		n.learnTerm(a.Term, to)
		m.mustJoin = true
		m.nextRenewAt = min(m.nextRenewAt, n.now.Add(n.timing.HeartbeatInterval/16))
	case RefusedGroupFull:
		m.groupFull = true
		m.nextRenewAt = n.now.Add(groupFullRetry)
	case RefusedNotCoordinator:
		n.followRedirect(a, sent)
	}
}

// followRedirect records the coordinator that another node named in its answer.
func (n *Node) followRedirect(a *RenewAnswer, sent sentMessage) {
	if a.Coordinator == nil || a.Term < n.term || RunOf(*a.Coordinator) == n.self {
		return
	}
	n.learnTerm(a.Term, *a.Coordinator)
	if RunOf(n.termCoordinator) == RunOf(sent.to) && a.Term == n.term {
		n.termCoordinator = *a.Coordinator
	}
}

// installLease installs a lease that the coordinator granted. The lease is
// counted from when the renewal was sent.
func (n *Node) installLease(a *RenewAnswer, sent sentMessage) {
	m := &n.member
	if a.Term < n.term || RunOf(sent.to) != a.From {
		return
	}
	n.learnTerm(a.Term, sent.to)
	if m.table != nil && a.Table.Less(m.table.Version) {
		return // a newer answer or push arrived first
	}
	if a.NewTable != nil && a.NewTable.Version == a.Table {
		n.setTable(a.NewTable)
	}
	if m.table == nil || m.table.Version != a.Table {
		return
	}
	end := sent.at.Add(n.timing.MemberLease)
	if a.Term == m.leaseTerm {
		end = max(end, m.leaseEnd)
	}
	m.leaseTerm, m.leaseEnd = a.Term, end
	m.lastGrantAt, m.mustJoin, m.nextLookupAt = n.now, false, 0
	if a.DrainAccepted && !m.drainAccepted {
		m.drainAccepted, m.drainAcceptedAt = true, n.now
	}
}

// extendLease prolongs a lease that a successor renewed for a lost coordinator.
// An expired lease is not revived, because its ranges may have been reassigned
// before the successor began to act.
func (n *Node) extendLease(a *RenewAnswer, sent sentMessage) {
	m := &n.member
	if a.Term != n.term || a.Term != m.leaseTerm || n.now >= m.leaseEnd || RunOf(sent.to) != a.From {
		return
	}
	m.leaseEnd = max(m.leaseEnd, sent.at.Add(n.timing.MemberLease))
	m.lastGrantAt = n.now
	m.actingSuccessorUntil = n.now.Add(4 * n.timing.HeartbeatInterval)
}

// onTablePush installs a newer table under the lease that is held.
func (n *Node) onTablePush(p *TablePush) {
	m := &n.member
	if n.coordinator != nil || m.left || p.Term != n.term || p.Term != m.leaseTerm || n.now >= n.leaseEnd() {
		return
	}
	if m.table != nil && m.table.Version.Less(p.Table.Version) {
		n.setTable(p.Table)
	}
}

// onTermNotice sends the next renewal at once to the coordinator of a new term,
// or to a successor that has begun to act.
func (n *Node) onTermNotice(t *TermNotice) {
	if t.Term < n.term || RunOf(t.From) == n.self {
		return
	}
	if t.Acting {
		if t.Term == n.term && n.coordinator == nil {
			firstNotice := n.now >= n.member.actingSuccessorUntil
			n.member.actingSuccessor, n.member.actingSuccessorUntil = t.From, n.now.Add(4*n.timing.HeartbeatInterval)
			if firstNotice {
				n.member.nextRenewAt = n.now
			}
		}
		return
	}
	if t.Term > n.term || n.termCoordinator.Node == "" {
		n.learnTerm(t.Term, t.From)
	}
	if n.coordinator == nil && n.member.leaseTerm < n.term {
		n.member.nextRenewAt = n.now
	}
}
