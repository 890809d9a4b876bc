package transport

import (
	"context"
	"errors"
	"io"
	"sync/atomic"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// answerStream is the receiving side of an exchange.
type answerStream interface {
	Receive() (*peerv1.ExchangeFrame, error)
	Close() error
}

// outgoing is one exchange with a peer.
type outgoing struct {
	c      *Client
	ctx    context.Context // of the caller, up to the deadline
	cancel context.CancelFunc
	stream answerStream
	a      *attempt
	method string
	// bodyErr holds the failure to read the request body, if any.
	bodyErr atomic.Pointer[core.Error]
}

// Exchange sends req to the peer at addr. The error is a *core.Error; one of
// the far side arrives with its own code.
func (c *Client) Exchange(ctx context.Context, addr string, req *core.Request) (*core.Response, error) {
	c.counts.exchanges.Add(1)
	head := &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Request{Request: encodeRequest(req)}}
	whole := req.Length >= 0 && req.Length <= frameSize
	sctx, cancel := withDeadline(ctx, req.Deadline)
	if whole {
		var err error
		if head.Data, err = core.ReadFullBody(sctx, req.Body, req.Length); err != nil {
			cancel()
			return nil, err
		}
	}
	x := &outgoing{c: c, ctx: sctx, cancel: cancel, a: &attempt{addr: addr}, method: req.Method}
	resp, err := x.run(head, req.Body, whole)
	if err != nil {
		x.abort()
		return nil, err
	}
	return resp, nil
}

func (x *outgoing) run(head *peerv1.ExchangeFrame, body io.Reader, whole bool) (*core.Response, error) {
	ctx := context.WithValue(x.ctx, attemptKey{}, x.a)
	send := x.sendStream
	if whole {
		send = x.sendWhole
	}
	if err := send(ctx, head, body); err != nil {
		return nil, err
	}
	return x.receive()
}

// sendWhole sends a request that fits in one frame.
func (x *outgoing) sendWhole(ctx context.Context, head *peerv1.ExchangeFrame, _ io.Reader) error {
	head.End = true
	stream, err := x.c.rpc.ExchangeWhole(ctx, connect.NewRequest(head))
	if err != nil {
		return x.failure(err)
	}
	x.stream = &wholeStream{s: stream}
	return nil
}

// sendStream opens a stream and hands the body to the pool of uploads.
func (x *outgoing) sendStream(ctx context.Context, head *peerv1.ExchangeFrame, body io.Reader) error {
	stream := x.c.rpc.Exchange(ctx)
	x.stream = bidiStream{stream}
	if err := x.c.uploads.Submit(func() { x.upload(stream, head, body) }); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "too many uploads")
	}
	return nil
}

// wholeStream adapts a server stream.
type wholeStream struct {
	s *connect.ServerStreamForClient[peerv1.ExchangeFrame]
}

func (w *wholeStream) Receive() (*peerv1.ExchangeFrame, error) {
	if w.s.Receive() {
		return w.s.Msg(), nil
	}
	if err := w.s.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

func (w *wholeStream) Close() error { return w.s.Close() }

type clientStream = connect.BidiStreamForClient[peerv1.ExchangeFrame, peerv1.ExchangeFrame]

// bidiStream adapts a stream with an upload.
type bidiStream struct{ *clientStream }

func (b bidiStream) Close() error { return b.CloseResponse() }

// upload sends the body. A body that breaks off resets the stream, which the
// peer sees as a cut.
func (x *outgoing) upload(stream *clientStream, head *peerv1.ExchangeFrame, body io.Reader) {
	err := sendBody(head, body, stream.Send)
	if err == nil {
		_ = stream.CloseRequest()
		return
	}
	var broken *sendError
	if errors.As(err, &broken) {
		return // the receiving side reports why
	}
	x.bodyErr.Store(core.AsError(err))
	x.cancel()
}

func (x *outgoing) receive() (*core.Response, error) {
	f, err := x.stream.Receive()
	if err != nil {
		return nil, x.failure(err)
	}
	if fail := f.GetFailure(); fail != nil {
		return nil, decodeFailure(fail)
	}
	h := f.GetResponse()
	if h == nil {
		return nil, core.Fail(core.CodeUnknown, "peer answered without a head")
	}
	resp, err := decodeResponse(h)
	if err != nil {
		return nil, err
	}
	length := resp.Length
	if bodyless(x.method, resp.Status) {
		length = core.UnknownLength // the head announces a length that it does not carry
	}
	resp.Body = &incoming{x: x, src: newFrameReader(f, length, x.stream.Receive)}
	return resp, nil
}

func (x *outgoing) failure(err error) *core.Error {
	if e := x.bodyErr.Load(); e != nil {
		return e
	}
	if err == io.EOF {
		err = &CutError{Why: "no head"}
	}
	return classify(x.ctx, x.a, err)
}

// abort resets the stream, so that the peer gives up as well.
func (x *outgoing) abort() {
	x.c.counts.abandoned.Add(1)
	x.cancel()
	if x.stream != nil {
		_ = x.stream.Close()
	}
}

// incoming is the body of a peer's answer.
type incoming struct {
	x      *outgoing
	src    *frameReader
	whole  bool
	closed atomic.Bool
}

// Read implements io.Reader. Any end other than the end frame is a failure.
func (b *incoming) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, core.ClosedBodyError{}
	}
	n, err := b.src.Read(p)
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil:
		err = core.Wrap(core.CodeAborted, err, "answer of peer cut")
	}
	return n, err
}

// Close implements io.Closer.
func (b *incoming) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.whole {
		b.x.abort()
		return nil
	}
	b.x.cancel()
	_ = b.x.stream.Close()
	return nil
}
