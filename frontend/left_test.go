package frontend_test

import (
	"context"
	"net"
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
