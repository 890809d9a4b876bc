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

func traced(ctx context.Context, a *attempt) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
}

// classify turns a failure of the stream itself into a *core.Error. Only three
// kinds prove that the peer did not act on the request: no connection was ever
// at hand, the peer refused the stream unprocessed, or it refused the
// credentials, which it checks before it reads the request.
func classify(ctx context.Context, a *attempt, err error) *core.Error {
	if e := remoteFailure(err); e != nil {
		return e
	}
	switch {
	case !a.connected.Load():
		if ctx.Err() != nil {
			return core.ContextErrorBeforeSend(ctx)
		}
		return core.Wrap(core.CodePeerUnreachable, err, "connect to peer "+a.addr)
	case unprocessed(err):
		return core.Wrap(core.CodePeerUnreachable, err, "peer refused the stream")
	case connect.CodeOf(err) == connect.CodeUnauthenticated:
		return core.Wrap(core.CodePeerUnreachable, err, "peer refused the credentials")
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return core.Wrap(core.CodeUnknown, err, "deadline passed while the peer held the request")
	case context.Canceled:
		return core.Wrap(core.CodeUnknown, err, "caller went away while the peer held the request")
	}
	return core.Wrap(core.CodeUnknown, err, "peer broke off")
}

// remoteFailure returns the *core.Error that a unary handler attached.
func remoteFailure(err error) *core.Error {
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

// unprocessed reports whether HTTP/2 guarantees that the peer did not process
// the stream (RFC 9113, 8.7): REFUSED_STREAM, or GOAWAY with a smaller last
// stream. net/http exports no type for either, so its texts are matched; they
// are pinned by a test, and an unknown text proves nothing.
func unprocessed(err error) bool {
	if connect.IsWireError(err) {
		return false // a text of the peer, not of the library
	}
	text := err.Error()
	return strings.Contains(text, "REFUSED_STREAM; received from peer") ||
		strings.Contains(text, "Server's graceful shutdown GOAWAY")
}
