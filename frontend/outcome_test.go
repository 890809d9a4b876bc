package frontend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
	"marjoramshore.example/transport"
)

type failureBody struct {
	Outcome, Reason, Detail string
	RequestID               string `json:"request_id"`
	RetryAfterMs            int64  `json:"retry_after_ms"`
}

// expectFailure sends r and checks the status, header fields and JSON body of
// the failure response.
func expectFailure(t *testing.T, r *http.Request, status int, outcome core.Outcome, reason string) *http.Response {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer resp.Body.Close()
	var f failureBody
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&f))
	must.Eq(t, status, resp.StatusCode, must.Sprint(f))
	must.Eq(t, string(outcome), f.Outcome)
	must.Eq(t, reason, f.Reason)
	must.Eq(t, f.Outcome, resp.Header.Get(frontend.HeaderOutcome))
	must.Eq(t, f.Reason, resp.Header.Get(frontend.HeaderReason))
	must.Eq(t, f.RequestID, resp.Header.Get(frontend.HeaderRequestID))
	must.NotEq(t, "", f.RequestID)
	return resp
}

func respondOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// waitForCancel reads the body and then waits until the request is canceled.
// net/http detects a closed connection only after the body has been read.
func waitForCancel(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// Checks the response for each way in which a request can fail on the path, and
// that a request refused as not run has not reached the backend server.
func TestFailureToOutcome(t *testing.T) {
	notRun := core.OutcomeRefusedNotRun
	for _, tc := range []struct {
		name          string
		backend       http.HandlerFunc
		configure     func(*frontend.Config, *gate.Config)
		breakPath     func(*twoNodePath)
		changeRequest func(*http.Request)
		status        int
		outcome       core.Outcome
		reason        string
	}{
		{name: "no service", changeRequest: func(r *http.Request) { r.Header.Del(frontend.HeaderService) }, status: 400, outcome: core.OutcomeBadRequest, reason: "invalid"},
		{name: "peer down", breakPath: func(p *twoNodePath) { _ = p.peerServer.Close() }, status: 503, outcome: notRun, reason: "peer-unreachable"},
		{name: "backend down", breakPath: func(p *twoNodePath) { p.backend.Close() }, status: 503, outcome: notRun, reason: "backend-down"},
		{name: "owner shuts down", breakPath: func(p *twoNodePath) { _ = p.gate.Shutdown(context.Background()) }, status: 503, outcome: notRun, reason: "draining"},
		{name: "lease over", configure: func(_ *frontend.Config, g *gate.Config) {
			g.Permit = func(*core.Request) (gate.Permit, error) { return gate.Permit{}, nil }
		}, status: 503, outcome: notRun, reason: "lease-expired"},
		{name: "backend breaks off", backend: abortConnection, status: 502, outcome: core.OutcomeUnknown, reason: "unknown"},
		{name: "deadline while running", backend: waitForCancel,
			changeRequest: func(r *http.Request) { r.Header.Set(frontend.HeaderDeadline, "100") },
			status:        502, outcome: core.OutcomeUnknown, reason: "unknown"},
		{name: "body too large", configure: func(f *frontend.Config, _ *gate.Config) { f.MaxBodyBytes = 3 }, status: 413, outcome: core.OutcomeBadRequest, reason: "too-large"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ran := make(chan struct{}, 1)
			p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ran <- struct{}{}
				if tc.backend == nil {
					tc.backend = respondOK
				}
				tc.backend(w, r)
			}), tc.configure)
			if tc.breakPath != nil {
				tc.breakPath(p)
			}
			r := newRequest(t, "POST", p.url+"/", strings.NewReader("body"))
			if tc.changeRequest != nil {
				tc.changeRequest(r)
			}
			expectFailure(t, r, tc.status, tc.outcome, tc.reason)
			must.Eq(t, tc.outcome != core.OutcomeUnknown, len(ran) == 0)
		})
	}
}

func newFrontend(t *testing.T, cfg frontend.Config) (*frontend.Frontend, string) {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	f, err := frontend.New(cfg)
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { _ = f.Close() })
	return f, "http://" + f.Addr() + "/"
}

