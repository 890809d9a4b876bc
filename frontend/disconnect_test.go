package frontend_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
)

// Guards against serving a request whose caller disconnected before it was
// read. In the trouble-2 run of lammas-hinta, seed 119704737925, requests
// waited 0.6 s in the accept queue of a starting node.
func TestCallerDisconnectsBeforeRequestIsRead(t *testing.T) {
	var served atomic.Int64
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: core.HandlerFunc(
		func(context.Context, *core.Request) (*core.Response, error) {
			served.Add(1)
			return nil, core.Fail(core.CodeOverloaded, "")
		})})
	must.NoError(t, err)
	for range 20 {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		_, err = c.Write([]byte("GET /x HTTP/1.1\r\nHost: h\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n\r\n"))
		must.NoError(t, err)
		must.NoError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond)
	f.Start()
	defer f.Close()
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 0, served.Load())
	must.Eq(t, 20, f.Stats().CallerDisconnects)
}

// Guards against passing on a request with a body whose caller disconnected while
// it waited to be read: the end of the connection lies behind the body.
func TestCallerDisconnectsBeforeBodyIsRead(t *testing.T) {
	var passedOn atomic.Int64
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", Handler: core.HandlerFunc(
		func(ctx context.Context, req *core.Request) (*core.Response, error) {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return nil, core.Wrap(core.CodeCanceledNotRun, err, "body incomplete")
			}
			if ctx.Err() != nil {
				return nil, core.ContextErrorBeforeSend(ctx)
			}
			passedOn.Add(1)
			return nil, core.Fail(core.CodeOverloaded, "")
		})})
	must.NoError(t, err)
	defer f.Close()
	for i := range 40 {
		c, err := net.Dial("tcp", f.Addr())
		must.NoError(t, err)
		head := "POST /x HTTP/1.1\r\nHost: h\r\nMarjoram-Service: s\r\nMarjoram-Key: k\r\n"
		body := strings.Repeat("x", 20_000)
		if i%2 == 0 {
			body = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		} else {
			body = "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
		}
		_, err = io.WriteString(c, head+body)
		must.NoError(t, err)
		must.NoError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond)
	f.Start()
	for end := time.Now().Add(5 * time.Second); f.Stats().CallerDisconnects < 40; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("disconnects noticed: ", f.Stats().CallerDisconnects))
	}
	must.Eq(t, 0, passedOn.Load())
}
