package frontend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// Guards against a shutdown that ends the read of a request that arrived before
// it, because the request is longer than one read and the shutdown took its
// connection for idle: its caller is told that the request timed out or is
// malformed, or is not told anything.
func TestShutdownReadsTheRestOfRequestThatHasBegun(t *testing.T) {
	const fields = "Host: h\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"
	fill := strings.Repeat("x", 6<<10)
	for name, request := range map[string]string{
		"head":               "GET /x HTTP/1.1\r\n" + fields + "X-Fill: " + fill + "\r\n\r\n",
		"body":               "POST /x HTTP/1.1\r\n" + fields + "Content-Length: " + strconv.Itoa(len(fill)) + "\r\n\r\n" + fill,
		"long body":          "POST /x HTTP/1.1\r\n" + fields + "Content-Length: " + strconv.Itoa(10*len(fill)) + "\r\n\r\n" + strings.Repeat(fill, 10),
		"chunked body":       "POST /x HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n1800\r\n" + fill + "\r\n0\r\n\r\n",
		"rest arrives later": "GET /x HTTP/1.1\r\n" + fields + "\r\n",
	} {
		for _, earlier := range []int{0, 1} {
			t.Run(name+" after "+strconv.Itoa(earlier), func(t *testing.T) {
				t.Parallel()
				f, err := New(Config{Addr: "127.0.0.1:0", Handler: core.HandlerFunc(
					func(context.Context, *core.Request) (*core.Response, error) {
						return nil, core.Fail(core.CodeOverloaded, "")
					})})
				must.NoError(t, err)
				taken := make(chan struct{}, 1000)
				f.listener.Listener = slowListener{f.listener.Listener, taken}
				f.Start()
				conn, err := net.Dial("tcp", f.Addr())
				must.NoError(t, err)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for range earlier {
					_, err = conn.Write([]byte("GET /x HTTP/1.1\r\n" + fields + "\r\n"))
					must.NoError(t, err)
					<-taken
					resp, err := http.ReadResponse(reader, nil)
					must.NoError(t, err)
					must.NoError(t, resp.Body.Close())
				}
				if name == "rest arrives later" {
					_, err = conn.Write([]byte(request[:10]))
					must.NoError(t, err)
					<-taken
					go func() { _, _ = conn.Write([]byte(request[10:])) }()
				} else {
					_, err = conn.Write([]byte(request))
					must.NoError(t, err)
					<-taken
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- f.Shutdown(ctx) }()
				resp, err := http.ReadResponse(reader, nil)
				must.NoError(t, err, must.Sprint("a request that was read got no answer"))
				must.Eq(t, 503, resp.StatusCode)
				must.NoError(t, resp.Body.Close())
				_ = conn.Close()
				must.NoError(t, <-stopped)
			})
		}
	}
}
