package shards

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

const (
	// joinDelay is how long a new member must be ready before keys move to it,
	// so that one that fails again at once costs no move.
	joinDelay = 500 * time.Millisecond
	// minFairShare is the part of its fair share of keys below which a member
	// gets keys from others.
	minFairShare = 0.5
	// demandWarmUp is how long the demand of a new run is ignored: the run is
	// cold, and its average covers too little time.
	demandWarmUp = 3 * time.Second
	// overloadDemand is the demand from which keys move away. Below it, queues
	// are short and a move costs more than it gains.
	overloadDemand = 0.9
	// spareDemand is the demand up to which a member can take more keys.
	// Without such a member, a move only adds to the time in which keys are
	// unavailable.
	spareDemand = 0.7
	// minDemandGap is the least difference in demand that justifies a move:
	// moved keys are unavailable for about 1.7 s.
	minDemandGap = 0.3
	// correctionShare is the part of an excess that one move corrects, because
	// the demand of single keys is not known.
	correctionShare = 0.7
	// maxRecallKeys bounds the keys of one move to a twelfth of all keys.
	maxRecallKeys = KeyCount / 12
	// recallInterval separates moves, so that the averages show the effect of
	// the previous one.
	recallInterval = 2 * time.Second
	// recallIntervalByCall is the same where keys are granted by calls. They are
	// unavailable for some 100 ms, and the members report their demand sooner.
	recallIntervalByCall = time.Second
	// maxRowsPerMember bounds the rows of a member on average, beyond which rows are
	// not divided any more.
	maxRowsPerMember = 128
	// balanceInterval separates checks of the balance, each of which goes
	// through all rows. Members report every 400 ms.
	balanceInterval = 200 * time.Millisecond
	// minRowsPerShare is the number of rows into which a fair share of the keys is
	// divided at least. A row that is wider than that would take a whole share, or
	// all keys, from one member to the next.
	minRowsPerShare = 8
	// idleDemand is the demand assumed for a fair share of keys without
	// traffic.
	idleDemand = 0.05
)

// assignee is a run to which keys can be assigned.
type assignee struct {
	holder Holder
	slots  int
	keys   int
	// demandKnown is set if the run has keys and has been ready for longer than
	// demandWarmUp.
	demandKnown bool
	demand      float64
	// demandPerKey is the estimated demand of one more key.
	demandPerKey float64
	// addedDemand is that of busy keys that the run has just got.
	addedDemand float64
}

// estimatedDemand returns the demand that the run's keys are expected to cause.
func (m *assignee) estimatedDemand() float64 { return float64(m.keys)*m.demandPerKey + m.addedDemand }

// assignees returns the runs that accept keys, sorted by node.
func (c *Coordinator) assignees(now clock.Instant, rows []Row) []*assignee {
	var list []*assignee
	keys := countKeys(rows)
	for node, state := range c.memberStates {
		if !state.ready || state.unreachable || state.holder == NoHolder || state.holder.Node != node || now.Sub(state.lastRequestAt) > c.timing.Lease/2 {
			continue
		}
		m := &assignee{holder: state.holder, slots: state.slots, demand: state.demand, keys: keys[state.holder]}
		m.demandKnown = m.keys > 0 && now.Sub(state.readySince) > demandWarmUp
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *assignee) int { return cmp.Compare(a.holder.Node, b.holder.Node) })
	estimateDemandPerKey(list)
	return list
}

// countKeys returns the number of keys of each holder.
func countKeys(rows []Row) map[Holder]int {
	out := make(map[Holder]int)
	for _, r := range rows {
		out[r.Holder] += r.Width()
	}
	return out
}

// estimateDemandPerKey sets the demand of one key for each run. A run whose
// demand is not known is taken for an average one.
func estimateDemandPerKey(list []*assignee) {
	slots, keys, demand := 0, 0, 0.0
	for _, m := range list {
		slots += m.slots
		if m.demandKnown {
			keys += m.keys
			demand += m.demand
		}
	}
	for _, m := range list {
		fairKeys := float64(KeyCount) * float64(m.slots) / float64(slots)
		switch {
		case m.demandKnown:
			m.demandPerKey = m.demand / float64(m.keys)
		case keys > 0:
			averageSlots := float64(slots) / float64(len(list))
			m.demandPerKey = demand / float64(keys) * averageSlots / float64(m.slots)
		}
		m.demandPerKey += idleDemand / fairKeys
	}
}

// rebalance recalls keys when a member has far less than its fair share, or
// when members are asked for more than they can do while others are not.
// Returned keys go to the run with the least estimated demand.
func (c *Coordinator) rebalance(now clock.Instant) {
	if c.hasRecalledRows() {
		c.recallSeenAt = now
		return
	}
	if !c.hasAuthority(now) || now.Sub(c.tookOverAt) < c.timing.Lease || now.Sub(c.balanceCheckedAt) < balanceInterval {
		return
	}
	c.balanceCheckedAt = now
	members := c.assignees(now, c.record.Rows)
	if m, want := c.findNewcomer(now, members); m != nil {
		c.recallFor(m, members, want)
		return
	}
	interval := recallInterval
	if c.fencesPerRow > 1 {
		interval = recallIntervalByCall
	}
	if now.Sub(c.recallSeenAt) >= interval {
		c.movedLoads = nil
		c.relieveOverloaded(members)
	}
}

