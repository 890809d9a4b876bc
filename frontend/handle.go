package frontend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"marjoramshore.example/core"
)

// exchange is one request of a caller and its response.
type exchange struct {
	frontend    *Frontend
	rc          *app.RequestContext
	conn        *callerConn
	req         *core.Request
	started     time.Time
	requestBody *core.Body    // nil when the request has none
	upload      *uploadReader // the source of requestBody
	response    *responseWriter
	// pipeline serves the requests behind this one, if hertz has read it. It is in
	// use once the request is served.
	pipeline pipeline
	// leader is the exchange behind which this one was read ahead, or nil.
	leader *exchange
	// length is the length of the body in bytes, or core.UnknownLength.
	length int64
	// isHTTP11 and isHead describe the request.
	isHTTP11, isHead bool
	// framingValid is set once checkFraming has found the head to be valid and the
	// end of the request to be unambiguous.
	framingValid bool
}

// handle serves one request. hertz calls it on the connection's goroutine.
func (f *Frontend) handle(ctx context.Context, rc *app.RequestContext) {
	c, ok := ctx.Value(connContextKey{}).(*callerConn)
	if !ok {
		rc.SetStatusCode(500)
		return
	}
	f.counts.exchanges.Add(1)
	c.busy.Store(true) // a pipelined request may already have been read
	c.beginServing()
	x := &exchange{frontend: f, rc: rc, conn: c, started: time.Now(), isHTTP11: rc.Request.Header.IsHTTP11(), isHead: rc.Request.Header.IsHead()}
	x.response = newResponseWriter(x)
	defer f.inFlight.Add(-1)
	inFlight := f.inFlight.Add(1)
	head := copyHead(&rc.Request.Header)
	req, err := f.cfg.Dialect.ParseHead(head, x.started)
	x.req = req
	if framingErr := x.checkFraming(head); framingErr != nil {
		err = framingErr
	}
	switch {
	case err != nil:
	case f.draining.Load():
		err = core.Fail(core.CodeDraining, "node is shutting down")
	case inFlight > int64(f.cfg.MaxExchanges):
		f.counts.refused.Add(1)
		err = core.Fail(core.CodeOverloaded, "too many concurrent requests")
	}
	if err != nil {
		x.respondWithFailure(err)
	} else {
		x.serve(ctx)
	}
	x.finish()
}

// handlePanic refuses a request whose target made hertz panic before it called handle,
// such as "a:" without a Host field. Other panics go on.
func (f *Frontend) handlePanic(_ context.Context, rc *app.RequestContext) {
	if rc.Response.GetHijackWriter() != nil {
		panic(ExchangePanicError{})
	}
	f.counts.badRequests.Add(1)
	rc.SetStatusCode(http.StatusBadRequest)
	rc.SetConnectionClose()
}

// ExchangePanicError follows the panic of an exchange, which ends the process.
type ExchangePanicError struct{}

func (ExchangePanicError) Error() string { return "panic while a request was served" }

// serve passes the request to the Handler and sends its response.
func (x *exchange) serve(ctx context.Context) {
	ctx, cancel := withDeadline(ctx, x.req.Deadline)
	defer cancel()
	if x.conn.closedByCaller() {
		x.dropResponse(nil, BeforeServe)
		return
	}
	x.pipeline.init(x.frontend, x, cancel)
	defer func() {
		// The end of the body starts the watch, also when the Handler has returned.
		x.closeBody()
		x.pipeline.answerWaiting()
	}()
	if err := x.attachBody(); err != nil {
		x.respondWithFailure(err)
		return
	}
	resp, err := x.frontend.cfg.Handler.Serve(ctx, x.req)
	if x.pipeline.watch.disconnected.Load() {
		x.dropResponse(resp, WhileServed)
		return
	}
	if err != nil {
		if x.upload != nil && x.upload.cutOff.Load() {
			x.reportDisconnect(InBody)
		}
		x.respondWithFailure(err)
		return
	}
	x.response.writeBackendResponse(resp)
}

