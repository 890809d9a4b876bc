package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

var testKey = []byte(strings.Repeat("k", minKeyBytes))

func newTestAuth(tb testing.TB, keys ...[]byte) *Authenticator {
	tb.Helper()
	a, err := NewAuthenticator(0, keys...)
	must.NoError(tb, err)
	return a
}

// newTestPair returns a running server and a client that share a key.
func newTestPair(tb testing.TB, cfg ServerConfig) (*Server, *Client) {
	tb.Helper()
	cfg.Addr, cfg.Auth = "127.0.0.1:0", newTestAuth(tb, testKey)
	s, err := NewServer(cfg)
	must.NoError(tb, err)
	s.Start()
	c, err := NewClient(ClientConfig{Auth: cfg.Auth})
	must.NoError(tb, err)
	tb.Cleanup(func() { _ = s.Close(); _ = c.Close() })
	return s, c
}

func newRequest(method, body string) *core.Request {
	return &core.Request{
		ID: "r", Service: "s", Key: "k", Method: method, Path: "/", Attempt: 1,
		Length: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

func newResponse(status int, length int64, body string) *core.Response {
	return &core.Response{Status: status, Length: length, Body: io.NopCloser(strings.NewReader(body))}
}

// echo responds with the header and body of the request.
func echo(_ context.Context, req *core.Request) (*core.Response, error) {
	return &core.Response{Status: 200, Length: req.Length, Body: req.Body, OwnerCallerAddress: "10.0.0.1:80", Header: req.Header}, nil
}

// Guards against bytes lost or added at frame boundaries.
func TestExchangeTransfersBody(t *testing.T) {
	s, c := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(echo)})
	for _, n := range []int{0, 1, maxFrameBytes - 1, maxFrameBytes, maxFrameBytes + 1, 5 * maxFrameBytes} {
		for _, known := range []bool{true, false} {
			body := strings.Repeat("x", n)
			req := newRequest("POST", body)
			req.Header = []core.Field{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}}
			if !known {
				req.Length = core.UnknownLength
			}
			resp, err := c.Exchange(t.Context(), s.Addr(), req)
			must.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.True(t, string(got) == body)
			must.Eq(t, req.Length, resp.Length)
			must.Eq(t, req.Header, resp.Header)
			must.Eq(t, "10.0.0.1:80", resp.OwnerCallerAddress)
		}
	}
	must.Eq(t, uint64(0), c.Stats().Abandoned)
}

// Guards against rejecting the response to a HEAD request because no body
// follows the announced length, and against accepting a truncated response to a
// GET.
func TestBodylessResponseKeepsLength(t *testing.T) {
	length := int64(500)
	s, c := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return newResponse(200, length, ""), nil
	})})
	resp, err := c.Exchange(t.Context(), s.Addr(), newRequest("HEAD", ""))
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, 0, len(b))
	must.Eq(t, int64(500), resp.Length)
	// The same response to a GET is truncated: with a length of one frame the
	// server reports it, with a longer one the client finds it in the body.
	_, err = c.Exchange(t.Context(), s.Addr(), newRequest("GET", ""))
	must.Eq(t, core.CodeAborted, core.CodeOf(err))
	length = maxFrameBytes + 1
	resp, err = c.Exchange(t.Context(), s.Addr(), newRequest("GET", ""))
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.Eq(t, core.CodeAborted, core.CodeOf(err))
}

// Guards against an error of the peer that arrives with another code, detail,
// retry time or owner.
func TestErrorsKeepTheirFields(t *testing.T) {
	var want *core.Error
	fail := func(context.Context, []byte) ([]byte, error) { return nil, want }
	s, c := newTestPair(t, ServerConfig{
		Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) { return nil, want }),
		Calls:   map[string]CallFunc{"f": fail, "ok": func(_ context.Context, b []byte) ([]byte, error) { return b, nil }},
	})
	for code := core.CodeInvalid; code <= core.CodeTooLarge; code++ {
		want = &core.Error{Code: code, Detail: "d", RetryAfter: 1500 * time.Millisecond, OwnerPeerAddress: "o"}
		_, err := c.Exchange(t.Context(), s.Addr(), newRequest("POST", "x"))
		must.Eq(t, want, core.AsError(err))
		_, err = c.Call(t.Context(), s.Addr(), "f", nil)
		must.Eq(t, want, core.AsError(err))
	}
	b, err := c.Call(t.Context(), s.Addr(), "ok", []byte("x"))
	must.NoError(t, err)
	must.Eq(t, "x", string(b))
	_, err = c.Call(t.Context(), s.Addr(), "absent", nil)
	must.Eq(t, core.CodeNotFound, core.CodeOf(err))
}

