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

// rawBackend answers each request on each connection through serve, which gets
// the number of the request over all connections and returns whether to keep
// the connection.
func rawBackend(t *testing.T, serve func(n int64, c net.Conn, r *http.Request) bool) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	runs := new(atomic.Int64)
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
					if !serve(runs.Add(1), c, r) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String(), runs
}

func newGate(t *testing.T, cfg Config) *Gate {
	t.Helper()
	g, err := New(cfg)
	must.NoError(t, err)
	return g
}

func get() *core.Request {
	return &core.Request{ID: "r1", Service: "s", Key: "k", Method: "GET", Path: "/", Idempotent: true, Body: core.NoBody}
}

func post(body string) *core.Request {
	r := get()
	r.Method, r.Idempotent = "POST", false
	r.Length, r.Body = int64(len(body)), io.NopCloser(strings.NewReader(body))
	return r
}

func drain(t *testing.T, r *core.Response) string {
	t.Helper()
	b, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	must.NoError(t, r.Body.Close())
	return string(b)
}

// Guards against a second run of a request whose reused connection the server
// closed after reading it. By its documentation net/http's Transport may send the
// GET and the request with an idempotency key again.
func TestReusedConnectionClosedIsNeverSentAgain(t *testing.T) {
	key := post("")
	key.IdempotencyKey = "abc"
	for name, req := range map[string]*core.Request{
		"get": get(), "post with a body": post("pay"), "post with idempotency key": key,
	} {
		t.Run(name, func(t *testing.T) {
			addr, runs := rawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
				if n > 1 {
					return false
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			g := newGate(t, Config{BackendAddr: addr})
			resp, err := g.Serve(t.Context(), get())
			must.NoError(t, err)
			drain(t, resp)
			_, err = g.Serve(t.Context(), req)
			must.Eq(t, core.CodeUnknown, core.CodeOf(err))
			must.Eq(t, uint64(1), g.Stats().Reused)
			must.Eq(t, int64(2), runs.Load())
		})
	}
}

// Guards against an unknown outcome for a connection that was already closed
// while idle: nothing is written to it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	addr, runs := rawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
		return n > 1
	})
	g := newGate(t, Config{BackendAddr: addr})
	resp, err := g.Serve(t.Context(), post("a"))
	must.NoError(t, err)
	drain(t, resp)
	<-closed
	resp, err = g.Serve(t.Context(), post("b"))
	must.NoError(t, err)
	must.Eq(t, "ok", drain(t, resp))
	must.Eq(t, int64(2), runs.Load())
	must.Eq(t, uint64(2), g.Stats().Dialed)
}

// Guards against a refusal that claims not-run after a byte was sent, and the
// other way round.
func TestPermitIsAskedBeforeTheFirstByte(t *testing.T) {
	var accepted, bytesSeen atomic.Int64
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
			bytesSeen.Add(n)
		}
	}()
	asked := 0
	lease := core.Fail(core.CodeLeaseExpired, "gone")
	g := newGate(t, Config{BackendAddr: ln.Addr().String(), Permit: func(*core.Request) (Permit, error) {
		if asked++; asked == 1 {
			return Permit{}, lease
		}
		return Permit{Token: core.Token{Term: 1}}, nil // no time left
	}})
	for range 2 {
		_, err = g.Serve(t.Context(), post("x"))
		must.Eq(t, core.CodeLeaseExpired, core.CodeOf(err))
	}
	must.NoError(t, g.Shutdown(t.Context()))
	must.Eq(t, int64(0), bytesSeen.Load())
	must.Eq(t, uint64(0), g.Stats().Sent)
	must.Eq(t, uint64(1), g.Stats().Dialed)
}

