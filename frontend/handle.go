package frontend

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"marjoramshore.example/core"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	f     *Frontend
	rc    *app.RequestContext
	conn  *conn
	req   *core.Request
	body  *core.Body // nil when the request has none
	watch *watch
	out   *answer
	// framed is set once the end of the request is known for certain.
	framed bool
}

// handle serves one request. hertz calls it on the connection's goroutine.
func (f *Frontend) handle(ctx context.Context, rc *app.RequestContext) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		rc.SetStatusCode(500)
		return
	}
	f.counts.exchanges.Add(1)
	c.busy.Store(true) // a pipelined request may have been read earlier
	x := &exchange{f: f, rc: rc, conn: c}
	x.out = newAnswer(x)
	defer f.running.Add(-1)
	n := f.running.Add(1)
	req, err := f.cfg.Dialect.ParseHead(readHead(&rc.Request.Header), time.Now())
	x.req = req
	if ferr := x.framing(); err == nil {
		err = ferr
	}
	switch {
	case err != nil:
	case f.draining.Load():
		err = core.Fail(core.CodeDraining, "node is shutting down")
	case n > int64(f.cfg.MaxExchanges):
		f.counts.refused.Add(1)
		err = core.Fail(core.CodeOverloaded, "too many exchanges")
	}
	if err != nil {
		x.fail(err)
	} else {
		x.serve(ctx)
	}
	x.finish()
}

// serve runs the exchange through the later stages.
func (x *exchange) serve(ctx context.Context) {
	ctx, cancel := withDeadline(ctx, x.req.Deadline)
	defer cancel()
	if x.conn.callerLeft() {
		x.dropLate(nil)
		return
	}
	x.watch = newWatch(x.rc.GetConn(), cancel)
	x.attachBody()
	resp, err := x.f.cfg.Handler.Serve(ctx, x.req)
	if x.watch.gone.Load() {
		x.dropLate(resp)
		return
	}
	if err != nil {
		x.fail(err)
		return
	}
	x.out.relay(resp)
}

// dropLate discards the answer to a caller that went away.
func (x *exchange) dropLate(resp *core.Response) {
	x.f.counts.gone.Add(1)
	if resp != nil {
		x.f.counts.late.Add(1)
		_ = resp.Body.Close()
	}
	x.out.broken = true
}

func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

// attachBody sets up the request body, or the watch at once without one.
func (x *exchange) attachBody() {
	if x.req.Length == 0 {
		x.f.startWatch(x.watch)
		return
	}
	up := &upload{
		src: x.rc.RequestBodyStream(), conn: x.rc.GetConn(), cfg: &x.f.cfg,
		left: x.req.Length, onEnd: func() { x.f.startWatch(x.watch) },
	}
	x.body = core.NewBody(up, up.interrupt)
	x.req.Body = x.body
}

// fail answers without a backend server.
func (x *exchange) fail(err error) {
	e := core.AsError(err)
	if e.Code.Outcome() == core.OutcomeBadRequest {
		x.f.counts.bad.Add(1)
	}
	r := x.f.cfg.Dialect.EncodeFailure(x.req, e)
	x.out.fields = r.Fields
	x.out.write(r.Status, int64(len(r.Body)), bytes.NewReader(r.Body))
}

// finish leaves the connection to hertz with nothing reading it.
func (x *exchange) finish() {
	if x.body != nil {
		_ = x.body.Close()
	}
	if x.watch != nil {
		x.watch.stop()
	}
	switch {
	case x.out.broken:
		x.conn.reset()
	case x.pendingBody():
		x.linger()
	default:
		x.conn.busy.Store(x.rc.GetConn().Len() > 0) // a further request may be here
		if x.f.draining.Load() {
			_ = x.conn.Close()
		}
	}
}

// prefetched is the size up to which hertz has read a body of known length
// before it calls the handler.
const prefetched = 8 << 10

// pendingBody reports whether bytes of the request are still to come. A small
// body never is, so that a refusal costs no connection.
func (x *exchange) pendingBody() bool {
	length := bodyLength(&x.rc.Request.Header)
	switch {
	case !x.framed:
		return true
	case length >= 0 && length <= prefetched:
		return false
	default:
		return x.body == nil || !x.body.ReachedEOF()
	}
}

// Bounds of the wait for a caller that is still sending when its answer is
// complete. Closing at once would reset the connection, and the caller could
// lose the answer.
const (
	lingerTime  = time.Second
	lingerBytes = 256 << 10
)

func (x *exchange) linger() {
	nc := x.rc.GetConn()
	if x.f.cfg.TLS == nil {
		x.conn.closeWrite()
	}
	_ = nc.SetReadDeadline(time.Now().Add(lingerTime))
	buf := make([]byte, 8<<10)
	for left := lingerBytes; left > 0; {
		n, err := nc.Read(buf)
		if err != nil {
			break
		}
		left -= n
	}
	_ = x.conn.Close()
}
