package ownership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// takeoverStagger is the delay between the takeover attempts of the two
	// successors, so that they do not compete for the write.
	takeoverStagger = 250 * time.Millisecond
	// storeProbeInterval is how often a successor that may take over reads the
	// record to find out whether the store is available.
	storeProbeInterval = time.Second
)

// successorState is the state of a member in its role as a successor.
type successorState struct {
	// promisedUntil is the end of the last promise to the coordinator, and
	// actingGrantedUntil that of the last promise to an acting successor. This
	// node must not take over before either.
	promisedUntil, actingGrantedUntil clock.Instant
	// noReassignUntil is until when leases may exist that an acting successor
	// renewed.
	noReassignUntil clock.Instant
	// activeVersion is the version of the record for which the coordinator has
	// lifted GroupRecord.PendingSuccessor.
	activeVersion uint64
	// stepDownVersion is the record version at which the coordinator stepped
	// down.
	stepDownVersion   uint64
	nextProbeAt       clock.Instant
	formerCoordinator Run
	// lastAckedSeq is the newest answer that the coordinator of lastAckedTerm
	// has confirmed, and unackedRequests counts requests since then that
	// confirmed no newer one.
	lastAckedSeq, lastAckedTerm uint64
	unackedRequests             int

	// acting is set while this node renews leases for the lost coordinator. It
	// may do so until actingUntil.
	acting              bool
	actingUntil         clock.Instant
	lastActingRenewalAt clock.Instant
	nextActingRequestAt clock.Instant
	lastActingSeq       uint64
	sentActingRequests  [8]sentMessage
}

// successorRank returns this node's position among the named successors, or -1.
// sameRun tells whether this run is named, and not a former run of the node.
func (n *Node) successorRank() (rank int, sameRun bool) {
	for i, r := range n.record.Successors {
		if r.Node == n.self.Node {
			return i, r == n.self
		}
	}
	return -1, false
}

// takeoverAt returns when this node may take over the record that it knows.
func (n *Node) takeoverAt() clock.Instant {
	if n.record == nil || n.coordinator != nil || n.record.Term != n.term || n.member.left || n.isLeaving() {
		return never
	}
	termLeaseOver := n.recordSeenAt.Add(n.timing.withDrift(n.timing.TermLease))
	promisesOver := max(n.successor.promisedUntil, n.successor.actingGrantedUntil)
	unconfirmedOver := max(promisesOver, n.recordSeenAt.Add(n.timing.withDrift(n.timing.MaxUnconfirmed)))
	rank, _ := n.successorRank()
	switch {
	case rank < 0 && len(n.record.Successors) > 0, n.isTakeoverWithheld():
		return unconfirmedOver
	case rank < 0:
		// No successor is named, so any member may try. One that still gets
		// leases has no reason to.
		return max(promisesOver, termLeaseOver, n.member.lastGrantAt.Add(2*n.timing.HeartbeatInterval))
	case n.successor.stepDownVersion == n.version:
		return n.successor.actingGrantedUntil
	}
	return max(promisesOver, termLeaseOver).Add(time.Duration(rank) * takeoverStagger)
}

// isTakeoverWithheld reports whether GroupRecord.PendingSuccessor keeps this
// node from taking over.
func (n *Node) isTakeoverWithheld() bool {
	return n.record.PendingSuccessor.Node == n.self.Node && n.successor.activeVersion != n.version
}

// tickSuccessor takes over when this node may and the store is known to answer.
func (n *Node) tickSuccessor() {
	if n.record == nil || n.coordinator != nil {
		return
	}
	n.tickActing()
	at := n.takeoverAt()
	if at == never || n.store.pendingWrite != nil {
		return
	}
	n.wakeAt(at)
	probeFrom := at.Add(-n.timing.StoreSlowAfter)
	if n.now < probeFrom {
		n.wakeAt(probeFrom)
		return
	}
	// The node reads before it writes: a write to an unavailable store may take
	// effect late, and until its outcome is known this node can give no promise.
	if n.store.lastSuccessSentAt >= probeFrom && n.now < n.store.lastSuccessSentAt.Add(storeProbeInterval) && !n.store.unavailable {
		if n.now >= at {
			n.takeOver()
		}
		return
	}
	if n.now >= n.successor.nextProbeAt {
		n.successor.nextProbeAt = n.now.Add(storeProbeInterval)
		n.store.readWanted = true
	}
	n.wakeAt(n.successor.nextProbeAt)
}

