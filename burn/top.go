package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
)

// spender is a customer or a key with its share in the budget burned.
type spender struct {
	name   string
	burned float64 // decayed bad requests, of which excess may be others'
	excess float64
}

// topSpenders finds the names with the most bad requests in bounded memory
// (space-saving with exponential decay). Only bad requests are recorded, so a
// list with room for a few hundred is exact as long as no more names fail.
type topSpenders struct {
	limit int
	base  clock.Instant
	at    map[string]int
	list  []spender
}

// spendHalfLife matches the window of one hour.
const spendHalfLife = 30 * time.Minute

func newTop(limit int) *topSpenders {
	return &topSpenders{limit: limit, at: make(map[string]int, limit)}
}

func (t *topSpenders) add(now clock.Instant, name string, bad float64) {
	w := bad * t.growth(now)
	if i, ok := t.at[name]; ok {
		t.list[i].burned += w
		return
	}
	if len(t.list) < t.limit {
		t.at[name] = len(t.list)
		t.list = append(t.list, spender{name: name, burned: w})
		return
	}
	least := 0
	for i := range t.list {
		if t.list[i].burned < t.list[least].burned {
			least = i
		}
	}
	old := t.list[least]
	delete(t.at, old.name)
	t.list[least] = spender{name: name, burned: old.burned + w, excess: old.burned}
	t.at[name] = least
}

func (t *topSpenders) growth(now clock.Instant) float64 {
	age := float64(now.Sub(t.base)) / float64(spendHalfLife)
	if age > 64 { // long before a float64 loses precision
		for i := range t.list {
			t.list[i].burned *= math.Exp2(-age)
			t.list[i].excess *= math.Exp2(-age)
		}
		t.base, age = now, 0
	}
	return math.Exp2(age)
}

// top returns at most n names with what they certainly burned, at instant now.
func (t *topSpenders) top(now clock.Instant, n int) []Spender {
	k := 1 / t.growth(now)
	out := make([]Spender, 0, len(t.list))
	for _, s := range t.list {
		if sure := (s.burned - s.excess) * k; sure >= 0.01 {
			out = append(out, Spender{Name: s.name, Burned: sure})
		}
	}
	return topOf(out, n)
}

func topOf(all []Spender, n int) []Spender {
	slices.SortFunc(all, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.Burned, a.Burned), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(n, len(all))]
}
