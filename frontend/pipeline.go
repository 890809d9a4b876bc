package frontend

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"marjoramshore.example/core"
	"marjoramshore.example/quota"
)

const (
	// maxAhead bounds the requests of a connection that are served ahead of their
	// turn. Further ones are not read.
	maxAhead = 16
	// maxAheadBytes bounds the bodies of answers that wait for their turn on one
	// connection, beyond which no further request is read.
	maxAheadBytes = 1 << 20
	// aheadReserve is the room that is taken for the answer to a request before it
	// is served ahead of its turn. An answer up to that size is read and kept as soon
	// as it comes, whatever else the process holds.
	aheadReserve = 256 << 10
	// maxAheadRun bounds the requests that are read ahead one after the other.
	// hertz then reads the next one, and releases the buffers of all of them.
	maxAheadRun = 256
)

// pipeline serves the requests that a caller sends on a connection before the
// answer to an earlier one. They are served side by side, and their answers leave
// in the order of the requests. hertz reads the first request; the watch of its
// caller reads the others, as long as they have no body and may run ahead of their
// turn. All others are left on the connection until the earlier ones are answered.
type pipeline struct {
	frontend *Frontend
	first    *exchange
	// cancelFirst ends the first request.
	cancelFirst context.CancelFunc
	// watch reads the connection while an exchange is served. The connection's
	// goroutine starts and stops it.
	watch *disconnectWatch
	// inTurn is set once the next request must wait for its turn, and readCount
	// counts the requests that were read ahead. The goroutine that reads the
	// connection owns both.
	inTurn    bool
	readCount int
	// unkept is set once an answer could not be kept until its turn.
	unkept atomic.Bool
	// ahead is nil until the first request is read ahead.
	ahead atomic.Pointer[aheadRequests]
	// waiting counts the requests that were read ahead and are not answered, and
	// waitingBytes the bodies of their answers.
	waiting, waitingBytes atomic.Int64
}

// aheadRequests passes the requests that were read ahead from the watch to the
// connection's goroutine, in their order. Its ring has room for all that may wait.
type aheadRequests struct {
	ring chan *aheadExchange
	// ctx is the context of all of them. It ends when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
}

// aheadExchange is a request that was read ahead. done is closed once resp or err
// is set.
type aheadExchange struct {
	*exchange
	ctx    context.Context
	cancel context.CancelFunc // set once the request is served
	resp   *core.Response
	err    error
	done   chan struct{}
	// held is what is held of the answer until it is sent, and heldBytes the part of
	// it that counts against maxAheadBytes.
	held      *quota.Holding
	heldBytes int64
	// servedCtx ends with the deadline of the request. The body of an answer that is
	// not kept ends with it.
	servedCtx context.Context
	kept      bool
}

// init makes p ready to serve what follows the first request. cancelFirst ends
// that one.
func (p *pipeline) init(f *Frontend, first *exchange, cancelFirst context.CancelFunc) {
	p.frontend, p.first, p.cancelFirst = f, first, cancelFirst
	p.watch = newDisconnectWatch(p)
}

// cancelAll ends all requests, because the caller has left.
func (p *pipeline) cancelAll() {
	p.cancelFirst()
	p.cancelAhead()
}

// cancelAhead ends the requests that were read ahead.
func (p *pipeline) cancelAhead() {
	if a := p.ahead.Load(); a != nil {
		a.cancel()
	}
}

// readAhead reads one request from the connection, if it may run ahead of its
// turn, and starts to serve it. It runs on the goroutine of the watch.
func (p *pipeline) readAhead() aheadResult {
	if p.frontend.cfg.MayRunAhead == nil || !p.mayReadAhead() {
		return leaveAhead
	}
	p.inTurn = true // unless the request turns out to be one that may run ahead
	conn := p.first.rc.GetConn()
	head, result := peekHead(conn, p.frontend.cfg.MaxHeaderBytes)
	if result != watchAhead {
		p.inTurn = result == leaveAhead && head != nil
		return result
	}
	var h protocol.RequestHeader
	if req.ReadHeaderWithLimit(&h, &byteReader{data: head}, p.frontend.cfg.MaxHeaderBytes) != nil {
		return leaveAhead
	}
	x := p.newExchange(&h)
	if x == nil {
		return leaveAhead
	}
	if conn.Skip(len(head)) != nil {
		return closedAhead
	}
	p.inTurn = false
	p.start(x)
	return watchAhead
}

// mayReadAhead reports whether the limits of the connection allow another request
// to be read. A node that stops reads no more.
func (p *pipeline) mayReadAhead() bool {
	first := &p.first.rc.Request.Header
	return first.IsHTTP11() && !first.ConnectionClose() && p.waiting.Load() < maxAhead && p.waitingBytes.Load() < maxAheadBytes && p.readCount < maxAheadRun && !p.unkept.Load() && !p.frontend.draining.Load()
}

