package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Sizes of the crowd: clients that stop within a head inside the limit, clients that
// stop within a body, and clients that send whole small requests one after the other.
const (
	stalledHeads  = 740
	stalledBodies = 380
	busySenders   = 60
	crowdTime     = 4 * time.Second
	maxCrowds     = 4
)

// quotaCase lets a crowd of clients that nobody controls press on a node for a few
// seconds and leave, and then sends ordinary uploads.
func quotaCase(r *run) int {
	const uploads, routeTimeout = 10, 1500 * time.Millisecond
	b, err := newBackend("raportit", "fi-south-a", "i-1")
	if err != nil {
		return notRun
	}
	r.putConfig([][]any{
		{"r1", "ficu95.example", "/lookup/", "idempotent", "1000ms", "300ms", 2, "raportit", 2, nil},
		{"r2", "ficu95.example", "/submit/", "non_idempotent", "1200ms", "400ms", 1, "raportit", 2, nil},
		{"r3", "ficu95.example", "/sheet/", "upload", "1500ms", "400ms", 1, "raportit", 2, nil},
	}, [][]any{service("raportit")})
	n := newNode(r, "sidecar-fi-south-a-1", "fi-south-a", "raportit", b)
	if !r.startAll(b) {
		return notRun
	}
	if line := sendSheet(n, "before", 4*time.Second); line != "HTTP/1.1 200 OK" {
		r.logf("an upload before the crowd is answered %q", line)
		return notRun
	}
	r.logf("an upload of 60000 bytes before the crowd is answered 200")
	if r.trouble {
		r.logf("%d clients stop within a head of 16 KB, %d within a body of 32 KB, %d send requests of 2 KB", stalledHeads, stalledBodies, busySenders)
		// Whether the reclaimer's ring is full at the wrong moment depends on the load
		// of the machine. The crowd comes again if the node has got over it.
		for range maxCrowds {
			pressCrowd(n)
			r.logf("the crowd has closed all its connections; metrics: %s", n.metrics("held_", "ring_quota"))
			if sendSheet(n, "between", routeTimeout+500*time.Millisecond) == "" {
				break
			}
		}
	}
	time.Sleep(15 * time.Second) // header and body time-outs, and stable-window, have passed
	r.logf("the process runs: %v; it says that it is ready: %v", n.running(), n.ready())
	answers := make([]string, uploads)
	var wg sync.WaitGroup
	for i := range uploads {
		wg.Go(func() { answers[i] = sendSheet(n, fmt.Sprintf("sheet-%d", i), routeTimeout+500*time.Millisecond) })
	}
	wg.Wait()
	missing := 0
	for i, line := range answers {
		r.logf("upload sheet-%d: answer within the route's timeout and 0.5 s: %q", i, line)
		if line == "" {
			missing++
		}
	}
	if missing > 0 {
		r.logf("one more upload, waited for 20 s, is answered %q", sendSheet(n, "sheet-late", 20*time.Second))
	}
	r.logf("%d of %d ordinary uploads have no answer", missing, uploads)
	if missing < 8 {
		return held
	}
	pressCrowd(n)
	r.logf("a further crowd has come and closed all its connections")
	time.Sleep(15 * time.Second)
	for i := range 10 {
		line := exchange(n.addr("outbound"), requestHead("GET", "/lookup/x", fmt.Sprintf("lookup-%d", i), 1000, "Connection: close")+"\r\n", 1500*time.Millisecond)
		r.logf("lookup-%d, without a body: %q", i, line)
	}
	r.logf("the process runs: %v; it says that it is ready: %v", n.running(), n.ready())
	return broken
}

// sendSheet uploads a sale sheet of 60000 bytes, the mean size of the site, and returns
// the status line of the answer.
func sendSheet(n *node, id string, wait time.Duration) string {
	return exchange(n.addr("outbound"), requestHead("POST", "/sheet/x", id, 2500, "Connection: close", "Content-Length: 60000")+"\r\n"+strings.Repeat("s", 60000), wait)
}

// pressCrowd opens the crowd's connections, and closes them after crowdTime.
func pressCrowd(n *node) {
	var mu sync.Mutex
	var conns []net.Conn
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp", n.addr("outbound"), time.Second)
		if err != nil {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
		return c
	}
	open := func(count int, request string) {
		for range count {
			if c := dial(); c != nil {
				_, _ = io.WriteString(c, request)
			}
		}
	}
	open(stalledHeads, requestHead("GET", "/lookup/x", "head", 1000)+"X-Fill: "+strings.Repeat("f", 15850))
	open(stalledBodies, requestHead("POST", "/sheet/x", "body", 60000, "Content-Length: 32768")+"\r\n"+strings.Repeat("b", 16000))
	small := []byte(strings.Repeat(requestHead("POST", "/submit/x", "small", 1000, "Content-Length: 2000")+"\r\n"+strings.Repeat("p", 2000), 50))
	end := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	for range busySenders {
		wg.Go(func() {
			for time.Now().Before(end) {
				c := dial()
				if c == nil {
					continue
				}
				_ = c.SetDeadline(end)
				go func() { _, _ = io.Copy(io.Discard, c) }()
				for time.Now().Before(end) {
					if _, err := io.Copy(c, bytes.NewReader(small)); err != nil {
						break
					}
				}
				_ = c.Close()
			}
		})
	}
	wg.Wait()
	for _, c := range conns {
		_ = c.Close()
	}
}
