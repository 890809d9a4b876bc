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
	// settleTime is the virtual time after which a group of any size is in
	// steady state.
	settleTime = 20 * time.Second
	// averagingTime is the virtual time over which the steady costs are
	// averaged.
	averagingTime = 60 * time.Second
)

// GroupError reports that a simulated group did not reach the state from which
// a measurement starts.
type GroupError struct {
	Members int
	Missing string
}

// Error implements error.
func (e *GroupError) Error() string { return "slopes: simulated group has no " + e.Missing }

// groupSizes are the numbers of members at which groups are measured.
var groupSizes = []int{2, 5, 10}

// newSettledGroup returns a group in steady state.
func newSettledGroup(size int) (*simulatedGroup, error) {
	g := newSimulatedGroup(size, 20*time.Millisecond)
	g.advance(settleTime)
	if g.err != nil {
		return nil, g.err
	}
	if g.coordinator() == nil {
		return nil, &GroupError{size, "coordinator"}
	}
	return g, nil
}

// costsByRole returns the sum of the costs and the number of processes for each
// role, in the order of roleNames.
func (g *simulatedGroup) costsByRole() (sums [3]cost, processCounts [3]int) {
	coordinator := g.coordinator()
	for _, p := range g.processes {
		role := 2
		if p == coordinator {
			role = 0
		} else if slices.Contains(coordinator.snapshot.Successors, ownership.RunOf(p.self)) {
			role = 1
		}
		processCounts[role]++
		sums[role].messages += p.cost.messages
		sums[role].bytes += p.cost.bytes
		sums[role].cpu += p.cost.cpu
	}
	return sums, processCounts
}

// steadyCosts returns the costs and the number of processes for each role over
// averagingTime. The counts come from the first of several rounds and the
// processor time from the fastest one, because other work on the VM can only
// add to it.
func (g *simulatedGroup) steadyCosts() (first [3]cost, processCounts [3]int) {
	for r := range timingRounds {
		g.resetCounts()
		g.advance(averagingTime)
		var costs [3]cost
		costs, processCounts = g.costsByRole()
		if r == 0 {
			first = costs
		}
		for i := range costs {
			first[i].cpu = min(first[i].cpu, costs[i].cpu)
		}
	}
	return first, processCounts
}

var roleNames = [3]string{"coordinator", "successor", "member"}

// measureSteadyGroups measures the cost of each role against the size of the
// group.
func measureSteadyGroups() ([]capacity.Slope, error) {
	var out [9]capacity.Slope
	for i, role := range roleNames {
		out[i*3] = capacity.Slope{Name: role + "-messages", Unit: "messages a second", Per: "member", Counted: true}
		out[i*3+1] = capacity.Slope{Name: role + "-bytes", Unit: "bytes a second", Per: "member", Counted: true}
		out[i*3+2] = capacity.Slope{Name: role + "-cpu", Unit: "seconds a second", Per: "member"}
	}
	for _, size := range groupSizes {
		g, err := newSettledGroup(size)
		if err != nil {
			return nil, err
		}
		costs, processCounts := g.steadyCosts()
		for i, c := range costs {
			if processCounts[i] == 0 {
				continue
			}
			processSeconds := float64(processCounts[i]) * averagingTime.Seconds()
			for j, v := range []float64{float64(c.messages), float64(c.bytes), c.cpu.Seconds()} {
				out[i*3+j].Points = append(out[i*3+j].Points, capacity.Point{Size: float64(size), Value: v / processSeconds})
			}
		}
	}
	return out[:], nil
}

// measureStoreCalls measures the calls that one group makes to the store in a
// simulated situation.
func measureStoreCalls(slopePrefix, per string, sizes []int, simulate func(size int) (*simulatedGroup, error)) ([]capacity.Slope, error) {
	writes := capacity.Slope{Name: slopePrefix + "-writes", Unit: "store writes", Per: per, Counted: true}
	reads := capacity.Slope{Name: slopePrefix + "-reads", Unit: "store reads", Per: per, Counted: true}
	peak := capacity.Slope{Name: slopePrefix + "-peak-writes", Unit: "store writes in the busiest second", Per: per, Counted: true}
	for _, size := range sizes {
		g, err := simulate(size)
		if err == nil {
			err = g.err
		}
		if err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, capacity.Point{Size: float64(size), Value: float64(g.storeWrites)})
		reads.Points = append(reads.Points, capacity.Point{Size: float64(size), Value: float64(g.storeReads)})
		peak.Points = append(peak.Points, capacity.Point{Size: float64(size), Value: float64(g.peakWrites())})
	}
	return []capacity.Slope{writes, reads, peak}, nil
}

