package gate

import (
	"io"
	"net/http"
	"sync/atomic"

	"marjoramshore.example/core"
)

// buildResponse converts the response head. The body of the response owns the
// exchange and its connection from then on.
func (x *exchange) buildResponse(httpResp *http.Response) *core.Response {
	return &core.Response{
		Status: httpResp.StatusCode,
		Header: endToEndFields(httpResp.Header),
		Length: httpResp.ContentLength,
		Body: &responseBody{
			exchange: x, src: httpResp.Body, reusable: x.keepsConn(httpResp), complete: httpResp.Body == http.NoBody,
			endsWithConn: httpResp.ContentLength < 0 && len(httpResp.TransferEncoding) == 0 && httpResp.Body != http.NoBody,
		},
	}
}

// keepsConn reports whether the connection may be reused after the response, and
// records on it that the request may be sent again.
func (x *exchange) keepsConn(resp *http.Response) bool {
	if resp.Close || x.unmarked {
		return false
	}
	if x.req.Length != 0 && !x.gate.cfg.Dialect.ShowsBodyRead(resp.StatusCode, resp.Header) {
		return false
	}
	if !x.gate.cfg.Dialect.MayResend(resp.StatusCode, resp.Header) {
		return true
	}
	x.conn.resendable = append(x.conn.resendable, x.req.ID)
	return len(x.conn.resendable) <= maxResendable
}

// responseBody streams the body of a response and releases the connection on
// Close.
type responseBody struct {
	exchange *exchange
	src      io.Reader
	reusable bool
	complete bool // there is no body, or it was read to its end
	// endsWithConn is set if the end of the connection marks the end of the body.
	endsWithConn bool
	closed       atomic.Bool
}

// Read implements io.Reader. net/http reports a truncated body as
// io.ErrUnexpectedEOF, both with a content length and with chunks.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, core.ClosedBodyError{}
	}
	n, err := b.src.Read(p)
	switch {
	case err == io.EOF && b.endsWithConn && !b.exchange.connEndedInOrder():
		err = core.Fail(core.CodeAborted, "connection was reset within a response body without a length")
	case err == io.EOF:
		b.complete = true
	case err != nil:
		err = core.Wrap(core.CodeAborted, err, "response body of the backend server was cut off")
	}
	return n, err
}

// connEndedInOrder reports whether the server ended the connection without a
// reset. A read tells this only if no write failed, because the kernel reports a
// reset once, to whichever comes first.
func (x *exchange) connEndedInOrder() bool {
	select {
	case err := <-x.writeResult:
		x.writeResult <- err
		if err == nil {
			return true
		}
	default:
	}
	return x.conn.isHalfClosed()
}

// Close implements io.Closer. The connection is kept only if both the request
// and the response were transferred completely. Nothing is read on, since the rest
// of a response that is dropped may have no end or never come.
func (b *responseBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	clean := b.complete && b.reusable
	select {
	case err := <-b.exchange.writeResult:
		clean = clean && err == nil
	default:
		clean = false
	}
	b.exchange.release(clean)
	return nil
}