// findNewcomer returns a run that has far less than its fair share of keys, and
// how many keys it should get.
func (c *Coordinator) findNewcomer(now clock.Instant, members []*assignee) (*assignee, int) {
	slots := 0
	for _, m := range members {
		slots += m.slots
	}
	for _, m := range members {
		fairKeys := float64(KeyCount) * float64(m.slots) / float64(slots)
		state := c.memberStates[m.holder.Node]
		if float64(m.keys) < minFairShare*fairKeys && !m.demandKnown && now.Sub(state.readySince) >= joinDelay {
			return m, int(fairKeys) - m.keys
		}
	}
	return nil, 0
}

// relieveOverloaded recalls keys from the runs whose demand is too great, as
// long as others have spare capacity.
func (c *Coordinator) relieveOverloaded(members []*assignee) {
	lowest, mean, count := math.Inf(1), 0.0, 0.0
	for _, m := range members {
		if m.demandKnown {
			mean += m.demand
			lowest = min(lowest, m.demand)
			count++
		}
	}
	if lowest > spareDemand {
		return
	}
	mean /= count
	rows, stride := c.recallableRows(len(members))
	budget := maxRecallKeys
	for _, m := range members {
		if !m.demandKnown || m.demand < overloadDemand || m.demand-lowest < minDemandGap || m.demand <= mean {
			continue
		}
		part := correctionShare * (m.demand - mean) / m.demand
		if c.recallBusyKeys(m, part, len(members)) {
			continue
		}
		want := int(part * float64(m.keys))
		budget -= c.recallKeys(m, rows, stride, min(want, budget))
	}
}

// recallBusyKeys recalls the busiest keys of a run that make up a part of its work.
// It returns false if the run has not told which these are.
func (c *Coordinator) recallBusyKeys(m *assignee, part float64, members int) bool {
	state := c.memberStates[m.holder.Node]
	if len(state.loads) == 0 || len(c.record.Rows) > members*maxRowsPerMember {
		return false
	}
	for _, l := range spansToMove(state.loads, part) {
		for _, r := range overlappingRows(c.record.Rows, l.Span) {
			if r.Holder != m.holder {
				continue
			}
			r.From, r.To = max(r.From, l.From), min(r.To, l.To)
			state.recalled = append(state.recalled, r)
		}
		c.movedLoads = append(c.movedLoads, movedLoad{l.Span, l.Share * m.demand * float64(m.slots)})
	}
	return true
}

// takeMovedLoad returns the work of the busy keys of a row that has got a new
// holder, in slots.
func (c *Coordinator) takeMovedLoad(s Span) float64 {
	work := 0.0
	for _, l := range c.movedLoads {
		if l.Overlaps(s) {
			work += l.work
		}
	}
	return work
}

// hasRecalledRows reports whether recalled rows have not been returned yet.
func (c *Coordinator) hasRecalledRows() bool {
	for _, state := range c.memberStates {
		if len(state.recalled) > 0 {
			return true
		}
	}
	return false
}

// recallFor recalls rows from the runs with the greatest estimated demand until
// m can have want more keys.
func (c *Coordinator) recallFor(m *assignee, members []*assignee, want int) {
	rows, stride := c.recallableRows(len(members))
	for want > 0 {
		busiest := slices.MaxFunc(members, func(a, b *assignee) int { return cmp.Compare(a.estimatedDemand(), b.estimatedDemand()) })
		if busiest == m {
			return
		}
		returned := c.recallKeys(busiest, rows, stride, 1)
		if returned == 0 {
			return
		}
		want -= returned
	}
}

// recallableRows returns a copy of the rows of the record in which rows that are
// too wide to be shared are divided as at the first assignment, and the stride at
// which they are to be recalled, so that neighbours go to different members.
func (c *Coordinator) recallableRows(members int) ([]Row, int) {
	fairKeys := KeyCount / members
	rows := divideWideRows(c.record.Rows, fairKeys/minRowsPerShare, max(1, fairKeys/c.timing.MaxRowsPerMember))
	if len(rows) == len(c.record.Rows) {
		return rows, 1
	}
	return rows, members
}

// recallKeys recalls rows of a run that contain about want keys, and returns
// the number of their keys. Recalled rows lose their holder in rows.
func (c *Coordinator) recallKeys(from *assignee, rows []Row, stride, want int) int {
	state := c.memberStates[from.holder.Node]
	total := 0
	for first := range stride {
		for i := first; i < len(rows) && total < want; i += stride {
			if rows[i].Holder != from.holder {
				continue
			}
			state.recalled = append(state.recalled, rows[i])
			rows[i].Holder = NoHolder
			total += rows[i].Width()
		}
	}
	from.keys -= total
	return total
}
