package backend

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"marjoramshore.example/core"
)

// tokenFence holds the newest fencing token seen for each key and range.
type tokenFence struct {
	mu          sync.Mutex
	keyTokens   map[core.Hash]core.Token
	rangeTokens []rangeToken
}

type rangeToken struct {
	hashRange core.Range
	token     core.Token
}

// admit reports whether t is at least as new as every token seen for h. If so,
// it records t for r.
func (f *tokenFence) admit(h core.Hash, r core.Range, t core.Token) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Less(f.keyTokens[h]) {
		return false
	}
	for _, e := range f.rangeTokens {
		if e.hashRange.Contains(h) && t.Less(e.token) {
			return false
		}
	}
	f.record(r, t)
	return true
}

func (f *tokenFence) record(r core.Range, t core.Token) {
	if r.Lo == r.Hi {
		f.keyTokens[r.Lo] = t
		return
	}
	f.rangeTokens = slices.DeleteFunc(f.rangeTokens, func(e rangeToken) bool {
		return r.Lo <= e.hashRange.Lo && e.hashRange.Hi <= r.Hi && !t.Less(e.token)
	})
	f.rangeTokens = append(f.rangeTokens, rangeToken{r, t})
}

// parseToken parses "term.sequence" in decimal.
func parseToken(s string) (core.Token, bool) {
	var t core.Token
	n, err := fmt.Sscanf(s, "%d.%d", &t.Term, &t.Sequence)
	return t, err == nil && n == 2
}

// parseRange parses "lo-hi" in hexadecimal.
func parseRange(s string) (core.Range, bool) {
	var r core.Range
	n, err := fmt.Sscanf(strings.Replace(s, "-", " ", 1), "%x %x", &r.Lo, &r.Hi)
	return r, err == nil && n == 2 && r.Lo <= r.Hi
}

func (f *tokenFence) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keyTokens, f.rangeTokens = map[core.Hash]core.Token{}, nil
}
