package transport

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// bodyCloserKey finds the HTTP request body, whose Close ends a blocked read.
type bodyCloserKey struct{}

type serverStream = connect.BidiStream[peerv1.ExchangeFrame, peerv1.ExchangeFrame]

// peerHandler implements the generated service.
type peerHandler struct{ s *Server }

// Exchange implements peerv1connect.PeerHandler. An error ends the stream with
// error trailers, which the far side reads as a cut.
func (h *peerHandler) Exchange(ctx context.Context, stream *serverStream) error {
	head, err := stream.Receive()
	if err != nil {
		return err
	}
	return h.exchange(ctx, head, stream.Receive, stream.Send)
}

// ExchangeWhole implements peerv1connect.PeerHandler.
func (h *peerHandler) ExchangeWhole(ctx context.Context, req *connect.Request[peerv1.ExchangeFrame], stream *connect.ServerStream[peerv1.ExchangeFrame]) error {
	return h.exchange(ctx, req.Msg, func() (*peerv1.ExchangeFrame, error) { return nil, io.EOF }, stream.Send)
}

// exchange serves one exchange whose first frame is head.
func (h *peerHandler) exchange(ctx context.Context, head *peerv1.ExchangeFrame, receive receiveFunc, send sendFunc) error {
	h.s.counts.exchanges.Add(1)
	defer h.s.running.Add(-1)
	if h.s.running.Add(1) > int64(h.s.cfg.MaxExchanges) {
		h.s.counts.refused.Add(1)
		return refuse(send, core.Fail(core.CodeOverloaded, "too many exchanges"))
	}
	rh := head.GetRequest()
	if rh == nil {
		return refuse(send, core.Fail(core.CodeInvalid, "exchange without a request head"))
	}
	req, err := decodeRequest(rh)
	if err != nil {
		return refuse(send, err)
	}
	body := core.NewBody(newFrameReader(head, req.Length, receive), func() {
		if c, ok := ctx.Value(bodyCloserKey{}).(io.Closer); ok {
			_ = c.Close()
		}
	})
	// A stage may still read the body after it answered; the stream must not
	// be used once this function returns.
	defer func() { _ = body.Close() }()
	req.Body = body
	ctx, cancel := withDeadline(ctx, req.Deadline)
	defer cancel()
	resp, err := h.s.cfg.Handler.Serve(ctx, req)
	if err != nil {
		return refuse(send, err)
	}
	return respond(send, req.Method, resp)
}

func refuse(send sendFunc, err error) error {
	return send(&peerv1.ExchangeFrame{
		Head: &peerv1.ExchangeFrame_Failure{Failure: encodeFailure(err)}, End: true,
	})
}

func respond(send sendFunc, method string, resp *core.Response) error {
	defer func() { _ = resp.Body.Close() }()
	head := &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Response{Response: encodeResponse(resp)}}
	length := resp.Length
	if bodyless(method, resp.Status) {
		length = 0
	}
	var err error
	if length >= 0 && length <= frameSize {
		if err = sendWhole(head, resp.Body, length, send); core.CodeOf(err) == core.CodeAborted {
			return refuse(send, err) // nothing of the answer was sent
		}
	} else {
		err = sendBody(head, resp.Body, send)
	}
	if err != nil {
		return connect.NewError(connect.CodeAborted, err)
	}
	return nil
}

// bodyless reports whether a response has no body whatever its head announces.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// Call implements peerv1connect.PeerHandler.
func (h *peerHandler) Call(ctx context.Context, req *connect.Request[peerv1.CallRequest]) (*connect.Response[peerv1.CallResponse], error) {
	f, ok := h.s.cfg.Calls[req.Msg.GetMethod()]
	if !ok {
		return nil, failCall(core.Fail(core.CodeNotFound, "unknown method"))
	}
	out, err := f(ctx, req.Msg.GetPayload())
	if err != nil {
		return nil, failCall(err)
	}
	return connect.NewResponse(&peerv1.CallResponse{Payload: out}), nil
}

// failCall carries a *core.Error as an error detail.
func failCall(err error) error {
	ce := connect.NewError(connect.CodeUnknown, err)
	if d, derr := connect.NewErrorDetail(encodeFailure(err)); derr == nil {
		ce.AddDetail(d)
	}
	return ce
}