// newExchange returns the exchange of a request that may run ahead of its turn, with
// room for its answer, or nil.
func (p *pipeline) newExchange(h *protocol.RequestHeader) *aheadExchange {
	f := p.frontend
	if !h.IsHTTP11() || h.ConnectionClose() || !h.IsGet() && !h.IsHead() || announcedLength(h) != 0 {
		return nil
	}
	x := &exchange{frontend: f, rc: p.first.rc, conn: p.first.conn, started: time.Now(), isHTTP11: true, isHead: h.IsHead(), framingValid: true, leader: p.first}
	head := copyHead(h)
	if checkHead(head, h) != nil {
		return nil
	}
	var err error
	if x.req, err = f.cfg.Dialect.ParseHead(head, x.started); err != nil || !f.cfg.MayRunAhead(x.req) {
		return nil
	}
	x.response = &responseWriter{exchange: x}
	held := f.cfg.Quota.Open(x.conn.reset)
	held.Complete() // the answers before it are waited for
	if !held.TakeSpare(aheadReserve) {
		held.Close()
		return nil
	}
	return &aheadExchange{exchange: x, held: held, done: make(chan struct{})}
}

// start begins to serve a request. Without a free goroutine it is refused as not
// run.
func (p *pipeline) start(x *aheadExchange) {
	f := p.frontend
	f.counts.exchanges.Add(1)
	f.counts.ahead.Add(1)
	inFlight := f.inFlight.Add(1)
	a := p.ahead.Load()
	if a == nil {
		a = &aheadRequests{ring: make(chan *aheadExchange, maxAhead)}
		a.ctx, a.cancel = context.WithCancel(context.Background())
		p.ahead.Store(a)
	}
	x.ctx = a.ctx
	p.readCount++
	p.waiting.Add(1)
	defer func() { a.ring <- x }() // has room, since at most maxAhead wait
	if inFlight > int64(f.cfg.MaxExchanges) {
		f.counts.refused.Add(1)
		x.err = core.Fail(core.CodeOverloaded, "too many concurrent requests")
		close(x.done)
		return
	}
	if f.aheadPool.Submit(func() { p.serve(x) }) != nil {
		x.err = core.Fail(core.CodeOverloaded, "no goroutine is free for a pipelined request")
		close(x.done)
	}
}

// serve passes a request to the Handler, and keeps its answer if there is room. The
// context of the request lives until its answer has been sent, since the body of one
// that is not kept is read only then.
func (p *pipeline) serve(x *aheadExchange) {
	defer close(x.done)
	x.servedCtx, x.cancel = withDeadline(x.ctx, x.req.Deadline)
	x.resp, x.err = p.frontend.cfg.Handler.Serve(x.servedCtx, x.req)
	if x.resp != nil {
		x.err = p.keepAnswer(x)
	}
	x.held.Release(aheadReserve - min(aheadReserve, x.heldBytes))
	p.waitingBytes.Add(x.heldBytes)
}

// keepAnswer reads the answer to its end, so that the connection on which it comes is
// free again, and no deadline ends it before its turn. If it is too large for the room
// that is left, its body stays open until then.
func (p *pipeline) keepAnswer(x *aheadExchange) error {
	length := x.resp.Length
	switch {
	case x.isHead: // has no body, whatever the length says
		x.kept = true
		return nil
	case length < 0:
		return p.keepUnmeasured(x)
	case length > maxAheadBytes, length > aheadReserve && !x.held.TakeSpare(length-aheadReserve):
		x.heldBytes = maxCopyBufferBytes // the buffers of its connection
		p.unkept.Store(true)
		return nil
	}
	x.heldBytes, x.kept = length, true
	return x.resp.ReadAll()
}

// keepUnmeasured reads an answer of unknown length up to the reserve.
func (p *pipeline) keepUnmeasured(x *aheadExchange) error {
	body := x.resp.Body
	var buf bytes.Buffer
	_, err := buf.ReadFrom(io.LimitReader(body, aheadReserve))
	x.heldBytes = int64(buf.Len())
	if err != nil {
		_ = body.Close()
		return core.Wrap(core.CodeUnknown, err, "the answer was cut off")
	}
	if buf.Len() < aheadReserve {
		x.kept, x.resp.Body = true, io.NopCloser(&buf)
		return body.Close()
	}
	x.resp.Body = prefixedBody{io.MultiReader(&buf, body), body}
	p.unkept.Store(true)
	return nil
}

