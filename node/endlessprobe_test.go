package node

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/endless"
)

// Guards against a probe that keeps what a faulty backend server sends without end:
// the node ran out of memory, and the requests of all callers ended with it.
func TestEndlessAnswerToAProbeTakesLittleMemory(t *testing.T) {
	// controlMemory is what a node may spend for control (docs/design.md).
	const controlMemory = 64 << 20
	head := "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string][2]string{
		"no answer":       {"", strings.Repeat("x", 1000)},
		"status line":     {"HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		"fields":          {head, strings.Repeat("A:\r\n", 250)},
		"one field":       {head + "A: ", strings.Repeat("x", 1000)},
		"interim answers": {"", strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 50)},
		"interim fields":  {"HTTP/1.1 103 E\r\n", strings.Repeat("A:\r\n", 250)},
		"body":            {head + "\r\n", strings.Repeat("x", 1000)},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\n1\r\n", 200)},
		"announcement":    {head + "\r\n[", strings.Repeat("[", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := endless.Listen(answer[0], answer[1])
			must.NoError(t, err)
			defer stop()
			p := newProber(&Node{cfg: Config{BackendAddress: address}})
			defer p.client.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			peak := endless.PeakHeap(func() {
				for range 4 {
					_, _ = p.fetchHealth(ctx)
					_, _ = p.fetchAnnouncement(ctx)
				}
			})
			t.Logf("peak %.1f MB", float64(peak)/(1<<20))
			must.Less(t, controlMemory, peak)
		})
	}
}