// peakWrites returns the number of store writes in the busiest second.
func (g *simulatedGroup) peakWrites() (peak int) {
	for _, n := range g.writesBySecond {
		peak = max(peak, n)
	}
	return peak
}

// formGroup starts all members of a group at once with an empty store.
func formGroup(size int) (*simulatedGroup, error) {
	g := newSimulatedGroup(size, 0)
	g.advance(settleTime)
	return g, nil
}

// loseMembers ends count processes of a full group: the coordinator first, then
// others in its data centre.
func loseMembers(count int) (*simulatedGroup, error) {
	g, err := newSettledGroup(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.resetCounts()
	dataCentre := g.coordinator().self.DataCentre
	g.coordinator().node = nil
	for _, p := range g.processes {
		if count > 1 && p.node != nil && p.self.DataCentre == dataCentre {
			p.node = nil
			count--
		}
	}
	g.advance(settleTime)
	return g, nil
}

// restartMembers stops count members gracefully, one after another, and starts
// each again.
func restartMembers(count int) (*simulatedGroup, error) {
	g, err := newSettledGroup(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.resetCounts()
	for _, p := range g.processes[:count] {
		g.step(p, ownership.Drain{Stop: true})
		g.advance(3 * time.Second)
		g.step(p, ownership.ExchangesDrained{})
		g.advance(5 * time.Second)
		if p.snapshot.Reason != ownership.ReasonLeft {
			return nil, &GroupError{len(g.processes), "member that left"}
		}
		g.startProcess(p)
		g.advance(settleTime)
	}
	return g, nil
}

// moveHashes moves count single hashes, all at once. A coordinator that has not
// used the store for a while responds to the first request only by reading the
// record, so each request is repeated.
func moveHashes(count int) (*simulatedGroup, error) {
	g, err := newSettledGroup(ownership.MaxMembers)
	if err != nil {
		return nil, err
	}
	g.resetCounts()
	coordinator := g.coordinator()
	table := coordinator.snapshot.Table
	for range 2 {
		for i := range count {
			g.requestMove(coordinator, table, core.HashKey("hot-"+strconv.Itoa(i)), i)
		}
		g.advance(20 * time.Millisecond)
	}
	g.advance(settleTime)
	return g, nil
}

// requestMove asks the coordinator to move a hash to the member at position, or
// to the next member if that one already owns the hash.
func (g *simulatedGroup) requestMove(coordinator *process, table *core.Table, h core.Hash, position int) {
	owner, _, _ := table.Owner(h)
	to := table.Members[position%len(table.Members)]
	if to.SameRun(owner) {
		to = table.Members[(position+1)%len(table.Members)]
	}
	g.step(coordinator, ownership.RequestMove{Range: core.Range{Lo: h, Hi: h}, To: ownership.RunOf(to)})
}

// storeOutage simulates a group without the store; its counts cover one minute
// of the outage.
func storeOutage(size int) (*simulatedGroup, error) {
	g, err := newSettledGroup(size)
	if err != nil {
		return nil, err
	}
	g.storeDown = true
	g.advance(settleTime)
	g.resetCounts()
	g.advance(averagingTime)
	return g, nil
}

// measureAllStoreCalls measures each situation in which a group calls the
// store.
func measureAllStoreCalls() ([]capacity.Slope, error) {
	var out []capacity.Slope
	for _, situation := range []struct {
		slopePrefix, per string
		sizes            []int
		simulate         func(int) (*simulatedGroup, error)
	}{
		{"create", "member", groupSizes, formGroup},
		{"loss", "member lost", []int{1, 2, 4}, loseMembers},
		{"restart", "restart", []int{1, 2, 3}, restartMembers},
		{"move", "move", []int{1, 4, 16}, moveHashes},
		{"outage-minute", "member", groupSizes, storeOutage},
	} {
		s, err := measureStoreCalls(situation.slopePrefix, situation.per, situation.sizes, situation.simulate)
		if err != nil {
			return nil, err
		}
		out = append(out, s...)
	}
	return out, nil
}