// prefixedBody is a body of which a part has been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// next takes the request whose turn it is, or returns nil if none was read ahead.
func (p *pipeline) next() *aheadExchange {
	a := p.ahead.Load()
	if a == nil {
		return nil
	}
	select {
	case x := <-a.ring:
		return x
	default:
		return nil
	}
}

// endTurn ends the turn of a request.
func (p *pipeline) endTurn(x *aheadExchange) {
	p.waiting.Add(-1)
	x.held.Close()
	p.waitingBytes.Add(-x.heldBytes)
	if x.cancel != nil {
		x.cancel()
	}
	p.frontend.inFlight.Add(-1)
}

// answerWaiting answers the requests that were read ahead, each when its turn
// comes. When it returns nothing else reads the connection.
func (p *pipeline) answerWaiting() {
	defer p.cancelAhead()
	if p.first.response.truncated {
		p.cancelAhead()
	}
	for {
		x := p.next()
		if x == nil {
			// The watch may have read a request until it stopped.
			p.watch.stop()
			if x = p.next(); x == nil {
				return
			}
		}
		p.resumeWatch()
		<-x.done
		p.answer(x)
		p.endTurn(x)
	}
}

// resumeWatch starts the watch anew if it has ended at a limit that holds no more.
func (p *pipeline) resumeWatch() {
	if p.watch.disconnected.Load() || p.first.response.truncated {
		return
	}
	select {
	case <-p.watch.done:
	default:
		if p.watch.started.Load() {
			return
		}
	}
	if !p.inTurn && p.mayReadAhead() {
		p.watch = newDisconnectWatch(p)
		p.frontend.startWatch(p.watch)
	}
}

// answer sends the answer to a request, unless an earlier one broke off or the
// caller has left.
func (p *pipeline) answer(x *aheadExchange) {
	switch {
	case p.first.response.truncated:
		if x.resp != nil {
			_ = x.resp.Body.Close()
		}
	case p.watch.disconnected.Load():
		x.dropResponse(x.resp, WhileServed)
	case x.err != nil:
		x.respondWithFailure(x.err)
	case !x.kept && x.servedCtx.Err() != nil:
		// Its body can't be read to the end any more; the answers behind it can
		// still be sent.
		_ = x.resp.Body.Close()
		x.respondWithFailure(core.Fail(core.CodeDeadline, "deadline passed before the turn of a large answer"))
	default:
		x.response.holding = x.held
		x.response.writeBackendResponse(x.resp)
	}
	if x.response.truncated {
		p.first.response.truncated = true // hertz then closes the connection
		p.cancelAhead()
	}
}

// endPipeline ends the reading ahead, and reports whether no request waits behind
// x. Only then may the answer to x close the connection: what was read ahead has
// been passed on.
func (x *exchange) endPipeline() bool {
	first := x
	if x.leader != nil {
		first = x.leader
	}
	p := &first.pipeline
	if p.watch == nil {
		return true
	}
	p.watch.stop()
	if x.leader != nil {
		return p.waiting.Load() == 1 // x itself
	}
	return p.waiting.Load() == 0
}

// peekHead waits for the head of the next request and returns it without taking
// it from the connection. The head is nil if the wait was ended, and empty if it is
// too large.
func peekHead(conn network.Conn, maxBytes int) ([]byte, aheadResult) {
	for n := conn.Len(); ; n = max(n+1, conn.Len()) {
		if n > maxBytes {
			return []byte{}, leaveAhead
		}
		data, err := conn.Peek(n)
		switch {
		case isTimeout(err):
			return nil, leaveAhead
		case err != nil:
			return nil, closedAhead
		}
		if end := bytes.Index(data, headEnd); end >= 0 {
			return data[:end+len(headEnd)], watchAhead
		}
	}
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// byteReader is a network.Reader of bytes that have arrived.
type byteReader struct{ data []byte }

var _ network.Reader = (*byteReader)(nil)

// Peek implements network.Reader.
func (r *byteReader) Peek(n int) ([]byte, error) {
	if n > len(r.data) {
		return r.data, io.ErrUnexpectedEOF
	}
	return r.data[:n], nil
}

// Skip implements network.Reader.
func (r *byteReader) Skip(n int) error {
	_, err := r.ReadBinary(n)
	return err
}

// Release implements network.Reader.
func (r *byteReader) Release() error { return nil }

// Len implements network.Reader.
func (r *byteReader) Len() int { return len(r.data) }

// ReadByte implements network.Reader.
func (r *byteReader) ReadByte() (byte, error) {
	b, err := r.ReadBinary(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// ReadBinary implements network.Reader.
func (r *byteReader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err == nil {
		r.data = r.data[n:]
	}
	return b, err
}
