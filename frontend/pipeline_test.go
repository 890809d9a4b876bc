package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/quota"
)

// pipelineHandler answers each request with its path. Requests whose path begins
// with /hold wait until release is closed or their context ends.
type pipelineHandler struct {
	release           chan struct{}
	running, peak     atomic.Int64
	started, canceled atomic.Int64
	// order receives the path of each request that starts.
	order chan string
}

func newPipelineHandler() *pipelineHandler {
	return &pipelineHandler{release: make(chan struct{}), order: make(chan string, 1000)}
}

// Serve implements core.Handler.
func (h *pipelineHandler) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	h.started.Add(1)
	h.order <- req.Path
	n := h.running.Add(1)
	defer h.running.Add(-1)
	for p := h.peak.Load(); n > p && !h.peak.CompareAndSwap(p, n); p = h.peak.Load() {
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil, core.Wrap(core.CodeAborted, err, "body")
	}
	if strings.HasPrefix(req.Path, "/hold") {
		select {
		case <-h.release:
		case <-ctx.Done():
			h.canceled.Add(1)
			return nil, core.Fail(core.CodeUnknown, "canceled")
		}
	}
	// The body ends with the context of the request, as that of another node does.
	body := io.Reader(contextReader{ctx, strings.NewReader(req.Path)})
	length := int64(len(req.Path))
	if strings.Contains(req.Path, "/long") {
		length = 100 << 10
		body = contextReader{ctx, io.LimitReader(strings.NewReader(strings.Repeat("x", int(length))), length)}
	}
	if strings.Contains(req.Path, "/huge") {
		length = 2 << 20 // more than is kept before its turn
		body = contextReader{ctx, strings.NewReader(strings.Repeat("x", int(length)))}
	}
	switch {
	case strings.HasPrefix(req.Path, "/unmeasured"):
		return &core.Response{Status: 200, Length: core.UnknownLength, Body: io.NopCloser(body)}, nil
	case strings.HasPrefix(req.Path, "/refuse"):
		return nil, &core.Error{Code: core.CodeOverloaded, Detail: "full", RetryAfter: time.Second}
	case strings.HasPrefix(req.Path, "/cut"):
		length += 10 // the body ends too early
	}
	return &core.Response{Status: 200, Length: length, Body: io.NopCloser(body)}, nil
}

// contextReader is a body that can be read until a context ends.
type contextReader struct {
	ctx context.Context
	io.Reader
}

func (r contextReader) Read(p []byte) (int, error) {
	if r.ctx.Err() != nil {
		return 0, r.ctx.Err()
	}
	return r.Reader.Read(p)
}

// startPipelineFrontend starts a Frontend that runs GET requests ahead of their
// turn, except those whose path contains "turn".
func startPipelineFrontend(t testing.TB, h core.Handler) *frontend.Frontend {
	f, err := frontend.New(frontend.Config{
		Addr: "127.0.0.1:0", Handler: h, MaxHeaderBytes: 4 << 10,
		MayRunAhead: func(r *core.Request) bool { return !strings.Contains(r.Path, "turn") },
	})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// pipelinedRequest returns the bytes of a request.
func pipelinedRequest(method, path, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\n%s%s: s\r\n%s: k\r\n\r\n%s", method, path, length, frontend.HeaderService, frontend.HeaderKey, body)
}

type pipelineConn struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func dialPipeline(t testing.TB, f *frontend.Frontend) *pipelineConn {
	c, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return &pipelineConn{c, t, bufio.NewReader(c)}
}

func (c *pipelineConn) send(data string) {
	_, err := io.WriteString(c, data)
	must.NoError(c.t, err)
}

// read reads one answer and returns its status and body.
func (c *pipelineConn) read() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// expect reads one answer, which must be a success with the given body.
func (c *pipelineConn) expect(body string) *http.Response {
	c.t.Helper()
	resp, got, err := c.read()
	must.NoError(c.t, err)
	must.Eq(c.t, 200, resp.StatusCode)
	must.Eq(c.t, body, got)
	return resp
}

// waitStarted waits until n requests have started.
func (h *pipelineHandler) waitStarted(t testing.TB, n int64) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.started.Load() >= n }), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against pipelined requests that wait for one another, so that most miss
// their time, and against answers that leave in another order than the requests.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	h := newPipelineHandler()
	c := dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/2", "") + pipelinedRequest("GET", "/hold/3", "") + pipelinedRequest("GET", "/refuse/4", "") + pipelinedRequest("HEAD", "/5", ""))
	h.waitStarted(t, 5)
	close(h.release)
	c.expect("/hold/1")
	c.expect("/2")
	c.expect("/hold/3")
	resp, _, err := c.read()
	must.NoError(t, err)
	must.Eq(t, 503, resp.StatusCode)
	resp, err = http.ReadResponse(c.reader, &http.Request{Method: "HEAD"})
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode)
	c.send(pipelinedRequest("GET", "/6", ""))
	c.expect("/6")
}

