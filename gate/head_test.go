package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// Guards against bytes that are taken for an interim or final response although
// no response of HTTP/1 begins so.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 099 X", "HTTP/1.1 000 X", "HTTP/1.1 +20 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 2000 X", "HTTP/1.1 20", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "\r\nHTTP/1.1 200 OK",
	} {
		addr, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, line+"\r\nContent-Length: 2\r\n\r\nok"+"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		req := getRequest()
		req.Deadline = time.Now().Add(2 * time.Second)
		start := time.Now()
		_, err := newGate(t, Config{BackendAddr: addr}).Serve(t.Context(), req)
		must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprint(line))
		must.Less(t, time.Second, time.Since(start), must.Sprint(line))
	}
}

// Guards against waiting until the deadline for the end of a line that is no
// status line.
func TestBytesThatAreNoResponseEndTheRequestAtOnce(t *testing.T) {
	for _, bytes := range []string{"x", "HTTP/2", "HTTQ", "\x00", "\n", "\x15\x03\x01"} {
		done := make(chan struct{})
		addr, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, bytes)
			<-done
			return false
		})
		req := getRequest()
		req.Deadline = time.Now().Add(3 * time.Second)
		start := time.Now()
		_, err := newGate(t, Config{BackendAddr: addr}).Serve(t.Context(), req)
		must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprintf("%q", bytes))
		must.Less(t, time.Second, time.Since(start), must.Sprintf("%q", bytes))
		close(done)
	}
}
