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

// copySize bounds the memory of one copy in each direction. It is also the
// largest body that is read before a connection is taken, so that a slow
// caller of a small request holds no connection.
const copySize = 32 << 10

// HeadTooLargeError reports a response head above Config.MaxHeaderBytes.
type HeadTooLargeError struct{}

func (*HeadTooLargeError) Error() string { return "response head too large" }

// maxSkipped bounds the body of a response to an earlier request that is read
// to reach the next response; 256 KiB takes milliseconds on a local link.
const maxSkipped = 256 << 10

// StrayResponseError reports a response to an earlier request after which the
// connection cannot be used.
type StrayResponseError struct{}

func (*StrayResponseError) Error() string { return "response to an earlier request" }

// exchange is the state of one request on one connection.
type exchange struct {
	g      *Gate
	ctx    context.Context
	req    *core.Request
	c      *conn
	hr     *http.Request
	cancel context.CancelFunc
	stop   func() bool // detaches the connection from ctx
	// uploaded delivers the result of the upload once.
	uploaded chan error
	// bodyErr holds the failure to read the request body, if any.
	bodyErr atomic.Pointer[core.Error]
}

// Serve implements core.Handler.
func (g *Gate) Serve(ctx context.Context, req *core.Request) (*core.Response, error) {
	ctx, cancel := withDeadline(ctx, req.Deadline)
	resp, err := g.serve(ctx, cancel, req)
	if err != nil {
		cancel()
	}
	return resp, err
}

func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

func (g *Gate) serve(ctx context.Context, cancel context.CancelFunc, req *core.Request) (*core.Response, error) {
	body, err := prepareBody(ctx, req)
	if err != nil {
		return nil, err
	}
	hr, err := g.encode(req, body, req.Length)
	if err != nil {
		return nil, err
	}
	c, err := g.pool.get(ctx)
	if err != nil {
		return nil, err
	}
	x := &exchange{g: g, ctx: ctx, req: req, c: c, hr: hr, cancel: cancel, uploaded: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	return x.run()
}

// prepareBody reads a small body whole; its failure precedes the first byte.
func prepareBody(ctx context.Context, req *core.Request) (io.Reader, error) {
	if req.Length < 0 || req.Length > copySize {
		return req.Body, nil
	}
	buf, err := core.ReadWhole(ctx, req.Body, req.Length)
	return bytes.NewReader(buf), err
}

func (x *exchange) run() (*core.Response, error) {
	if err := x.permit(); err != nil {
		x.end(true)
		return nil, err
	}
	if err := x.send(); err != nil {
		x.end(x.c.written.Load() == 0 && x.ctx.Err() == nil)
		return nil, err
	}
	x.c.headLeft = x.g.cfg.MaxHeaderBytes
	hresp, err := x.readHead()
	x.c.headLeft = -1
	if err != nil {
		if x.c.rested > 0 && errors.Is(err, syscall.ECONNRESET) {
			x.g.pool.forgotten(x.c)
		}
		return nil, x.abandon(err)
	}
	if x.ctx.Err() != nil {
		x.g.counts.late.Add(1)
		return nil, x.abandon(x.ctx.Err())
	}
	return x.response(hresp), nil
}

// permit asks for the right to send. Nothing has been written yet.
func (x *exchange) permit() error {
	if x.ctx.Err() != nil {
		return core.EndedNotRun(x.ctx)
	}
	var p Permit
	if ask := x.g.cfg.Permit; ask != nil {
		var err error
		if p, err = ask(x.req); err != nil {
			return err
		}
		if p.LeaseLeft <= 0 {
			return core.Fail(core.CodeLeaseExpired, "lease ended before the request was sent")
		}
	}
	x.g.cfg.Dialect.AddSendTimeFields(x.hr.Header, x.req, p)
	return nil
}

// send writes a small request on this goroutine, and hands a large one to the
// pool of uploads.
func (x *exchange) send() error {
	if x.req.Length >= 0 && x.req.Length <= copySize {
		x.write()
		if x.c.written.Load() > 0 {
			return nil // the answer tells, even when the write broke off
		}
		return x.unsent(<-x.uploaded)
	}
	x.hr.Body = io.NopCloser(&sourceReader{x: x, src: x.req.Body})
	if err := x.g.uploads.Submit(x.write); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "too many uploads")
	}
	return nil
}

