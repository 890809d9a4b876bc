package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// info is what the coordinator knows of one member.
type info struct {
	run    Run
	member core.Member
	// lastAnswer is when the last lease was granted, lastHeard when the last
	// Renew arrived.
	lastAnswer, lastHeard clock.Instant
	// inTable is set once a table names the member.
	inTable bool
	// fenced members get no lease any more; their ranges are being reassigned.
	fenced bool
	// adopted is set once the member's claim has been dealt with.
	adopted            bool
	draining, stopping bool
	accepted, behind   bool
	nextDrain          clock.Instant
	// answered is the newest answer that the member has confirmed, stalled
	// counts renewals since that confirmed no newer one, and reachedAt is when
	// the newest confirmed answer was sent.
	answered  uint64
	stalled   int
	reachedAt clock.Instant
	// proven is set once the member has confirmed an answer; a member that
	// joins gets no ranges before.
	proven    bool
	sent      [8]sentRenewal
	nextShare clock.Instant
}

// coordinator is the state of the node that coordinates a term.
type coordinator struct {
	term  uint64
	seq   uint64
	table *core.Table
	infos []*info

	// confirmedSent is when the last confirmed write was sent.
	confirmedSent clock.Instant
	// unwritten is set while the granted table is not in the store.
	unwritten bool
	wants     []assign
	draft     *draft
	// yielded is set once the coordinator has given up its authority.
	yielded bool
	// alone is set while the coordinator goes on without contact to the group.
	alone bool

	promises    []*promise
	pairs       []pair
	promiseSeq  uint64
	nextPromise clock.Instant
	nextNotice  clock.Instant
	noticeUntil clock.Instant

	// frozen ranges may be held by an unknown member until frozenUntil.
	frozen      []frozen
	frozenUntil clock.Instant
	// vacant ranges belonged to the former coordinator.
	vacant   []core.Range
	vacantAt clock.Instant

	moves    []*move
	lastMove uint64
}

type frozen struct {
	rng   core.Range
	owner Run
}

func (c *coordinator) info(run Run) *info {
	for _, i := range c.infos {
		if i.run == run {
			return i
		}
	}
	return nil
}

// authorityEnd returns until when this coordinator may grant leases.
func (n *Node) authorityEnd() clock.Instant {
	if n.c.yielded {
		return 0
	}
	return max(n.c.confirmedSent.Add(n.t.TermLease), n.promiseEnd())
}

// promiseEnd returns until when every successor has promised not to take over.
// A successor of a write that is still unresolved counts as well. Without
// successors there is no promise, because then any member may take over.
func (n *Node) promiseEnd() clock.Instant {
	end := n.c.confirmedSent.Add(n.t.Orphan)
	runs := n.rec.Successors
	if len(runs) == 0 {
		return 0
	}
	for _, r := range runs {
		end = min(end, n.c.promise(r).until)
	}
	if p := n.store.pend; p != nil && p.kind == writeUpdate {
		if len(p.rec.Successors) == 0 {
			return 0 // the write may be in force already
		}
		for _, r := range p.rec.Successors {
			end = min(end, n.c.promise(r).until)
		}
	}
	return end
}

func (n *Node) hasAuthority() bool { return n.now < n.authorityEnd() }

func (n *Node) tickCoordinator() {
	c := n.c
	if c == nil {
		return
	}
	n.wakeAt(n.authorityEnd())
	if c.yielded {
		return
	}
	n.tickPromises()
	n.notifyTerm()
	n.expireMembers()
	n.settleTakeover()
	n.tickMoves()
	n.shareWithJoined()
	n.driveDrains()
	n.tickWrites()
	n.retire()
}

// notifyTerm tells members of a new term until they have renewed.
func (n *Node) notifyTerm() {
	c := n.c
	if n.now >= c.noticeUntil {
		return
	}
	if n.now < c.nextNotice {
		n.wakeAt(c.nextNotice)
		return
	}
	c.nextNotice = n.now.Add(n.t.HeartbeatInterval / 2)
	n.wakeAt(c.nextNotice)
	for _, i := range c.infos {
		if i.run != n.self && i.lastHeard == 0 {
			n.send(i.member, &TermNotice{Group: n.cfg.Group, From: n.cfg.Self, Term: c.term})
		}
	}
}

// onRenew answers a member's renewal.
func (n *Node) onRenew(r *Renew) {
	if r.From == n.self {
		return
	}
	if n.c != nil && r.Term > n.c.term {
		n.setTerm(r.Term, core.Member{})
		n.store.getWanted = true
	}
	if n.c == nil {
		n.answerAsOther(r)
		return
	}
	i := n.c.info(r.From)
	if i == nil && r.Join != nil && !r.Leaving {
		i = n.join(*r.Join)
	}
	if i == nil {
		verdict := RefusedClaimNeeded
		if r.Join != nil && !r.Leaving {
			verdict = RefusedGroupFull
		}
		a := n.answer(r, verdict)
		a.Removed = r.Leaving
		n.sendAnswer(r, a)
		return
	}
	i.draining, i.stopping = r.Draining, r.Stopping
	if !r.Draining {
		i.accepted = false
	}
	if r.Leaving && slices.Contains(n.rec.Successors, i.run) && !n.storeReady() {
		// Its promise is needed until the store can name another successor.
		n.send(i.member, n.renew(i, r))
		return
	}
	if r.Leaving {
		n.memberLeaves(i)
		a := n.answer(r, RefusedClaimNeeded)
		a.Removed = true
		n.send(i.member, a)
		return
	}
	n.send(i.member, n.renew(i, r))
}

