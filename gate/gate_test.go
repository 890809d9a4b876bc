package gate

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// startRawBackend starts a server that passes each request to respond together
// with the connection and the number of the request over all connections. The
// connection is closed if respond returns false. It returns the address of the
// server and the count of requests.
func startRawBackend(t *testing.T, respond func(n int64, c net.Conn, r *http.Request) bool) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	requests := new(atomic.Int64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if !respond(requests.Add(1), c, r) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), requests
}

func newGate(t *testing.T, cfg Config) *Gate {
	t.Helper()
	g, err := New(cfg)
	must.NoError(t, err)
	return g
}

func getRequest() *core.Request {
	return &core.Request{ID: "r1", Service: "s", Key: "k", Method: "GET", Path: "/", Idempotent: true, Body: core.NoBody}
}

func postRequest(body string) *core.Request {
	r := getRequest()
	r.Method, r.Idempotent = "POST", false
	r.Length, r.Body = int64(len(body)), io.NopCloser(strings.NewReader(body))
	return r
}

func readAndClose(t *testing.T, r *core.Response) string {
	t.Helper()
	b, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.NoError(t, r.Body.Close())
	return string(b)
}

// Guards against a second run of a request if the server reads it from a reused
// connection and closes the connection. According to its documentation,
// http.Transport may then retry the GET and the request with an idempotency
// key.
func TestRequestIsNotRetriedAfterReusedConnectionCloses(t *testing.T) {
	key := postRequest("")
	key.IdempotencyKey = "abc"
	for name, req := range map[string]*core.Request{
		"get": getRequest(), "post with a body": postRequest("pay"), "post with idempotency key": key,
	} {
		t.Run(name, func(t *testing.T) {
			addr, requests := startRawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
				if n > 1 {
					return false
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			g := newGate(t, Config{BackendAddr: addr})
			resp, err := g.Serve(t.Context(), getRequest())
			must.NoError(t, err)
			readAndClose(t, resp)
			_, err = g.Serve(t.Context(), req)
			must.Eq(t, core.CodeUnknown, core.CodeOf(err))
			must.Eq(t, uint64(1), g.Stats().Reused)
			must.Eq(t, int64(2), requests.Load())
		})
	}
}

// Guards against an unknown outcome if the server closed a connection while it
// was idle: nothing may be written to it.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	addr, requests := startRawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
		return n > 1
	})
	g := newGate(t, Config{BackendAddr: addr})
	resp, err := g.Serve(t.Context(), postRequest("a"))
	must.NoError(t, err)
	readAndClose(t, resp)
	<-closed
	resp, err = g.Serve(t.Context(), postRequest("b"))
	must.NoError(t, err)
	must.Eq(t, "ok", readAndClose(t, resp))
	must.Eq(t, int64(2), requests.Load())
	must.Eq(t, uint64(2), g.Stats().Dialed)
}

// Guards against asking for the permit after a byte was sent: the code of a
// refusal would then say that the request did not run although it may have. Also
// guards against a code that leaves this open although no byte was sent.
func TestPermitIsAskedBeforeTheFirstByte(t *testing.T) {
	var accepted, bytesReceived atomic.Int64
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			n, _ := io.Copy(io.Discard, c)
			bytesReceived.Add(n)
		}
	}()
	permitCalls := 0
	leaseErr := core.Fail(core.CodeLeaseExpired, "gone")
	g := newGate(t, Config{BackendAddr: ln.Addr().String(), Permit: func(*core.Request) (Permit, error) {
		if permitCalls++; permitCalls == 1 {
			return Permit{}, leaseErr
		}
		return Permit{Token: core.Token{Term: 1}}, nil // no time left
	}})
	for range 2 {
		_, err = g.Serve(t.Context(), postRequest("x"))
		must.Eq(t, core.CodeLeaseExpired, core.CodeOf(err))
	}
	must.NoError(t, g.Shutdown(t.Context()))
	must.Eq(t, int64(0), bytesReceived.Load())
	must.Eq(t, uint64(0), g.Stats().Sent)
	must.Eq(t, uint64(1), g.Stats().Dialed)
}

// Guards against a caller that forges a fencing token, and against hop-by-hop
// fields that reach the backend server or the caller.
func TestRequestAndResponseHeaders(t *testing.T) {
	received := make(chan http.Header, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-App", "2")
	}))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String(), Permit: func(*core.Request) (Permit, error) {
		return Permit{Token: core.Token{Term: 7, Sequence: 9}, LeaseLeft: 1500 * time.Millisecond}, nil
	}})
	req := postRequest("")
	req.Kind, req.IdempotencyKey, req.Customer = core.KindShort, "ik", "c"
	req.Deadline = time.Now().Add(time.Minute)
	req.IssuedAt = time.UnixMilli(1234)
	req.Header = []core.Field{
		{Name: "Connection", Value: "close, X-Own"}, {Name: "X-Own", Value: "1"},
		{Name: "Marjoram-Fencing-Token", Value: "99.99"}, {Name: "X-Multi", Value: "a"}, {Name: "X-Multi", Value: "b"},
	}
	resp, err := g.Serve(t.Context(), req)
	must.NoError(t, err)
	readAndClose(t, resp)
	h := <-received
	for name, want := range map[string]string{
		HeaderFencingToken: "7.9", HeaderLeaseRemaining: "1500", HeaderKind: "short",
		HeaderIdempotencyKey: "ik", HeaderCustomer: "c", HeaderIssuedAt: "1234",
		HeaderService: "s", HeaderKey: "k", HeaderRequestID: "r1", HeaderIdempotent: "false",
		"X-Own": "", "User-Agent": "",
	} {
		must.Eq(t, want, h.Get(name), must.Sprint(name))
	}
	must.Eq(t, []string{"a", "b"}, h["X-Multi"])
	must.NotEq(t, "", h.Get(HeaderDeadline))
	names := map[string]bool{}
	for _, f := range resp.Header {
		names[f.Name] = true
	}
	must.True(t, names["X-App"])
	must.False(t, names["X-Hop"] || names["Connection"])
}

