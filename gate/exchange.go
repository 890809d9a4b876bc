package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramshore.example/core"
)

// copyBufferSize is the default size in bytes of a connection's buffers, which
// bounds the memory of a copy in each direction. It is also the largest request
// body that is read before a connection is taken, so that a slow caller of a
// small request holds no connection.
const copyBufferSize = 32 << 10

// exchange is the state of one request on one connection.
type exchange struct {
	gate          *Gate
	ctx           context.Context
	req           *core.Request
	conn          *conn
	httpReq       *http.Request
	cancel        context.CancelFunc
	detachContext func() bool // keeps the end of ctx from interrupting conn
	// writeResult receives the result of writing the request, once.
	writeResult chan error
	// discardLeft is the number of body bytes of responses to other requests that
	// may still be read.
	discardLeft int64
	// unmarked is set if the response names no request. A repetition of it would
	// leave the outcome of the next request unknown.
	unmarked bool
	// bodyErr is the failure to read the request body, if any.
	bodyErr atomic.Pointer[core.Error]
}

// Serve implements core.Handler.
func (g *Gate) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	ctx, cancel := contextUntil(ctx, req.Deadline)
	resp, err := g.forward(ctx, cancel, req)
	if err != nil {
		cancel()
	}
	return resp, err
}

func contextUntil(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (g *Gate) forward(ctx context.Context, cancel context.CancelFunc, req *core.Request) (*core.Response, error) {
	body, err := bufferSmallBody(ctx, req)
	if err != nil {
		return nil, err
	}
	httpReq, err := g.buildRequest(req, body, req.Length)
	if err != nil {
		return nil, err
	}
	c, err := g.pool.get(ctx, req.ID)
	if err != nil {
		return nil, err
	}
	x := &exchange{gate: g, ctx: ctx, req: req, conn: c, httpReq: httpReq, cancel: cancel, discardLeft: maxDiscardedBody, writeResult: make(chan error, 1)}
	x.detachContext = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	return x.roundTrip()
}

// bufferSmallBody reads a body of at most copyBufferSize into memory, so that
// its failure comes before the first byte of the request. It returns a larger
// body, or one of unknown length, as it is.
func bufferSmallBody(ctx context.Context, req *core.Request) (io.Reader, error) {
	if req.Length < 0 || req.Length > copyBufferSize {
		return req.Body, nil
	}
	buf, err := core.ReadFullBody(ctx, req.Body, req.Length)
	return bytes.NewReader(buf), err
}

func (x *exchange) roundTrip() (*core.Response, error) {
	if err := x.requestPermit(); err != nil {
		x.release(true)
		return nil, err
	}
	if err := x.send(); err != nil {
		x.release(x.conn.bytesWritten.Load() == 0 && x.ctx.Err() == nil)
		return nil, err
	}
	x.conn.headBytesLeft = x.gate.cfg.MaxHeaderBytes
	httpResp, err := x.readHead()
	x.conn.headBytesLeft = -1
	if err != nil {
		if x.conn.idleTime > 0 && errors.Is(err, syscall.ECONNRESET) {
			x.gate.pool.recordReset(x.conn)
		}
		return nil, x.fail(err)
	}
	if x.ctx.Err() != nil {
		x.gate.counts.lateResponses.Add(1)
		return nil, x.fail(x.ctx.Err())
	}
	return x.buildResponse(httpResp), nil
}

// requestPermit asks for the right to send and adds the header fields that
// depend on it. It runs before the first byte is written.
func (x *exchange) requestPermit() error {
	if x.ctx.Err() != nil {
		return core.ContextErrorBeforeSend(x.ctx)
	}
	var p Permit
	if permit := x.gate.cfg.Permit; permit != nil {
		var err error
		if p, err = permit(x.req); err != nil {
			return err
		}
		if p.LeaseLeft <= 0 {
			return core.Fail(core.CodeLeaseExpired, "lease ended before the request was sent")
		}
	}
	x.gate.cfg.Dialect.AddSendTimeFields(x.httpReq.Header, x.req, p)
	return nil
}

// send writes a small request on this goroutine and hands a large one to the
// upload pool. An error means that no byte was written.
func (x *exchange) send() error {
	if x.req.Length >= 0 && x.req.Length <= copyBufferSize {
		x.writeRequest()
		if x.conn.bytesWritten.Load() > 0 {
			return nil // the server may respond even to a partial request
		}
		return x.notSentError(<-x.writeResult)
	}
	x.httpReq.Body = io.NopCloser(&requestBodyReader{exchange: x, src: x.req.Body})
	if err := x.gate.uploads.Submit(x.writeRequest); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "not sent: all upload workers are in use")
	}
	return nil
}

// notSentError returns the failure of a request of which no byte was written.
func (x *exchange) notSentError(err error) error {
	switch {
	case x.ctx.Err() != nil:
		return core.ContextErrorBeforeSend(x.ctx)
	case err != nil:
		return core.Wrap(core.CodeBackendDown, err, "send request to the backend server")
	default:
		return core.Fail(core.CodeInternal, "encoding the request produced no bytes")
	}
}

// writeRequest encodes the request onto the connection. net/http writes no
// final chunk if the body fails, so the server can tell a truncated body.
func (x *exchange) writeRequest() {
	x.conn.bw.Reset(x.conn)
	err := x.httpReq.Write(x.conn.bw)
	if err == nil {
		err = x.conn.bw.Flush()
	}
	if x.conn.bytesWritten.Load() > 0 {
		x.gate.counts.sent.Add(1)
	}
	if x.bodyErr.Load() != nil {
		// The server learns now that the request is truncated, not at a
		// timeout.
		_ = x.conn.Close()
	}
	x.writeResult <- err
}

// requestBodyReader records the failure to read the request body, to tell a
// caller that disconnected from a backend server that did.
type requestBodyReader struct {
	exchange *exchange
	src      io.Reader
}

func (r *requestBodyReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if err != nil && err != io.EOF {
		r.exchange.bodyErr.Store(core.Wrap(core.CodeAborted, err, "request body of the caller was cut off"))
	}
	return n, err
}

// fail closes the connection and returns the failure of an exchange without a
// response.
func (x *exchange) fail(cause error) error {
	_ = x.conn.Close()
	defer x.release(false)
	if err := x.errorIfNotSent(); err != nil {
		return err
	}
	x.gate.counts.abandoned.Add(1)
	if e := x.bodyErr.Load(); e != nil {
		return e
	}
	switch x.ctx.Err() {
	case context.DeadlineExceeded:
		return core.Wrap(core.CodeUnknown, cause, "deadline passed after the request was sent")
	case context.Canceled:
		return core.Wrap(core.CodeUnknown, cause, "caller disconnected after the request was sent")
	}
	return core.Wrap(core.CodeUnknown, cause, "no response from the backend server")
}

// errorIfNotSent returns the failure of a request of which no byte was written,
// or nil if one may have been. The connection must be closed, so that a write
// that has not started cannot succeed any more.
func (x *exchange) errorIfNotSent() error {
	if !x.conn.writeStarted.Load() {
		return x.notSentError(net.ErrClosed)
	}
	select {
	case err := <-x.writeResult:
		if x.conn.bytesWritten.Load() == 0 {
			return x.notSentError(err)
		}
	default:
	}
	return nil
}

// release returns the connection to the pool, which closes it unless it is
// clean: no message on it is incomplete.
func (x *exchange) release(clean bool) {
	// If ctx has ended, its AfterFunc may still set a deadline on the
	// connection.
	clean = x.detachContext() && clean
	x.cancel()
	x.gate.pool.put(x.conn, clean)
}
