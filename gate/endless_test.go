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

const (
	// maxHeadBytes is the default of Config.MaxHeaderBytes.
	maxHeadBytes = 64 << 10
	// maxEndlessBytes is the most that an exchange reads without a response. Its
	// chunks of 1000 bytes take 1007.
	maxEndlessBytes = maxHeadBytes + maxDiscardedBody*1007/1000 + copyBufferSize
)

// startEndlessBackend starts a server that answers the first request with start
// and then part after part, until the connection is closed, and then closes the
// channel. Later requests are answered in full.
func startEndlessBackend(t *testing.T, start, part string) (string, <-chan struct{}) {
	closed := make(chan struct{})
	addr, _ := startRawBackend(t, func(n int64, c net.Conn, _ *http.Request) bool {
		if n > 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = io.WriteString(c, part)
		}
		close(closed)
		return false
	})
	return addr, closed
}

// mustClose fails unless the gate closes the connection soon.
func mustClose(t *testing.T, closed <-chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection is not closed")
	}
}

// mustReadAtMost fails if the gate has read more than limit bytes from its
// connections. What a server can write depends on the socket buffers as well.
func mustReadAtMost(t *testing.T, limit int64, meter *core.ByteMeter) {
	t.Helper()
	read, _ := meter.Totals()
	must.LessEq(t, limit, read)
}

// mustServeNext fails unless the only connection slot of the gate is free.
func mustServeNext(t *testing.T, g *Gate) {
	t.Helper()
	resp, err := g.Serve(t.Context(), getRequest())
	must.NoError(t, err)
	must.Eq(t, "", readAndClose(t, resp))
}

func requestWithin(d time.Duration) *core.Request {
	req := getRequest()
	req.Deadline = time.Now().Add(d)
	return req
}

// Guards against a request that stays until its deadline while a server sends
// bytes without end that cannot become a response, and against the memory and
// the connection slot that they take.
func TestEndlessHeadEndsTheRequest(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n"
	line := strings.Repeat("x", 1000)
	stray := "HTTP/1.1 200 OK\r\nMarjoram-Request-Id: r0\r\n"
	for name, c := range map[string][2]string{
		"no response":                     {"", line},
		"status line":                     {"HTTP/1.1 200 ", line},
		"field line":                      {ok + "X: ", line},
		"folded field":                    {ok + "X: 1\r\n", " " + line + "\r\n"},
		"fields":                          {ok, "X: 1\r\n"},
		"different fields":                {ok, "X-" + line + ": 1\r\n"},
		"interim responses":               {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim head":                    {"HTTP/1.1 103 Early Hints\r\n", "Link: <a>\r\n"},
		"stray responses":                 {"", stray + "Content-Length: 0\r\n\r\n"},
		"stray responses with bodies":     {"", stray + "Content-Length: 1000\r\n\r\n" + line},
		"stray chunked responses":         {"", stray + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + line + "\r\n0\r\n\r\n"},
		"stray chunked body":              {stray + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n"},
		"stray body of length":            {stray + "Content-Length: 1000000000000\r\n\r\n", line},
		"stray body without length":       {stray + "\r\n", line},
		"stray responses, unattributable": {stray + "Marjoram-Request-Id: r1\r\n\r\n", line},
	} {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessBackend(t, c[0], c[1])
			meter := &core.ByteMeter{}
			g := newGate(t, Config{BackendAddr: addr, MaxConns: 1, Meter: meter})
			start := time.Now()
			_, err := g.Serve(t.Context(), requestWithin(10*time.Second))
			must.Eq(t, core.CodeUnknown, core.CodeOf(err), must.Sprint(err))
			must.Less(t, 5*time.Second, time.Since(start), must.Sprint("the deadline is later"))
			mustClose(t, closed)
			mustReadAtMost(t, maxEndlessBytes, meter)
			mustServeNext(t, g)
		})
	}
}

// Guards against a response body that looks like a long one, but whose chunk
// extensions or trailers have no end.
func TestEndlessChunkFramingEndsTheBody(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string][2]string{
		"extension":       {chunked + "5;x=", strings.Repeat("x", 1000)},
		"extensions":      {chunked, "1;x=" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
		"size":            {chunked, "0"},
		"trailer":         {chunked + "0\r\nX: ", strings.Repeat("x", 1000)},
		"trailers":        {chunked + "0\r\n", "X: 1\r\n"},
		"no chunk at all": {chunked, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessBackend(t, c[0], c[1])
			meter := &core.ByteMeter{}
			g := newGate(t, Config{BackendAddr: addr, MaxConns: 1, Meter: meter})
			start := time.Now()
			resp, err := g.Serve(t.Context(), requestWithin(10*time.Second))
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.Eq(t, core.CodeAborted, core.CodeOf(err))
			must.NoError(t, resp.Body.Close())
			must.Less(t, 5*time.Second, time.Since(start), must.Sprint("the deadline is later"))
			mustClose(t, closed)
			mustReadAtMost(t, maxHeadBytes+copyBufferSize, meter)
			mustServeNext(t, g)
		})
	}
}

// Guards against a body without a known end that is read past the deadline of the
// request. Until then it may be a response that is streamed, of any size, so its
// only bound is the deadline.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	part := strings.Repeat("x", 1000)
	for name, c := range map[string][2]string{
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", part},
		"chunked":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + part + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, closed := startEndlessBackend(t, c[0], c[1])
			g := newGate(t, Config{BackendAddr: addr, MaxConns: 1})
			start := time.Now()
			resp, err := g.Serve(t.Context(), requestWithin(300*time.Millisecond))
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.Eq(t, core.CodeAborted, core.CodeOf(err))
			must.NoError(t, resp.Body.Close())
			must.Between(t, 250*time.Millisecond, time.Since(start), 3*time.Second)
			mustClose(t, closed)
			mustServeNext(t, g)
		})
	}
}

// Guards against a limit that rejects responses which are only long.
func TestLongResponsesPass(t *testing.T) {
	body := strings.Repeat("0123456789", 400_000)
	stray := "HTTP/1.1 200 OK\r\nMarjoram-Request-Id: r0\r\nContent-Length: 100000\r\n\r\n" + body[:100_000]
	interim := strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 200)
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+body[:1000]+"\r\n", 30)
	for name, c := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "no length": "\r\n" + body,
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x;x=1\r\n%s\r\n0\r\nX-T: 1\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startRawBackend(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, interim+stray+stray+head+c)
				return false
			})
			resp, err := newGate(t, Config{BackendAddr: addr}).Serve(t.Context(), requestWithin(10*time.Second))
			must.NoError(t, err)
			must.True(t, body == readAndClose(t, resp))
		})
	}
}
