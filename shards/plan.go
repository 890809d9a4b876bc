package shards

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Plan returns the assignment to be written next, or false when the record
// needs no change. The caller writes it under the condition that the record
// still has the revision of Record, and passes the result to Written.
func (c *Coordinator) Plan(now clock.Instant) (Assignment, bool) {
	if !c.active || c.writing || c.unread != 0 {
		return Assignment{}, false
	}
	rows := c.reclaim(now)
	rows = c.assign(now, rows)
	next := c.record
	next.Settled = now.After(c.inherited)
	if slices.Equal(rows, c.record.Rows) && !c.uncertain && next.Settled == c.record.Settled {
		c.rebalance(now)
		return next, false
	}
	next.Rows = rows
	next.NextFence = c.record.NextFence + 1
	c.beginWrite(rows)
	return next, true
}

// reclaim returns the rows with those of lost runs and those that were
// returned given to nobody.
func (c *Coordinator) reclaim(now clock.Instant) []Row {
	rows := slices.Clone(c.record.Rows)
	for i := range rows {
		if rows[i].Holder != None && c.isOver(now, rows[i].Holder) {
			rows[i].Holder, rows[i].Handover = None, ""
		}
	}
	for _, p := range c.peers {
		for _, f := range p.freed {
			rows = cut(rows, f.Span, func(r *Row) {
				if r.Holder == f.Holder && r.Fence == f.Fence {
					r.Holder, r.Handover = None, f.Handover
				}
			})
		}
	}
	return rows
}

// isOver reports whether a run can hold nothing any more.
func (c *Coordinator) isOver(now clock.Instant, h Holder) bool {
	p := c.peers[h.Node]
	if p == nil {
		return now.After(c.inherited) && now.Sub(c.since) > c.timing.Lease
	}
	if slices.Contains(p.over, h) {
		return true
	}
	if p.holder.Node == h.Node && p.holder.Born > h.Born {
		return true // the later run was started on the same VM
	}
	ends, ok := p.ends[h]
	if !ok {
		ends = c.inherited
	}
	lost := p.holder != h || now.Sub(p.heard) > c.timing.Lease
	return lost && now.After(ends)
}

// member is a run that keys can be assigned to.
type member struct {
	holder Holder
	slots  int
	keys   int
	rows   int
}

// load is the number of keys for each slot.
func (m *member) load() float64 { return float64(m.keys) / float64(m.slots) }

// members returns the runs that take keys, in a fixed order.
func (c *Coordinator) members(now clock.Instant, rows []Row) []*member {
	var list []*member
	for node, p := range c.peers {
		if !p.ready || p.holder == None || p.holder.Node != node || now.Sub(p.heard) > c.timing.Lease/2 {
			continue
		}
		m := &member{holder: p.holder, slots: p.slots}
		for _, r := range rows {
			if r.Holder == p.holder {
				m.keys += r.Width()
				m.rows++
			}
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.holder.Node, b.holder.Node) })
	return list
}

// assign gives the rows without a holder to members.
func (c *Coordinator) assign(now clock.Instant, rows []Row) []Row {
	members := c.members(now, rows)
	if len(members) == 0 {
		return c.changed(rows)
	}
	if c.neverDealt() {
		if now.Sub(c.joined) < c.timing.Settle {
			return c.record.Rows
		}
		rows = stripes(len(members) * c.timing.MaxRows)
	}
	fence := c.record.NextFence
	for i := range rows {
		if rows[i].Holder != None {
			continue
		}
		m := slices.MinFunc(members, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) })
		rows[i].Holder, rows[i].Fence = m.holder, fence
		m.keys += rows[i].Width()
		m.rows++
	}
	return c.changed(rows)
}

// changed joins rows, and keeps the record's slice when nothing changed.
func (c *Coordinator) changed(rows []Row) []Row {
	rows = join(rows)
	if slices.Equal(rows, c.record.Rows) {
		return c.record.Rows
	}
	return rows
}

// neverDealt reports whether no key had a holder yet.
func (c *Coordinator) neverDealt() bool {
	return !slices.ContainsFunc(c.record.Rows, func(r Row) bool { return r.Fence > 0 })
}

// stripes divides the keys into n rows without a holder. Neighbours go to
// different members, because busy keys are close to one another.
func stripes(n int) []Row {
	n = min(max(n, 1), Keys)
	rows := make([]Row, 0, n)
	for i := range n {
		rows = append(rows, Row{Span: Span{i * Keys / n, (i+1)*Keys/n - 1}})
	}
	return rows
}

const (
	// joinDelay is how long a new member must stay before keys move to it, so
	// that one that fails again at once costs no move.
	joinDelay = 500 * time.Millisecond
	// minShare is the part of a fair share below which a member gets keys from
	// others.
	minShare = 0.5
)

// rebalance asks the members with most keys to return some when a member has
// far less than its share. The returned keys go to the member with the fewest.
func (c *Coordinator) rebalance(now clock.Instant) {
	if c.moves() || !c.authority(now) || now.Sub(c.since) < c.timing.Lease {
		return
	}
	members := c.members(now, c.record.Rows)
	slots := 0
	for _, m := range members {
		slots += m.slots
	}
	for _, m := range members {
		fair := float64(Keys) * float64(m.slots) / float64(slots)
		p := c.peers[m.holder.Node]
		if float64(m.keys) >= minShare*fair || now.Sub(p.since) < joinDelay {
			continue
		}
		c.moveTo(m, members, int(fair)-m.keys)
		return
	}
}

// moves reports whether a planned move is under way.
func (c *Coordinator) moves() bool {
	for _, p := range c.peers {
		if len(p.moving) > 0 {
			return true
		}
	}
	return false
}

// moveTo marks rows of the members with most keys until m can have want more.
func (c *Coordinator) moveTo(m *member, members []*member, want int) {
	rows := slices.Clone(c.record.Rows)
	for want > 0 {
		from := slices.MaxFunc(members, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) })
		at := slices.IndexFunc(rows, func(r Row) bool { return r.Holder == from.holder && r.Width() <= 2*want })
		if from == m || at < 0 {
			return
		}
		r := rows[at]
		rows[at].Holder = None
		p := c.peers[from.holder.Node]
		p.moving = append(p.moving, r)
		from.keys -= r.Width()
		want -= r.Width()
	}
}

// Known returns the nodes that reported to this coordinator lately.
func (c *Coordinator) Known(now clock.Instant) []core.NodeID {
	var out []core.NodeID
	for node, p := range c.peers {
		if now.Sub(p.heard) < c.timing.Lease {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}
