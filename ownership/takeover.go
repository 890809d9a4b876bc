package ownership

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// adoptWait is how long a new coordinator collects renewals before it divides
// the ranges of the former one among the members that have been heard.
const adoptWait = 100 * time.Millisecond

// createGroup writes the first record of a group, which gives this node the
// whole key space.
func (n *Node) createGroup() {
	token := core.Token{Term: 1, Sequence: 1}
	table := core.Table{
		Group: n.cfg.Group, Version: token, Members: []core.Member{n.cfg.Self},
		Entries: []core.Entry{{Range: n.cfg.KeyRange, Owner: 0, Token: token}},
	}
	n.submit(writeCreate, &GroupRecord{Term: 1, Coordinator: n.self, Table: table}, 0)
}

// takeOver submits the record of the next term.
func (n *Node) takeOver() {
	n.s.takenFrom = n.rec.Coordinator
	n.submit(writeTakeover, n.takeoverRecord(), n.version)
}

// takeoverRecord is the present record under the next term. It names this node
// as the owner only of ranges that it holds at this moment: a later successor
// regards the coordinator's recorded ranges as free at once.
func (n *Node) takeoverRecord() *GroupRecord {
	prev := n.rec
	version := core.Token{Term: prev.Term + 1, Sequence: 1}
	members := slices.Clone(prev.Table.Members)
	if indexOf(&prev.Table, n.self) < 0 {
		members = append(members, n.cfg.Self)
	}
	table := withMembers(&prev.Table, members)
	me := indexOf(table, n.self)
	for i := range table.Entries {
		if table.Entries[i].Owner == me {
			table.Entries[i].Owner = core.NoOwner
		}
	}
	if n.now < n.m.leaseEnd && n.m.leaseTerm == prev.Term {
		own, _ := n.own()
		for _, h := range own {
			table.Entries = overlay(table.Entries, core.Entry{Range: h.Range, Owner: me, Token: h.Token})
		}
	}
	table.Version = version
	return &GroupRecord{
		Term: version.Term, Coordinator: n.self, Table: *table,
		Successors: n.remainingSuccessor(),
	}
}

// remainingSuccessor returns the other named successor of the present record.
// A second one is added only once it has been heard: naming two that are both
// gone would hold up every reassignment until they cannot act any more.
func (n *Node) remainingSuccessor() []Run {
	for _, r := range n.rec.Successors {
		if r.Node != n.self.Node {
			return []Run{r}
		}
	}
	return nil
}

// becomeCoordinator starts a term whose record is confirmed. Leases of the
// former term end M(1+D) after the write was sent, or after the last renewal
// that this node gave while it acted.
func (n *Node) becomeCoordinator(p *pending, sent clock.Instant) {
	former := n.s.takenFrom
	lastLease := max(sent, n.s.lastActing)
	n.term, n.coordinator = p.rec.Term, n.cfg.Self
	n.endActing()
	n.abortMoves()
	c := &coordinator{
		term: p.rec.Term, seq: p.rec.Table.Version.Sequence, confirmedSent: sent,
		frozenUntil: lastLease.Add(n.t.stretch(n.t.MemberLease)), vacantAt: n.now.Add(adoptWait),
		noticeUntil: n.now.Add(10 * n.t.HeartbeatInterval),
	}
	n.c = c
	for _, m := range p.rec.Table.Members {
		run := RunOf(m)
		i := &info{run: run, member: m, inTable: true, proven: run != former, lastAnswer: lastLease}
		i.adopted = run == n.self || run == former
		c.infos = append(c.infos, i)
	}
	c.splitTable(&p.rec.Table, n.self, former, p.kind == writeCreate)
	n.install(c.table)
	n.m.leaseTerm, n.m.leaseEnd = c.term, 0
	n.openPair(p.rec.Successors)
	kind := EventTakeover
	if p.kind == writeCreate {
		kind = EventCreated
	}
	n.journal(kind, n.self, core.Range{})
}

// splitTable sets the first table of a term: ranges of the former coordinator
// are vacant, and those of all other members are frozen until claimed.
func (c *coordinator) splitTable(rec *core.Table, self, former Run, created bool) {
	t := withMembers(rec, rec.Members)
	for k, e := range t.Entries {
		owner := ownerOf(t, e)
		switch {
		case created || owner == self:
			continue
		case owner == former && former != (Run{}):
			c.vacant = append(c.vacant, e.Range)
		default:
			c.frozen = append(c.frozen, frozen{rng: e.Range, owner: owner})
		}
		t.Entries[k].Owner = core.NoOwner
	}
	c.table = t
}

// adopt takes over what a member claims to hold. Only frozen ranges can be
// claimed; the claim is exclusive because the lease behind it has not expired.
func (n *Node) adopt(i *info, claim *Claim) {
	c := n.c
	i.adopted = true
	if claim == nil || n.now >= c.frozenUntil {
		return
	}
	var list []assign
	for _, h := range claim.Ranges {
		var rest []frozen
		for _, f := range c.frozen {
			if !f.rng.Overlaps(h.Range) {
				rest = append(rest, f)
				continue
			}
			list = append(list, assign{rng: f.rng.Intersect(h.Range), to: i.run, keep: h.Token})
			for _, r := range f.rng.Subtract(h.Range) {
				rest = append(rest, frozen{rng: r, owner: f.owner})
			}
			if f.owner != i.run {
				c.unwritten = true // the former coordinator assigned it unwritten
			}
		}
		c.frozen = rest
	}
	if len(list) == 0 {
		return
	}
	n.journal(EventAdopted, i.run, core.Range{})
	c.seq++
	n.install(apply(c.table, list, core.Token{Term: c.term, Sequence: c.seq}))
}

// settleTakeover releases vacant and frozen ranges when their time has come.
func (n *Node) settleTakeover() {
	c := n.c
	if len(c.vacant) > 0 {
		if n.now >= c.vacantAt {
			c.vacant = nil
		} else {
			n.wakeAt(c.vacantAt)
		}
	}
	if len(c.frozen) == 0 {
		return
	}
	if n.now < c.frozenUntil {
		n.wakeAt(c.frozenUntil)
		return
	}
	if !n.mayReassign() {
		return
	}
	for _, f := range c.frozen {
		if i := c.info(f.owner); i != nil && n.usable(i) {
			c.wants = append(c.wants, assign{rng: f.rng, to: i.run})
		}
	}
	c.frozen = nil
}