// Guards against an error code that is wrong about whether the peer may have
// run the request.
func TestClassifyError(t *testing.T) {
	aborting, c := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		panic(http.ErrAbortHandler)
	})})
	hanging, _ := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(ctx context.Context, _ *core.Request) (*core.Response, error) {
		<-ctx.Done()
		return nil, core.Fail(core.CodeUnknown, "context ended")
	})})
	wrongKeyClient, err := NewClient(ClientConfig{Auth: newTestAuth(t, []byte(strings.Repeat("z", minKeyBytes)))})
	must.NoError(t, err)
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	truncated := newRequest("POST", "")
	truncated.Length = 10
	shortDeadline := newRequest("POST", "")
	shortDeadline.Deadline = time.Now().Add(100 * time.Millisecond)
	pastDeadline := newRequest("POST", "")
	pastDeadline.Deadline = time.Now().Add(-time.Second)
	for _, tc := range []struct {
		name   string
		client *Client
		ctx    context.Context
		addr   string
		req    *core.Request
		want   core.Code
	}{
		{"connection refused", c, t.Context(), "127.0.0.1:1", newRequest("POST", ""), core.CodePeerUnreachable},
		{"canceled before connecting", c, canceledCtx, aborting.Addr(), newRequest("POST", ""), core.CodeCanceledNotRun},
		{"deadline passed before connecting", c, t.Context(), aborting.Addr(), pastDeadline, core.CodeDeadlineNotRun},
		{"stream reset by handler", c, t.Context(), aborting.Addr(), newRequest("POST", ""), core.CodeUnknown},
		{"stream reset on a reused connection", c, t.Context(), aborting.Addr(), newRequest("POST", ""), core.CodeUnknown},
		{"deadline passed while running", c, t.Context(), hanging.Addr(), shortDeadline, core.CodeUnknown},
		{"wrong key", wrongKeyClient, t.Context(), aborting.Addr(), newRequest("POST", ""), core.CodePeerUnreachable},
		{"small body truncated", c, t.Context(), aborting.Addr(), truncated, core.CodeCanceledNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.client.Exchange(tc.ctx, tc.addr, tc.req)
			must.Eq(t, tc.want, core.CodeOf(err), must.Sprint(err))
		})
	}
}

// Guards against a caller without credentials that reaches a handler, receives
// more than the status, or keeps its connection.
func TestUnauthenticatedCallerIsRejected(t *testing.T) {
	handlerRan := false
	s, _ := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		handlerRan = true
		return newResponse(200, 0, ""), nil
	})})
	var conns []net.Conn
	httpTransport := &http.Transport{Protocols: peerProtocols(nil), DialContext: func(ctx context.Context, n, a string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, n, a)
		conns = append(conns, c)
		return c, err
	}}
	for _, path := range []string{"/", "/marjoramshore.peer.v1.Peer/Exchange"} {
		resp, err := (&http.Client{Transport: httpTransport}).Post("http://"+s.Addr()+path, "application/connect+proto", strings.NewReader("x"))
		must.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, 401, resp.StatusCode)
		must.Eq(t, 0, len(b))
	}
	must.False(t, handlerRan)
	must.Eq(t, uint64(2), s.Stats().Unauthenticated)
	must.Eq(t, 2, len(conns)) // each response closed its connection
}