func (n *Node) sendAnswer(r *Renew, a *RenewAnswer) {
	if r.Join != nil {
		n.send(*r.Join, a)
		return
	}
	n.sendRun(r.From, a)
}

func (n *Node) answer(r *Renew, v Verdict) *RenewAnswer {
	return &RenewAnswer{
		Group: n.cfg.Group, From: n.self, To: r.From, Term: n.term, Seq: r.Seq,
		Verdict: v, Revision: n.revision,
	}
}

// renew decides about the renewal of a known member.
func (n *Node) renew(i *info, r *Renew) *RenewAnswer {
	c := n.c
	if r.Term < c.term {
		return n.answer(r, RefusedClaimNeeded)
	}
	i.confirm(r)
	i.lastHeard = n.now
	i.behind = r.Revision < n.revision
	i.sent[r.Seq%uint64(len(i.sent))] = sentRenewal{seq: r.Seq, at: n.now}
	switch {
	case i.behind:
		return n.answer(r, RefusedRevision)
	case i.fenced || !n.hasAuthority() || i.stalled >= 2:
		return n.answer(r, RefusedNoAuthority)
	}
	if !i.adopted {
		n.adopt(i, r.Claim)
	}
	i.lastAnswer = n.now
	a := n.answer(r, Granted)
	a.Table, a.DrainAccepted = c.table.Version, i.accepted
	if r.Table != c.table.Version {
		a.NewTable = c.table
	}
	return a
}

// confirm notes which answers have reached the member. Without this, a member
// that can send but not receive would keep its ranges and serve none of them.
func (i *info) confirm(r *Renew) {
	if r.Answered <= i.answered && i.lastHeard > 0 {
		i.stalled++
		return
	}
	i.answered, i.stalled = r.Answered, 0
	if s := i.sent[r.Answered%uint64(len(i.sent))]; s.seq == r.Answered && s.at > 0 {
		i.reachedAt, i.proven = s.at, true
	}
}

// join adds a run to the group. It gets ranges after the next write.
func (n *Node) join(m core.Member) *info {
	c := n.c
	if c.nodesBut(m.Node) >= MaxMembers {
		return nil
	}
	for _, p := range c.promises {
		if p.run.Node == m.Node && p.run != RunOf(m) && p.declaredLost == 0 {
			p.declaredLost = n.now // a new run at an address proves the end of the former one
		}
	}
	i := &info{run: RunOf(m), member: m, adopted: true, lastHeard: n.now, lastAnswer: n.now}
	c.infos = append(c.infos, i)
	n.journal(EventMemberJoined, i.run, core.Range{})
	return i
}

// nodesBut counts the distinct nodes of the group other than one. Former runs
// of a node do not count, so that a whole group can restart.
func (c *coordinator) nodesBut(node core.NodeID) int {
	seen := map[core.NodeID]bool{}
	for _, i := range c.infos {
		if i.run.Node != node {
			seen[i.run.Node] = true
		}
	}
	return len(seen)
}

// memberLeaves reassigns the ranges of a member that declared that it serves
// nothing any more; its lease need not be waited for.
func (n *Node) memberLeaves(i *info) {
	if !i.fenced {
		n.journal(EventMemberLeft, i.run, core.Range{})
		n.fence(i)
	}
}

// expireMembers reassigns the ranges of members whose leases have run out.
func (n *Node) expireMembers() {
	for _, i := range n.c.infos {
		if i.run == n.self || i.fenced {
			continue
		}
		free := i.lastAnswer.Add(n.t.stretch(n.t.MemberLease))
		if n.skipLeaseWait {
			free = i.lastAnswer.Add(n.t.HeartbeatInterval * 3 / 2)
		}
		if !i.behind && i.stalled < 2 {
			// A member that is heard renews as soon as there is authority.
			free = max(free, i.lastHeard.Add(2*n.t.HeartbeatInterval))
		}
		if n.now < free {
			n.wakeAt(free)
			continue
		}
		if !n.mayReassign() {
			continue
		}
		n.journal(EventMemberLost, i.run, core.Range{})
		n.fence(i)
	}
}

// fence stops leases for a member. The next draft leaves it out, and its ranges
// go to others.
func (n *Node) fence(i *info) {
	i.fenced = true
	n.c.moves = slices.DeleteFunc(n.c.moves, func(m *move) bool { return m.from == i.run })
}

// targets lists the runs that may be given ranges, in member order.
func (n *Node) targets() []Run {
	var out []Run
	for _, i := range n.c.infos {
		if n.usable(i) {
			out = append(out, i.run)
		}
	}
	if len(out) == 0 && !n.m.stopping {
		out = append(out, n.self)
	}
	return out
}

// usable reports whether a member is alive and may be given ranges.
func (n *Node) usable(i *info) bool {
	if i.fenced || i.draining || !n.alive(i) {
		return false
	}
	if i.run == n.self && (n.m.draining || n.m.stopping) {
		return false
	}
	return n.cfg.Eligible == nil || n.cfg.Eligible(i.member, n.now)
}

func (n *Node) alive(i *info) bool {
	if i.run == n.self {
		return true
	}
	return i.proven && !i.behind && i.stalled < 2 && n.heardLately(i)
}

func (n *Node) heardLately(i *info) bool {
	return i.lastHeard > 0 && n.now < i.lastHeard.Add(5*n.t.HeartbeatInterval/2)
}

// stepDown makes the coordinator a member without a lease: the new coordinator
// regards its ranges as free.
func (n *Node) stepDown() {
	n.journal(EventSteppedDown, n.self, core.Range{})
	n.m.leaseTerm, n.m.leaseEnd = n.c.term, 0
	n.c = nil
	n.m.nextRenew, n.m.lastGrant = n.now, n.now
	n.m.accepted = false
}
