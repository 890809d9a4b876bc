package slopes

import (
	"slices"
	"strconv"
	"time"

	"marjoramshore.example/capacity"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

const (
	// settle is the time after which a group of any size is in steady state.
	settle = 20 * time.Second
	// steady is the virtual time over which steady costs are averaged.
	steady = 60 * time.Second
)

// GroupError reports that a simulated group did not reach the state that a
// measurement starts from.
type GroupError struct {
	Members int
	Want    string
}

// Error implements error.
func (e *GroupError) Error() string { return "slopes: group has no " + e.Want }

// groupSizes are the sizes at which groups are measured.
var groupSizes = []int{2, 5, 10}

// settled returns a group in steady state.
func settled(size int) (*group, error) {
	g := newGroup(size, 20*time.Millisecond)
	g.run(settle)
	if g.err != nil {
		return nil, g.err
	}
	if g.coordinator() == nil {
		return nil, &GroupError{size, "coordinator"}
	}
	return g, nil
}

// roles sums the steady cost of one second for the coordinator, and the mean
// for a successor and an ordinary member.
func (g *group) roles() (out [3]cost, count [3]int) {
	c := g.coordinator()
	for _, p := range g.processes {
		role := 2
		if p == c {
			role = 0
		} else if slices.Contains(c.snap.Successors, ownership.RunOf(p.self)) {
			role = 1
		}
		count[role]++
		out[role].messages += p.cost.messages
		out[role].bytes += p.cost.bytes
		out[role].cpu += p.cost.cpu
	}
	return out, count
}

// minute returns the counts of the first of several minutes, with the
// processor time of the cheapest: other work on the machine only adds to it.
func (g *group) minute() (first [3]cost, count [3]int) {
	for r := range rounds {
		g.reset()
		g.run(steady)
		var now [3]cost
		now, count = g.roles()
		if r == 0 {
			first = now
		}
		for i := range now {
			first[i].cpu = min(first[i].cpu, now[i].cpu)
		}
	}
	return first, count
}

var roleNames = [3]string{"coordinator", "successor", "member"}

// steadyGroups measures the cost of each role against the size of the group.
func steadyGroups() ([]capacity.Slope, error) {
	var out [9]capacity.Slope
	for i, role := range roleNames {
		out[i*3] = capacity.Slope{Name: role + "-messages", Unit: "messages a second", Per: "member", Counted: true}
		out[i*3+1] = capacity.Slope{Name: role + "-bytes", Unit: "bytes a second", Per: "member", Counted: true}
		out[i*3+2] = capacity.Slope{Name: role + "-cpu", Unit: "seconds a second", Per: "member"}
	}
	for _, size := range groupSizes {
		g, err := settled(size)
		if err != nil {
			return nil, err
		}
		sums, count := g.minute()
		for i, c := range sums {
			if count[i] == 0 {
				continue
			}
			per := float64(count[i]) * steady.Seconds()
			for j, v := range []float64{float64(c.messages), float64(c.bytes), c.cpu.Seconds()} {
				out[i*3+j].Points = append(out[i*3+j].Points, capacity.Point{Size: float64(size), Value: v / per})
			}
		}
	}
	return out[:], nil
}

// storeCalls measures the calls that one group makes to the store.
func storeCalls(name, per string, sizes []int, do func(size int) (*group, error)) ([]capacity.Slope, error) {
	writes := capacity.Slope{Name: name + "-writes", Unit: "store writes", Per: per, Counted: true}
	reads := capacity.Slope{Name: name + "-reads", Unit: "store reads", Per: per, Counted: true}
	peak := capacity.Slope{Name: name + "-peak-writes", Unit: "store writes in the busiest second", Per: per, Counted: true}
	for _, size := range sizes {
		g, err := do(size)
		if err == nil {
			err = g.err
		}
		if err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, capacity.Point{Size: float64(size), Value: float64(g.writes)})
		reads.Points = append(reads.Points, capacity.Point{Size: float64(size), Value: float64(g.reads)})
		peak.Points = append(peak.Points, capacity.Point{Size: float64(size), Value: float64(g.busiest())})
	}
	return []capacity.Slope{writes, reads, peak}, nil
}

// busiest returns the writes of the busiest second.
func (g *group) busiest() (most int) {
	for _, n := range g.bySecond {
		most = max(most, n)
	}
	return most
}

// create starts a whole group at once with an empty store.
func create(size int) (*group, error) {
	g := newGroup(size, 0)
	g.run(settle)
	return g, nil
}

// lose ends some processes of a full group, the coordinator first and then
// those of its data centre.
func lose(count int) (*group, error) {
	g, err := settled(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.reset()
	dc := g.coordinator().self.DataCentre
	g.coordinator().node = nil
	for _, p := range g.processes {
		if count > 1 && p.node != nil && p.self.DataCentre == dc {
			p.node = nil
			count--
		}
	}
	g.run(settle)
	return g, nil
}

// restart stops members gracefully, one after another, and starts them again.
func restart(count int) (*group, error) {
	g, err := settled(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.reset()
	for _, p := range g.processes[:count] {
		g.step(p, ownership.Drain{Stop: true})
		g.run(3 * time.Second)
		g.step(p, ownership.ExchangesDrained{})
		g.run(5 * time.Second)
		if p.snap.Reason != ownership.ReasonLeft {
			return nil, &GroupError{len(g.processes), "member that left"}
		}
		g.start(p)
		g.run(settle)
	}
	return g, nil
}

// move moves single hashes, all at once. A coordinator that has not used the
// store for a while answers the first request by reading, so each is repeated.
func move(count int) (*group, error) {
	g, err := settled(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.reset()
	c := g.coordinator()
	table := c.snap.Table
	for range 2 {
		for i := range count {
			g.requestMove(c, table, core.HashKey("hot-"+strconv.Itoa(i)), i)
		}
		g.run(20 * time.Millisecond)
	}
	g.run(settle)
	return g, nil
}

// requestMove asks for a hash to move to the member at a position, or to the
// next one if that member owns it.
func (g *group) requestMove(c *process, table *core.Table, h core.Hash, at int) {
	owner, _, _ := table.Owner(h)
	to := table.Members[at%len(table.Members)]
	if to.SameRun(owner) {
		to = table.Members[(at+1)%len(table.Members)]
	}
	g.step(c, ownership.RequestMove{Range: core.Range{Lo: h, Hi: h}, To: ownership.RunOf(to)})
}

// outage is a minute of a store outage, in calls of the whole minute.
func outage(size int) (*group, error) {
	g, err := settled(size)
	if err != nil {
		return nil, err
	}
	g.storeDown = true
	g.run(settle)
	g.reset()
	g.run(steady)
	return g, nil
}

// allStoreCalls measures each situation in which a group calls the store.
func allStoreCalls() ([]capacity.Slope, error) {
	var out []capacity.Slope
	for _, x := range []struct {
		name, per string
		sizes     []int
		do        func(int) (*group, error)
	}{
		{"create", "member", groupSizes, create},
		{"loss", "member lost", []int{1, 2, 4}, lose},
		{"restart", "restart", []int{1, 2, 3}, restart},
		{"move", "move", []int{1, 4, 16}, move},
		{"outage-minute", "member", groupSizes, outage},
	} {
		s, err := storeCalls(x.name, x.per, x.sizes, x.do)
		if err != nil {
			return nil, err
		}
		out = append(out, s...)
	}
	return out, nil
}
