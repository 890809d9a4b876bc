package ownership

import (
	"time"

	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// sentRenewal remembers when and to whom a Renew was sent; a lease is counted
// from then.
type sentRenewal struct {
	seq uint64
	at  clock.Instant
	to  core.Member
}

// fullRetry is how often a node asks again in a group without room. Its caller
// usually takes it to another group before.
const fullRetry = 5 * time.Second

// member is the state of the lease holder.
type member struct {
	// full is set while the coordinator has no room for this node.
	full      bool
	table     *core.Table
	leaseTerm uint64
	leaseEnd  clock.Instant
	seq       uint64
	answered  uint64
	sent      [16]sentRenewal
	nextRenew clock.Instant
	nextFind  clock.Instant
	lastGrant clock.Instant
	mustJoin  bool

	// actor is the successor that acts for the coordinator until actorUntil.
	actor      core.Member
	actorUntil clock.Instant

	released []HeldRange
	moves    []*memberMove

	draining, stopping bool
	drainAt, acceptAt  clock.Instant
	accepted           bool
	exchangesDrained   bool
	left               bool

	// ownCache and movingCache hold for the table and change count they were
	// built from.
	ownCache    []HeldRange
	movingCache []core.Range
	cacheTable  *core.Table
	changes     int
	cacheAt     int
}

// leaseEnd returns until when this node may serve its ranges. A coordinator
// serves as long as it has authority.
func (n *Node) leaseEnd() clock.Instant {
	if n.c != nil {
		return n.authorityEnd()
	}
	end := n.m.leaseEnd
	if p := n.store.pend; p != nil && p.kind == writeTakeover {
		// If the takeover took effect unnoticed, the next successor treats
		// this node's ranges as free L(1+D) after it saw the record.
		end = min(end, p.firstSent.Add(n.t.TermLease))
	}
	return end
}

func (n *Node) reason() Reason {
	m := &n.m
	switch {
	case m.left || n.leaving() && n.alone():
		return ReasonLeft
	case n.leaving():
		return ReasonLeaving
	case m.stopping && n.now >= m.drainAt.Add(n.t.Stop),
		m.draining && m.accepted && n.now >= m.acceptAt.Add(n.t.Stop):
		return ReasonDraining
	case m.full:
		return ReasonGroupFull
	case n.now >= n.leaseEnd():
		return ReasonNoLease
	}
	return ReasonServing
}

// alone reports whether this node coordinates a group without other members,
// so that nobody is left to confirm that it leaves.
func (n *Node) alone() bool { return n.c != nil && len(n.c.infos) <= 1 }

// leaving reports whether the node has stopped serving for good.
func (n *Node) leaving() bool {
	m := &n.m
	if !m.stopping || !m.exchangesDrained {
		return false
	}
	own, moving := n.own()
	return n.now >= m.drainAt.Add(n.t.Stop) || len(own)+len(moving) == 0
}

// own returns the ranges that this node serves, and those that wait for their
// hand-over.
func (n *Node) own() ([]HeldRange, []core.Range) {
	m := &n.m
	if m.table == nil {
		return nil, nil
	}
	if m.cacheTable == m.table && m.cacheAt == m.changes {
		return m.ownCache, m.movingCache
	}
	var own []HeldRange
	var moving []core.Range
	for _, e := range m.table.Entries {
		if ownerOf(m.table, e) != n.self {
			continue
		}
		for _, r := range m.unreleased(e) {
			served := []core.Range{r}
			for _, mv := range m.moves {
				if mv.phase == moveStopping && mv.rng.Overlaps(r) {
					moving = append(moving, mv.rng.Intersect(r))
					served = core.SubtractAll(served, mv.rng)
				}
			}
			for _, s := range served {
				own = append(own, HeldRange{Range: s, Token: e.Token})
			}
		}
	}
	m.ownCache, m.movingCache, m.cacheTable, m.cacheAt = own, moving, m.table, m.changes
	return own, moving
}

// unreleased returns the parts of e that were not released under its token or
// a newer one. A delayed table may still name this node as their owner.
func (m *member) unreleased(e core.Entry) []core.Range {
	out := []core.Range{e.Range}
	for _, r := range m.released {
		if !r.Token.Less(e.Token) {
			out = core.SubtractAll(out, r.Range)
		}
	}
	return out
}

// setTable installs a table and forgets releases that newer tokens supersede.
func (n *Node) setTable(t *core.Table) {
	m := &n.m
	m.table = t
	m.changes++
	m.released = slices.DeleteFunc(m.released, func(r HeldRange) bool {
		for _, e := range t.Entries {
			if e.Range.Overlaps(r.Range) && !r.Token.Less(e.Token) {
				return false
			}
		}
		return true
	})
}

func (n *Node) tickMember() {
	m := &n.m
	if m.left {
		return
	}
	n.expireHandOvers()
	if m.stopping {
		n.wakeAt(m.drainAt.Add(n.t.Stop))
	}
	if m.draining && m.accepted {
		n.wakeAt(m.acceptAt.Add(n.t.Stop))
	}
	if n.c != nil {
		return
	}
	n.wakeAt(n.leaseEnd())
	if n.now >= m.nextRenew {
		m.nextRenew = n.now.Add(n.t.HeartbeatInterval)
		n.sendRenewals()
	}
	n.wakeAt(m.nextRenew)
	n.findCoordinator()
}

// findCoordinator reads the record when renewals have been in vain for long.
func (n *Node) findCoordinator() {
	m := &n.m
	quiet := max(m.lastGrant, n.started).Add(n.t.MemberLease)
	if n.now < quiet {
		n.wakeAt(quiet)
		return
	}
	if n.now >= m.nextFind {
		m.nextFind = n.now.Add(4 * n.t.HeartbeatInterval)
		n.store.getWanted = true
	}
	n.wakeAt(m.nextFind)
}

func (n *Node) sendRenewals() {
	if n.coordinator.Node != "" && RunOf(n.coordinator) != n.self {
		n.sendRenew(n.coordinator)
	}
	if n.now < n.m.actorUntil && n.m.actor.Node != n.coordinator.Node {
		n.sendRenew(n.m.actor)
	}
}

func (n *Node) sendRenew(to core.Member) {
	m := &n.m
	m.seq++
	m.sent[m.seq%uint64(len(m.sent))] = sentRenewal{seq: m.seq, at: n.now, to: to}
	r := &Renew{
		Group: n.cfg.Group, From: n.self, Term: n.term, Seq: m.seq, Answered: m.answered, Revision: n.revision,
		Draining: m.draining, Stopping: m.stopping, Leaving: n.leaving(),
	}
	if m.table != nil {
		r.Table = m.table.Version
	}
	// Without a lease the member may have been removed; the coordinator then
	// knows no address to answer to.
	if m.mustJoin || n.now >= n.leaseEnd() || m.table == nil || indexOf(m.table, n.self) < 0 {
		self := n.cfg.Self
		r.Join = &self
	}
	if m.leaseTerm < n.term && n.now < n.leaseEnd() {
		own, _ := n.own()
		r.Claim = &Claim{Term: m.leaseTerm, Ranges: own}
	}
	n.send(to, r)
}

func (n *Node) onRenewAnswer(a *RenewAnswer) {
	m := &n.m
	s := m.sent[a.Seq%uint64(len(m.sent))]
	if a.To != n.self || s.seq != a.Seq || n.c != nil || m.left {
		return
	}
	m.answered = max(m.answered, a.Seq)
	n.wantRevision = max(n.wantRevision, a.Revision)
	if a.Removed && n.leaving() {
		m.left, m.leaseEnd = true, 0
		n.journal(EventMemberLeft, n.self, core.Range{})
		return
	}
	m.full = false
	switch a.Verdict {
	case Granted:
		if a.Acting {
			n.extend(a, s)
		} else {
			n.granted(a, s)
		}
	case RefusedClaimNeeded:
		to := s.to
		to.Incarnation = a.From.Incarnation
		n.setTerm(a.Term, to)
		m.mustJoin = true
		m.nextRenew = min(m.nextRenew, n.now.Add(n.t.HeartbeatInterval/16))
	case RefusedGroupFull:
		m.full = true
		m.nextRenew = n.now.Add(fullRetry)
	case RefusedNotCoordinator:
		n.redirect(a, s)
	}
}

// redirect follows the answer of a node that does not coordinate the group.
func (n *Node) redirect(a *RenewAnswer, s sentRenewal) {
	if a.Coordinator == nil || a.Term < n.term || RunOf(*a.Coordinator) == n.self {
		return
	}
	n.setTerm(a.Term, *a.Coordinator)
	if RunOf(n.coordinator) == RunOf(s.to) && a.Term == n.term {
		n.coordinator = *a.Coordinator
	}
}

// granted installs a lease of the coordinator.
func (n *Node) granted(a *RenewAnswer, s sentRenewal) {
	m := &n.m
	if a.Term < n.term || RunOf(s.to) != a.From {
		return
	}
	n.setTerm(a.Term, s.to)
	if m.table != nil && a.Table.Less(m.table.Version) {
		return // overtaken by a newer answer or push
	}
	if a.NewTable != nil && a.NewTable.Version == a.Table {
		n.setTable(a.NewTable)
	}
	if m.table == nil || m.table.Version != a.Table {
		return
	}
	end := s.at.Add(n.t.MemberLease)
	if a.Term == m.leaseTerm {
		end = max(end, m.leaseEnd)
	}
	m.leaseTerm, m.leaseEnd = a.Term, end
	m.lastGrant, m.mustJoin, m.nextFind = n.now, false, 0
	if a.DrainAccepted && !m.accepted {
		m.accepted, m.acceptAt = true, n.now
	}
}

// extend prolongs a lease on behalf of a lost coordinator. An expired lease is
// not revived: its ranges may have been reassigned before acting began.
func (n *Node) extend(a *RenewAnswer, s sentRenewal) {
	m := &n.m
	if a.Term != n.term || a.Term != m.leaseTerm || n.now >= m.leaseEnd || RunOf(s.to) != a.From {
		return
	}
	m.leaseEnd = max(m.leaseEnd, s.at.Add(n.t.MemberLease))
	m.lastGrant = n.now
	m.actorUntil = n.now.Add(4 * n.t.HeartbeatInterval)
}

// onTablePush installs a newer table under the lease that is held.
func (n *Node) onTablePush(p *TablePush) {
	m := &n.m
	if n.c != nil || m.left || p.Term != n.term || p.Term != m.leaseTerm || n.now >= n.leaseEnd() {
		return
	}
	if m.table != nil && m.table.Version.Less(p.Table.Version) {
		n.setTable(p.Table)
	}
}

func (n *Node) onTermNotice(t *TermNotice) {
	if t.Term < n.term || RunOf(t.From) == n.self {
		return
	}
	if t.Acting {
		if t.Term == n.term && n.c == nil {
			fresh := n.now >= n.m.actorUntil
			n.m.actor, n.m.actorUntil = t.From, n.now.Add(4*n.t.HeartbeatInterval)
			if fresh {
				n.m.nextRenew = n.now
			}
		}
		return
	}
	if t.Term > n.term || n.coordinator.Node == "" {
		n.setTerm(t.Term, t.From)
	}
	if n.c == nil && n.m.leaseTerm < n.term {
		n.m.nextRenew = n.now
	}
}
