package transport

import (
	"context"
	"errors"
	"net/http/httptrace"
	"strings"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

// withConnTrace returns a context that sets call.connected when net/http has
// obtained a connection.
func withConnTrace(ctx context.Context, call *peerCall) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { call.connected.Store(true) },
	})
}

// classifyError converts the error of an RPC to a *core.Error. An error that
// the peer's handler returned keeps its code. Of the failures of the stream
// itself, only three prove that the peer did not run the request: no connection
// was obtained, the peer refused the stream unprocessed, or it rejected the
// credentials, which it verifies before it reads the request.
func classifyError(ctx context.Context, call *peerCall, err error) *core.Error {
	if e := failureFromDetails(err); e != nil {
		return e
	}
	switch {
	case !call.connected.Load():
		if ctx.Err() != nil {
			return core.ContextErrorBeforeSend(ctx)
		}
		return core.Wrap(core.CodePeerUnreachable, err, "connect to peer "+call.addr)
	case isUnprocessed(err):
		return core.Wrap(core.CodePeerUnreachable, err, "peer refused the stream before processing it")
	case connect.CodeOf(err) == connect.CodeUnauthenticated:
		return core.Wrap(core.CodePeerUnreachable, err, "peer rejected the credentials")
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return core.Wrap(core.CodeUnknown, err, "deadline passed before the peer responded")
	case context.Canceled:
		return core.Wrap(core.CodeUnknown, err, "caller canceled before the peer responded")
	}
	return core.Wrap(core.CodeUnknown, err, "RPC to the peer failed, its outcome is unknown")
}

// failureFromDetails returns the *core.Error that the peer's callError attached
// to a unary response, or nil.
func failureFromDetails(err error) *core.Error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		if v, derr := d.Value(); derr == nil {
			if f, ok := v.(*peerv1.Failure); ok {
				return decodeFailure(f)
			}
		}
	}
	return nil
}

// isUnprocessed reports whether HTTP/2 guarantees that the peer did not process
// the stream (RFC 9113, 8.7): RST_STREAM with REFUSED_STREAM, or GOAWAY with a
// lower last stream ID. net/http exports no type for either, so the texts of
// its errors are matched. A test fails if they change; an unknown text counts
// as processed.
func isUnprocessed(err error) bool {
	if connect.IsWireError(err) {
		return false // the text is the peer's, not net/http's
	}
	text := err.Error()
	return strings.Contains(text, "REFUSED_STREAM; received from peer") ||
		strings.Contains(text, "Server's graceful shutdown GOAWAY")
}
