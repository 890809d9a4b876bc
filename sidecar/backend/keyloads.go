package backend

import (
	"marjoramshore.example/shards"
)

// minDivisionDemand is the demand from which a node tells which keys its work
// concerns. Below it none are moved.
const minDivisionDemand = 0.7

// keyLoads is what KeyLoads returns.
type keyLoads struct {
	demand float64
	loads  []shards.KeyLoad
}

// KeyLoads returns the demand of the last intervals, and which keys it concerns if
// the backend server is busy.
func (p *Proxy) KeyLoads() (float64, []shards.KeyLoad) {
	l := p.keyLoads.Load()
	return l.demand, l.loads
}

// keyCounter counts the requests that arrive for each key.
type keyCounter struct {
	// present and former are the counts of the interval that runs and of the one
	// before.
	present, former map[int]int
	demand          float64
}

const (
	// recentDemandWeight is the weight of one interval in the demand that KeyLoads
	// returns, which follows a change within 0.6 s.
	recentDemandWeight = 0.4
	// maxCountedKeys bounds the keys that are counted in an interval. Further ones
	// are left out.
	maxCountedKeys = 4096
)

func (c *keyCounter) count(key int) {
	if c.present == nil {
		c.present = make(map[int]int)
	}
	if _, counted := c.present[key]; counted || len(c.present) < maxCountedKeys {
		c.present[key]++
	}
}

// endInterval returns the loads after an interval with the given demand.
func (c *keyCounter) endInterval(demand float64) *keyLoads {
	c.demand += recentDemandWeight * (demand - c.demand)
	out := &keyLoads{demand: c.demand}
	if c.demand >= minDivisionDemand {
		counts := make(map[int]int, len(c.present)+len(c.former))
		for _, interval := range []map[int]int{c.present, c.former} {
			for key, n := range interval {
				counts[key] += n
			}
		}
		out.loads = shards.DivideByLoad(counts)
	}
	c.former, c.present = c.present, nil
	return out
}
