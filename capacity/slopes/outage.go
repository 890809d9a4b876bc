package slopes

import (
	"slices"
	"strings"
	"time"

	"marjoramshore.example/capacity"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

// keySamples is the number of evenly spaced hashes at which the key space is
// sampled.
const keySamples = 1024

// outageGroupSizes are group sizes with two successors and at least one
// ordinary member.
var outageGroupSizes = []int{4, 7, 10}

// hasRole reports whether p currently has the given role of roleNames.
func (g *simulatedGroup) hasRole(p *process, role string) bool {
	coordinator := g.coordinator()
	successor := slices.Contains(coordinator.snapshot.Successors, ownership.RunOf(p.self))
	switch role {
	case "coordinator":
		return p == coordinator
	case "successor":
		return successor
	default:
		return p != coordinator && !successor
	}
}

// unservedShare returns the share of the key space that no live process serves.
func (g *simulatedGroup) unservedShare() float64 {
	count := 0
	for i := range keySamples {
		h := core.Hash(i) * (^core.Hash(0) / keySamples)
		if !slices.ContainsFunc(g.processes, func(p *process) bool { return g.serves(p, h) }) {
			count++
		}
	}
	return float64(count) / keySamples
}

func (g *simulatedGroup) serves(p *process, h core.Hash) bool {
	if p.node == nil || p.snapshot == nil {
		return false
	}
	_, code := p.snapshot.Check(g.now, h)
	return code == 0
}

// unservedInOutage returns the share of a group's keys that has no service
// after disrupt was applied to one process of the given role while the store
// was unavailable.
func unservedInOutage(size int, role string, disrupt func(*simulatedGroup, *process)) (float64, error) {
	g, err := newSettledGroup(size)
	if err != nil {
		return 0, err
	}
	g.storeDown = true
	g.advance(settleTime)
	for _, p := range g.processes {
		if g.hasRole(p, role) {
			disrupt(g, p)
			break
		}
	}
	g.advance(settleTime)
	return g.unservedShare(), g.err
}

// measureOutages measures the share of keys without service after a loss and
// after a planned stop while the store is unavailable.
func measureOutages() ([]capacity.Slope, error) {
	lose := func(_ *simulatedGroup, p *process) { p.node = nil }
	stop := func(g *simulatedGroup, p *process) {
		g.step(p, ownership.Drain{Stop: true})
		g.advance(3 * time.Second)
		g.step(p, ownership.ExchangesDrained{})
	}
	var out []capacity.Slope
	for _, role := range roleNames {
		for event, disrupt := range map[string]func(*simulatedGroup, *process){"lost": lose, "stopped": stop} {
			s := capacity.Slope{Name: "outage-unserved-" + event + "-" + role, Unit: "share of the group's keys", Per: "member of the group", Counted: true}
			s, err := measureSizes(s, outageGroupSizes, func(size int) (float64, error) { return unservedInOutage(size, role, disrupt) })
			if err != nil {
				return nil, err
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b capacity.Slope) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
