package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// memberInfo is what the coordinator knows of one member.
type memberInfo struct {
	run    Run
	member core.Member
	// lastGrantAt is when the last lease was granted, and lastRenewAt when the
	// last Renew arrived.
	lastGrantAt, lastRenewAt clock.Instant
	// inTable is set once a table names the member.
	inTable bool
	// fenced is set once the member gets no lease any more. Its ranges are
	// being reassigned.
	fenced bool
	// claimSettled is set once the member's claim from an earlier term has been
	// adopted or found void.
	claimSettled       bool
	draining, stopping bool
	// revisionBehind is set while the member's configuration revision is older
	// than the coordinator's.
	drainAccepted, revisionBehind bool
	nextDrainMoveAt               clock.Instant
	// lastAckedSeq is the newest answer that the member has confirmed,
	// unackedRenewals counts renewals since then that confirmed no newer one,
	// and lastReachedAt is when the newest confirmed answer was sent.
	lastAckedSeq    uint64
	unackedRenewals int
	lastReachedAt   clock.Instant
	// everReached is set once the member has confirmed an answer. Before that,
	// a member that joins gets no ranges.
	everReached bool
	sentAnswers [8]sentMessage
	nextShareAt clock.Instant
}

// coordinatorState is the state of the node that coordinates a term.
type coordinatorState struct {
	term uint64
	// lastSequence is the sequence of the newest table version of the term.
	lastSequence uint64
	table        *core.Table
	members      []*memberInfo

	// confirmedWriteSentAt is when the last confirmed write was sent.
	confirmedWriteSentAt clock.Instant
	// tableUnwritten is set while the granted table is not in the store.
	tableUnwritten bool
	// queue holds assignments that are decided but not in a draft yet.
	queue []assignment
	draft *tableDraft
	// authorityGivenUp is set once the coordinator has stepped down in favour
	// of a successor.
	authorityGivenUp bool
	// withoutContact is set while the coordinator keeps its authority through
	// the store alone, because its messages reach neither a successor nor
	// enough members.
	withoutContact bool

	promises       []*successorPromise
	actingPairs    []actingPair
	lastPromiseSeq uint64
	nextPromiseAt  clock.Instant
	nextNoticeAt   clock.Instant
	noticeUntil    clock.Instant

	// frozenRanges may still be held under leases of the former term, by their
	// recorded owners or by other members, until frozenUntil.
	frozenRanges []frozenRange
	frozenUntil  clock.Instant
	// vacantRanges belonged to the former coordinator. They are not assigned
	// before vacantUntil.
	vacantRanges []core.Range
	vacantUntil  clock.Instant

	moves      []*plannedMove
	lastMoveID uint64
	// cancelledMoves are moves that start again once the store is available.
	cancelledMoves []assignment
}

// frozenRange is a range with the owner that the stored record names.
type frozenRange struct {
	keyRange core.Range
	owner    Run
}

func (c *coordinatorState) findMember(run Run) *memberInfo {
	for _, info := range c.members {
		if info.run == run {
			return info
		}
	}
	return nil
}

// authorityEnd returns until when this coordinator may grant leases.
func (n *Node) authorityEnd() clock.Instant {
	if n.coordinator.authorityGivenUp {
		return 0
	}
	return max(n.coordinator.confirmedWriteSentAt.Add(n.timing.TermLease), n.promiseEnd())
}

// promiseEnd returns until when every successor has promised not to take over.
// The successors of a write that is still unresolved count as well. Without
// successors there is no promise, because then any member may take over.
func (n *Node) promiseEnd() clock.Instant {
	end := n.coordinator.confirmedWriteSentAt.Add(n.timing.MaxUnconfirmed)
	runs := n.record.Successors
	if len(runs) == 0 {
		return 0
	}
	for _, r := range runs {
		end = min(end, n.coordinator.promiseOf(r).promisedUntil)
	}
	if p := n.store.pendingWrite; p != nil && p.kind == writeUpdate {
		if len(p.record.Successors) == 0 {
			return 0 // the write may already be stored
		}
		for _, r := range p.record.Successors {
			end = min(end, n.coordinator.promiseOf(r).promisedUntil)
		}
	}
	return end
}

func (n *Node) hasAuthority() bool { return n.now < n.authorityEnd() }

func (n *Node) tickCoordinator() {
	c := n.coordinator
	if c == nil {
		return
	}
	n.wakeAt(n.authorityEnd())
	if c.authorityGivenUp {
		return
	}
	n.tickPromises()
	n.notifyTerm()
	n.expireMembers()
	n.releaseFormerRanges()
	n.tickMoves()
	n.giveSharesToNew()
	n.advanceDrains()
	n.tickWrites()
	n.handTermToSuccessor()
}