// Guards against an error code whose status, outcome and header fields
// contradict each other.
func TestEveryCodeMapsToResponse(t *testing.T) {
	var nextFailure *core.Error
	_, url := newFrontend(t, frontend.Config{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return nil, nextFailure
	})})
	for code := core.CodeInvalid; code <= core.CodeTooLarge; code++ {
		nextFailure = &core.Error{Code: code, RetryAfter: 1200 * time.Millisecond, OwnerPeerAddress: "10.1.1.1:80"}
		r := newRequest(t, "GET", url, nil)
		r.Header.Set(frontend.HeaderRequestID, "mine")
		resp := expectFailure(t, r, frontend.StatusOf(code), code.Outcome(), code.String())
		must.Eq(t, "mine", resp.Header.Get(frontend.HeaderRequestID))
		must.Eq(t, "10.1.1.1:80", resp.Header.Get(frontend.HeaderOwner))
		must.Eq(t, "2", resp.Header.Get("Retry-After"))
		must.Eq(t, code.NotRun(), code.Outcome() != core.OutcomeUnknown && code.Outcome() != core.OutcomeAborted && code != core.CodeTooLarge)
	}
}

// Guards against more exchanges than Config.MaxExchanges, and against a
// shutdown that aborts an exchange or waits for an idle connection.
func TestExchangeLimitAndShutdown(t *testing.T) {
	release := make(chan struct{})
	f, url := newFrontend(t, frontend.Config{MaxExchanges: 1, Handler: core.HandlerFunc(func(_ context.Context, r *core.Request) (*core.Response, error) {
		<-release
		return &core.Response{Status: 200, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}, nil
	})})
	idle, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer idle.Close()
	firstDone := make(chan error, 1)
	r := newRequest(t, "GET", url, nil)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		firstDone <- err
	}()
	for f.Stats().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	expectFailure(t, newRequest(t, "GET", url, nil), 503, core.OutcomeRefusedNotRun, "overloaded")
	shutdownDone := make(chan error, 1)
	go func() { shutdownDone <- f.Shutdown(context.Background()) }()
	select {
	case <-shutdownDone:
		t.Fatal("shutdown did not wait for the running exchange")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	must.NoError(t, receive(t, firstDone, "the running exchange"))
	must.NoError(t, receive(t, shutdownDone, "the shutdown"))
}

// Guards against closing the connection with every refusal, which would turn an
// overload into a flood of new connections.
func TestRefusalKeepsConnection(t *testing.T) {
	f, url := newFrontend(t, frontend.Config{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return nil, core.Fail(core.CodeQueueFull, "full")
	})})
	for _, size := range []int{0, 1, 8 << 10} {
		resp := expectFailure(t, newRequest(t, "POST", url, strings.NewReader(strings.Repeat("x", size))), 429, core.OutcomeRefusedNotRun, "queue-full")
		must.False(t, resp.Close)
	}
	must.Eq(t, int64(1), f.Stats().OpenConns)
	resp := expectFailure(t, newRequest(t, "POST", url, strings.NewReader(strings.Repeat("x", 100_000))), 429, core.OutcomeRefusedNotRun, "queue-full")
	must.True(t, resp.Close)
}

// Guards against a request that outlives its deadline because its body stalls.
func TestDeadlineEndsStalledBody(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(respondOK), nil)
	c, err := net.Dial("tcp", p.frontend.Addr())
	must.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\nMarjoram-Deadline-Ms: 100\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("a", 10_000))
	must.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
	must.Eq(t, "deadline-passed-not-run", resp.Header.Get(frontend.HeaderOutcome))
}

// Guards against a Shutdown or Close that waits for a server that was never
// started.
func TestCloseWithoutStart(t *testing.T) {
	h := core.HandlerFunc(nil)
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: h})
	must.NoError(t, err)
	must.NoError(t, f.Shutdown(t.Context()))
	auth, err := transport.NewAuthenticator(0, []byte(strings.Repeat("k", 32)))
	must.NoError(t, err)
	s, err := transport.NewServer(transport.ServerConfig{Addr: "127.0.0.1:0", Handler: h, Auth: auth})
	must.NoError(t, err)
	must.NoError(t, s.Close())
}