func (x *exchange) unsent(err error) error {
	switch {
	case x.ctx.Err() != nil:
		return core.EndedNotRun(x.ctx)
	case err != nil:
		return core.Wrap(core.CodeBackendDown, err, "send to backend server")
	default:
		return core.Fail(core.CodeInternal, "request without bytes")
	}
}

// write encodes the request onto the connection. net/http writes no final
// chunk when the body fails, so a cut body stays visibly incomplete.
func (x *exchange) write() {
	x.c.bw.Reset(x.c)
	err := x.hr.Write(x.c.bw)
	if err == nil {
		err = x.c.bw.Flush()
	}
	if x.c.written.Load() > 0 {
		x.g.counts.sent.Add(1)
	}
	if x.bodyErr.Load() != nil {
		// The server must see the request break off now, not at a timeout.
		_ = x.c.Close()
	}
	x.uploaded <- err
}

// sourceReader records the failure of the request body, to tell a caller that
// went away from a backend server that did.
type sourceReader struct {
	x   *exchange
	src io.Reader
}

func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.src.Read(p)
	if err != nil && err != io.EOF {
		s.x.bodyErr.Store(core.Wrap(core.CodeAborted, err, "request body cut"))
	}
	return n, err
}

// readHead reads the final response head and skips interim ones.
func (x *exchange) readHead() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(x.c.br, x.hr)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			if x.g.cfg.Dialect.IsResponseTo(x.req, resp.StatusCode, resp.Header) {
				return resp, nil
			}
			if err := x.skip(resp); err != nil {
				return nil, err
			}
			continue
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, core.Fail(core.CodeUnknown, "backend server switched protocols")
		}
	}
}

// skip drops a late response to an earlier request of the connection.
func (x *exchange) skip(resp *http.Response) error {
	x.g.counts.late.Add(1)
	x.c.headLeft = -1
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkipped+1))
	switch {
	case err != nil:
		return err
	case n > maxSkipped || resp.Close:
		return &StrayResponseError{}
	}
	x.c.headLeft = x.g.cfg.MaxHeaderBytes
	return nil
}

// abandon ends the exchange without a response.
func (x *exchange) abandon(cause error) error {
	_ = x.c.Close()
	defer x.end(false)
	if err := x.neverSent(); err != nil {
		return err
	}
	x.g.counts.abandoned.Add(1)
	if e := x.bodyErr.Load(); e != nil {
		return e
	}
	switch x.ctx.Err() {
	case context.DeadlineExceeded:
		return core.Wrap(core.CodeUnknown, cause, "deadline passed while the request ran")
	case context.Canceled:
		return core.Wrap(core.CodeUnknown, cause, "caller went away while the request ran")
	}
	return core.Wrap(core.CodeUnknown, cause, "no answer from backend server")
}

// neverSent returns the failure of a request of which no byte was written, or
// nil when one may have been. The connection is closed, so a write that has not
// begun cannot succeed any more.
func (x *exchange) neverSent() error {
	if !x.c.begun.Load() {
		return x.unsent(net.ErrClosed)
	}
	select {
	case err := <-x.uploaded:
		if x.c.written.Load() == 0 {
			return x.unsent(err)
		}
	default:
	}
	return nil
}

// end detaches the connection from the context and gives it back.
func (x *exchange) end(clean bool) {
	// A context that has ended may be about to set the deadline.
	clean = x.stop() && clean
	x.cancel()
	x.g.pool.put(x.c, clean)
}
