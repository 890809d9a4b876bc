package slopes

import (
	"slices"
	"strings"
	"time"

	"marjoramshore.example/capacity"
	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

// samples is the number of hashes that stand for the key space.
const samples = 1024

// outageSizes are those at which both successors and other members exist.
var outageSizes = []int{4, 7, 10}

// role tells whether a process has a role of the group.
func (g *group) role(p *process, name string) bool {
	c := g.coordinator()
	successor := slices.Contains(c.snap.Successors, ownership.RunOf(p.self))
	switch name {
	case "coordinator":
		return p == c
	case "successor":
		return successor
	default:
		return p != c && !successor
	}
}

// unserved returns the share of the key space that no live process serves.
func (g *group) unserved() float64 {
	count := 0
	for i := range samples {
		h := core.Hash(i) * (^core.Hash(0) / samples)
		if !slices.ContainsFunc(g.processes, func(p *process) bool { return g.serves(p, h) }) {
			count++
		}
	}
	return float64(count) / samples
}

func (g *group) serves(p *process, h core.Hash) bool {
	if p.node == nil || p.snap == nil {
		return false
	}
	_, code := p.snap.Check(g.now, h)
	return code == 0
}

// inOutage returns the share of a group's keys that stays without
// service after something happened to one process while the store was out.
func inOutage(size int, role string, happen func(*group, *process)) (float64, error) {
	g, err := settled(size)
	if err != nil {
		return 0, err
	}
	g.storeDown = true
	g.run(settle)
	for _, p := range g.processes {
		if g.role(p, role) {
			happen(g, p)
			break
		}
	}
	g.run(settle)
	return g.unserved(), g.err
}

// outages measures what a loss and a planned stop cost while the store is out.
func outages() ([]capacity.Slope, error) {
	lose := func(_ *group, p *process) { p.node = nil }
	stop := func(g *group, p *process) {
		g.step(p, ownership.Drain{Stop: true})
		g.run(3 * time.Second)
		g.step(p, ownership.ExchangesDrained{})
	}
	var out []capacity.Slope
	for _, role := range roleNames {
		for name, happen := range map[string]func(*group, *process){"lost": lose, "stopped": stop} {
			s := capacity.Slope{Name: "outage-unserved-" + name + "-" + role, Unit: "share of the group's keys", Per: "member of the group", Counted: true}
			s, err := over(s, outageSizes, func(size int) (float64, error) { return inOutage(size, role, happen) })
			if err != nil {
				return nil, err
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b capacity.Slope) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
