package backend

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"marjoramshore.example/core"
)

// fence keeps the newest fencing token seen for each range.
type fence struct {
	mu     sync.Mutex
	keys   map[core.Hash]core.Token
	ranges []rangeToken
}

type rangeToken struct {
	r core.Range
	t core.Token
}

// admit reports whether t is not older than any token seen for h, and then
// records it for r.
func (f *fence) admit(h core.Hash, r core.Range, t core.Token) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Less(f.keys[h]) {
		return false
	}
	for _, e := range f.ranges {
		if e.r.Contains(h) && t.Less(e.t) {
			return false
		}
	}
	f.record(r, t)
	return true
}

func (f *fence) record(r core.Range, t core.Token) {
	if r.Lo == r.Hi {
		f.keys[r.Lo] = t
		return
	}
	f.ranges = slices.DeleteFunc(f.ranges, func(e rangeToken) bool {
		return r.Lo <= e.r.Lo && e.r.Hi <= r.Hi && !t.Less(e.t)
	})
	f.ranges = append(f.ranges, rangeToken{r, t})
}

// parseToken reads "term.sequence".
func parseToken(s string) (core.Token, bool) {
	var t core.Token
	n, err := fmt.Sscanf(s, "%d.%d", &t.Term, &t.Sequence)
	return t, err == nil && n == 2
}

// parseRange reads "lo-hi" in hexadecimal.
func parseRange(s string) (core.Range, bool) {
	var r core.Range
	n, err := fmt.Sscanf(strings.Replace(s, "-", " ", 1), "%x %x", &r.Lo, &r.Hi)
	return r, err == nil && n == 2 && r.Lo <= r.Hi
}

func (f *fence) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys, f.ranges = map[core.Hash]core.Token{}, nil
}