// Guards against the body of an answer that is cut off because it is read when its
// turn comes, after the request was served.
func TestPipelinedAnswersAreWhole(t *testing.T) {
	h := newPipelineHandler()
	c := dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/long/2", "") + pipelinedRequest("GET", "/3", "") + pipelinedRequest("GET", "/long/4", ""))
	h.waitStarted(t, 4)
	time.Sleep(20 * time.Millisecond)
	close(h.release)
	c.expect("/hold/1")
	c.expect(strings.Repeat("x", 100<<10))
	c.expect("/3")
	c.expect(strings.Repeat("x", 100<<10))
}

// withDeadline adds a deadline, in milliseconds, to a request.
func withDeadline(request string, ms int) string {
	return strings.Replace(request, "\r\n\r\n", fmt.Sprintf("\r\n%s: %d\r\n\r\n", frontend.HeaderDeadline, ms), 1)
}

// Guards against answers that are lost although they were ready in time: one that
// waits for its turn breaks off when its own deadline passes, and takes the connection
// and those behind it along. One that is too large to be kept fails by itself.
func TestReadyAnswersOutliveTheirDeadline(t *testing.T) {
	for name, want := range map[string]string{
		"/2": "/2", "/long/2": strings.Repeat("x", 100<<10), "/unmeasured/2": "/unmeasured/2",
		"/unmeasured/long/2": strings.Repeat("x", 100<<10), "/huge/2": "", "/unmeasured/huge/2": "",
	} {
		t.Run(name, func(t *testing.T) {
			h := newPipelineHandler()
			c := dialPipeline(t, startPipelineFrontend(t, h))
			c.send(pipelinedRequest("GET", "/hold/1", "") + withDeadline(pipelinedRequest("GET", name, ""), 300) + withDeadline(pipelinedRequest("GET", "/3", ""), 300))
			h.waitStarted(t, 2)
			time.Sleep(500 * time.Millisecond)
			close(h.release)
			c.expect("/hold/1")
			if want != "" {
				c.expect(want)
			} else {
				resp, _, err := c.read()
				must.NoError(t, err)
				must.Eq(t, string(core.OutcomeUnknown), resp.Header.Get(frontend.HeaderOutcome))
			}
			c.expect("/3")
		})
	}
}

// Guards against requests that are served ahead of their turn without room for their
// answers: the process then holds more than its limit, or loses answers.
func TestRequestsAheadNeedRoomForTheirAnswers(t *testing.T) {
	q := quota.New(1<<20, clock.NewReal()) // room for two, since half is for other uses
	go q.Run(t.Context())
	h := newPipelineHandler()
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: h, Quota: q, MayRunAhead: func(*core.Request) bool { return true }})
	must.NoError(t, err)
	f.Start()
	t.Cleanup(func() { _ = f.Close() })
	c := dialPipeline(t, f)
	c.send(pipelinedRequest("GET", "/hold/1", ""))
	for i := range 10 {
		c.send(pipelinedRequest("GET", fmt.Sprintf("/hold/long/%d", i), ""))
	}
	h.waitStarted(t, 3)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, 3, h.started.Load())
	must.Eq(t, 512<<10, q.Stats().Used)
	close(h.release)
	c.expect("/hold/1")
	for range 10 {
		c.expect(strings.Repeat("x", 100<<10))
		must.LessEq(t, q.Stats().Limit, q.Stats().Used)
	}
	must.Eq(t, 0, q.Stats().Refused)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return q.Stats().Used == 0 }), wait.Timeout(5*time.Second)))
}

// Guards against a request that runs before the one in front of it is answered,
// although it may not run twice, has a body or cannot be parsed.
func TestRequestsThatMustWaitForTheirTurn(t *testing.T) {
	for name, behind := range map[string]string{
		"not idempotent": pipelinedRequest("GET", "/turn", ""), "body": pipelinedRequest("POST", "/p", "x"),
		"body of a read": pipelinedRequest("GET", "/g", "x"), "malformed": "GET /\x01 HTTP/1.1\r\nbad\r\n\r\n",
		"ambiguous": "GET /g HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"last":      strings.Replace(pipelinedRequest("GET", "/c", ""), "Host: h", "Host: h\r\nConnection: close", 1),
		"too large": "GET /g HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newPipelineHandler()
			c := dialPipeline(t, startPipelineFrontend(t, h))
			c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/hold/2", "") + behind + pipelinedRequest("GET", "/hold/4", ""))
			h.waitStarted(t, 2)
			time.Sleep(50 * time.Millisecond)
			must.Eq(t, 2, h.started.Load())
			close(h.release)
			c.expect("/hold/1")
			c.expect("/hold/2")
			_, _, err := c.read()
			must.NoError(t, err) // the request behind is answered, or refused
		})
	}
}

// Guards against memory without a bound for a caller that sends many requests and
// whose first one is slow.
func TestPipelinedRequestsOfAConnectionAreBounded(t *testing.T) {
	h := newPipelineHandler()
	c := dialPipeline(t, startPipelineFrontend(t, h))
	const requests = 600 // more than are read ahead in one run
	go func() {
		for i := range requests {
			if _, err := io.WriteString(c, pipelinedRequest("GET", fmt.Sprintf("/hold/%d", i), "")); err != nil {
				return
			}
		}
	}()
	h.waitStarted(t, 17)
	time.Sleep(50 * time.Millisecond)
	must.Eq(t, 17, h.started.Load())
	close(h.release)
	for i := range requests {
		c.expect(fmt.Sprintf("/hold/%d", i))
	}
	must.LessEq(t, 17, h.peak.Load())
}