// Guards against accepting credentials that were signed for another method or
// time, with another key, or that were altered.
func TestAuthenticator(t *testing.T) {
	oldKey, newKey := []byte(strings.Repeat("o", minKeyBytes)), []byte(strings.Repeat("n", minKeyBytes))
	now := time.Now()
	credentials := newTestAuth(t, oldKey).Sign("/m", now)
	bothKeys := newTestAuth(t, newKey, oldKey)
	must.NoError(t, bothKeys.Verify(credentials, "/m", now.Add(29*time.Second)))
	must.NoError(t, bothKeys.Verify(credentials, "/m", now.Add(-29*time.Second)))
	for _, tc := range []struct {
		auth                *Authenticator
		credentials, method string
		at                  time.Time
	}{
		{bothKeys, credentials, "/other", now}, {bothKeys, credentials, "/m", now.Add(31 * time.Second)},
		{bothKeys, credentials, "/m", now.Add(-31 * time.Second)}, {newTestAuth(t, newKey), credentials, "/m", now},
		{bothKeys, "", "/m", now}, {bothKeys, authScheme, "/m", now}, {bothKeys, authScheme + "1.2", "/m", now},
		{bothKeys, authScheme + "x.y.z", "/m", now}, {bothKeys, credentials + "A", "/m", now}, {bothKeys, credentials[:len(credentials)-1], "/m", now},
	} {
		must.Eq(t, core.CodeUnauthenticated, core.CodeOf(tc.auth.Verify(tc.credentials, tc.method, tc.at)))
	}
	_, err := NewAuthenticator(0, []byte("short"))
	must.Eq(t, core.CodeInvalid, core.CodeOf(err))
}

// Guards against stalled uploads that use up the flow-control window of their
// connection and so block its other exchanges.
func TestStalledUploadsDoNotBlockExchanges(t *testing.T) {
	release := make(chan struct{})
	s, c := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(ctx context.Context, req *core.Request) (*core.Response, error) {
		if req.Key == "stall" {
			<-release
		}
		return newResponse(200, 2, "ok"), nil
	})})
	defer close(release)
	for range 16 {
		req := newRequest("POST", "")
		req.Key, req.Length, req.Body = "stall", 1<<30, io.NopCloser(zeroReader{})
		go func() { _, _ = c.Exchange(t.Context(), s.Addr(), req) }()
	}
	for s.Stats().Running < 16 {
		time.Sleep(time.Millisecond)
	}
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		resp, err := c.Exchange(ctx, s.Addr(), newRequest("POST", strings.Repeat("x", 20_000)))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		cancel()
	}
}

// Guards against uploads beyond MaxUploads, and against a finished upload that
// keeps its place in the pool.
func TestUploadPoolRefusesWhenFull(t *testing.T) {
	release := make(chan struct{})
	s, _ := newTestPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		<-release
		return nil, core.Fail(core.CodeDraining, "draining")
	})})
	c, err := NewClient(ClientConfig{Auth: newTestAuth(t, testKey), MaxUploads: 1})
	must.NoError(t, err)
	defer c.Close()
	upload := func() error {
		req := newRequest("POST", "")
		req.Length, req.Body = 1<<30, io.NopCloser(zeroReader{})
		_, err := c.Exchange(t.Context(), s.Addr(), req)
		return err
	}
	first := make(chan error, 1)
	go func() { first <- upload() }()
	for s.Stats().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, core.CodeOverloaded, core.CodeOf(upload()))
	close(release)
	must.Eq(t, core.CodeDraining, core.CodeOf(<-first))
	for c.Stats().ActiveUploads > 0 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, core.CodeDraining, core.CodeOf(upload()))
}

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }

// Guards against exchanges beyond MaxExchanges, and against a Shutdown that
// does not wait for those in flight.
func TestExchangeLimitAndShutdown(t *testing.T) {
	release := make(chan struct{})
	s, c := newTestPair(t, ServerConfig{MaxExchanges: 1, Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		<-release
		return newResponse(200, 2, "ok"), nil
	})})
	first := make(chan error, 1)
	go func() {
		resp, err := c.Exchange(context.Background(), s.Addr(), newRequest("POST", ""))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		first <- err
	}()
	for s.Stats().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Exchange(t.Context(), s.Addr(), newRequest("POST", ""))
	must.Eq(t, core.CodeOverloaded, core.CodeOf(err))
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	select {
	case <-shutdownErr:
		t.Fatal("Shutdown returned while an exchange was in flight")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	must.NoError(t, <-first)
	must.NoError(t, <-shutdownErr)
	_, err = c.Exchange(t.Context(), s.Addr(), newRequest("POST", ""))
	must.Eq(t, core.CodePeerUnreachable, core.CodeOf(err))
}
