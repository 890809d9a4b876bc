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

var testKey = []byte(strings.Repeat("k", minKey))

func newAuth(tb testing.TB, keys ...[]byte) *Authenticator {
	tb.Helper()
	a, err := NewAuthenticator(0, keys...)
	must.NoError(tb, err)
	return a
}

func newPair(tb testing.TB, cfg ServerConfig) (*Server, *Client) {
	tb.Helper()
	cfg.Addr, cfg.Auth = "127.0.0.1:0", newAuth(tb, testKey)
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

func answer(status int, length int64, body string) *core.Response {
	return &core.Response{Status: status, Length: length, Body: io.NopCloser(strings.NewReader(body))}
}

func echo(_ context.Context, req *core.Request) (*core.Response, error) {
	return &core.Response{Status: 200, Length: req.Length, Body: req.Body, OwnerCallerAddress: "10.0.0.1:80", Header: req.Header}, nil
}

// Guards against bytes lost or added at the edges of frames.
func TestExchangeCarriesBodies(t *testing.T) {
	s, c := newPair(t, ServerConfig{Handler: core.HandlerFunc(echo)})
	for _, n := range []int{0, 1, frameSize - 1, frameSize, frameSize + 1, 5 * frameSize} {
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

// Guards against an answer without a body that fails its announced length.
func TestHeadAnswerKeepsLength(t *testing.T) {
	length := int64(500)
	s, c := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return answer(200, length, ""), nil
	})})
	resp, err := c.Exchange(t.Context(), s.Addr(), newRequest("HEAD", ""))
	must.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, 0, len(b))
	must.Eq(t, int64(500), resp.Length)
	// The same answer to a GET is cut, and so is a longer one.
	_, err = c.Exchange(t.Context(), s.Addr(), newRequest("GET", ""))
	must.Eq(t, core.CodeAborted, core.CodeOf(err))
	length = frameSize + 1
	resp, err = c.Exchange(t.Context(), s.Addr(), newRequest("GET", ""))
	must.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	must.Eq(t, core.CodeAborted, core.CodeOf(err))
}

// Guards against a failure that changes its meaning on the way.
func TestFailuresTravel(t *testing.T) {
	var next *core.Error
	fails := func(context.Context, []byte) ([]byte, error) { return nil, next }
	s, c := newPair(t, ServerConfig{
		Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) { return nil, next }),
		Calls:   map[string]CallFunc{"f": fails, "ok": func(_ context.Context, b []byte) ([]byte, error) { return b, nil }},
	})
	for code := core.CodeInvalid; code <= core.CodeTooLarge; code++ {
		next = &core.Error{Code: code, Detail: "d", RetryAfter: 1500 * time.Millisecond, OwnerPeerAddress: "o"}
		_, err := c.Exchange(t.Context(), s.Addr(), newRequest("POST", "x"))
		must.Eq(t, next, core.AsError(err))
		_, err = c.Call(t.Context(), s.Addr(), "f", nil)
		must.Eq(t, next, core.AsError(err))
	}
	b, err := c.Call(t.Context(), s.Addr(), "ok", []byte("x"))
	must.NoError(t, err)
	must.Eq(t, "x", string(b))
	_, err = c.Call(t.Context(), s.Addr(), "absent", nil)
	must.Eq(t, core.CodeNotFound, core.CodeOf(err))
}

// Guards against a wrong claim about whether the peer may have run a request.
func TestClassification(t *testing.T) {
	broken, c := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		panic(http.ErrAbortHandler)
	})})
	hangs, _ := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(ctx context.Context, _ *core.Request) (*core.Response, error) {
		<-ctx.Done()
		return nil, core.Fail(core.CodeUnknown, "gave up")
	})})
	stranger, err := NewClient(ClientConfig{Auth: newAuth(t, []byte(strings.Repeat("z", minKey)))})
	must.NoError(t, err)
	over, cancel := context.WithCancel(t.Context())
	cancel()
	cut := newRequest("POST", "")
	cut.Length = 10
	late := newRequest("POST", "")
	late.Deadline = time.Now().Add(100 * time.Millisecond)
	past := newRequest("POST", "")
	past.Deadline = time.Now().Add(-time.Second)
	for _, tc := range []struct {
		name string
		c    *Client
		ctx  context.Context
		addr string
		req  *core.Request
		want core.Code
	}{
		{"connection refused", c, t.Context(), "127.0.0.1:1", newRequest("POST", ""), core.CodePeerUnreachable},
		{"canceled before", c, over, broken.Addr(), newRequest("POST", ""), core.CodeCanceledNotRun},
		{"deadline before", c, t.Context(), broken.Addr(), past, core.CodeDeadlineNotRun},
		{"stream reset by handler", c, t.Context(), broken.Addr(), newRequest("POST", ""), core.CodeUnknown},
		{"stream reset on a reused connection", c, t.Context(), broken.Addr(), newRequest("POST", ""), core.CodeUnknown},
		{"deadline while running", c, t.Context(), hangs.Addr(), late, core.CodeUnknown},
		{"wrong key", stranger, t.Context(), broken.Addr(), newRequest("POST", ""), core.CodePeerUnreachable},
		{"small body cut", c, t.Context(), broken.Addr(), cut, core.CodeCanceledNotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.c.Exchange(tc.ctx, tc.addr, tc.req)
			must.Eq(t, tc.want, core.CodeOf(err), must.Sprint(err))
		})
	}
}

