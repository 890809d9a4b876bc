package frontend

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/protocol"
	"golang.org/x/net/http/httpguts"
	"marjoramshore.example/core"
)

// copyHead returns a copy of a request head. hertz reuses the memory of h.
func copyHead(h *protocol.RequestHeader) core.RequestHead {
	head := core.RequestHead{Method: string(h.Method()), Path: string(h.RequestURI())}
	h.VisitAll(func(name, value []byte) {
		head.Fields = append(head.Fields, core.Field{Name: string(name), Value: string(value)})
	})
	return head
}

// checkHead returns an error for a head that HTTP forbids, or that cannot be passed on
// as it is. Two parsers can disagree on what follows such a head on its connection.
func checkHead(head core.RequestHead, h *protocol.RequestHeader) error {
	if !hasUnambiguousLength(h.RawHeaders()) {
		return core.Fail(core.CodeInvalid, "ambiguous body length, or transfer coding other than chunked")
	}
	if err := core.CheckRequestLine(head.Method, head.Path); err != nil {
		return err
	}
	if name := repeatedField(h.RawHeaders()); name != "" {
		return core.Fail(core.CodeInvalid, "repeated header field: "+name)
	}
	if h.IsHTTP11() && len(h.Host()) == 0 {
		return core.Fail(core.CodeInvalid, "no Host field")
	}
	for _, f := range head.Fields {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return core.Fail(core.CodeInvalid, "header field with characters that HTTP forbids")
		}
		if f.Name == "Host" && !httpguts.ValidHostHeader(f.Value) {
			return core.Fail(core.CodeInvalid, "invalid Host field")
		}
	}
	return nil
}

// singleFields are the fields of which hertz keeps only the last one.
var singleFields = [...]string{"Host", "Content-Type", "User-Agent"}

// repeatedField returns the name of a field that stands in a raw head more than once
// although it may not, or "".
func repeatedField(rawHead []byte) string {
	var seen [len(singleFields)]int
	for line := range bytes.Lines(rawHead) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		for i, single := range singleFields {
			if bytes.EqualFold(name, []byte(single)) {
				if seen[i]++; seen[i] > 1 {
					return single
				}
			}
		}
	}
	return ""
}

// checkFraming checks the head and how the end of the body is marked, and sets the
// length of the request. After an error the connection ends with the answer, since the
// end of the request is not certain (RFC 9112, sections 2.2 and 11.2).
func (x *exchange) checkFraming(head core.RequestHead) error {
	h := &x.rc.Request.Header
	if err := checkHead(head, h); err != nil {
		return err
	}
	x.framingValid = true
	x.length = announcedLength(h)
	x.req.Length = x.length
	if x.req.Length > x.frontend.cfg.maxBody() {
		return core.Fail(core.CodeTooLarge, "request body too large")
	}
	return nil
}

// announcedLength returns the body length in bytes that a request head
// announces, or core.UnknownLength.
func announcedLength(h *protocol.RequestHeader) int64 {
	switch n := h.ContentLength(); {
	case n >= 0:
		return int64(n)
	case n == -1:
		return core.UnknownLength
	default:
		return 0
	}
}

// hasUnambiguousLength reports whether a raw head has at most one field that
// says where the body ends. With two, two HTTP parsers can disagree on the end
// of the request. hertz reads any transfer coding as chunked, so other codings
// are rejected here.
func hasUnambiguousLength(rawHead []byte) bool {
	lengths, codings := 0, 0
	for line := range bytes.Lines(rawHead) {
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