// dropResponse discards resp, which may be nil, because the caller
// disconnected.
func (x *exchange) dropResponse(resp *core.Response, stage DisconnectStage) {
	x.reportDisconnect(stage)
	if resp != nil {
		x.frontend.counts.dropped.Add(1)
		_ = resp.Body.Close()
	}
	x.response.truncated = true
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// attachBody sets the body of the request. The watch for a disconnect of the
// caller starts at the end of the body, or at once if there is none.
func (x *exchange) attachBody() *core.Error {
	if x.req.Length == 0 {
		x.frontend.startWatch(x.pipeline.watch)
		return nil
	}
	x.upload = newUploadReader(x.rc.RequestBodyStream(), x.rc.GetConn(), x.conn, &x.frontend.cfg, x.req.Length)
	x.upload.onEOF = x.watchAfterBody
	// A handler may make a buffer for the whole body at once.
	if x.req.Length > 0 && !x.upload.hold(x.req.Length) {
		return &core.Error{Code: core.CodeOverloaded, Detail: "the node has no room for the body", RetryAfter: quotaRetryAfter}
	}
	x.requestBody = core.NewBody(x.upload, x.upload.interrupt)
	x.req.Body = x.requestBody
	return nil
}

// quotaRetryAfter is the Retry-After of a request for whose body there is no room.
// Bodies that stall are ended within that time.
const quotaRetryAfter = 2 * time.Second

// watchAfterBody starts the watch at the end of the body, unless the caller has
// closed the connection already. The watch alone would notice that too late, after
// the request has been passed on.
func (x *exchange) watchAfterBody() {
	if x.rc.GetConn().Len() == 0 && x.conn.closedByCaller() {
		x.pipeline.watch.reportClosed()
		return
	}
	x.frontend.startWatch(x.pipeline.watch)
}

// respondWithFailure sends the response for err.
func (x *exchange) respondWithFailure(err error) {
	e := core.AsError(err)
	if e.Code.Outcome() == core.OutcomeBadRequest {
		x.frontend.counts.badRequests.Add(1)
	}
	r := x.frontend.cfg.Dialect.EncodeFailure(x.req, e)
	x.response.fields = r.Fields
	x.response.writeResponse(r.Status, int64(len(r.Body)), bytes.NewReader(r.Body))
}

// closeBody ends the reads of the body. None is running when it returns.
func (x *exchange) closeBody() {
	if x.requestBody != nil {
		_ = x.requestBody.Close()
	}
}

// finish ends the exchange. Nothing else reads the connection when it returns,
// so that hertz can read the next request, unless it closed the connection.
func (x *exchange) finish() {
	x.closeBody()
	if x.upload != nil {
		x.upload.holding.Close()
	}
	x.conn.endServing()
	switch {
	case x.response.truncated:
		x.conn.reset()
	case x.hasUnreadBody(), x.rc.Response.ConnectionClose() && x.hasUnreadRequests():
		x.closeLingering()
	default:
		x.conn.busy.Store(x.rc.GetConn().Len() > 0) // the next request may be buffered
		if x.conn.listener.draining.Load() {
			x.conn.endWait()
		}
	}
}

// prefetchedBodyBytes is the length up to which hertz reads a body of known
// length before it calls the handler.
const prefetchedBodyBytes = 8 << 10

// hasUnreadBody reports whether bytes of the request may still be unread on the
// connection. It is false for a body that hertz has prefetched, so that a
// refusal of such a request does not cost the connection.
func (x *exchange) hasUnreadBody() bool {
	switch {
	case !x.framingValid:
		return true
	case x.length >= 0 && x.length <= prefetchedBodyBytes:
		return false
	default:
		return x.requestBody == nil || !x.requestBody.ReachedEOF()
	}
}

// hasUnreadRequests reports whether the caller may have sent requests behind those
// that were answered. Closing the connection at once would reset it, and the
// caller could lose the answers.
func (x *exchange) hasUnreadRequests() bool {
	if x.pipeline.readCount > 0 || x.rc.GetConn().Len() > 0 {
		return true
	}
	n, _ := x.conn.peek()
	return n > 0
}

// Limits of the time and bytes for which a connection is still read when the
// response is complete and the caller is still sending. Closing at once would
// reset the connection, and the caller could lose the response.
const (
	lingerTimeout  = time.Second
	maxLingerBytes = 256 << 10
)

// closeLingering reads and discards what the caller still sends, within limits,
// and closes the connection.
func (x *exchange) closeLingering() {
	hertzConn := x.rc.GetConn()
	if x.frontend.cfg.TLS == nil {
		x.conn.closeWrite()
	}
	_ = hertzConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	discardUpTo(hertzConn, maxLingerBytes)
	_ = x.conn.Close()
}

// discardUpTo reads and discards at least n bytes, unless r ends or fails before.
func discardUpTo(r io.Reader, n int) {
	for buf := make([]byte, 8<<10); n > 0; {
		read, err := r.Read(buf)
		if err != nil {
			return
		}
		n -= read
	}
}
