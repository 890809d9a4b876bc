package frontend

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"marjoramshore.example/core"
	"marjoramshore.example/quota"
)

// maxCopyBufferBytes limits the buffer through which a response body is copied.
const maxCopyBufferBytes = 32 << 10

// TruncatedResponseError tells hertz that a response is incomplete, so that
// hertz closes the connection.
type TruncatedResponseError struct{}

func (TruncatedResponseError) Error() string { return "response truncated" }

// responseWriter writes a response to the connection in place of hertz. hertz
// ends a chunked body with a final chunk even when its reader fails, which
// makes a truncated response look complete.
type responseWriter struct {
	exchange  *exchange
	fields    []core.Field
	truncated bool
	// holding is what is held of the response while the caller reads it, or nil.
	holding *quota.Holding
}

// maxHeldAnswer is how much of a response is in memory at most before it is sent.
const maxHeldAnswer = 256 << 10

func newResponseWriter(x *exchange) *responseWriter {
	rw := &responseWriter{exchange: x}
	x.rc.Response.HijackWriter(rw)
	return rw
}

// Write implements network.ExtWriter. hertz does not call it.
func (rw *responseWriter) Write([]byte) (int, error) { return 0, TruncatedResponseError{} }

// Flush implements network.ExtWriter.
func (rw *responseWriter) Flush() error { return nil }

// Finalize implements network.ExtWriter. hertz calls it after the handler
// returned.
func (rw *responseWriter) Finalize() error {
	if rw.truncated {
		return TruncatedResponseError{}
	}
	return nil
}

// writeBackendResponse sends the response of a backend server and closes its
// body.
func (rw *responseWriter) writeBackendResponse(r *core.Response) {
	defer func() { _ = r.Body.Close() }()
	defer rw.hold(r.Length).Close()
	rw.fields = rw.exchange.frontend.cfg.Dialect.ResponseFields(rw.exchange.req, r, core.StripHopByHopFields(r.Header))
	rw.writeResponse(r.Status, r.Length, r.Body)
}

// hold counts the response as held, unless it is already, until the returned holding is
// closed. A caller that stops reading is cut off when the quota is short.
func (rw *responseWriter) hold(length int64) *quota.Holding {
	if rw.holding != nil {
		return rw.holding
	}
	if length < 0 {
		length = maxCopyBufferBytes
	}
	rw.holding = rw.exchange.frontend.cfg.Quota.Open(rw.exchange.conn.reset)
	rw.holding.Complete() // until it is written
	rw.holding.Add(min(length, maxHeldAnswer))
	return rw.holding
}

// writeResponse sends the head, then the body as it is read. An error is
// recorded in truncated and counted.
func (rw *responseWriter) writeResponse(status int, length int64, body io.Reader) {
	h := responseHead{
		status: status, length: length, fields: rw.fields, date: time.Now(),
		isHTTP11: rw.exchange.isHTTP11, forHEAD: rw.exchange.isHead, closeConn: rw.mustCloseConn(), keepAlive: rw.exchange.frontend.cfg.KeepAlive,
	}
	h.chooseFraming()
	if h.closeConn {
		rw.exchange.rc.SetConnectionClose() // tells hertz to close the connection
	}
	if err := rw.writeHeadAndBody(&h, body); err != nil {
		rw.truncated = true
		rw.exchange.frontend.counts.truncated.Add(1)
	}
}

func (rw *responseWriter) mustCloseConn() bool {
	x := rw.exchange
	mustClose := x.rc.Request.Header.ConnectionClose() || x.frontend.draining.Load() || x.frontend.announcing.Load() || x.hasUnreadBody()
	return mustClose && x.endPipeline()
}

func (rw *responseWriter) writeHeadAndBody(h *responseHead, body io.Reader) error {
	w := rw.exchange.rc.GetWriter()
	if _, err := w.WriteBinary(h.encode()); err != nil {
		return err
	}
	if h.hasNoBody() {
		return rw.flush()
	}
	sent, err := rw.copyBody(body, h)
	switch {
	case err != nil:
		return err
	case h.length >= 0 && sent != h.length:
		return TruncatedResponseError{}
	case h.chunked:
		if _, err := w.WriteBinary(finalChunk); err != nil {
			return err
		}
	}
	return rw.flush()
}

// finalChunk ends a chunked body without trailers.
var finalChunk = []byte("0\r\n\r\n")

// copyBody sends body and returns the number of bytes read from it.
func (rw *responseWriter) copyBody(body io.Reader, h *responseHead) (int64, error) {
	buf := make([]byte, rw.copyBufferSize(h.length))
	sent := int64(0)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			sent += int64(n)
			if werr := rw.writePart(buf[:n], h.chunked); werr != nil {
				return sent, werr
			}
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}

func (rw *responseWriter) copyBufferSize(length int64) int64 {
	if length < 0 {
		return maxCopyBufferBytes
	}
	return min(length+1, maxCopyBufferBytes)
}

// writePart sends a part of the body and flushes it, because the caller reuses
// p and a response that arrives slowly must not be delayed further.
func (rw *responseWriter) writePart(p []byte, chunked bool) error {
	w := rw.exchange.rc.GetWriter()
	if chunked {
		if err := ext.WriteChunk(w, p, false); err != nil {
			return err
		}
	} else if _, err := w.WriteBinary(p); err != nil {
		return err
	}
	return rw.flush()
}

func (rw *responseWriter) flush() error {
	_ = rw.exchange.conn.SetWriteDeadline(time.Now().Add(rw.exchange.frontend.cfg.BodyIdleTimeout))
	if rw.holding != nil {
		rw.holding.Progress()
		defer rw.holding.Complete()
	}
	return rw.exchange.rc.GetWriter().Flush()
}
