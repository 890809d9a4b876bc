package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

// counter counts the bad requests of one customer or key.
type counter struct {
	name      string
	weight    float64 // bad requests, scaled by weightAt of their instants
	overcount float64 // part of weight that may belong to other names
}

// heavyHitters finds the names with the most bad requests in bounded memory. It
// is the space-saving algorithm with exponential decay. Only bad requests are
// recorded, so a list with room for a few hundred names is exact as long as no
// more names have bad requests.
type heavyHitters struct {
	limit    int            // greatest number of counters
	base     clock.Instant  // instant at which a bad request weighs 1
	index    map[string]int // name to position in counters
	counters []counter
}

// topHalfLife is the half-life of bad requests. It matches the window of one
// hour.
const topHalfLife = 30 * time.Minute

func newHeavyHitters(limit int) *heavyHitters {
	return &heavyHitters{limit: limit, index: make(map[string]int, limit)}
}

// add counts bad requests of a name. If there is no room for the name, it takes
// over the counter with the least weight.
func (h *heavyHitters) add(now clock.Instant, name string, bad float64) {
	w := bad * h.weightAt(now)
	if i, ok := h.index[name]; ok {
		h.counters[i].weight += w
		return
	}
	if len(h.counters) < h.limit {
		h.index[name] = len(h.counters)
		h.counters = append(h.counters, counter{name: name, weight: w})
		return
	}
	lightest := 0
	for i := range h.counters {
		if h.counters[i].weight < h.counters[lightest].weight {
			lightest = i
		}
	}
	evicted := h.counters[lightest]
	delete(h.index, evicted.name)
	h.counters[lightest] = counter{name: name, weight: evicted.weight + w, overcount: evicted.weight}
	h.index[name] = lightest
}

// weightAt returns the weight of a bad request at now. Weights double with each
// half-life, which equals a decay of the older requests. It moves base to now
// before weights grow too large.
func (h *heavyHitters) weightAt(now clock.Instant) float64 {
	age := float64(now.Sub(h.base)) / float64(topHalfLife)
	if age > 64 { // long before a float64 loses precision
		for i := range h.counters {
			h.counters[i].weight *= math.Exp2(-age)
			h.counters[i].overcount *= math.Exp2(-age)
		}
		h.base, age = now, 0
	}
	return math.Exp2(age)
}

// top returns the n names with the most bad requests at instant now. It counts
// only those that certainly belong to the name.
func (h *heavyHitters) top(now clock.Instant, n int) []BudgetUse {
	decay := 1 / h.weightAt(now)
	out := make([]BudgetUse, 0, len(h.counters))
	for _, c := range h.counters {
		if certain := (c.weight - c.overcount) * decay; certain >= 0.01 {
			out = append(out, BudgetUse{Name: c.name, Burned: certain})
		}
	}
	return sortTop(out, n)
}

// sortTop sorts names by bad requests, most first, and returns the first n.
func sortTop(all []BudgetUse, n int) []BudgetUse {
	slices.SortFunc(all, func(a, b BudgetUse) int {
		return cmp.Or(cmp.Compare(b.Burned, a.Burned), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(n, len(all))]
}