// Guards against a stranger that learns something or keeps its connection.
func TestStrangerGetsNothing(t *testing.T) {
	ran := false
	s, _ := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		ran = true
		return answer(200, 0, ""), nil
	})})
	var conns []net.Conn
	tr := &http.Transport{Protocols: peerProtocols(nil), DialContext: func(ctx context.Context, n, a string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, n, a)
		conns = append(conns, c)
		return c, err
	}}
	for _, path := range []string{"/", "/marjoramshore.peer.v1.Peer/Exchange"} {
		resp, err := (&http.Client{Transport: tr}).Post("http://"+s.Addr()+path, "application/connect+proto", strings.NewReader("x"))
		must.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, 401, resp.StatusCode)
		must.Eq(t, 0, len(b))
	}
	must.False(t, ran)
	must.Eq(t, uint64(2), s.Stats().Unauthenticated)
	must.Eq(t, 2, len(conns)) // each answer ended its connection
}

// Guards against an accepted credential of another call, time or key.
func TestAuthenticator(t *testing.T) {
	old, fresh := []byte(strings.Repeat("o", minKey)), []byte(strings.Repeat("n", minKey))
	now := time.Now()
	signed := newAuth(t, old).Sign("/m", now)
	both := newAuth(t, fresh, old)
	must.NoError(t, both.Check(signed, "/m", now.Add(29*time.Second)))
	must.NoError(t, both.Check(signed, "/m", now.Add(-29*time.Second)))
	for _, tc := range []struct {
		a             *Authenticator
		value, method string
		at            time.Time
	}{
		{both, signed, "/other", now}, {both, signed, "/m", now.Add(31 * time.Second)},
		{both, signed, "/m", now.Add(-31 * time.Second)}, {newAuth(t, fresh), signed, "/m", now},
		{both, "", "/m", now}, {both, authScheme, "/m", now}, {both, authScheme + "1.2", "/m", now},
		{both, authScheme + "x.y.z", "/m", now}, {both, signed + "A", "/m", now}, {both, signed[:len(signed)-1], "/m", now},
	} {
		must.Eq(t, core.CodeUnauthenticated, core.CodeOf(tc.a.Check(tc.value, tc.method, tc.at)))
	}
	_, err := NewAuthenticator(0, []byte("short"))
	must.Eq(t, core.CodeInvalid, core.CodeOf(err))
}

// Guards against one stalled upload that blocks the other exchanges of its
// connection through the flow-control window.
func TestStalledUploadsBlockNobody(t *testing.T) {
	release := make(chan struct{})
	s, c := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(ctx context.Context, req *core.Request) (*core.Response, error) {
		if req.Key == "stall" {
			<-release
		}
		return answer(200, 2, "ok"), nil
	})})
	defer close(release)
	for range 16 {
		req := newRequest("POST", "")
		req.Key, req.Length, req.Body = "stall", 1<<30, io.NopCloser(zeros{})
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

// Guards against uploads without bound, and against a place in the pool that a
// finished upload keeps.
func TestUploadPoolRefusesWhenFull(t *testing.T) {
	release := make(chan struct{})
	s, _ := newPair(t, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		<-release
		return nil, core.Fail(core.CodeDraining, "no")
	})})
	c, err := NewClient(ClientConfig{Auth: newAuth(t, testKey), Uploads: 1})
	must.NoError(t, err)
	defer c.Close()
	upload := func() error {
		req := newRequest("POST", "")
		req.Length, req.Body = 1<<30, io.NopCloser(zeros{})
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
	for c.Stats().Uploading > 0 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, core.CodeDraining, core.CodeOf(upload()))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against exchanges beyond the bound, and against a shutdown that cuts.
func TestBoundAndShutdown(t *testing.T) {
	release := make(chan struct{})
	s, c := newPair(t, ServerConfig{MaxExchanges: 1, Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		<-release
		return answer(200, 2, "ok"), nil
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
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(context.Background()) }()
	select {
	case <-down:
		t.Fatal("shutdown did not wait")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	must.NoError(t, <-first)
	must.NoError(t, <-down)
	_, err = c.Exchange(t.Context(), s.Addr(), newRequest("POST", ""))
	must.Eq(t, core.CodePeerUnreachable, core.CodeOf(err))
}