// onPromiseRequest answers the coordinator's request not to take over.
func (n *Node) onPromiseRequest(r *PromiseRequest) {
	if r.Record != nil {
		n.learnRecord(r.Record, r.Version)
	}
	if r.Term >= n.term && r.To == n.self {
		n.dropOverwrittenTakeover(r)
	}
	a := &PromiseAnswer{Group: n.cfg.Group, From: n.self, Term: n.term, Seq: r.Seq, Version: n.version}
	a.Verdict = n.promiseVerdict(r)
	if a.Verdict == Granted {
		n.endActing()
		until := n.now.Add(n.timing.withDrift(n.timing.PromiseDuration))
		n.successor.promisedUntil = max(n.successor.promisedUntil, until)
		a.MayReassign = n.now >= n.successor.noReassignUntil && n.now >= n.successor.actingGrantedUntil
		if r.Active && r.Version == n.version {
			n.successor.activeVersion = n.version
		}
	}
	n.sendToRun(r.From, a)
}

// dropOverwrittenTakeover drops a takeover write that can no longer take effect
// because the coordinator has written the record since.
func (n *Node) dropOverwrittenTakeover(r *PromiseRequest) {
	p := n.store.pendingWrite
	if p != nil && p.kind == writeTakeover && r.Version > p.ifVersion && r.Term < p.record.Term {
		n.store.pendingWrite = nil
		n.onWriteNotCurrent(p)
	}
}

// promiseVerdict decides whether to grant the promise that r asks for.
func (n *Node) promiseVerdict(r *PromiseRequest) Verdict {
	switch {
	case r.To != n.self, r.Term < n.term, n.coordinator != nil:
		return RefusedTerm
	case n.store.pendingWrite != nil:
		return RefusedTakeover
	case r.Revision < n.revision:
		return RefusedRevision
	case r.Version < n.version:
		return RefusedTerm
	case n.coordinatorMissesAnswers(r):
		return RefusedNoAuthority
	}
	if r.Term > n.term {
		n.learnTerm(r.Term, core.Member{})
	}
	return Granted
}

// coordinatorMissesAnswers reports whether the coordinator has not received the
// last answers. A coordinator that can send but not receive has no authority,
// yet its requests would keep the successors from taking over.
func (n *Node) coordinatorMissesAnswers(r *PromiseRequest) bool {
	s := &n.successor
	if s.lastAckedTerm != r.Term || r.Answered > s.lastAckedSeq {
		s.lastAckedSeq, s.lastAckedTerm, s.unackedRequests = r.Answered, r.Term, 0
		return false
	}
	s.unackedRequests++
	return s.unackedRequests >= 2
}

// onStepDown lets this node take over at once.
func (n *Node) onStepDown(d *StepDown) {
	if n.record != nil && n.coordinator == nil && d.Term == n.record.Term && d.From == n.record.Coordinator && d.Version == n.version {
		n.successor.stepDownVersion = n.version
		n.successor.nextProbeAt = 0
	}
}

// actingPartner returns the other successor if both may act together.
func (n *Node) actingPartner() (Run, bool) {
	rank, sameRun := n.successorRank()
	if !sameRun || len(n.record.Successors) != 2 || n.record.PendingSuccessor != (Run{}) || n.record.Term != n.term || n.member.left {
		return Run{}, false
	}
	return n.record.Successors[1-rank], true
}

// actingLimit returns until when this node may act, or let the other successor
// act. The limit is counted from its last promise, of which the coordinator
// knows the latest possible time.
func (n *Node) actingLimit() clock.Instant { return n.successor.promisedUntil.Add(n.timing.MaxActing) }

// tickActing asks the other successor for permission to act while the store is
// unavailable and no promise binds this node.
func (n *Node) tickActing() {
	s := &n.successor
	if s.acting && n.now >= s.actingUntil {
		n.endActing()
	}
	if s.acting {
		n.wakeAt(s.actingUntil)
		n.renewOwnWhileActing()
	}
	partner, ok := n.actingPartner()
	if !ok || n.now < s.promisedUntil || n.now >= n.actingLimit() || !n.store.unavailable {
		return
	}
	if n.now < s.nextActingRequestAt {
		n.wakeAt(s.nextActingRequestAt)
		return
	}
	s.nextActingRequestAt = n.now.Add(n.timing.HeartbeatInterval)
	n.wakeAt(s.nextActingRequestAt)
	s.lastActingSeq++
	s.sentActingRequests[s.lastActingSeq%uint64(len(s.sentActingRequests))] = sentMessage{seq: s.lastActingSeq, at: n.now}
	n.sendToRun(partner, &ActingRequest{
		Group: n.cfg.Group, From: n.self, To: partner, Term: n.term, Seq: s.lastActingSeq, Version: n.version,
	})
	if s.acting {
		n.announceActing()
	}
}

