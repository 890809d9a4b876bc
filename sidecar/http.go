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
	// maxReportBytes bounds a status report. One with 130 rows of 50 bytes has
	// 7 KB.
	maxReportBytes = 64 << 10
	// reportTimeout bounds the time to answer a status report. The backend
	// server waits for a second.
	reportTimeout     = 700 * time.Millisecond
	serverIdleTimeout = time.Minute
	serverReadTimeout = 10 * time.Second
)

// httpServer serves one of the listeners for the platform: status reports or
// readiness checks.
type httpServer struct {
	engine   *server.Hertz
	listener net.Listener
}

func newHTTPServer(address string, h app.HandlerFunc) (*httpServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{"listen on " + address, err}
	}
	engine := server.New(
		server.WithListener(ln), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxReportBytes), server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithReadTimeout(serverReadTimeout), server.WithIdleTimeout(serverIdleTimeout),
		server.WithExitWaitTime(time.Second), server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true), server.WithDisableDefaultDate(true),
	)
	engine.NoRoute(h)
	return &httpServer{engine: engine, listener: ln}, nil
}

func (s *httpServer) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	// Run returns when the listener is closed, which is how the node stops.
	_ = s.engine.Engine.Run()
}

// serveReady answers the platform's readiness checks, which decide whether
// callers send requests to this node.
func (n *Node) serveReady(_ context.Context, c *app.RequestContext) {
	if n.ready.Load() {
		c.SetStatusCode(200)
	} else {
		c.SetStatusCode(503)
	}
}

// serveReport answers the status reports and leave calls of the backend server.
func (n *Node) serveReport(ctx context.Context, c *app.RequestContext) {
	instance, action, ok := platform.ParseInstancePath(string(c.Path()))
	if !ok || !c.IsPost() {
		c.SetStatusCode(404)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if action == platform.ActionDeregister {
		if _, ok := n.backend.HandleLeave(ctx, instance); !ok {
			c.SetStatusCode(503)
		}
		return
	}
	report, err := platform.DecodeReport(instance, c.Request.Body())
	if err != nil {
		n.log.WithError(err).WithField("instance", instance).Warn("decoding a status report of the backend server failed")
		c.SetStatusCode(400)
		return
	}
	ack, ok := n.backend.HandleReport(ctx, report)
	if !ok {
		n.log.WithField("instance", instance).Warn("status report of the backend server not answered in time: the node's event loops are behind")
		c.SetStatusCode(503)
		return
	}
	n.answerReport(c, report, ack.Sharded, &ack.Grant)
}
