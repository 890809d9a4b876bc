package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/endless"
	"marjoramshore.example/standin/wire"
)

// Guards against a node that keeps what a faulty backend server sends without end,
// in a head or in a body, until it runs out of memory: the requests of all other
// callers on the VM end with it.
func TestEndlessBytesTakeLittleMemory(t *testing.T) {
	f := startFleet(t, "prices", "reports")
	b := f.replaceLastBackend(15)
	part := strings.Repeat("x", 1000)
	head := "HTTP/1.1 200 OK\r\nX-Marjoramshore-Attempt-Id: %\r\n"
	signed := head + "X-Marjoramshore-Response-Signature: 3e1b\r\n"
	chunked := signed + "Transfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string][2]string{
		"no answer":            {"", part},
		"status line":          {"HTTP/1.1 200 ", part},
		"one field":            {head + "X: ", part},
		"the same field":       {head, strings.Repeat("A:\r\n", 250)},
		"short fields":         {head, "%n"},
		"folded field":         {head + "X: 1\r\n", " " + part + "\r\n"},
		"interim answers":      {"", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 50)},
		"interim with fields":  {"HTTP/1.1 103 E\r\n", strings.Repeat("A:\r\n", 250)},
		"answers of others":    {"", signedAnswer("earlier", part)},
		"unsigned body":        {head + "\r\n", part},
		"signed body":          {signed + "\r\n", part},
		"signed body, length":  {signed + "Content-Length: 1000000000000\r\n\r\n", part},
		"signed chunks":        {chunked, "3e8\r\n" + part + "\r\n"},
		"signed chunks of one": {chunked, strings.Repeat("1\r\nx\r\n", 200)},
		"chunk size":           {chunked, strings.Repeat("0", 1000)},
		"chunk extension":      {chunked + "5;x=", part},
		"trailers":             {chunked + "0\r\n", strings.Repeat("A:\r\n", 250)},
	} {
		t.Run(name, func(t *testing.T) {
			b.set(func(c net.Conn, id string, _ int) bool {
				_, err := io.WriteString(c, strings.Replace(answer[0], "%", id, 1))
				for i := 0; err == nil; i++ {
					next := answer[1]
					if next == "%n" {
						next = fmt.Sprintf("A%d:\r\n", i)
					}
					_, err = io.WriteString(c, next)
				}
				return false
			})
			peak := endless.PeakHeap(func() {
				var callers sync.WaitGroup
				for i := range 40 {
					callers.Go(func() { f.readSlowly(i%2, fmt.Sprintf("e%d", i), i%3 == 0) })
				}
				callers.Wait()
			})
			t.Logf("peak %.1f MB", float64(peak)/(1<<20))
			must.Less(t, wire.MemoryLimitMB<<20, peak)
		})
	}
}

// readSlowly sends a request and reads its answer to the end, or only the first
// bytes of it until the deadline has passed.
func (f *testFleet) readSlowly(node int, id string, slow bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", f.settings[node].CallerAddress)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /sheet/1 HTTP/1.1\r\nHost: h.example\r\nX-Marjoramshore-Attempt-Id: %s\r\nX-Marjoramshore-Timeout-Ms: 500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
	if slow {
		_, _ = io.CopyN(io.Discard, c, 100)
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, c)
}
