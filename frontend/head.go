package frontend

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/protocol"
	"marjoramshore.example/core"
)

// readHead copies hertz's view of a request head; hertz reuses its memory.
func readHead(h *protocol.RequestHeader) core.RequestHead {
	head := core.RequestHead{Method: string(h.Method()), Path: string(h.RequestURI())}
	h.VisitAll(func(name, value []byte) {
		head.Fields = append(head.Fields, core.Field{Name: string(name), Value: string(value)})
	})
	return head
}

// framing checks how the body is delimited and sets the request's length.
func (x *exchange) framing() error {
	h := &x.rc.Request.Header
	if !clearFraming(h.RawHeaders()) {
		return core.Fail(core.CodeInvalid, "ambiguous body length")
	}
	x.framed = true
	x.req.Length = bodyLength(h)
	if x.req.Length > x.f.cfg.MaxBodyBytes {
		return core.Fail(core.CodeTooLarge, "request body too large")
	}
	return nil
}

// bodyLength returns the announced length of the body, or core.UnknownLength.
func bodyLength(h *protocol.RequestHeader) int64 {
	switch n := h.ContentLength(); {
	case n >= 0:
		return int64(n)
	case n == -1:
		return core.UnknownLength
	default:
		return 0
	}
}

// clearFraming reports whether a raw head has at most one delimiter of the
// body. With two, two parsers can disagree on where the request ends. hertz
// takes any transfer coding for chunked, so others are rejected here.
func clearFraming(raw []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.Lines(raw) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return false
			}
		}
	}
	return lengths+codings <= 1
}
