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

type clientStream = connect.BidiStreamForClient[peerv1.ExchangeFrame, peerv1.ExchangeFrame]

// outgoing is one exchange with a peer.
type outgoing struct {
	c      *Client
	ctx    context.Context // of the caller
	cancel context.CancelFunc
	stream *clientStream
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
	small := req.Length >= 0 && req.Length <= frameSize
	if small && req.Length > 0 {
		head.Data = make([]byte, req.Length)
		if _, err := io.ReadFull(req.Body, head.Data); err != nil {
			return nil, core.Wrap(core.CodeCanceledNotRun, err, "request body cut before it was sent")
		}
	}
	sctx, cancel := withDeadline(ctx, req.Deadline)
	x := &outgoing{c: c, ctx: sctx, cancel: cancel, a: &attempt{addr: addr}, method: req.Method}
	x.stream = c.rpc.Exchange(context.WithValue(sctx, attemptKey{}, x.a))
	if err := x.send(head, req.Body, small); err != nil {
		x.abort()
		return nil, err
	}
	resp, err := x.receive()
	if err != nil {
		x.abort()
		return nil, err
	}
	return resp, nil
}

// send writes a small request here and hands a large body to the pool.
func (x *outgoing) send(head *peerv1.ExchangeFrame, body io.Reader, small bool) error {
	if small {
		// A failure to send shows as the failure to receive.
		head.End = true
		_ = x.stream.Send(head)
		_ = x.stream.CloseRequest()
		return nil
	}
	err := x.c.uploads.Submit(func() { x.upload(head, body) })
	if err != nil {
		return core.Wrap(core.CodeOverloaded, err, "too many uploads")
	}
	return nil
}

// upload sends the body. A body that breaks off resets the stream, which the
// peer sees as a cut.
func (x *outgoing) upload(head *peerv1.ExchangeFrame, body io.Reader) {
	err := sendBody(head, body, x.stream.Send)
	if err == nil {
		_ = x.stream.CloseRequest()
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
	_ = x.stream.CloseResponse()
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
	_ = b.x.stream.CloseResponse()
	return nil
}
