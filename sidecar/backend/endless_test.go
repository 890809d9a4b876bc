package backend

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/shards"
	"marjoramshore.example/standin/endless"
)

// Guards against calls about keys that keep what a faulty backend server answers
// without end, or that wait for its end.
func TestEndlessAnswersToKeyCallsTakeLittleMemory(t *testing.T) {
	// controlMemory is what a node may spend for control (docs/design.md).
	const controlMemory = 64 << 20
	ok := "HTTP/1.1 200 OK\r\n"
	for name, answer := range map[string][2]string{
		"no answer":      {"", strings.Repeat("x", 1000)},
		"fields":         {ok, strings.Repeat("A:\r\n", 250)},
		"interim fields": {"HTTP/1.1 103 E\r\n", strings.Repeat("A:\r\n", 250)},
		"body":           {ok + "\r\n", strings.Repeat("x", 1000)},
		"chunks":         {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 200)},
		"extension":      {ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", strings.Repeat("x", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			address, stop, err := endless.Listen(answer[0], answer[1])
			must.NoError(t, err)
			defer stop()
			k, err := NewKeyCaller(address)
			must.NoError(t, err)
			began := time.Now()
			peak := endless.PeakHeap(func() {
				var calls sync.WaitGroup
				for range maxKeyCallConns {
					calls.Go(func() {
						for range 4 {
							k.Call(t.Context(), shards.Call{Kind: shards.GrantCall, Span: shards.Span{From: 1, To: 2}, Holder: shards.Holder{Instance: "i"}, Fence: 3, HoldTime: time.Second, Timeout: 250 * time.Millisecond})
						}
					})
				}
				calls.Wait()
			})
			t.Logf("peak %.1f MB", float64(peak)/(1<<20))
			must.Less(t, controlMemory, peak)
			must.Less(t, 5*time.Second, time.Since(began))
		})
	}
}
