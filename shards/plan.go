package shards

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

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
	rows := c.record.Rows
	if c.unsettled(now) {
		rows = c.assign(now, c.reclaim(now))
	}
	next := c.record
	next.EarlierLeasesEnded = now.After(c.inherited)
	if slices.Equal(rows, c.record.Rows) && !c.uncertain && next.EarlierLeasesEnded == c.record.EarlierLeasesEnded {
		c.rebalance(now)
		return next, false
	}
	next.Rows = rows
	next.NextFence = c.record.NextFence + 1
	c.beginWrite(rows)
	return next, true
}

// unsettled reports whether any row may need another holder. Most plans find
// none, and a record has thousands of rows.
func (c *Coordinator) unsettled(now clock.Instant) bool {
	for h := range c.holdings {
		if h == NoHolder || c.isOver(now, h) {
			return true
		}
	}
	for _, p := range c.peers {
		if len(p.freed) > 0 {
			return true
		}
	}
	return false
}

// reclaim returns the rows with those of lost runs and those that were returned
// given to nobody, unless a later run on the same VM takes them over.
func (c *Coordinator) reclaim(now clock.Instant) []Row {
	rows := slices.Clone(c.record.Rows)
	for i := range rows {
		h := rows[i].Holder
		if h == NoHolder || !c.isOver(now, h) {
			continue
		}
		rows[i].Holder, rows[i].Handover = NoHolder, ""
		if p := c.peers[h.Node]; p != nil && p.ready && p.holder.Born > h.Born {
			// The later run on the same VM takes the rows over, so that a restart
			// of all VMs does not leave everything to the first one that reports.
			rows[i].Holder, rows[i].Fence = p.holder, c.record.NextFence
		}
	}
	for _, p := range c.peers {
		for _, f := range p.freed {
			rows = cut(rows, f.Span, func(r *Row) {
				if r.Holder == f.Holder && r.Fence == f.Fence {
					r.Holder, r.Handover = NoHolder, f.Handover
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
		if rows[i].Holder != NoHolder {
			continue
		}
		m := slices.MinFunc(members, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) })
		rows[i].Holder, rows[i].Fence = m.holder, fence
		m.keys += rows[i].Width()
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
	n = min(max(n, 1), KeyCount)
	rows := make([]Row, 0, n)
	for i := range n {
		rows = append(rows, Row{Span: Span{i * KeyCount / n, (i+1)*KeyCount/n - 1}})
	}
	return rows
}

// LiveMembers returns the nodes that reported to this coordinator lately.
func (c *Coordinator) LiveMembers(now clock.Instant) []core.NodeID {
	var out []core.NodeID
	for node, p := range c.peers {
		if now.Sub(p.heard) < c.timing.Lease {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

// DemandSummary lists the demand of the members for logs, as node:percent.
func (c *Coordinator) DemandSummary() string {
	var parts []string
	for node, p := range c.peers {
		if p.holder != NoHolder {
			parts = append(parts, string(node)+":"+strconv.Itoa(int(100*p.demand)))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
