package sidecar

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar/backend"
	"marjoramshore.example/telemetry"
)

const (
	// maxReportBytes bounds a status report. One with 130 rows of 50 bytes has
	// 7 KB.
	maxReportBytes = 64 << 10
	// maxReportHeadBytes bounds the head of a status report.
	maxReportHeadBytes = 16 << 10
	// reportTimeout bounds the time to answer a status report. The backend
	// server waits for a second.
	reportTimeout     = 700 * time.Millisecond
	serverIdleTimeout = time.Minute
	// callerGoneWait is how long a call that tells no start of its run waits for the end
	// of its connection. The backend server waits for a second.
	callerGoneWait = 50 * time.Millisecond
	// serverReadTimeout bounds the time to read a request, and to write its
	// answer.
	serverReadTimeout = 10 * time.Second
)

// httpServer serves one of the listeners for the platform: status reports or
// readiness checks.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	maxConns int
}

// newHTTPServer returns a server that passes each whole request, with its body,
// to handle, on at most maxConns connections. What net/http reports goes to logger.
func newHTTPServer(address string, maxConns int, logger log.Interface, handle func(http.ResponseWriter, *http.Request, []byte)) (*httpServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{"listen on " + address, err}
	}
	server := &http.Server{
		// net/http is used because hertz limits neither the trailers of a
		// request nor the time in which the first request of a connection
		// arrives, and accepts one that ends within its trailers.
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			handle(w, r, body)
		}),
		MaxHeaderBytes: maxReportHeadBytes, ReadTimeout: serverReadTimeout, WriteTimeout: serverReadTimeout, IdleTimeout: serverIdleTimeout,
		ConnState: followConnState,
		ErrorLog:  stdlog.New(telemetry.WarnWriter(logger, "HTTP server reported a problem"), "", 0),
	}
	return &httpServer{server: server, listener: ln, maxConns: maxConns}, nil
}

// serve serves requests until close is called.
func (s *httpServer) serve(context.Context) {
	_ = s.server.Serve(newBoundedListener(s.listener, s.maxConns))
}

// close ends the server. The address is free when it returns, even if serve has
// not run yet.
func (s *httpServer) close() {
	_ = s.server.Close()
	_ = s.listener.Close()
}

// serveReady answers the platform's readiness checks, which decide whether
// callers send requests to this node.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ []byte) {
	// A new configuration may set ready at the moment at which the node begins to
	// stop.
	if !n.ready.Load() || n.stopping.Load() || n.hungDuties.Load() > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveReport answers the status reports and leave calls of the backend server.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request, body []byte) {
	instance, action, ok := platform.ParseInstancePath(r.URL.EscapedPath())
	if !ok || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// A backend server may end without waiting for the answer to its last call.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), reportTimeout)
	defer cancel()
	if action == platform.ActionDeregister {
		leave := backend.Leave{Instance: instance, BornUnixMs: platform.DecodeLeave(body)}
		if leave.BornUnixMs == 0 {
			leave.CallerGone = isCallerGone(r)
		}
		if _, ok := n.backend.HandleLeave(ctx, leave); !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	report, err := platform.DecodeReport(instance, body)
	if err != nil {
		n.log.WithError(err).WithField("instance", instance).Warn("decoding a status report of the backend server failed")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ack, ok := n.backend.HandleReport(ctx, report)
	if !ok {
		n.log.WithField("instance", instance).Warn("status report of the backend server not answered in time: the node's event loops are behind")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n.answerReport(w, report, ack.Sharded, &ack.Grant)
}

// isCallerGone reports whether the caller of a request that was read whole has closed its
// connection. It waits a little, since net/http learns of that on another goroutine.
func isCallerGone(r *http.Request) bool {
	t := time.NewTimer(callerGoneWait)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return true
	case <-t.C:
		return false
	}
}
