package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// vacantWait is how long a new coordinator waits before it divides the ranges
// of the former one, so that members which renew in the meantime get a share.
const vacantWait = 100 * time.Millisecond

// createGroup writes the first record of a group, which gives this node the
// whole key range of the group.
func (n *Node) createGroup() {
	token := core.Token{Term: 1, Sequence: 1}
	table := core.Table{
		Group: n.cfg.Group, Version: token, Members: []core.Member{n.cfg.Self},
		Entries: []core.Entry{{Range: n.cfg.KeyRange, Owner: 0, Token: token}},
	}
	n.submitWrite(writeCreate, &GroupRecord{Term: 1, Coordinator: n.self, Table: table}, 0)
}

// takeOver submits the record of the next term.
func (n *Node) takeOver() {
	n.successor.formerCoordinator = n.record.Coordinator
	n.submitWrite(writeTakeover, n.takeoverRecord(), n.version)
}

// takeoverRecord returns the present record under the next term. The record
// names this node as the owner only of ranges that it holds at this moment,
// because a later successor treats the recorded ranges of the coordinator as
// free at once.
func (n *Node) takeoverRecord() *GroupRecord {
	prev := n.record
	version := core.Token{Term: prev.Term + 1, Sequence: 1}
	members := slices.Clone(prev.Table.Members)
	if indexOf(&prev.Table, n.self) < 0 {
		members = append(members, n.cfg.Self)
	}
	table := withMembers(&prev.Table, members)
	ownIndex := indexOf(table, n.self)
	for i := range table.Entries {
		if table.Entries[i].Owner == ownIndex {
			table.Entries[i].Owner = core.NoOwner
		}
	}
	if n.now < n.member.leaseEnd && n.member.leaseTerm == prev.Term {
		own, _ := n.ownRanges()
		for _, h := range own {
			table.Entries = replaceRange(table.Entries, core.Entry{Range: h.Range, Owner: ownIndex, Token: h.Token})
		}
	}
	table.Version = version
	return &GroupRecord{
		Term: version.Term, Coordinator: n.self, Table: *table,
		Successors: n.remainingSuccessor(),
	}
}

// remainingSuccessor returns the other named successor of the present record. A
// second one is added only once it has been heard: if both named successors
// were gone, every reassignment would wait until they cannot act any more.
func (n *Node) remainingSuccessor() []Run {
	for _, r := range n.record.Successors {
		if r.Node != n.self.Node {
			return []Run{r}
		}
	}
	return nil
}

// becomeCoordinator starts a term whose record is confirmed. Leases of the
// former term end M(1+D) after the write was sent, or after the last renewal
// that this node granted while it acted (M is Timing.MemberLease, D is
// Timing.DriftPPM).
func (n *Node) becomeCoordinator(p *pendingWrite, sentAt clock.Instant) {
	formerCoordinator := n.successor.formerCoordinator
	lastLeaseAt := max(sentAt, n.successor.lastActingRenewalAt)
	n.term, n.termCoordinator = p.record.Term, n.cfg.Self
	n.endActing()
	n.dropMoves()
	c := &coordinatorState{
		term: p.record.Term, lastSequence: p.record.Table.Version.Sequence, confirmedWriteSentAt: sentAt,
		frozenUntil: lastLeaseAt.Add(n.timing.withDrift(n.timing.MemberLease)), vacantUntil: n.now.Add(vacantWait),
		noticeUntil: n.now.Add(10 * n.timing.HeartbeatInterval),
	}
	n.coordinator = c
	for _, m := range p.record.Table.Members {
		run := RunOf(m)
		info := &memberInfo{run: run, member: m, inTable: true, everReached: run != formerCoordinator, lastGrantAt: lastLeaseAt}
		info.claimSettled = run == n.self || run == formerCoordinator
		c.members = append(c.members, info)
	}
	c.initTable(&p.record.Table, n.self, formerCoordinator, p.kind == writeCreate)
	n.installTable(c.table)
	n.member.leaseTerm, n.member.leaseEnd = c.term, 0
	n.addPair(p.record.Successors)
	kind := EventTakeover
	if p.kind == writeCreate {
		kind = EventGroupCreated
	}
	n.recordEvent(kind, n.self, core.Range{})
}

// initTable builds the first table of a term. Ranges of the former coordinator
// become vacant, and those of all other members are frozen until they are
// claimed.
func (c *coordinatorState) initTable(stored *core.Table, self, formerCoordinator Run, created bool) {
	t := withMembers(stored, stored.Members)
	for k, e := range t.Entries {
		owner := ownerOf(t, e)
		switch {
		case created || owner == self:
			continue
		case owner == formerCoordinator && formerCoordinator != (Run{}):
			c.vacantRanges = append(c.vacantRanges, e.Range)
		default:
			c.frozenRanges = append(c.frozenRanges, frozenRange{keyRange: e.Range, owner: owner})
		}
		t.Entries[k].Owner = core.NoOwner
	}
	c.table = t
}

// adoptClaim assigns to a member the ranges that it claims to hold under a
// lease of an earlier term. Only frozen ranges can be claimed. The claim is
// exclusive because the lease behind it has not expired.
func (n *Node) adoptClaim(info *memberInfo, claim *Claim) {
	c := n.coordinator
	info.claimSettled = true
	if claim == nil || n.now >= c.frozenUntil {
		return
	}
	var assignments []assignment
	for _, h := range claim.Ranges {
		var rest []frozenRange
		for _, f := range c.frozenRanges {
			if !f.keyRange.Overlaps(h.Range) {
				rest = append(rest, f)
				continue
			}
			assignments = append(assignments, assignment{keyRange: f.keyRange.Intersect(h.Range), to: info.run, adoptedToken: h.Token})
			for _, r := range f.keyRange.Subtract(h.Range) {
				rest = append(rest, frozenRange{keyRange: r, owner: f.owner})
			}
			if f.owner != info.run {
				c.tableUnwritten = true // assigned by the former coordinator without a write
			}
		}
		c.frozenRanges = rest
	}
	if len(assignments) == 0 {
		return
	}
	n.recordEvent(EventLeaseAdopted, info.run, core.Range{})
	c.lastSequence++
	n.installTable(applyAssignments(c.table, assignments, core.Token{Term: c.term, Sequence: c.lastSequence}))
}

// releaseFormerRanges makes vacant and frozen ranges assignable once their
// waiting time is over. A frozen range returns to its recorded owner if that
// member may be given ranges.
func (n *Node) releaseFormerRanges() {
	c := n.coordinator
	if len(c.vacantRanges) > 0 {
		if n.now >= c.vacantUntil {
			c.vacantRanges = nil
		} else {
			n.wakeAt(c.vacantUntil)
		}
	}
	if len(c.frozenRanges) == 0 {
		return
	}
	if n.now < c.frozenUntil {
		n.wakeAt(c.frozenUntil)
		return
	}
	if !n.mayReassign() {
		return
	}
	for _, f := range c.frozenRanges {
		if info := c.findMember(f.owner); info != nil && n.isAssignable(info) {
			c.queue = append(c.queue, assignment{keyRange: f.keyRange, to: info.run})
		}
	}
	c.frozenRanges = nil
}
