package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"marjoramshore.example/platform"
)

const (
	// maxReport bounds a status report; 130 rows of 50 bytes use 7 KB.
	maxReport = 64 << 10
	// answerWithin bounds the answer to a status report, which the backend
	// server awaits for a second.
	answerWithin = 700 * time.Millisecond
	serverIdle   = time.Minute
	serverRead   = 10 * time.Second
)

// httpServer serves one small listener of the platform.
type httpServer struct {
	engine *server.Hertz
	ln     net.Listener
}

func newHTTPServer(address string, h app.HandlerFunc) (*httpServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{"listen on " + address, err}
	}
	engine := server.New(
		server.WithListener(ln), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxReport), server.WithMaxHeaderBytes(maxHead),
		server.WithReadTimeout(serverRead), server.WithIdleTimeout(serverIdle),
		server.WithExitWaitTime(time.Second), server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true), server.WithDisableDefaultDate(true),
	)
	engine.NoRoute(h)
	return &httpServer{engine: engine, ln: ln}, nil
}

func (s *httpServer) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.ln.Close() })
	defer stop()
	// Run returns when the listener is closed, which is how the node stops.
	_ = s.engine.Engine.Run()
}

// serveReady answers the platform's question whether callers may come.
func (n *Node) serveReady(_ context.Context, c *app.RequestContext) {
	if n.ready.Load() {
		c.SetStatusCode(200)
	} else {
		c.SetStatusCode(503)
	}
}

// serveReport answers the backend server's status reports.
func (n *Node) serveReport(ctx context.Context, c *app.RequestContext) {
	instance, action, ok := platform.ParseInstancePath(string(c.Path()))
	if !ok || !c.IsPost() {
		c.SetStatusCode(404)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	if action == platform.ActionDeregister {
		if _, ok := n.backend.Leave(ctx, instance); !ok {
			c.SetStatusCode(503)
		}
		return
	}
	report, err := platform.DecodeReport(instance, c.Request.Body())
	if err != nil {
		n.log.WithError(err).WithField("instance", instance).Warn("status report not readable")
		c.SetStatusCode(400)
		return
	}
	ack, ok := n.backend.Report(ctx, report)
	if !ok {
		n.log.WithField("instance", instance).Warn("status report not answered in time")
		c.SetStatusCode(503)
		return
	}
	n.answerReport(c, report, ack.Keys, &ack.Grant)
}
