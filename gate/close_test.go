package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// Guards against a response that is dropped, like a refusal, but whose body is
// read on: it may have no end, or never come.
func TestCloseReadsNoFurther(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 1000000000000\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n", "no length": "\r\n",
	} {
		for _, part := range []string{"", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"} {
			t.Run(fmt.Sprintf("%s, endless %t", name, part != ""), func(t *testing.T) {
				closed := make(chan struct{}, 1)
				addr, _ := startRawBackend(t, func(n int64, c net.Conn, _ *http.Request) bool {
					if n > 1 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						return true
					}
					_, err := io.WriteString(c, "HTTP/1.1 503 X\r\n"+head)
					for err == nil && part != "" {
						_, err = io.WriteString(c, part)
					}
					_, _ = io.Copy(io.Discard, c)
					closed <- struct{}{}
					return false
				})
				meter := &core.ByteMeter{}
				g := newGate(t, Config{BackendAddr: addr, MaxConns: 1, Meter: meter})
				resp, err := g.Serve(t.Context(), requestWithin(5*time.Second))
				must.NoError(t, err)
				start := time.Now()
				must.NoError(t, resp.Body.Close())
				must.Less(t, time.Second, time.Since(start))
				mustClose(t, closed)
				mustReadAtMost(t, maxHeadBytes+copyBufferSize, meter)
				mustServeNext(t, g)
			})
		}
	}
}
