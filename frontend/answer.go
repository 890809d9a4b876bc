package frontend

import (
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
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

func (a *answer) set(name, value string) { a.x.rc.Response.Header.Set(name, value) }

// relay passes a backend server's response on.
func (a *answer) relay(r *core.Response) {
	defer func() { _ = r.Body.Close() }()
	h := &a.x.rc.Response.Header
	for _, f := range r.Header {
		if !hopByHop[f.Name] && !answerFields[f.Name] {
			h.Add(f.Name, f.Value)
		}
	}
	a.set(HeaderOutcome, string(core.OutcomeAnswered))
	a.set(HeaderRequestID, a.x.req.ID)
	if r.Owner != "" {
		a.set(HeaderOwner, r.Owner)
	}
	a.write(r.Status, r.Length, r.Body)
}

// answerFields are set here and taken from nobody else.
var answerFields = map[string]bool{
	HeaderOutcome: true, HeaderReason: true, HeaderRequestID: true, HeaderOwner: true,
}

// write sends the head and streams the body.
func (a *answer) write(status int, length int64, body io.Reader) {
	rc := a.x.rc
	rc.SetStatusCode(status)
	if a.mustClose() {
		rc.SetConnectionClose()
	}
	h := &rc.Response.Header
	chunked := false
	switch {
	case bodyless(status):
		h.SetContentLength(0)
		h.SetNoDefaultContentType(true)
	case length >= 0:
		h.SetContentLength(int(length))
	case rc.Request.Header.IsHTTP11():
		chunked = true
		h.SetContentLength(-1)
	default:
		h.SetContentLength(-2) // ends with the connection; a cut is a reset
		rc.SetConnectionClose()
	}
	if err := a.send(h, body, length, chunked, bodyless(status) || rc.Request.Header.IsHead()); err != nil {
		a.broken = true
		a.x.f.counts.cut.Add(1)
	}
}

func bodyless(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func (a *answer) mustClose() bool {
	x := a.x
	return x.rc.Request.Header.ConnectionClose() || x.f.draining.Load() || x.pendingBody()
}

func (a *answer) send(h *protocol.ResponseHeader, body io.Reader, length int64, chunked, noBody bool) error {
	w := a.x.rc.GetWriter()
	if err := resp.WriteHeader(h, w); err != nil {
		return err
	}
	if noBody {
		return a.flush()
	}
	buf := make([]byte, a.bufferSize(length))
	sent := int64(0)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			sent += int64(n)
			if werr := a.part(buf[:n], chunked); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if length >= 0 && sent != length {
		return BrokenAnswerError{}
	}
	if chunked {
		if err := ext.WriteChunk(w, nil, false); err != nil {
			return err
		}
		if err := ext.WriteTrailer(h.Trailer(), w); err != nil {
			return err
		}
	}
	return a.flush()
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
