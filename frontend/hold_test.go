package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/quota"
)

const holdLimit = 256 << 10

// startHolding returns a frontend whose handler keeps whole bodies, and its quota.
func startHolding(t testing.TB) (*frontend.Frontend, *quota.Quota) {
	q := quota.New(holdLimit, clock.NewReal())
	ctx, stop := context.WithCancel(context.Background())
	go q.Run(ctx)
	f, err := frontend.New(frontend.Config{
		Addr: "127.0.0.1:0", Quota: q, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20,
		Handler: core.HandlerFunc(func(_ context.Context, req *core.Request) (*core.Response, error) {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return nil, core.Wrap(core.CodeCanceledNotRun, err, "body")
			}
			return &core.Response{Status: http.StatusOK, Body: core.NoBody}, nil
		}),
	})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() {
		must.NoError(t, f.Close())
		stop()
	})
	return f, q
}

func holdHead(extra string) string {
	return "POST /x HTTP/1.1\r\nHost: x\r\n" + frontend.HeaderService + ": s\r\n" + frontend.HeaderKey + ": k\r\n" + extra
}

// mustGiveBack fails the test unless nothing is held soon after the senders have left.
func mustGiveBack(t *testing.T, q *quota.Quota) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); q.Stats().Used != 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%d bytes are held for nobody", q.Stats().Used))
	}
}

// Guards against a body for which there is no room and that is read nevertheless, and
// against a refusal without a time to come back. Once stalled bodies are ended, there is
// room again.
func TestBodiesBeyondTheQuotaAreRefused(t *testing.T) {
	f, q := startHolding(t)
	var stalled []net.Conn
	for range 12 {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, holdHead("Content-Length: 40000\r\n\r\n")+strings.Repeat("x", 39_999))
		must.NoError(t, err)
		stalled = append(stalled, c)
	}
	for q.Stats().Refused == 0 {
		time.Sleep(time.Millisecond)
	}
	must.LessEq(t, int64(holdLimit), q.Stats().Used)
	send := func() *http.Response {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, holdHead("Content-Length: 40000\r\n\r\n")+strings.Repeat("x", 40_000))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		return resp
	}
	for refused, end := false, time.Now().Add(time.Minute); ; time.Sleep(50 * time.Millisecond) {
		resp := send()
		if resp.StatusCode == http.StatusOK {
			break
		}
		must.Eq(t, string(core.OutcomeRefusedNotRun), resp.Header.Get(frontend.HeaderOutcome), must.Sprint(refused))
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		refused = true
		must.True(t, time.Now().Before(end), must.Sprint("stalled bodies keep all others out"))
	}
	for _, c := range stalled {
		must.NoError(t, c.Close())
	}
	mustGiveBack(t, q)
}

// Guards against the answer 400, which tells a caller not to come back, to a proper
// request that is refused because the node has no room for its head.
func TestHeadsBeyondTheQuotaAreRefusedAsNotRun(t *testing.T) {
	f, q := startHolding(t)
	for range holdLimit / (32 << 10) {
		must.True(t, q.Open(func() {}).Take(32<<10))
	}
	for range 20 {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		defer c.Close()
		_, _ = io.WriteString(c, holdHead("X-Fill: "+strings.Repeat("x", 6000)+"\r\nContent-Length: 40000\r\n\r\n")+strings.Repeat("x", 40_000))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		must.Eq(t, string(core.OutcomeRefusedNotRun), resp.Header.Get(frontend.HeaderOutcome), must.Sprint(resp.Status))
		must.NotEq(t, "", resp.Header.Get("Retry-After"))
		must.True(t, resp.Close)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
	}
}

// Guards against answers that callers do not read and that keep others from being
// served, or the process from its memory.
func TestCallersThatDoNotReadAreCutOff(t *testing.T) {
	q := quota.New(holdLimit, clock.NewReal())
	go q.Run(t.Context())
	part := strings.Repeat("x", 32<<10)
	f, err := frontend.New(frontend.Config{
		Addr: "127.0.0.1:0", Quota: q,
		Handler: core.HandlerFunc(func(_ context.Context, req *core.Request) (*core.Response, error) {
			if req.Key == "short" {
				return &core.Response{Status: http.StatusOK, Body: core.NoBody}, nil
			}
			readers := make([]io.Reader, 2000) // more than the sockets take
			for i := range readers {
				readers[i] = strings.NewReader(part)
			}
			return &core.Response{Status: http.StatusOK, Length: int64(len(readers) * len(part)), Body: io.NopCloser(io.MultiReader(readers...))}, nil
		}),
	})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { must.NoError(t, f.Close()) })
	get := func(key string) net.Conn {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\n"+frontend.HeaderService+": s\r\n"+frontend.HeaderKey+": "+key+"\r\n\r\n")
		must.NoError(t, err)
		return c
	}
	for range 4 {
		defer get("long").Close()
	}
	for end := time.Now().Add(time.Minute); q.Stats().Ended < 2; time.Sleep(200 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("callers that do not read are not cut off"))
	}
	c := get("short")
	defer c.Close()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode)
}

// Guards against bytes that are held beyond the limit, or after their sender has left,
// for heads, bodies and chunks in any sizes that end anywhere.
func FuzzHeldBytes(f *testing.F) {
	for kind := range byte(6) {
		f.Add(kind, uint16(10), uint16(3), false)
		f.Add(kind, uint16(40_000), uint16(1000), true)
	}
	fe, q := startHolding(f)
	f.Fuzz(func(t *testing.T, kind byte, size, times uint16, leave bool) {
		c, err := net.Dial("tcp", fe.Addr())
		must.NoError(t, err)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		fill := strings.Repeat("x", int(size))
		repeated := strings.Repeat(fill[:min(len(fill), 100)], int(times)%2000)
		chunks := strings.Repeat("1\r\nx\r\n", int(times)%2000)
		text := [...]string{
			holdHead("X-Fill: " + fill),
			holdHead(strings.Repeat("X-Fill: x\r\n", int(times))),
			strings.Repeat("\r\n", int(times)),
			holdHead(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(repeated)+1)) + repeated,
			holdHead("Transfer-Encoding: chunked\r\n\r\n") + fmt.Sprintf("%x\r\n%s\r\n", len(fill), fill) + chunks,
			holdHead("Transfer-Encoding: chunked\r\n\r\n") + chunks + "0\r\nX-Fill: " + fill,
		}[kind%6]
		// The node may close the connection before all is sent.
		_, _ = io.WriteString(c, text)
		must.LessEq(t, int64(holdLimit), q.Stats().Used)
		if !leave {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}
		_ = c.Close()
		mustGiveBack(t, q)
	})
}

// Guards against a frontend without a quota that answers no more after some hundred
// larger bodies: each told a reclaimer of its begin and end that nobody had started.
func TestManyBodiesWithoutAQuota(t *testing.T) {
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: core.HandlerFunc(func(_ context.Context, req *core.Request) (*core.Response, error) {
		_, err := io.Copy(io.Discard, req.Body)
		return &core.Response{Status: http.StatusOK, Body: core.NoBody}, err
	})})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { must.NoError(t, f.Close()) })
	c, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer c.Close()
	must.NoError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	reader, body := bufio.NewReader(c), strings.Repeat("x", 40_000)
	for i := range 1100 {
		_, err := io.WriteString(c, holdHead("Content-Length: 40000\r\n\r\n")+body)
		must.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err, must.Sprintf("body %d", i))
		must.Eq(t, http.StatusOK, resp.StatusCode)
	}
}
