package main

import (
	"fmt"
	"sort"
	"time"
)

// breach is a broken rule.
type breach struct{ rule, what string }

// checkRequests checks the rules TWICE, REFUSED, MIXED and UNASKED.
func (r *recorder) checkRequests() []breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []breach
	runs := map[string]int{}
	for _, x := range r.runs {
		runs[x.id]++
		sent, ok := r.sent[x.id]
		switch {
		case !ok:
			out = append(out, breach{"UNASKED", "run of a request that nobody sent: " + x.id})
		case sent.method != x.method || sent.path != x.target:
			out = append(out, breach{"UNASKED", "request changed: " + x.id})
		case sent.kind != "idempotent" && runs[x.id] == 2:
			out = append(out, breach{"TWICE", "request that may run once ran again: " + x.id})
		}
	}
	for _, a := range r.answers {
		switch a.status {
		case 429, 503, 408, 421:
			if a.kind != "idempotent" && runs[a.id] > 0 {
				out = append(out, breach{"REFUSED", fmt.Sprintf("status %d for a request that ran: %s", a.status, a.id)})
			}
		}
		if a.status/100 == 2 && (!a.bodyOK || runs[a.id] == 0) {
			out = append(out, breach{"MIXED", "success that is not the backend's answer to the request: " + a.id})
		}
	}
	return out
}

// interval is a span of time in which a backend holds a key.
type interval struct {
	from, to float64
	instance string
	fence    int64
}

// takes reports whether a backend gets a key in x that it did not hold with the same
// fence before.
func takes(earlier []interval, x interval) bool {
	for _, y := range earlier {
		if y.instance == x.instance && y.fence == x.fence {
			return false
		}
	}
	return true
}

// checkHolds checks that no two backends hold one key, and that fences grow.
func (r *recorder) checkHolds() []breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	const sampled = 512 // every 128th key
	byKey := make([][]interval, sampled)
	last := map[*backend]holdEntry{}
	add := func(h holdEntry, end float64) {
		for _, row := range h.rows {
			for k := range sampled {
				if key := k * 65536 / sampled; row.from <= key && key <= row.to {
					byKey[k] = append(byKey[k], interval{h.at.Seconds(), end, h.instance, row.fence})
				}
			}
		}
	}
	// A hold ends with its backend.
	until := func(h holdEntry) float64 {
		if end := h.b.exitedAt.Load(); end > 0 {
			return min(h.until.Seconds(), time.Duration(end).Seconds())
		}
		return h.until.Seconds()
	}
	for _, h := range r.holds {
		if former, ok := last[h.b]; ok {
			add(former, min(until(former), h.at.Seconds()))
		}
		last[h.b] = h
	}
	for _, h := range last {
		add(h, until(h))
	}
	var out []breach
	for k, list := range byKey {
		sort.Slice(list, func(i, j int) bool { return list[i].from < list[j].from })
		for i := 1; i < len(list); i++ {
			for j := range i {
				a, b := list[j], list[i]
				if a.instance == b.instance {
					continue
				}
				if overlap := min(a.to, b.to) - b.from; overlap > 0.5 {
					out = append(out, breach{"OWNER", fmt.Sprintf("key %d held by %s and %s for %.3f s from %.3f", k*65536/sampled, a.instance, b.instance, overlap, b.from)})
				}
				// A renewal takes no key.
				if takes(list[:i], b) && b.fence <= a.fence {
					out = append(out, breach{"OWNER", fmt.Sprintf("key %d: %s takes it at %.3f with fence %d after %s had %d", k*65536/sampled, b.instance, b.from, b.fence, a.instance, a.fence)})
				}
			}
		}
	}
	return out
}
