package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// crashCase sends a request that crashes each backend server that begins to run it
// again and again.
func crashCase(r *run) int {
	const (
		retries = 6
		// pause is longer than the server is away and stable-window.
		pause = 5500 * time.Millisecond
	)
	var backends []*backend
	var mu sync.Mutex
	crashes, arrivals := 0, 0
	// Callers use a node whose own backend server is not concerned.
	beside, err := newBackend("hintapalvelu", "fi-south-a", "i-0")
	if err != nil {
		return notRun
	}
	backends = append(backends, beside)
	newNode(r, "sidecar-fi-south-a-0", "fi-south-a", "hintapalvelu", beside)
	for i, zone := range []string{"fi-south-a", "fi-south-b"} {
		b, err := newBackend("raportit", zone, fmt.Sprintf("i-%d", i+1))
		if err != nil {
			return notRun
		}
		b.handle = func(q *request) bool {
			if !strings.HasPrefix(q.target, "/submit/bad") {
				time.Sleep(60 * time.Millisecond)
				return b.answer(q, 200, nil, []byte("ok"))
			}
			mu.Lock()
			arrivals++
			r.logf("backend server %s begins to run %s (arrival %d)", b.instance, q.id(), arrivals)
			if r.trouble {
				crashes++
				mu.Unlock()
				b.crash(2 * time.Second)
				return false
			}
			mu.Unlock()
			return b.answer(q, 200, nil, []byte("ok"))
		}
		backends = append(backends, b)
		newNode(r, "sidecar-"+zone+"-1", zone, "raportit", b)
	}
	r.putConfig([][]any{
		{"r2", "ficu95.example", "/submit/", "non_idempotent", "1200ms", "400ms", 1, "raportit", 2, nil},
	}, [][]any{service("hintapalvelu"), service("raportit")})
	if !r.startAll(backends...) {
		return notRun
	}
	n := r.nodes[0]
	lost := 0
	send := func(id string) {
		// An ordinary request that runs beside it shows what a crash takes along.
		var ordinary sync.WaitGroup
		ordinary.Go(func() {
			line := exchange(n.addr("outbound"), requestHead("POST", "/submit/good", "good-"+id, 2500, "Connection: close", "Content-Length: 4")+"\r\ngood", 3*time.Second)
			r.logf("ordinary request good-%s is answered %q", id, line)
			if line != "HTTP/1.1 200 OK" {
				lost++
			}
		})
		defer ordinary.Wait()
		time.Sleep(20 * time.Millisecond)
		line := exchange(n.addr("outbound"), requestHead("POST", "/submit/bad", id, 2500, "Connection: close", "Content-Length: 3")+"\r\nbad", 3*time.Second)
		r.logf("request %s, with the same path, caller and body, is answered %q", id, line)
	}
	for i := range 3 {
		send(fmt.Sprintf("first-%d", i+1))
		time.Sleep(pause)
	}
	mu.Lock()
	if r.trouble && crashes < 3 {
		mu.Unlock()
		r.logf("the request crashed %d backend servers only", crashes)
		return notRun
	}
	before := arrivals
	mu.Unlock()
	r.logf("stable-window has passed since the third crash, and since the backend server came back")
	for i := range retries {
		send(fmt.Sprintf("retry-%d", i+1))
		time.Sleep(pause)
	}
	mu.Lock()
	defer mu.Unlock()
	r.logf("%d of %d later retries reached a backend server; %d backend servers crashed in all, and %d ordinary requests that cannot be repeated were lost with them", arrivals-before, retries, crashes, lost)
	if r.trouble && arrivals-before > 3 {
		return broken
	}
	return held
}

// crash ends the run with all its connections, and begins another one at the same
// address after a time.
func (b *backend) crash(down time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	addr := b.ln.Addr().String()
	_ = b.ln.Close()
	for c := range b.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	b.open = map[net.Conn]struct{}{}
	time.AfterFunc(down, func() {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.down, b.ln, b.seq, b.born = false, ln, 0, time.Now().UnixMilli()
		b.instance += "x"
		go b.serve(ln)
	})
}