// Guards against a stop that cuts off requests that were read, and against an
// answer that announces the end of the connection although others follow.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	h := newPipelineHandler()
	f := startPipelineFrontend(t, h)
	c := dialPipeline(t, f)
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/hold/2", "") + pipelinedRequest("GET", "/hold/3", ""))
	h.waitStarted(t, 3)
	stopped := make(chan error, 1)
	go func() { stopped <- f.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	c.send(pipelinedRequest("GET", "/hold/4", ""))
	time.Sleep(50 * time.Millisecond)
	close(h.release)
	must.False(t, c.expect("/hold/1").Close)
	must.False(t, c.expect("/hold/2").Close)
	must.True(t, c.expect("/hold/3").Close)
	_, err := c.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF) // the fourth request counts as not read
	must.Eq(t, 3, h.started.Load())
	must.NoError(t, <-stopped)
}

// Guards against requests of a caller that has left and that keep backend servers
// at work.
func TestCallerThatLeavesEndsItsPipelinedRequests(t *testing.T) {
	h := newPipelineHandler()
	c := dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/hold/2", "") + pipelinedRequest("GET", "/hold/3", "") + "GET /par")
	h.waitStarted(t, 3)
	must.NoError(t, c.Close())
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.canceled.Load() == 3 }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against an answer that breaks off and is followed by another, which would
// be taken for its rest.
func TestNothingFollowsAnAnswerThatBrokeOff(t *testing.T) {
	h := newPipelineHandler()
	c := dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/cut/2", "") + pipelinedRequest("GET", "/3", ""))
	h.waitStarted(t, 3)
	close(h.release)
	c.expect("/hold/1")
	resp, _, err := c.read()
	must.NoError(t, err)
	must.Eq(t, 502, resp.StatusCode) // it is known before its turn
	c.expect("/3")

	h = newPipelineHandler()
	c = dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/cut/long/2", "") + pipelinedRequest("GET", "/3", ""))
	h.waitStarted(t, 3)
	close(h.release)
	c.expect("/hold/1")
	resp, _, err = c.read()
	must.NoError(t, err)
	must.Eq(t, 502, resp.StatusCode) // an answer that is kept is known as well
	c.expect("/3")

	h = newPipelineHandler()
	c = dialPipeline(t, startPipelineFrontend(t, h))
	c.send(pipelinedRequest("GET", "/hold/1", "") + pipelinedRequest("GET", "/cut/huge/2", "") + pipelinedRequest("GET", "/3", ""))
	h.waitStarted(t, 3)
	close(h.release)
	c.expect("/hold/1")
	_, body, err := c.read()
	must.Error(t, err)
	must.StrNotContains(t, body, "/3")
	_, err = c.reader.ReadByte()
	must.Error(t, err)
}

// Guards against a request that is lost or changed because it arrives in parts or
// together with others.
func FuzzPipelinedBytes(f *testing.F) {
	stream := ""
	for i := range 5 {
		stream += pipelinedRequest("GET", fmt.Sprintf("/%d", i), "")
	}
	for cut := range len(stream) {
		f.Add(uint16(cut), uint16(0), byte(0))
	}
	f.Add(uint16(10), uint16(200), byte(3))
	h := newPipelineHandler()
	go func() {
		for range h.order {
		}
	}()
	fe := startPipelineFrontend(f, h)
	f.Fuzz(func(t *testing.T, first, second uint16, posts byte) {
		stream, want := "", []string{}
		for i := range 5 {
			path := fmt.Sprintf("/%d", i)
			want = append(want, path)
			if posts&(1<<i) != 0 {
				stream += pipelinedRequest("POST", path, "body")
			} else {
				stream += pipelinedRequest("GET", path, "")
			}
		}
		c := dialPipeline(t, fe)
		defer c.Close()
		a, b := int(first)%len(stream), int(second)%len(stream)
		for _, part := range []string{stream[:min(a, b)], stream[min(a, b):max(a, b)], stream[max(a, b):]} {
			c.send(part)
		}
		for _, path := range want {
			c.expect(path)
		}
	})
}

// Guards against bytes of a caller that end the process or hang a connection.
func FuzzPipelinedGarbage(f *testing.F) {
	f.Add([]byte("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\n\r\n\x00\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nHEAD"))
	h := newPipelineHandler()
	go func() {
		for range h.order {
		}
	}()
	fe := startPipelineFrontend(f, h)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := dialPipeline(t, fe)
		defer c.Close()
		_, err := c.Write(append([]byte(pipelinedRequest("GET", "/0", "")), bytes.ReplaceAll(data, []byte("/hold"), []byte("/h"))...))
		must.NoError(t, err)
		must.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
		if _, _, err := c.read(); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			var netErr net.Error
			must.False(t, errors.As(err, &netErr) && netErr.Timeout(), must.Sprint(err))
		}
	})
}
