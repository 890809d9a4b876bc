package frontend

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"marjoramshore.example/core"
)

// copySize bounds the memory of one answer's copy.
const copySize = 32 << 10

// BrokenAnswerError tells hertz that the answer is incomplete, so that it
// closes the connection.
type BrokenAnswerError struct{}

func (BrokenAnswerError) Error() string { return "answer broken off" }

// answer writes the response itself, because hertz ends a chunked body with a
// final chunk when its reader fails, which presents a cut answer as whole.
type answer struct {
	x      *exchange
	fields []core.Field
	broken bool
}

func newAnswer(x *exchange) *answer {
	a := &answer{x: x}
	x.rc.Response.HijackWriter(a)
	return a
}

// Write implements network.ExtWriter. hertz writes nothing through it.
func (a *answer) Write([]byte) (int, error) { return 0, BrokenAnswerError{} }

// Flush implements network.ExtWriter.
func (a *answer) Flush() error { return nil }

// Finalize implements network.ExtWriter. hertz calls it after the handler.
func (a *answer) Finalize() error {
	if a.broken {
		return BrokenAnswerError{}
	}
	return nil
}

// relay passes a backend server's response on.
func (a *answer) relay(r *core.Response) {
	defer func() { _ = r.Body.Close() }()
	a.fields = a.x.f.cfg.Dialect.ResponseFields(a.x.req, r, core.StripHopByHopFields(r.Header))
	a.write(r.Status, r.Length, r.Body)
}

// write sends the head and streams the body.
func (a *answer) write(status int, length int64, body io.Reader) {
	req := &a.x.rc.Request.Header
	h := answerHead{
		status: status, length: length, fields: a.fields, date: time.Now(),
		http11: req.IsHTTP11(), head: req.IsHead(), close: a.mustClose(), keepAlive: a.x.f.cfg.KeepAlive,
	}
	h.complete()
	if h.close {
		a.x.rc.SetConnectionClose() // tells hertz to end the connection
	}
	if err := a.send(&h, body); err != nil {
		a.broken = true
		a.x.f.counts.cut.Add(1)
	}
}

func (a *answer) mustClose() bool {
	x := a.x
	return x.rc.Request.Header.ConnectionClose() || x.f.draining.Load() || x.pendingBody()
}

func (a *answer) send(h *answerHead, body io.Reader) error {
	w := a.x.rc.GetWriter()
	if _, err := w.WriteBinary(h.encode()); err != nil {
		return err
	}
	if h.bodyless() {
		return a.flush()
	}
	sent, err := a.copy(body, h)
	switch {
	case err != nil:
		return err
	case h.length >= 0 && sent != h.length:
		return BrokenAnswerError{}
	case h.chunked:
		if _, err := w.WriteBinary(finalChunk); err != nil {
			return err
		}
	}
	return a.flush()
}

// finalChunk ends a chunked body without trailers.
var finalChunk = []byte("0\r\n\r\n")

func (a *answer) copy(body io.Reader, h *answerHead) (int64, error) {
	buf := make([]byte, a.bufferSize(h.length))
	sent := int64(0)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			sent += int64(n)
			if werr := a.part(buf[:n], h.chunked); werr != nil {
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

func (a *answer) bufferSize(length int64) int64 {
	if length < 0 {
		return copySize
	}
	return min(length+1, copySize)
}

// part sends a piece at once, since buf is used again and a trickling answer
// must not be held back.
func (a *answer) part(p []byte, chunked bool) error {
	w := a.x.rc.GetWriter()
	if chunked {
		if err := ext.WriteChunk(w, p, false); err != nil {
			return err
		}
	} else if _, err := w.WriteBinary(p); err != nil {
		return err
	}
	return a.flush()
}

func (a *answer) flush() error {
	_ = a.x.conn.SetWriteDeadline(time.Now().Add(a.x.f.cfg.BodyIdleTimeout))
	return a.x.rc.GetWriter().Flush()
}
