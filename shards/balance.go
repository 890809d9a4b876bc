package shards

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

const (
	// joinDelay is how long a new member must stay before keys move to it, so
	// that one that fails again at once costs no move.
	joinDelay = 500 * time.Millisecond
	// minShare is the part of a fair share of keys below which a member gets
	// keys from others.
	minShare = 0.5
	// settleIn is how long the demand of a new run says little: it is cold, and
	// its average is young.
	settleIn = 3 * time.Second
	// overloaded is the demand from which keys move away. Below it, queues are
	// short and a move costs more than it gains.
	overloaded = 0.9
	// roomy is the demand of a member that can take more. Without one, a move
	// only adds to the time in which keys are unavailable.
	roomy = 0.7
	// spread is the least difference in demand that a move is worth: moved keys
	// are unavailable for about 1.7 s.
	spread = 0.3
	// correction is the part of an excess that one move corrects, because the
	// demand of single keys is not known.
	correction = 0.7
	// batch bounds the keys of one move, a twelfth of all keys.
	batch = KeyCount / 12
	// rest separates moves, so that the averages show the effect of the last.
	rest = 2 * time.Second
	// lookEvery separates looks at the balance, each of which goes through all
	// rows; members report each 400 ms.
	lookEvery = 200 * time.Millisecond
	// idleDemand stands for the demand of a fair share of keys without traffic.
	idleDemand = 0.05
)

// member is a run that keys can be assigned to.
type member struct {
	holder Holder
	slots  int
	keys   int
	// known is set when demand says something about the run.
	known  bool
	demand float64
	// perKey is the demand of one more key.
	perKey float64
}

// load estimates the demand that the run's keys cause.
func (m *member) load() float64 { return float64(m.keys) * m.perKey }

// members returns the runs that take keys, in a fixed order.
func (c *Coordinator) members(now clock.Instant, rows []Row) []*member {
	var list []*member
	keys := widths(rows)
	for node, p := range c.peers {
		if !p.ready || p.holder == NoHolder || p.holder.Node != node || now.Sub(p.heard) > c.timing.Lease/2 {
			continue
		}
		m := &member{holder: p.holder, slots: p.slots, demand: p.demand, keys: keys[p.holder]}
		m.known = m.keys > 0 && now.Sub(p.since) > settleIn
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.holder.Node, b.holder.Node) })
	estimate(list)
	return list
}

// widths returns the number of keys of each holder.
func widths(rows []Row) map[Holder]int {
	out := make(map[Holder]int)
	for _, r := range rows {
		out[r.Holder] += r.Width()
	}
	return out
}

// estimate sets the demand of one key at each member. A member about which
// nothing is known is taken for an average one.
func estimate(list []*member) {
	slots, keys, demand := 0, 0, 0.0
	for _, m := range list {
		slots += m.slots
		if m.known {
			keys += m.keys
			demand += m.demand
		}
	}
	for _, m := range list {
		fair := float64(KeyCount) * float64(m.slots) / float64(slots)
		switch {
		case m.known:
			m.perKey = m.demand / float64(m.keys)
		case keys > 0:
			average := float64(slots) / float64(len(list))
			m.perKey = demand / float64(keys) * average / float64(m.slots)
		}
		m.perKey += idleDemand / fair
	}
}

// rebalance asks members to return keys when another one has far less than its
// share, or when they are asked for more than they can do while others are not.
// Returned keys go to the member with the least load.
func (c *Coordinator) rebalance(now clock.Instant) {
	if c.moves() {
		c.moved = now
		return
	}
	if !c.authority(now) || now.Sub(c.since) < c.timing.Lease || now.Sub(c.looked) < lookEvery {
		return
	}
	c.looked = now
	members := c.members(now, c.record.Rows)
	if m, want := c.newcomer(now, members); m != nil {
		c.moveTo(m, members, want)
		return
	}
	if now.Sub(c.moved) >= rest {
		c.relieve(members)
	}
}

// newcomer returns a member that has far less than its share, and how many keys
// it should get.
func (c *Coordinator) newcomer(now clock.Instant, members []*member) (*member, int) {
	slots := 0
	for _, m := range members {
		slots += m.slots
	}
	for _, m := range members {
		fair := float64(KeyCount) * float64(m.slots) / float64(slots)
		p := c.peers[m.holder.Node]
		if float64(m.keys) < minShare*fair && !m.known && now.Sub(p.since) >= joinDelay {
			return m, int(fair) - m.keys
		}
	}
	return nil, 0
}

// relieve moves keys away from the members whose demand is too great, as long
// as others have room.
func (c *Coordinator) relieve(members []*member) {
	low, mean, n := math.Inf(1), 0.0, 0.0
	for _, m := range members {
		if m.known {
			mean += m.demand
			low = min(low, m.demand)
			n++
		}
	}
	if low > roomy {
		return
	}
	mean /= n
	rows := slices.Clone(c.record.Rows)
	left := batch
	for _, m := range members {
		if !m.known || m.demand < overloaded || m.demand-low < spread || m.demand <= mean {
			continue
		}
		want := int(correction * (m.demand - mean) / m.demand * float64(m.keys))
		left -= c.returnKeys(m, rows, min(want, left))
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

// moveTo marks rows of the members with the greatest load until m can have want
// more keys.
func (c *Coordinator) moveTo(m *member, members []*member, want int) {
	rows := slices.Clone(c.record.Rows)
	for want > 0 {
		from := slices.MaxFunc(members, func(a, b *member) int { return cmp.Compare(a.load(), b.load()) })
		if from == m {
			return
		}
		returned := c.returnKeys(from, rows, 1)
		if returned == 0 {
			return
		}
		want -= returned
	}
}

// returnKeys marks rows of a member that hold about want keys, and returns how
// many. Marked rows lose their holder in rows.
func (c *Coordinator) returnKeys(from *member, rows []Row, want int) int {
	p := c.peers[from.holder.Node]
	total := 0
	for i := range rows {
		if total >= want {
			break
		}
		if rows[i].Holder != from.holder {
			continue
		}
		p.moving = append(p.moving, rows[i])
		rows[i].Holder = NoHolder
		total += rows[i].Width()
	}
	from.keys -= total
	return total
}
