package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a response that is dropped, like a refusal, but whose body is
// read on: it may have no end, or never come.
func TestCloseReadsNoFurther(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 1000000000000\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n", "no length": "\r\n",
	} {
		for _, part := range []string{"", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"} {
			t.Run(fmt.Sprintf("%s, endless %t", name, part != ""), func(t *testing.T) {
				var sent atomic.Int64
				closed := make(chan struct{}, 1)
				addr, _ := startRawBackend(t, func(n int64, c net.Conn, _ *http.Request) bool {
					if n > 1 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						return true
					}
					_, err := io.WriteString(c, "HTTP/1.1 503 X\r\n"+head)
					for err == nil && part != "" {
						var k int
						k, err = io.WriteString(c, part)
						sent.Add(int64(k))
					}
					_, _ = io.Copy(io.Discard, c)
					closed <- struct{}{}
					return false
				})
				g := newGate(t, Config{BackendAddr: addr, MaxConns: 1})
				resp, err := g.Serve(t.Context(), requestWithin(5*time.Second))
				must.NoError(t, err)
				start := time.Now()
				must.NoError(t, resp.Body.Close())
				must.Less(t, time.Second, time.Since(start))
				select {
				case <-closed:
				case <-time.After(2 * time.Second):
					t.Fatal("the connection is not closed")
				}
				must.Less(t, int64(maxEndlessBytes), sent.Load())
				mustServeNext(t, g)
			})
		}
	}
}
