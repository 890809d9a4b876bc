package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// lostCase lets clients send idempotent requests behind each other on kept
// connections, the first one to a service whose backend server has turned slow.
func lostCase(r *run) int {
	const (
		clients    = 5
		perClient  = 10
		pageBytes  = 100_000
		work       = 100 * time.Millisecond
		slowFactor = 12
	)
	// The callers are beside a backend server that gets none of the requests.
	beside, err := newBackend("kauppa", "fi-south-a", "i-0")
	if err != nil {
		return notRun
	}
	sound, err := newBackend("hintapalvelu", "fi-south-b", "i-1")
	if err != nil {
		return notRun
	}
	slow, err := newBackend("raportit", "fi-south-b", "i-2")
	if err != nil {
		return notRun
	}
	page := bytes.Repeat([]byte("x"), pageBytes)
	sound.handle = func(q *request) bool {
		time.Sleep(20 * time.Millisecond)
		body := []byte("ok " + q.id())
		if strings.HasPrefix(q.target, "/page/") {
			body = page
		}
		return sound.answer(q, 200, nil, body)
	}
	slow.handle = func(q *request) bool {
		if r.trouble {
			time.Sleep(work * slowFactor)
		} else {
			time.Sleep(work)
		}
		return slow.answer(q, 200, nil, []byte("report"))
	}
	r.putConfig([][]any{
		{"r1", "ficu95.example", "/lookup/", "idempotent", "2000ms", "300ms", 2, "hintapalvelu", 2, nil},
		{"r2", "ficu95.example", "/page/", "idempotent", "1000ms", "300ms", 2, "hintapalvelu", 2, nil},
		{"r3", "ficu95.example", "/report/", "idempotent", "2000ms", "400ms", 2, "raportit", 2, nil},
	}, [][]any{service("kauppa"), service("hintapalvelu"), service("raportit")})
	n := newNode(r, "sidecar-fi-south-a-1", "fi-south-a", "kauppa", beside)
	newNode(r, "sidecar-fi-south-b-1", "fi-south-b", "hintapalvelu", sound)
	newNode(r, "sidecar-fi-south-b-2", "fi-south-b", "raportit", slow)
	if !r.startAll(beside, sound, slow) {
		return notRun
	}
	var wg sync.WaitGroup
	answered := make([]int, clients)
	for client := range clients {
		wg.Go(func() { answered[client] = r.sendBehindEachOther(n.addr("outbound"), client, perClient) })
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, b := range []*backend{sound, slow} {
		for _, q := range b.requests() {
			ran[q.id()] = true
		}
	}
	if len(ran) < clients*perClient {
		r.logf("only %d of %d requests have run", len(ran), clients*perClient)
		return notRun
	}
	lost := 0
	for client := range clients {
		// The answer that broke off isn't counted: its route's timeout was over.
		for i := answered[client]; i < perClient; i++ {
			if i >= 2 && ran[lostID(client, i)] {
				lost++
			}
		}
	}
	r.logf("%d requests of routes whose timeout was not reached were run by a sound backend server, and their connections closed without an answer", lost)
	if lost > 3 {
		return broken
	}
	return held
}

func lostID(client, i int) string { return fmt.Sprintf("c%dr%d", client, i) }

// sendBehindEachOther sends requests on one connection and returns how many answers
// were complete.
func (r *run) sendBehindEachOther(addr string, client, requests int) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		r.logf("client %d: %v", client, err)
		return requests
	}
	defer c.Close()
	began := time.Now()
	_ = c.SetDeadline(began.Add(5 * time.Second))
	var all strings.Builder
	for i := range requests {
		path := "/lookup/x"
		switch i {
		case 0:
			path = "/report/x"
		case 1:
			path = "/page/x"
		}
		all.WriteString(requestHead("GET", path, lostID(client, i), 2000) + "\r\n")
	}
	if _, err := io.WriteString(c, all.String()); err != nil {
		r.logf("client %d: %v", client, err)
		return requests
	}
	br := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		length := int64(0)
		if err == nil {
			length, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			r.logf("client %d, %v after it sent its requests: %d of %d answers are complete; then %d bytes of a body, and %v", client, time.Since(began).Round(time.Millisecond), i, requests, length, err)
			return i
		}
	}
	r.logf("client %d: all %d answers are complete after %v", client, requests, time.Since(began).Round(time.Millisecond))
	return requests
}
