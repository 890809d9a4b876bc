package ownership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// stagger separates the takeover attempts of the two successors.
	stagger = 250 * time.Millisecond
	// probeEvery is how often a successor that is free to take over tries the
	// store.
	probeEvery = time.Second
)

// successor is the state of a member in its role as a named successor.
type successor struct {
	// promised is until when this node must not take over, and actPromised
	// until when it must not because the other successor acts.
	promised, actPromised clock.Instant
	// noReassign is until when leases may exist that a successor renewed while
	// acting.
	noReassign clock.Instant
	// active is the version of the record for which the coordinator lifted
	// GroupRecord.Pending.
	active uint64
	// yielded is the record version at which the coordinator stepped down.
	yielded   uint64
	nextProbe clock.Instant
	takenFrom Run
	// answered is the newest answer that the coordinator of answeredTerm has
	// confirmed, and stalled counts requests since without a newer one.
	answered, answeredTerm uint64
	stalled                int

	acting     bool
	actUntil   clock.Instant
	lastActing clock.Instant
	nextAct    clock.Instant
	actSeq     uint64
	actSent    [8]sentRenewal
}

// rank returns this node's position among the named successors. exact tells
// whether this run is named, or only a former run of the node.
func (n *Node) rank() (rank int, exact bool) {
	for i, r := range n.rec.Successors {
		if r.Node == n.self.Node {
			return i, r == n.self
		}
	}
	return -1, false
}

// takeoverAt returns when this node may take over the record that it knows.
func (n *Node) takeoverAt() clock.Instant {
	if n.rec == nil || n.c != nil || n.rec.Term != n.term || n.m.left || n.leaving() {
		return never
	}
	seen := n.recSince.Add(n.t.stretch(n.t.TermLease))
	held := max(n.s.promised, n.s.actPromised)
	orphan := max(held, n.recSince.Add(n.t.stretch(n.t.Orphan)))
	rank, _ := n.rank()
	switch {
	case rank < 0 && len(n.rec.Successors) > 0, n.isPending():
		return orphan
	case rank < 0:
		// No successor is named. A node that gets leases has no reason to try.
		return max(held, seen, n.m.lastGrant.Add(2*n.t.HeartbeatInterval))
	case n.s.yielded == n.version:
		return n.s.actPromised
	}
	return max(held, seen).Add(time.Duration(rank) * stagger)
}

// isPending reports whether the record withholds the takeover from this node.
func (n *Node) isPending() bool {
	return n.rec.Pending.Node == n.self.Node && n.s.active != n.version
}

func (n *Node) tickSuccessor() {
	if n.rec == nil || n.c != nil {
		return
	}
	n.tickActing()
	at := n.takeoverAt()
	if at == never || n.store.pend != nil {
		return
	}
	n.wakeAt(at)
	early := at.Add(-n.t.StoreWait)
	if n.now < early {
		n.wakeAt(early)
		return
	}
	// A write that is sent to a store that is down may take effect late, and
	// until then no promise can be given. So a read comes first.
	if n.store.okAt >= early && n.now < n.store.okAt.Add(probeEvery) && !n.store.down {
		if n.now >= at {
			n.takeOver()
		}
		return
	}
	if n.now >= n.s.nextProbe {
		n.s.nextProbe = n.now.Add(probeEvery)
		n.store.getWanted = true
	}
	n.wakeAt(n.s.nextProbe)
}

// onPromiseRequest answers the coordinator's request not to take over.
func (n *Node) onPromiseRequest(r *PromiseRequest) {
	if r.Record != nil {
		n.learn(r.Record, r.Version)
	}
	if r.Term >= n.term && r.To == n.self {
		n.settleByVersion(r)
	}
	a := &PromiseAnswer{Group: n.cfg.Group, From: n.self, Term: n.term, Seq: r.Seq, Version: n.version}
	a.Verdict = n.promiseVerdict(r)
	if a.Verdict == Granted {
		n.endActing()
		until := n.now.Add(n.t.stretch(n.t.PromiseDuration))
		n.s.promised = max(n.s.promised, until)
		a.MayReassign = n.now >= n.s.noReassign && n.now >= n.s.actPromised
		if r.Active && r.Version == n.version {
			n.s.active = n.version
		}
	}
	n.sendRun(r.From, a)
}

// settleByVersion drops a takeover write that can no longer take effect,
// because the coordinator has written the record since.
func (n *Node) settleByVersion(r *PromiseRequest) {
	p := n.store.pend
	if p != nil && p.kind == writeTakeover && r.Version > p.ifVersion && r.Term < p.rec.Term {
		n.store.pend = nil
		n.writeFailed(p)
	}
}

func (n *Node) promiseVerdict(r *PromiseRequest) Verdict {
	switch {
	case r.To != n.self, r.Term < n.term, n.c != nil:
		return RefusedTerm
	case n.store.pend != nil:
		return RefusedTakeover
	case r.Revision < n.revision:
		return RefusedRevision
	case r.Version < n.version:
		return RefusedTerm
	case n.unconfirmed(r):
		return RefusedNoAuthority
	}
	if r.Term > n.term {
		n.setTerm(r.Term, core.Member{})
	}
	return Granted
}

// unconfirmed reports whether the coordinator has missed the last answers. A
// coordinator that can send but not receive would otherwise hold its
// successors back although it has no authority.
func (n *Node) unconfirmed(r *PromiseRequest) bool {
	s := &n.s
	if s.answeredTerm != r.Term || r.Answered > s.answered {
		s.answered, s.answeredTerm, s.stalled = r.Answered, r.Term, 0
		return false
	}
	s.stalled++
	return s.stalled >= 2
}

