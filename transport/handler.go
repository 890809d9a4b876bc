package transport

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// requestBodyKey is the context key of the HTTP request body. Closing that body
// ends a blocked read.
type requestBodyKey struct{}

type serverStream = connect.BidiStream[peerv1.ExchangeFrame, peerv1.ExchangeFrame]

// peerHandler implements the generated interface peerv1connect.PeerHandler.
type peerHandler struct{ server *Server }

// Exchange implements peerv1connect.PeerHandler. An error ends the stream with
// error trailers and no end frame, so the client treats it as truncated.
func (h *peerHandler) Exchange(ctx context.Context, stream *serverStream) error {
	head, err := stream.Receive()
	if err != nil {
		return err
	}
	return h.serveExchange(ctx, head, stream.Receive, stream.Send)
}

// ExchangeWhole implements peerv1connect.PeerHandler.
func (h *peerHandler) ExchangeWhole(ctx context.Context, req *connect.Request[peerv1.ExchangeFrame], stream *connect.ServerStream[peerv1.ExchangeFrame]) error {
	return h.serveExchange(ctx, req.Msg, func() (*peerv1.ExchangeFrame, error) { return nil, io.EOF }, stream.Send)
}

// serveExchange serves one exchange, whose first frame is head.
func (h *peerHandler) serveExchange(ctx context.Context, head *peerv1.ExchangeFrame, receive receiveFunc, send sendFunc) error {
	h.server.counters.exchanges.Add(1)
	defer h.server.running.Add(-1)
	if h.server.running.Add(1) > int64(h.server.cfg.MaxExchanges) {
		h.server.counters.refused.Add(1)
		return sendFailure(send, core.Fail(core.CodeOverloaded, "limit of concurrent exchanges reached"))
	}
	requestHead := head.GetRequest()
	if requestHead == nil {
		return sendFailure(send, core.Fail(core.CodeInvalid, "first frame of the exchange holds no request head"))
	}
	req, err := decodeRequest(requestHead)
	if err != nil {
		return sendFailure(send, err)
	}
	body := core.NewBody(newFrameReader(head, req.Length, receive), func() {
		if c, ok := ctx.Value(requestBodyKey{}).(io.Closer); ok {
			_ = c.Close()
		}
	})
	// A handler may still read the body after it has returned the response, but
	// the stream must not be used once this function returns.
	defer func() { _ = body.Close() }()
	req.Body = body
	ctx, cancel := withDeadline(ctx, req.Deadline)
	defer cancel()
	resp, err := h.server.cfg.Handler.Serve(ctx, req)
	if err != nil {
		return sendFailure(send, err)
	}
	return sendResponse(send, req.Method, resp)
}

// sendFailure ends the exchange with err in place of a response.
func sendFailure(send sendFunc, err error) error {
	return send(&peerv1.ExchangeFrame{
		Head: &peerv1.ExchangeFrame_Failure{Failure: encodeFailure(err)}, End: true,
	})
}

// sendResponse sends resp and closes its body.
func sendResponse(send sendFunc, method string, resp *core.Response) error {
	defer func() { _ = resp.Body.Close() }()
	head := &peerv1.ExchangeFrame{Head: &peerv1.ExchangeFrame_Response{Response: encodeResponse(resp)}}
	length := resp.Length
	if hasNoBody(method, resp.Status) {
		length = 0
	}
	var err error
	if length >= 0 && length <= maxFrameBytes {
		if err = sendSingleFrame(head, resp.Body, length, send); core.CodeOf(err) == core.CodeAborted {
			return sendFailure(send, err) // nothing of the response was sent
		}
	} else {
		err = sendFrames(head, resp.Body, send)
	}
	if err != nil {
		return connect.NewError(connect.CodeAborted, err)
	}
	return nil
}

// hasNoBody reports whether a response has no body even if its head announces a
// length, as RFC 9110 defines for HEAD, 204 and 304.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// Call implements peerv1connect.PeerHandler.
func (h *peerHandler) Call(ctx context.Context, req *connect.Request[peerv1.CallRequest]) (*connect.Response[peerv1.CallResponse], error) {
	call, ok := h.server.cfg.Calls[req.Msg.GetMethod()]
	if !ok {
		return nil, callError(core.Fail(core.CodeNotFound, "unknown peer method"))
	}
	payload, err := call(ctx, req.Msg.GetPayload())
	if err != nil {
		return nil, callError(err)
	}
	return connect.NewResponse(&peerv1.CallResponse{Payload: payload}), nil
}

// callError returns err as a Connect error with its code and fields in a
// detail, which failureFromDetails reads.
func callError(err error) error {
	connErr := connect.NewError(connect.CodeUnknown, err)
	if detail, detailErr := connect.NewErrorDetail(encodeFailure(err)); detailErr == nil {
		connErr.AddDetail(detail)
	}
	return connErr
}