// Guards against a code that is wrong about whether the request may have run.
func TestFailureCodes(t *testing.T) {
	noResponse, _ := startRawBackend(t, func(int64, net.Conn, *http.Request) bool { time.Sleep(5 * time.Second); return false })
	largeHead, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 200<<10)+"\r\n\r\n")
		return false
	})
	notHTTP, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "nonsense\r\n\r\n")
		return false
	})
	refused := "127.0.0.1:1"
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	shortTimeout, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	deadlinePassed := getRequest()
	deadlinePassed.Deadline = time.Now().Add(-time.Second)
	truncatedBody := postRequest("short")
	truncatedBody.Length = 100
	badPath := getRequest()
	badPath.Path = "%zz"
	for _, c := range []struct {
		name string
		addr string
		ctx  context.Context
		req  *core.Request
		want core.Code
	}{
		{"connection refused", refused, t.Context(), getRequest(), core.CodeBackendDown},
		{"canceled before sending", noResponse, canceled, getRequest(), core.CodeCanceledNotRun},
		{"deadline passed before sending", noResponse, t.Context(), deadlinePassed, core.CodeDeadlineNotRun},
		{"deadline passed after sending", noResponse, shortTimeout, getRequest(), core.CodeUnknown},
		{"head too large", largeHead, t.Context(), getRequest(), core.CodeUnknown},
		{"not HTTP", notHTTP, t.Context(), getRequest(), core.CodeUnknown},
		{"small body truncated", noResponse, t.Context(), truncatedBody, core.CodeCanceledNotRun},
		{"bad path", noResponse, t.Context(), badPath, core.CodeInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGate(t, Config{BackendAddr: c.addr})
			_, err := g.Serve(c.ctx, c.req)
			must.Eq(t, c.want, core.CodeOf(err), must.Sprint(err))
			sent := g.Stats().Sent
			must.Eq(t, c.want.NotRun(), sent == 0)
		})
	}
}

// Guards against more connections than MaxConns, against an unbounded wait for
// one, and against a shutdown that interrupts a running request.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String(), MaxConns: 1, ConnWait: 20 * time.Millisecond})
	first := make(chan error, 1)
	go func() {
		resp, err := g.Serve(context.Background(), getRequest())
		if err == nil {
			_ = resp.Body.Close()
		}
		first <- err
	}()
	for g.Stats().Sent == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := g.Serve(t.Context(), getRequest())
	must.Eq(t, core.CodeOverloaded, core.CodeOf(err))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	must.Error(t, g.Shutdown(ctx)) // the running request is not interrupted
	close(release)
	must.NoError(t, <-first)
	must.NoError(t, g.Shutdown(t.Context()))
	_, err = g.Serve(t.Context(), getRequest())
	must.Eq(t, core.CodeDraining, core.CodeOf(err))
}

// Guards against waiting for the body of a HEAD response, and against taking an
// interim response for the final one.
func TestHEADAndInterimResponses(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Content-Length", "5")
		w.WriteHeader(200)
		if r.Method != "HEAD" {
			_, _ = w.Write([]byte("hello"))
		}
	}))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String()})
	for _, method := range []string{"HEAD", "GET", "HEAD"} {
		req := getRequest()
		req.Method = method
		resp, err := g.Serve(t.Context(), req)
		must.NoError(t, err)
		must.Eq(t, 200, resp.Status)
		must.Eq(t, int64(5), resp.Length)
		must.Eq(t, method != "HEAD", readAndClose(t, resp) == "hello")
	}
	must.Eq(t, uint64(1), g.Stats().Dialed)
}

// Guards against lost bytes in uploads of known and of unknown length.
func TestLargeUploads(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Otherwise net/http stops reading when the response has begun.
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String()})
	body := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, length := range []int64{int64(len(body)), core.UnknownLength} {
		req := postRequest("")
		req.Length, req.Body = length, io.NopCloser(bytes.NewReader(body))
		resp, err := g.Serve(t.Context(), req)
		must.NoError(t, err)
		must.True(t, string(body) == readAndClose(t, resp))
	}
}

// Guards against passing a caller the response to another request, if the backend
// server echoes the request ID.
func TestResponseThatEchoesAnotherRequestIsDropped(t *testing.T) {
	addr, _ := startRawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
		if n == 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nMarjoram-Request-Id: r0\r\nContent-Length: 2\r\n\r\nno")
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nMarjoram-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := newGate(t, Config{BackendAddr: addr})
	for range 3 {
		resp, err := g.Serve(t.Context(), postRequest(""))
		must.NoError(t, err)
		must.Eq(t, 200, resp.Status)
		must.Eq(t, "ok", readAndClose(t, resp))
	}
	must.Eq(t, uint64(1), g.Stats().StrayResponses)
	must.Eq(t, uint64(1), g.Stats().Dialed)
}
