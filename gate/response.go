package gate

import (
	"io"
	"net/http"
	"sync/atomic"

	"marjoramshore.example/core"
)

// response hands the connection over to the body of the response.
func (x *exchange) response(hresp *http.Response) *core.Response {
	return &core.Response{
		Status: hresp.StatusCode,
		Header: decodeHeader(hresp.Header),
		Length: hresp.ContentLength,
		Body:   &responseBody{x: x, src: hresp.Body, reusable: !hresp.Close},
	}
}

// responseBody streams the answer and gives the connection back on Close.
type responseBody struct {
	x        *exchange
	src      io.Reader
	reusable bool
	whole    bool
	closed   atomic.Bool
}

// Read implements io.Reader. The source reports a body that ends early as
// io.ErrUnexpectedEOF, with a length and with chunks alike.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, core.ClosedBodyError{}
	}
	n, err := b.src.Read(p)
	switch {
	case err == io.EOF:
		b.whole = true
	case err != nil:
		err = core.Wrap(core.CodeAborted, err, "answer of backend server cut")
	}
	return n, err
}

// Close implements io.Closer. The connection is kept only when both the
// request and the response went through whole.
func (b *responseBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.whole {
		// A server may end a response without a body in its head.
		_, err := b.src.Read(nil)
		b.whole = err == io.EOF
	}
	clean := b.whole && b.reusable
	select {
	case err := <-b.x.uploaded:
		clean = clean && err == nil
	default:
		clean = false
	}
	b.x.end(clean)
	return nil
}
