package shards

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Plan returns the assignment to be written next, or false if the record needs
// no write. The caller writes it on condition that the record still has the
// revision returned by Record, and passes the result to CompleteWrite.
func (c *Coordinator) Plan(now clock.Instant) (Assignment, bool) {
	if !c.active || c.writePending || c.unreadSince != 0 {
		return Assignment{}, false
	}
	rows := c.record.Rows
	c.reclaims = nil
	if c.needsAssignment(now) {
		rows = c.assignRows(now, c.reclaimRows(now))
	}
	next := c.record
	next.EarlierLeasesEnded = now.After(c.earlierLeasesEnd)
	if slices.Equal(rows, c.record.Rows) && !c.writeUncertain && !c.mustWriteClaims(now) && next.EarlierLeasesEnded == c.record.EarlierLeasesEnded {
		c.rebalance(now)
		return next, false
	}
	next.Rows = rows
	next.NextFence = c.record.NextFence + 1
	if c.fencesPerRow > 1 {
		next.NextFence = max(next.NextFence, greatestFence(rows)+c.fencesPerRow)
	}
	c.beginWrite(rows)
	return next, true
}

// greatestFence returns the greatest fence of the rows.
func greatestFence(rows []Row) int64 {
	greatest := int64(0)
	for _, r := range rows {
		greatest = max(greatest, r.Fence)
	}
	return greatest
}

// needsAssignment reports whether any row may need another holder. It spares
// most plans a pass over the record, which has thousands of rows.
func (c *Coordinator) needsAssignment(now clock.Instant) bool {
	for h := range c.rowsByHolder {
		if h == NoHolder || c.endOfHold(now, h) != stillHeld {
			return true
		}
	}
	for _, state := range c.memberStates {
		if len(state.releases) > 0 {
			return true
		}
	}
	return false
}

// reclaimRows returns the rows of the record after those of ended runs and
// those that were released have lost their holder, unless a later run on the
// same VM takes them over.
func (c *Coordinator) reclaimRows(now clock.Instant) []Row {
	rows := slices.Clone(c.record.Rows)
	for i := range rows {
		h := rows[i].Holder
		if h == NoHolder {
			continue
		}
		sign := c.endOfHold(now, h)
		if sign == stillHeld {
			continue
		}
		c.noteReclaim(now, rows[i], sign)
		rows[i].Holder, rows[i].Handover = NoHolder, ""
		if state := c.memberStates[h.Node]; state != nil && state.ready && state.holder.Born > h.Born {
			// The later run on the same VM takes the rows over. Otherwise the
			// first VM to report after a restart of all VMs would get all keys.
			rows[i].Holder, rows[i].Fence = state.holder, c.record.NextFence
		}
	}
	var releases []Release
	for _, state := range c.memberStates {
		releases = append(releases, state.releases...)
	}
	c.noteReleases(now, rows, releases)
	return applyReleases(rows, releases)
}

// endOfHold returns the sign by which a run can hold no keys any more, or stillHeld
// if there is none. Only the passage of time and a later run on the same VM are taken
// for one: a run that is silent, or refuses connections, may be at work on its keys.
func (c *Coordinator) endOfHold(now clock.Instant, h Holder) ReclaimReason {
	state := c.memberStates[h.Node]
	if state == nil {
		if now.After(c.earlierLeasesEnd) && now.Sub(c.tookOverAt) > c.timing.Lease {
			return LeaseEnded
		}
		return stillHeld
	}
	if slices.Contains(state.endedRuns, h) {
		return RunEnded
	}
	if state.holder.Node == h.Node && state.holder.Born > h.Born {
		return RunReplaced
	}
	ends, ok := state.leaseEnds[h]
	if !ok {
		ends = c.earlierLeasesEnd
	}
	gone := state.holder != h || now.Sub(state.lastRequestAt) > c.timing.Lease
	if gone && now.After(ends) {
		return LeaseEnded
	}
	return stillHeld
}

// assignRows assigns each row without a holder to the run with the least
// estimated demand.
func (c *Coordinator) assignRows(now clock.Instant, rows []Row) []Row {
	members := c.assignees(now, rows)
	if len(members) == 0 {
		return c.mergeChanged(rows)
	}
	if c.neverAssigned() {
		if now.Sub(c.membersChangedAt) < c.timing.FirstAssignmentDelay {
			return c.record.Rows
		}
		rows = splitKeySpace(len(members) * c.timing.MaxRowsPerMember)
	}
	fence := c.record.NextFence
	for i := range rows {
		if rows[i].Holder != NoHolder {
			continue
		}
		m := slices.MinFunc(members, func(a, b *assignee) int { return cmp.Compare(a.estimatedDemand(), b.estimatedDemand()) })
		rows[i].Holder, rows[i].Fence = m.holder, fence
		m.keys += rows[i].Width()
		m.addedDemand += c.takeMovedLoad(rows[i].Span) / float64(m.slots)
	}
	return c.mergeChanged(rows)
}

// mergeChanged merges rows, and returns the record's own slice if nothing
// changed.
func (c *Coordinator) mergeChanged(rows []Row) []Row {
	rows = mergeRows(rows)
	if slices.Equal(rows, c.record.Rows) {
		return c.record.Rows
	}
	return rows
}

// neverAssigned reports whether no key has had a holder yet.
func (c *Coordinator) neverAssigned() bool {
	return !slices.ContainsFunc(c.record.Rows, func(r Row) bool { return r.Fence > 0 })
}

// splitKeySpace divides the keys into n rows without a holder, so that
// neighbours can go to different members, because busy keys are close to one
// another.
func splitKeySpace(n int) []Row {
	n = min(max(n, 1), KeyCount)
	rows := make([]Row, 0, n)
	for i := range n {
		rows = append(rows, Row{Span: Span{i * KeyCount / n, (i+1)*KeyCount/n - 1}})
	}
	return rows
}

// LiveMembers returns the nodes that reported to this coordinator within the
// last lease, sorted.
func (c *Coordinator) LiveMembers(now clock.Instant) []core.NodeID {
	var out []core.NodeID
	for node, state := range c.memberStates {
		if now.Sub(state.lastRequestAt) < c.timing.Lease {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

// DemandSummary lists the demand of the members for logs, as node:percent,
// separated by commas.
func (c *Coordinator) DemandSummary() string {
	var parts []string
	for node, state := range c.memberStates {
		if state.holder != NoHolder {
			parts = append(parts, string(node)+":"+strconv.Itoa(int(100*state.demand)))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
