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

// responseStream is the receiving half of a client's exchange. Receive returns
// io.EOF at the end of the stream.
type responseStream interface {
	Receive() (*peerv1.ExchangeFrame, error)
	Close() error
}

// clientExchange is the client's side of one exchange.
type clientExchange struct {
	client *Client
	ctx    context.Context // the caller's, with the deadline of the request
	cancel context.CancelFunc
	stream responseStream
	call   *peerCall
	method string // HTTP method of the request
	// requestBodyErr is set when the request body could not be read.
	requestBodyErr atomic.Pointer[core.Error]
}

// Exchange sends req to the peer at addr. The caller must close the body of the
// response, which ends the exchange. The error is a *core.Error; one that the
// peer returned arrives with its own code.
func (c *Client) Exchange(ctx context.Context, addr string, req *core.Request) (*core.Response, error) {
	c.counters.exchanges.Add(1)
	head := &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Request{Request: encodeRequest(req)}}
	singleFrame := req.Length >= 0 && req.Length <= maxFrameBytes
	exchangeCtx, cancel := withDeadline(ctx, req.Deadline)
	if singleFrame {
		var err error
		if head.Data, err = core.ReadFullBody(exchangeCtx, req.Body, req.Length); err != nil {
			cancel()
			return nil, err
		}
	}
	exchange := &clientExchange{client: c, ctx: exchangeCtx, cancel: cancel, call: &peerCall{addr: addr}, method: req.Method}
	resp, err := exchange.start(head, req.Body, singleFrame)
	if err != nil {
		exchange.abandon()
		return nil, err
	}
	return resp, nil
}

// start sends the request and waits for the head of the response.
func (x *clientExchange) start(head *peerv1.ExchangeFrame, body io.Reader, singleFrame bool) (*core.Response, error) {
	ctx := context.WithValue(x.ctx, peerCallKey{}, x.call)
	send := x.sendStreaming
	if singleFrame {
		send = x.sendSingleFrame
	}
	if err := send(ctx, head, body); err != nil {
		return nil, err
	}
	return x.receiveResponse()
}

// sendSingleFrame sends a request whose body fits in the head frame and has
// been read into it already.
func (x *clientExchange) sendSingleFrame(ctx context.Context, head *peerv1.ExchangeFrame, _ io.Reader) error {
	head.End = true
	stream, err := x.client.rpc.ExchangeWhole(ctx, connect.NewRequest(head))
	if err != nil {
		return x.toCoreError(err)
	}
	x.stream = &singleFrameStream{stream: stream}
	return nil
}

// sendStreaming opens a bidirectional stream and sends the body in the upload
// pool.
func (x *clientExchange) sendStreaming(ctx context.Context, head *peerv1.ExchangeFrame, body io.Reader) error {
	stream := x.client.rpc.Exchange(ctx)
	x.stream = uploadStream{stream}
	if err := x.client.uploads.Submit(func() { x.uploadBody(stream, head, body) }); err != nil {
		return core.Wrap(core.CodeOverloaded, err, "limit of concurrent uploads reached")
	}
	return nil
}

// singleFrameStream is the responseStream of a request sent as a single frame.
type singleFrameStream struct {
	stream *connect.ServerStreamForClient[peerv1.ExchangeFrame]
}

func (s *singleFrameStream) Receive() (*peerv1.ExchangeFrame, error) {
	if s.stream.Receive() {
		return s.stream.Msg(), nil
	}
	if err := s.stream.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

func (s *singleFrameStream) Close() error { return s.stream.Close() }

type clientStream = connect.BidiStreamForClient[peerv1.ExchangeFrame, peerv1.ExchangeFrame]

// uploadStream is the responseStream of a request whose body is streamed.
type uploadStream struct{ *clientStream }

func (s uploadStream) Close() error { return s.CloseResponse() }

// uploadBody sends the head and the body. If the body cannot be read to its
// end, it resets the stream, so that the peer sees a truncated request.
func (x *clientExchange) uploadBody(stream *clientStream, head *peerv1.ExchangeFrame, body io.Reader) {
	err := sendFrames(head, body, stream.Send)
	if err == nil {
		_ = stream.CloseRequest()
		return
	}
	var sendErr *frameSendError
	if errors.As(err, &sendErr) {
		return // the receiving half gets the cause
	}
	x.requestBodyErr.Store(core.AsError(err))
	x.cancel()
}

// receiveResponse waits for the head of the response. The frames after it are
// read through the body.
func (x *clientExchange) receiveResponse() (*core.Response, error) {
	frame, err := x.stream.Receive()
	if err != nil {
		return nil, x.toCoreError(err)
	}
	if failure := frame.GetFailure(); failure != nil {
		return nil, decodeFailure(failure)
	}
	head := frame.GetResponse()
	if head == nil {
		return nil, core.Fail(core.CodeUnknown, "first frame of the peer holds no response head")
	}
	resp, err := decodeResponse(head)
	if err != nil {
		return nil, err
	}
	length := resp.Length
	if hasNoBody(x.method, resp.Status) {
		length = core.UnknownLength // the announced length is that of a body not sent
	}
	resp.Body = &responseBody{exchange: x, frames: newFrameReader(frame, length, x.stream.Receive)}
	return resp, nil
}

// toCoreError converts a failure to send the request or to receive the response
// head. A request body that could not be read takes precedence: it caused the
// reset.
func (x *clientExchange) toCoreError(err error) *core.Error {
	if e := x.requestBodyErr.Load(); e != nil {
		return e
	}
	if err == io.EOF {
		err = &TruncatedError{Reason: "ended without a response head"}
	}
	return classifyError(x.ctx, x.call, err)
}

// abandon resets the stream, which also cancels the exchange at the peer.
func (x *clientExchange) abandon() {
	x.client.counters.abandoned.Add(1)
	x.cancel()
	if x.stream != nil {
		_ = x.stream.Close()
	}
}

// responseBody is the body of a peer's response. Closing it before its end
// abandons the exchange.
type responseBody struct {
	exchange *clientExchange
	frames   *frameReader
	complete bool
	closed   atomic.Bool
}

// Read implements io.Reader. It returns io.EOF only after the end frame, and
// core.CodeAborted if the stream ends otherwise.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, core.ClosedBodyError{}
	}
	n, err := b.frames.Read(p)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		err = core.Wrap(core.CodeAborted, err, "response body from the peer truncated")
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.complete {
		b.exchange.abandon()
		return nil
	}
	b.exchange.cancel()
	_ = b.exchange.stream.Close()
	return nil
}