// onActingRequest decides whether the other successor may act.
func (n *Node) onActingRequest(r *ActingRequest) {
	a := &ActingAnswer{Group: n.cfg.Group, From: n.self, Term: n.term, Seq: r.Seq, Verdict: RefusedActing}
	if r.To != n.self || n.record == nil || n.coordinator != nil {
		return
	}
	partner, ok := n.actingPartner()
	switch {
	case !ok || partner != r.From || r.Term != n.term || r.Version != n.version:
		a.Verdict = RefusedTerm
	case n.store.pendingWrite != nil:
		a.Verdict = RefusedTakeover
	case n.now < n.successor.promisedUntil || n.now >= n.actingLimit() || n.reachesStore():
	default:
		a.Verdict = Granted
		n.successor.actingGrantedUntil = max(n.successor.actingGrantedUntil, n.now.Add(n.timing.withDrift(n.timing.PromiseDuration)))
		n.successor.noReassignUntil = max(n.successor.noReassignUntil, n.successor.actingGrantedUntil.Add(n.timing.withDrift(n.timing.MemberLease)))
	}
	n.sendToRun(r.From, a)
}

// reachesStore reports whether the store has answered this node lately. A
// takeover is then better than acting.
func (n *Node) reachesStore() bool {
	return !n.store.unavailable && n.store.lastSuccessSentAt > 0 && n.now < n.store.lastSuccessSentAt.Add(3*storeProbeInterval)
}

// onActingAnswer begins or prolongs acting for Timing.PromiseDuration, counted
// from when the request was sent.
func (n *Node) onActingAnswer(a *ActingAnswer) {
	s := &n.successor
	sent := s.sentActingRequests[a.Seq%uint64(len(s.sentActingRequests))]
	if a.Verdict != Granted || sent.seq != a.Seq || a.Term != n.term || n.record == nil || n.coordinator != nil {
		return
	}
	if partner, ok := n.actingPartner(); !ok || partner != a.From || n.now < s.promisedUntil {
		return
	}
	s.actingUntil = max(s.actingUntil, min(sent.at.Add(n.timing.PromiseDuration), n.actingLimit()))
	if !s.acting && n.now < s.actingUntil {
		s.acting = true
		n.recordEvent(EventActingBegan, n.self, core.Range{})
		n.announceActing()
	}
}

// announceActing tells the members to renew their leases with this node.
func (n *Node) announceActing() {
	for _, m := range n.record.Table.Members {
		if RunOf(m) != n.self && RunOf(m) != n.record.Coordinator {
			n.send(m, &TermNotice{Group: n.cfg.Group, From: n.cfg.Self, Term: n.term, Acting: true})
		}
	}
}

// endActing stops renewing leases. Until the last renewed one has expired, the
// coordinator may renew leases but reassign nothing.
func (n *Node) endActing() {
	s := &n.successor
	if !s.acting {
		return
	}
	s.acting, s.actingUntil = false, 0
	s.noReassignUntil = max(s.noReassignUntil, s.lastActingRenewalAt.Add(n.timing.withDrift(n.timing.MemberLease)))
	n.recordEvent(EventActingEnded, n.self, core.Range{})
}

// renewOwnWhileActing renews the lease of this node itself while it acts.
func (n *Node) renewOwnWhileActing() {
	if n.member.leaseTerm == n.term && n.now < n.leaseEnd() {
		n.successor.lastActingRenewalAt = n.now
		n.member.leaseEnd = max(n.member.leaseEnd, n.now.Add(n.timing.MemberLease))
	}
}

// answerAsNonCoordinator answers a renewal at a node that does not coordinate.
// It grants the renewal only while the node acts.
func (n *Node) answerAsNonCoordinator(r *Renew) {
	if !n.successor.acting || n.now >= n.successor.actingUntil || r.Leaving {
		a := n.newAnswer(r, RefusedNotCoordinator)
		if n.termCoordinator.Node != "" && n.termCoordinator.Node != n.self.Node {
			coordinator := n.termCoordinator
			a.Coordinator = &coordinator
		}
		n.sendAnswer(r, a)
		return
	}
	switch {
	case r.From == n.record.Coordinator:
		return
	case r.Term != n.term:
		n.sendAnswer(r, n.newAnswer(r, RefusedTerm))
	case r.Revision < n.revision:
		n.sendAnswer(r, n.newAnswer(r, RefusedRevision))
	default:
		n.successor.lastActingRenewalAt = n.now
		a := n.newAnswer(r, Granted)
		a.Acting, a.Table = true, r.Table
		n.sendAnswer(r, a)
	}
}