// Guards against a caller that forges a token, and against hop-by-hop fields
// that reach the backend server.
func TestHeadersToBackend(t *testing.T) {
	got := make(chan http.Header, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-App", "2")
	}))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String(), Permit: func(*core.Request) (Permit, error) {
		return Permit{Token: core.Token{Term: 7, Sequence: 9}, LeaseLeft: 1500 * time.Millisecond}, nil
	}})
	req := post("")
	req.Kind, req.IdempotencyKey, req.Customer = core.KindShort, "ik", "c"
	req.Deadline = time.Now().Add(time.Minute)
	req.IssuedAt = time.UnixMilli(1234)
	req.Header = []core.Field{
		{Name: "Connection", Value: "close, X-Own"}, {Name: "X-Own", Value: "1"},
		{Name: "Marjoram-Fencing-Token", Value: "99.99"}, {Name: "X-Multi", Value: "a"}, {Name: "X-Multi", Value: "b"},
	}
	resp, err := g.Serve(t.Context(), req)
	must.NoError(t, err)
	drain(t, resp)
	h := <-got
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

// Guards against a wrong claim about whether the request may have run.
func TestFailureCodes(t *testing.T) {
	silent, _ := rawBackend(t, func(int64, net.Conn, *http.Request) bool { time.Sleep(5 * time.Second); return false })
	huge, _ := rawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 200<<10)+"\r\n\r\n")
		return false
	})
	garbage, _ := rawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "nonsense\r\n\r\n")
		return false
	})
	refused := "127.0.0.1:1"
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	soon, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	past := get()
	past.Deadline = time.Now().Add(-time.Second)
	cutBody := post("short")
	cutBody.Length = 100
	badPath := get()
	badPath.Path = "%zz"
	for _, c := range []struct {
		name string
		addr string
		ctx  context.Context
		req  *core.Request
		want core.Code
	}{
		{"connection refused", refused, t.Context(), get(), core.CodeBackendDown},
		{"canceled before", silent, ended, get(), core.CodeCanceledNotRun},
		{"deadline before", silent, t.Context(), past, core.CodeDeadlineNotRun},
		{"deadline after", silent, soon, get(), core.CodeUnknown},
		{"head too large", huge, t.Context(), get(), core.CodeUnknown},
		{"not HTTP", garbage, t.Context(), get(), core.CodeUnknown},
		{"small body cut", silent, t.Context(), cutBody, core.CodeCanceledNotRun},
		{"bad path", silent, t.Context(), badPath, core.CodeInvalid},
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

// Guards against connections beyond the bound, and against a wait without end.
func TestConnectionBound(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String(), MaxConns: 1, ConnWait: 20 * time.Millisecond})
	first := make(chan error, 1)
	go func() {
		resp, err := g.Serve(context.Background(), get())
		if err == nil {
			_ = resp.Body.Close()
		}
		first <- err
	}()
	for g.Stats().Sent == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := g.Serve(t.Context(), get())
	must.Eq(t, core.CodeOverloaded, core.CodeOf(err))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	must.Error(t, g.Shutdown(ctx)) // the running exchange is not cut
	close(release)
	must.NoError(t, <-first)
	must.NoError(t, g.Shutdown(t.Context()))
	_, err = g.Serve(t.Context(), get())
	must.Eq(t, core.CodeDraining, core.CodeOf(err))
}

// Guards against a HEAD answer that waits for its body, and an interim answer
// taken for the final one.
func TestHeadAndInterimAnswers(t *testing.T) {
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
		req := get()
		req.Method = method
		resp, err := g.Serve(t.Context(), req)
		must.NoError(t, err)
		must.Eq(t, 200, resp.Status)
		must.Eq(t, int64(5), resp.Length)
		must.Eq(t, method != "HEAD", drain(t, resp) == "hello")
	}
	must.Eq(t, uint64(1), g.Stats().Dialed)
}

// Guards against a chunked upload of unknown length that loses bytes.
func TestLargeUploads(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Otherwise net/http stops reading once the answer began.
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}))
	defer s.Close()
	g := newGate(t, Config{BackendAddr: s.Listener.Addr().String()})
	body := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, length := range []int64{int64(len(body)), core.UnknownLength} {
		req := post("")
		req.Length, req.Body = length, io.NopCloser(bytes.NewReader(body))
		resp, err := g.Serve(t.Context(), req)
		must.NoError(t, err)
		must.True(t, string(body) == drain(t, resp))
	}
}
