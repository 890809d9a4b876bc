package ownership

import (
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// draft is the next table. Its assignments are granted once it is written, or
// unwritten while the store is down.
type draft struct {
	table *core.Table
	base  core.Token
	list  []assign
	// rec is the write that carries the draft, once it has been submitted.
	rec *GroupRecord
}

// queue adds assignments to the next draft.
func (n *Node) queue(list []assign) { n.c.wants = append(n.c.wants, list...) }

// queued returns all assignments that are decided but not granted.
func (n *Node) queued() []assign {
	if n.c.draft == nil {
		return n.c.wants
	}
	return append(slices.Clone(n.c.draft.list), n.c.wants...)
}

// draftLost returns the assignments of a failed write to the queue.
func (c *coordinator) draftLost(p *pending) {
	if c.draft != nil && c.draft.rec == p.rec {
		c.draft.rec = nil
	}
}

// membersChanged reports whether the member list differs from the table's.
func (c *coordinator) membersChanged() bool {
	kept := 0
	for _, i := range c.infos {
		if i.fenced || !i.inTable {
			return true
		}
		kept++
	}
	return kept != len(c.table.Members)
}

// members lists the members of the next table.
func (c *coordinator) members() []core.Member {
	var out []core.Member
	for _, i := range c.infos {
		if !i.fenced {
			out = append(out, i.member)
		}
	}
	return out
}

func (n *Node) tickWrites() {
	c := n.c
	if c.draft == nil && (len(c.wants) > 0 || c.membersChanged() || len(c.holes(c.table)) > 0) {
		n.makeDraft()
	}
	if n.store.pend == nil {
		n.maybeWrite()
	}
	if c.draft != nil && n.store.down && n.now < n.promiseEnd() && n.mayGrantUnwritten() {
		n.journal(EventAssignedUnsaved, Run{}, core.Range{})
		n.commit()
	}
}

func (n *Node) makeDraft() {
	c := n.c
	list := c.wants
	members := withMembers(c.table, c.members())
	version := core.Token{Term: c.term, Sequence: c.seq + 1}
	table := apply(members, list, version)
	if holes := c.holes(table); len(holes) > 0 {
		list = append(list, spread(table, holes, n.targets())...)
		table = apply(members, list, version)
	}
	if len(list) == 0 && !c.membersChanged() {
		return
	}
	if joined := n.compaction(table); len(joined) > 0 {
		list = append(list, joined...)
		table = apply(members, list, version)
	}
	c.wants = nil
	c.seq++
	c.draft = &draft{table: table, base: c.table.Version, list: list}
}

// compaction joins neighbouring ranges of one owner, under a new token, when the
// table has grown long. Ranges that are being moved are left alone: a release
// under the former token must stay valid for them.
func (n *Node) compaction(t *core.Table) []assign {
	if len(t.Entries) <= compactAt {
		return nil
	}
	var out []assign
	for i := 0; i < len(t.Entries); {
		first := t.Entries[i]
		j := i + 1
		for j < len(t.Entries) && t.Entries[j].Owner == first.Owner && t.Entries[j-1].Range.Hi+1 == t.Entries[j].Range.Lo {
			j++
		}
		r := core.Range{Lo: first.Range.Lo, Hi: t.Entries[j-1].Range.Hi}
		if j-i > 1 && first.Owner != core.NoOwner && !n.busyRange(r) {
			out = append(out, assign{rng: r, to: ownerOf(t, first)})
		}
		i = j
	}
	return out
}

// holes returns the ranges of t without an owner that nobody can hold.
func (c *coordinator) holes(t *core.Table) []core.Range {
	var out []core.Range
	for _, e := range t.Entries {
		if e.Owner != core.NoOwner {
			continue
		}
		parts := []core.Range{e.Range}
		for _, f := range c.frozen {
			parts = core.SubtractAll(parts, f.rng)
		}
		for _, v := range c.vacant {
			parts = core.SubtractAll(parts, v)
		}
		out = append(out, parts...)
	}
	return out
}

// maybeWrite submits the record when it has changed or when a confirmed write
// is needed for authority.
func (n *Node) maybeWrite() {
	c := n.c
	successors, pendingRun, changed := n.nextSuccessors()
	refresh := n.refreshAt()
	if !n.reachesGroup() {
		refresh = max(refresh, n.authorityEnd().Add(2*n.t.TermLease))
	}
	if c.draft == nil && !c.unwritten && !changed && n.now < refresh {
		n.wakeAt(refresh)
		return
	}
	table := c.table
	if c.draft != nil {
		table = c.draft.table
	}
	rec := &GroupRecord{
		Term: c.term, Coordinator: n.self, Successors: successors, Pending: pendingRun,
		Table: *table, Draining: c.drainingRuns(),
	}
	if c.draft != nil {
		c.draft.rec = rec
	}
	if changed {
		n.openPair(successors)
	}
	n.submit(writeUpdate, rec, n.version)
}

// refreshAt returns when a write is due although nothing has changed. Half of
// the term lease leaves room for one slow write.
func (n *Node) refreshAt() clock.Instant {
	c := n.c
	soon := max(c.confirmedSent.Add(n.t.TermLease/2), n.promiseEnd().Add(-n.t.PromiseDuration/6))
	return min(soon, c.confirmedSent.Add(n.t.Orphan/3))
}

// reachesGroup reports whether the coordinator's messages arrive: a successor
// has answered lately, or half of the other members have confirmed an answer
// that was sent since. A coordinator that is cut off must not keep its term
// alive through the store, because then no successor could take over.
func (n *Node) reachesGroup() bool {
	c := n.c
	var heard clock.Instant
	for _, r := range n.rec.Successors {
		p := c.promise(r)
		heard = max(heard, p.answeredAt)
		if p.refusedRevision > 0 && n.now < p.refusedRevision.Add(2*n.t.HeartbeatInterval) {
			return false // behind the group's configuration; another takes over
		}
	}
	if len(n.rec.Successors) == 0 || n.now < heard.Add(n.t.HeartbeatInterval*5/4) || c.alone {
		return true
	}
	others, reached := 0, 0
	for _, i := range c.infos {
		if i.run == n.self || i.fenced || !n.heardLately(i) || slices.Contains(n.rec.Successors, i.run) {
			continue
		}
		others++
		if i.reachedAt > heard.Add(n.t.HeartbeatInterval*5/4) && n.now < i.reachedAt.Add(3*n.t.HeartbeatInterval) {
			reached++
		}
	}
	return others > 0 && 2*reached >= others
}

func (c *coordinator) drainingRuns() []Run {
	var out []Run
	for _, i := range c.infos {
		if i.accepted {
			out = append(out, i.run)
		}
	}
	return out
}

// confirmed acts on a write that is now known to be the stored record.
func (n *Node) confirmed(p *pending, version uint64, sent clock.Instant) {
	c := n.c
	// A write without contact to the group succeeded, so no successor has taken
	// over although there was time; the coordinator goes on alone.
	c.alone = !n.reachesGroup()
	c.confirmedSent = max(c.confirmedSent, sent)
	n.closePairs(p.rec, version)
	if c.draft != nil && c.draft.rec == p.rec {
		n.journal(EventAssigned, Run{}, core.Range{})
		n.commit()
	}
	c.unwritten = p.rec.Table.Version != c.table.Version
	c.nextPromise = min(c.nextPromise, n.now)
}

// mayGrantUnwritten reports whether the draft leaves alone every range that the
// stored record, or a write that may still take effect, gives to this node. A
// successor that takes over regards those as free at once.
func (n *Node) mayGrantUnwritten() bool {
	for _, a := range n.c.draft.list {
		if a.to == n.self {
			continue
		}
		if namesOwner(&n.rec.Table, n.self, a.rng) {
			return false
		}
		if p := n.store.pend; p != nil && namesOwner(&p.rec.Table, n.self, a.rng) {
			return false
		}
	}
	return true
}

func namesOwner(t *core.Table, run Run, r core.Range) bool {
	for _, e := range t.Entries {
		if e.Range.Overlaps(r) && e.Owner != core.NoOwner && ownerOf(t, e) == run {
			return true
		}
	}
	return false
}

// commit makes the draft the table of the group and sends it to the members
// that gain ranges.
func (n *Node) commit() {
	c, d := n.c, n.c.draft
	c.draft = nil
	next := d.table
	if c.table.Version != d.base {
		// Adoptions happened meanwhile; the draft's assignments go on top.
		c.seq++
		next = apply(withMembers(c.table, next.Members), d.list, core.Token{Term: c.term, Sequence: c.seq})
	}
	n.install(next)
	c.unwritten = true
	c.infos = slices.DeleteFunc(c.infos, func(i *info) bool { return i.fenced && indexOf(next, i.run) < 0 })
	for _, i := range c.infos {
		i.inTable = indexOf(next, i.run) >= 0
	}
	n.pushTable(d.list)
}

func (n *Node) install(t *core.Table) {
	n.c.table = t
	n.setTable(t)
}

// pushTable sends the table to the gaining members at once; the others get it
// with their next renewal.
func (n *Node) pushTable(list []assign) {
	if !n.hasAuthority() {
		return
	}
	for _, i := range n.c.infos {
		if i.run == n.self || i.fenced || !slices.ContainsFunc(list, func(a assign) bool { return a.to == i.run }) {
			continue
		}
		n.send(i.member, &TablePush{Group: n.cfg.Group, From: n.self, Term: n.c.term, Table: n.c.table})
	}
}