// Guards against more connections than Config.MaxConns. All of them have requests, so
// that a further one is refused.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	f, _ := newFrontend(t, frontend.Config{MaxConns: 1, Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		<-release
		return nil, core.Fail(core.CodeOverloaded, "released")
	})})
	defer close(release)
	a, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer a.Close()
	_, err = io.WriteString(a, "GET / HTTP/1.1\r\nHost: x\r\n"+frontend.HeaderService+": s\r\n"+frontend.HeaderKey+": k\r\n\r\n")
	must.NoError(t, err)
	for f.Stats().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	b, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer b.Close()
	_ = b.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = b.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, uint64(1), f.Stats().RefusedConns)
	must.Zero(t, f.Stats().EvictedConns)
}

// Guards against a crowd that only connects and keeps all others out: an idle
// connection is closed for a new one.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f, _ := newFrontend(t, frontend.Config{MaxConns: 4, Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return nil, core.Fail(core.CodeOverloaded, "served")
	})})
	for range 40 {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		must.LessEq(t, int64(6), f.Stats().OpenConns)
	}
	must.Positive(t, f.Stats().EvictedConns)
	for answered := false; !answered; {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = c.Read(make([]byte, 1))
		answered = err == nil
		must.NoError(t, c.Close())
	}
}

// Guards against callers that hold a connection by sending slowly.
func TestSlowCallersAreDisconnected(t *testing.T) {
	bodyErr := make(chan error, 1)
	f, _ := newFrontend(t, frontend.Config{
		HeaderTimeout: 50 * time.Millisecond, BodyIdleTimeout: 50 * time.Millisecond,
		Handler: core.HandlerFunc(func(_ context.Context, r *core.Request) (*core.Response, error) {
			_, err := io.Copy(io.Discard, r.Body)
			bodyErr <- err
			return nil, core.Wrap(core.CodeCanceledNotRun, err, "cut")
		}),
	})
	head := "POST / HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"
	for _, sent := range []string{head, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, sent)
		must.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		_, err = io.Copy(io.Discard, c)
		must.NoError(t, err) // the server closed the connection in time
	}
	must.Error(t, receive(t, bodyErr, "the body to fail"))
}

// Guards against request smuggling: a head with an ambiguous body length must
// close its connection.
func TestAmbiguousFramingClosesConnection(t *testing.T) {
	f, _ := newFrontend(t, frontend.Config{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	})})
	for _, framing := range []string{
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 3\r\nContent-Length: 5\r\n",
		"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"+framing+"\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: x\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n\r\n")
		must.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		br := bufio.NewReader(c)
		resp, err := http.ReadResponse(br, nil)
		must.NoError(t, err)
		must.Eq(t, 400, resp.StatusCode, must.Sprint(framing))
		_, _ = io.Copy(io.Discard, resp.Body)
		_, err = http.ReadResponse(br, nil)
		must.Error(t, err)
	}
}

// Guards against a head that ends the process, and all requests that it serves: the
// HTTP library panicked on a target like "a:" without a Host field.
func TestTargetsThatTheLibraryCannotParse(t *testing.T) {
	f, _ := newFrontend(t, frontend.Config{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
		return &core.Response{Status: 200, Body: core.NoBody}, nil
	})})
	for _, head := range []string{"GET a: HTTP/1.1\r\n\r\n", "GET p:x HTTP/1.0\r\n\r\n", "CONNECT a: HTTP/1.1\r\nHost:\r\n\r\n", "GET a:/ HTTP/1.1\r\n\r\n"} {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		proper := "GET /x HTTP/1.1\r\nHost: x\r\n" + frontend.HeaderService + ": s\r\n" + frontend.HeaderKey + ": k\r\n\r\n"
		_, err = io.WriteString(c, proper+head+proper)
		must.NoError(t, err)
		r := bufio.NewReader(c)
		for _, status := range []int{200, 400} {
			resp, err := http.ReadResponse(r, nil)
			must.NoError(t, err, must.Sprint(head))
			must.Eq(t, status, resp.StatusCode, must.Sprint(head))
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_, err = http.ReadResponse(r, nil)
		must.Error(t, err, must.Sprint("what stands behind the head is not served"))
	}
}