// notifyTerm tells the members of a new term until they have renewed.
func (n *Node) notifyTerm() {
	c := n.coordinator
	if n.now >= c.noticeUntil {
		return
	}
	if n.now < c.nextNoticeAt {
		n.wakeAt(c.nextNoticeAt)
		return
	}
	c.nextNoticeAt = n.now.Add(n.timing.HeartbeatInterval / 2)
	n.wakeAt(c.nextNoticeAt)
	for _, info := range c.members {
		if info.run != n.self && info.lastRenewAt == 0 {
			n.send(info.member, &TermNotice{Group: n.cfg.Group, From: n.cfg.Self, Term: c.term})
		}
	}
}

// onRenew answers a member's renewal.
func (n *Node) onRenew(r *Renew) {
	if r.From == n.self {
		return
	}
	if n.coordinator != nil && r.Term > n.coordinator.term {
		n.learnTerm(r.Term, core.Member{})
		n.store.readWanted = true
	}
	if n.coordinator == nil {
		n.answerAsNonCoordinator(r)
		return
	}
	info := n.coordinator.findMember(r.From)
	if info == nil && r.Join != nil && !r.Leaving {
		info = n.addMember(*r.Join)
	}
	if info == nil {
		verdict := RefusedClaimNeeded
		if r.Join != nil && !r.Leaving {
			verdict = RefusedGroupFull
		}
		a := n.newAnswer(r, verdict)
		a.Removed = r.Leaving
		n.sendAnswer(r, a)
		return
	}
	info.draining, info.stopping = r.Draining, r.Stopping
	if !r.Draining {
		info.drainAccepted = false
	}
	if r.Leaving && slices.Contains(n.record.Successors, info.run) && !n.storeReady() {
		// Its promise is needed until the store can record another successor.
		n.send(info.member, n.answerRenewal(info, r))
		return
	}
	if r.Leaving {
		n.removeLeavingMember(info)
		a := n.newAnswer(r, RefusedClaimNeeded)
		a.Removed = true
		n.send(info.member, a)
		return
	}
	n.send(info.member, n.answerRenewal(info, r))
}

// sendAnswer sends a to the sender of r, whose address may be known from r
// alone.
func (n *Node) sendAnswer(r *Renew, a *RenewAnswer) {
	if r.Join != nil {
		n.send(*r.Join, a)
		return
	}
	n.sendToRun(r.From, a)
}

func (n *Node) newAnswer(r *Renew, v Verdict) *RenewAnswer {
	return &RenewAnswer{
		Group: n.cfg.Group, From: n.self, To: r.From, Term: n.term, Seq: r.Seq,
		Verdict: v, Revision: n.revision,
	}
}

// answerRenewal decides whether to renew the lease of a known member.
func (n *Node) answerRenewal(info *memberInfo, r *Renew) *RenewAnswer {
	c := n.coordinator
	if r.Term < c.term {
		return n.newAnswer(r, RefusedClaimNeeded)
	}
	info.recordAck(r)
	info.lastRenewAt = n.now
	info.revisionBehind = r.Revision < n.revision
	info.sentAnswers[r.Seq%uint64(len(info.sentAnswers))] = sentMessage{seq: r.Seq, at: n.now}
	switch {
	case info.revisionBehind:
		return n.newAnswer(r, RefusedRevision)
	case info.fenced || !n.hasAuthority() || info.unackedRenewals >= 2:
		return n.newAnswer(r, RefusedNoAuthority)
	}
	if !info.claimSettled {
		n.adoptClaim(info, r.Claim)
	}
	info.lastGrantAt = n.now
	a := n.newAnswer(r, Granted)
	a.Table, a.DrainAccepted = c.table.Version, info.drainAccepted
	if r.Table != c.table.Version {
		a.NewTable = c.table
	}
	return a
}

// recordAck records which answers have reached the member. Without this, a
// member that can send but not receive would keep its ranges and serve none of
// them.
func (info *memberInfo) recordAck(r *Renew) {
	if r.Answered <= info.lastAckedSeq && info.lastRenewAt > 0 {
		info.unackedRenewals++
		return
	}
	info.lastAckedSeq, info.unackedRenewals = r.Answered, 0
	if s := info.sentAnswers[r.Answered%uint64(len(info.sentAnswers))]; s.seq == r.Answered && s.at > 0 {
		info.lastReachedAt, info.everReached = s.at, true
	}
}

