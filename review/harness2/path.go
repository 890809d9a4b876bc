package main

import (
	"fmt"
	"time"
)

// pathCase sends requests with characters in the path that common clients do not
// escape, and compares the path with what the backend server got.
func pathCase(r *run) int {
	b, err := newBackend("hintapalvelu", "fi-south-a", "i-1")
	if err != nil {
		return notRun
	}
	r.putConfig([][]any{
		{"r1", "ficu95.example", "/lookup/", "idempotent", "1000ms", "300ms", 2, "hintapalvelu", 2, nil},
		{"r2", "ficu95.example", "/submit/", "non_idempotent", "1200ms", "400ms", 1, "hintapalvelu", 2, nil},
	}, [][]any{service("hintapalvelu")})
	n := newNode(r, "sidecar-fi-south-a-1", "fi-south-a", "hintapalvelu", b)
	if !r.startAll(b) {
		return notRun
	}
	bar := "|"
	if !r.trouble {
		bar = "%7C"
	}
	changed, ran := 0, 0
	for i, target := range []string{"/lookup/lamb%2Ftexel" + bar + "2026", "/lookup/lamb" + bar + "2026", "/submit/buyer%2F7" + bar + "entry%2F3"} {
		method := "GET"
		if target[1] == 's' {
			method = "POST"
		}
		id := fmt.Sprintf("path-%d", i+1)
		before := len(b.requests())
		line := exchange(n.addr("outbound"), requestHead(method, target, id, 1000, "Connection: close", "Content-Length: 0")+"\r\n", 2*time.Second)
		r.logf("sent %s %s as %s, answered %q", method, target, id, line)
		for _, q := range b.requests()[before:] {
			ran++
			r.logf("backend server runs %s %s as %s", q.method, q.target, q.id())
			if q.target != target {
				changed++
			}
		}
	}
	r.logf("%d of %d requests ran with another path than was sent", changed, ran)
	if changed > 0 {
		return broken
	}
	if ran == 0 {
		return notRun
	}
	return held
}