// onStepDown lets this node take over at once.
func (n *Node) onStepDown(d *StepDown) {
	if n.rec != nil && n.c == nil && d.Term == n.rec.Term && d.From == n.rec.Coordinator && d.Version == n.version {
		n.s.yielded = n.version
		n.s.nextProbe = 0
	}
}

// actingPartner returns the other successor if both may act together.
func (n *Node) actingPartner() (Run, bool) {
	rank, exact := n.rank()
	if !exact || len(n.rec.Successors) != 2 || n.rec.Pending != (Run{}) || n.rec.Term != n.term || n.m.left {
		return Run{}, false
	}
	return n.rec.Successors[1-rank], true
}

// actingLimit returns until when this node may act, or let another act. It is
// counted from its last promise, which the coordinator can bound as well.
func (n *Node) actingLimit() clock.Instant { return n.s.promised.Add(n.t.Acting) }

func (n *Node) tickActing() {
	s := &n.s
	if s.acting && n.now >= s.actUntil {
		n.endActing()
	}
	if s.acting {
		n.wakeAt(s.actUntil)
		n.renewOwnWhileActing()
	}
	partner, ok := n.actingPartner()
	if !ok || n.now < s.promised || n.now >= n.actingLimit() || !n.store.down {
		return
	}
	if n.now < s.nextAct {
		n.wakeAt(s.nextAct)
		return
	}
	s.nextAct = n.now.Add(n.t.HeartbeatInterval)
	n.wakeAt(s.nextAct)
	s.actSeq++
	s.actSent[s.actSeq%uint64(len(s.actSent))] = sentRenewal{seq: s.actSeq, at: n.now}
	n.sendRun(partner, &ActingRequest{
		Group: n.cfg.Group, From: n.self, To: partner, Term: n.term, Seq: s.actSeq, Version: n.version,
	})
	if s.acting {
		n.notifyActing()
	}
}

// onActingRequest decides whether the other successor may act.
func (n *Node) onActingRequest(r *ActingRequest) {
	a := &ActingAnswer{Group: n.cfg.Group, From: n.self, Term: n.term, Seq: r.Seq, Verdict: RefusedActing}
	if r.To != n.self || n.rec == nil || n.c != nil {
		return
	}
	partner, ok := n.actingPartner()
	switch {
	case !ok || partner != r.From || r.Term != n.term || r.Version != n.version:
		a.Verdict = RefusedTerm
	case n.store.pend != nil:
		a.Verdict = RefusedTakeover
	case n.now < n.s.promised || n.now >= n.actingLimit() || n.canTakeOverSoon():
	default:
		a.Verdict = Granted
		n.s.actPromised = max(n.s.actPromised, n.now.Add(n.t.stretch(n.t.PromiseDuration)))
		n.s.noReassign = max(n.s.noReassign, n.s.actPromised.Add(n.t.stretch(n.t.MemberLease)))
	}
	n.sendRun(r.From, a)
}

// canTakeOverSoon reports whether this node reaches the store, so that a
// takeover is better than acting.
func (n *Node) canTakeOverSoon() bool {
	return !n.store.down && n.store.okAt > 0 && n.now < n.store.okAt.Add(3*probeEvery)
}

func (n *Node) onActingAnswer(a *ActingAnswer) {
	s := &n.s
	sent := s.actSent[a.Seq%uint64(len(s.actSent))]
	if a.Verdict != Granted || sent.seq != a.Seq || a.Term != n.term || n.rec == nil || n.c != nil {
		return
	}
	if partner, ok := n.actingPartner(); !ok || partner != a.From || n.now < s.promised {
		return
	}
	s.actUntil = max(s.actUntil, min(sent.at.Add(n.t.PromiseDuration), n.actingLimit()))
	if !s.acting && n.now < s.actUntil {
		s.acting = true
		n.journal(EventActingBegan, n.self, core.Range{})
		n.notifyActing()
	}
}

func (n *Node) notifyActing() {
	for _, m := range n.rec.Table.Members {
		if RunOf(m) != n.self && RunOf(m) != n.rec.Coordinator {
			n.send(m, &TermNotice{Group: n.cfg.Group, From: n.cfg.Self, Term: n.term, Acting: true})
		}
	}
}

// endActing stops renewals. Until the last one has run out, the coordinator may
// renew leases but reassign nothing.
func (n *Node) endActing() {
	s := &n.s
	if !s.acting {
		return
	}
	s.acting, s.actUntil = false, 0
	s.noReassign = max(s.noReassign, s.lastActing.Add(n.t.stretch(n.t.MemberLease)))
	n.journal(EventActingEnded, n.self, core.Range{})
}

func (n *Node) renewOwnWhileActing() {
	if n.m.leaseTerm == n.term && n.now < n.leaseEnd() {
		n.s.lastActing = n.now
		n.m.leaseEnd = max(n.m.leaseEnd, n.now.Add(n.t.MemberLease))
	}
}

// answerAsOther answers a renewal at a node that does not coordinate.
func (n *Node) answerAsOther(r *Renew) {
	if !n.s.acting || n.now >= n.s.actUntil || r.Leaving {
		a := n.answer(r, RefusedNotCoordinator)
		if n.coordinator.Node != "" && n.coordinator.Node != n.self.Node {
			coordinator := n.coordinator
			a.Coordinator = &coordinator
		}
		n.sendAnswer(r, a)
		return
	}
	switch {
	case r.From == n.rec.Coordinator:
		return
	case r.Term != n.term:
		n.sendAnswer(r, n.answer(r, RefusedTerm))
	case r.Revision < n.revision:
		n.sendAnswer(r, n.answer(r, RefusedRevision))
	default:
		n.s.lastActing = n.now
		a := n.answer(r, Granted)
		a.Acting, a.Table = true, r.Table
		n.sendAnswer(r, a)
	}
}