// addMember adds a run to the group, or returns nil if the group is full. The
// run gets ranges after the next write.
func (n *Node) addMember(m core.Member) *memberInfo {
	c := n.coordinator
	if c.countNodesExcept(m.Node) >= MaxMembers {
		return nil
	}
	for _, p := range c.promises {
		if p.run.Node == m.Node && p.run != RunOf(m) && p.declaredLostAt == 0 {
			p.declaredLostAt = n.now // the former run has ended if a new one has started
		}
	}
	info := &memberInfo{run: RunOf(m), member: m, claimSettled: true, lastRenewAt: n.now, lastGrantAt: n.now}
	c.members = append(c.members, info)
	n.recordEvent(EventMemberJoined, info.run, core.Range{})
	return info
}

// countNodesExcept counts the distinct nodes of the group other than node.
// Former runs of a node do not count, so that a whole group can restart.
func (c *coordinatorState) countNodesExcept(node core.NodeID) int {
	seen := map[core.NodeID]bool{}
	for _, info := range c.members {
		if info.run.Node != node {
			seen[info.run.Node] = true
		}
	}
	return len(seen)
}

// removeLeavingMember reassigns the ranges of a member that has stopped
// serving. Its lease need not be waited for.
func (n *Node) removeLeavingMember(info *memberInfo) {
	if !info.fenced {
		n.recordEvent(EventMemberLeft, info.run, core.Range{})
		n.fenceMember(info)
	}
}

// expireMembers reassigns the ranges of members whose leases have expired.
func (n *Node) expireMembers() {
	for _, info := range n.coordinator.members {
		if info.run == n.self || info.fenced {
			continue
		}
		reassignableAt := info.lastGrantAt.Add(n.timing.withDrift(n.timing.MemberLease))
		if n.skipLeaseWait {
			reassignableAt = info.lastGrantAt.Add(n.timing.HeartbeatInterval * 3 / 2)
		}
		if !info.revisionBehind && info.unackedRenewals < 2 {
			// A member that still sends renewals gets a lease again as soon as
			// the coordinator has authority.
			reassignableAt = max(reassignableAt, info.lastRenewAt.Add(2*n.timing.HeartbeatInterval))
		}
		if n.now < reassignableAt {
			n.wakeAt(reassignableAt)
			continue
		}
		if !n.mayReassign() {
			continue
		}
		n.recordEvent(EventMemberLost, info.run, core.Range{})
		n.fenceMember(info)
	}
}

// fenceMember stops granting leases to a member. The next draft leaves it out
// and gives its ranges to others.
func (n *Node) fenceMember(info *memberInfo) {
	info.fenced = true
	n.coordinator.moves = slices.DeleteFunc(n.coordinator.moves, func(m *plannedMove) bool { return m.from == info.run })
}

// assignableRuns lists the runs that may be given ranges, in member order. If
// there is none, it names this node unless it is stopping.
func (n *Node) assignableRuns() []Run {
	var out []Run
	for _, info := range n.coordinator.members {
		if n.isAssignable(info) {
			out = append(out, info.run)
		}
	}
	if len(out) == 0 && !n.member.stopping {
		out = append(out, n.self)
	}
	return out
}

// isAssignable reports whether a member is alive and may be given ranges.
func (n *Node) isAssignable(info *memberInfo) bool {
	if info.fenced || info.draining || !n.isAlive(info) {
		return false
	}
	if info.run == n.self && (n.member.draining || n.member.stopping) {
		return false
	}
	return n.cfg.Eligible == nil || n.cfg.Eligible(info.member, n.now)
}

func (n *Node) isAlive(info *memberInfo) bool {
	if info.run == n.self {
		return true
	}
	return info.everReached && !info.revisionBehind && info.unackedRenewals < 2 && n.heardRecently(info)
}

func (n *Node) heardRecently(info *memberInfo) bool {
	return info.lastRenewAt > 0 && n.now < info.lastRenewAt.Add(5*n.timing.HeartbeatInterval/2)
}

// stepDown makes the coordinator a member without a lease, because the new
// coordinator treats its ranges as free.
func (n *Node) stepDown() {
	n.recordEvent(EventSteppedDown, n.self, core.Range{})
	n.member.leaseTerm, n.member.leaseEnd = n.coordinator.term, 0
	n.coordinator = nil
	n.member.nextRenewAt, n.member.lastGrantAt = n.now, n.now
	n.member.drainAccepted = false
}
