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

// closeOrReset ends a connection in order or with a reset.
func closeOrReset(c net.Conn, reset bool) {
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

// Guards against a response that a backend server broke off in its head, in an
// interim head or in its body, and that is taken for a whole one: a success with
// an empty or short body, or a refusal.
func TestResponseCutAtAnyByteIsNoResponse(t *testing.T) {
	fields := "Content-Type: text/plain\r\nX-Folded: a\r\n b\r\n"
	for name, whole := range map[string]string{
		"length":            "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\nhello, world",
		"length, refusal":   "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" + fields + "\r\n",
		"chunked":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n",
		"chunked, trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n",
		"connection close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n" + fields + "Content-Length: 12\r\n\r\nhello, world",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"interim":           "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"no length":         "HTTP/1.1 200 OK\r\n" + fields + "\r\n",
		"no length, closed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"no content":        "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				for cut := range len(whole) {
					addr, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
						_, _ = io.WriteString(c, whole[:cut])
						closeOrReset(c, reset)
						return false
					})
					req := getRequest()
					req.Deadline = time.Now().Add(5 * time.Second)
					resp, err := newGate(t, Config{BackendAddr: addr}).Serve(t.Context(), req)
					if err != nil {
						must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprintf("after %q: %v", whole[:cut], err))
						continue
					}
					body, err := io.ReadAll(resp.Body)
					must.Error(t, err, must.Sprintf("after %q: status %d, body %q", whole[:cut], resp.Status, body))
					must.Eq(t, core.CodeAborted, core.CodeOf(err))
					must.NoError(t, resp.Body.Close())
				}
			}
		})
	}
}

// Guards against a response without a length that is taken for a whole one
// although the connection was reset: the write of the request body consumed the
// error, so that the read of the response found the end of the connection.
func TestResetDuringUploadEndsNoResponse(t *testing.T) {
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1000))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf of the bo")
			time.Sleep(5 * time.Millisecond)
			closeOrReset(c, true)
		}()
		req := postRequest("")
		req.Length, req.Body = 1<<30, io.NopCloser(endlessReader{})
		resp, err := newGate(t, Config{BackendAddr: ln.Addr().String()}).Serve(t.Context(), req)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(resp.Body)
			must.Error(t, err, must.Sprintf("body %q", body))
			must.NoError(t, resp.Body.Close())
		}
		_ = ln.Close()
	}
}

// endlessReader yields bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return copy(p, strings.Repeat("x", 512)), nil }

// Guards against a response without a length that is refused although the
// connection ended in order, with the upload still on its way.
func TestOrderlyEndDuringUploadEndsTheResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.ReadFull(c, make([]byte, 1000))
		_, _ = fmt.Fprint(c, "HTTP/1.1 413 X\r\n\r\ntoo large")
		_ = c.(*net.TCPConn).CloseWrite()
		<-done
	}()
	req := postRequest("")
	req.Length, req.Body = 1<<30, io.NopCloser(endlessReader{})
	resp, err := newGate(t, Config{BackendAddr: ln.Addr().String()}).Serve(t.Context(), req)
	must.NoError(t, err)
	must.Eq(t, "too large", readAndClose(t, resp))
}
