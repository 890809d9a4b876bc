package frontend

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http/httpguts"
	"marjoramshore.example/core"
)

// answerHead is the head of an answer. It is encoded here and not by hertz,
// which replaces Date and keeps only one Set-Cookie of a name.
type answerHead struct {
	status int
	length int64 // or core.UnknownLength
	fields []core.Field
	date   time.Time // used when no field gives it
	http11 bool
	head   bool // answers HEAD
	close  bool
	// keepAlive is how long the caller may leave the connection unused, or 0.
	keepAlive time.Duration
	// chunked is set by complete.
	chunked bool
}

// complete chooses how the body is delimited.
func (h *answerHead) complete() {
	if h.bodyless() || h.length >= 0 {
		return
	}
	h.chunked = h.http11
	// Without chunks the body ends with the connection; a cut is a reset.
	h.close = h.close || !h.http11
}

// bodyless reports whether no body follows, whatever the length says.
func (h *answerHead) bodyless() bool {
	return h.head || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

func (h *answerHead) encode() []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(h.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(h.status)...)
	b = append(b, "\r\n"...)
	dated := false
	for _, f := range h.fields {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			continue // cannot be encoded
		}
		b = appendField(b, f.Name, f.Value)
		dated = dated || f.Name == "Date"
	}
	if !dated {
		b = appendField(b, "Date", h.date.UTC().Format(http.TimeFormat))
	}
	switch {
	case h.chunked:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case h.length > 0 || h.length == 0 && !h.bodyless():
		b = appendField(b, "Content-Length", strconv.FormatInt(h.length, 10))
	}
	switch {
	case h.close:
		b = appendField(b, "Connection", "close")
	case !h.http11:
		b = appendField(b, "Connection", "keep-alive")
	}
	if h.keepAlive > 0 && !h.close {
		b = appendField(b, "Keep-Alive", "timeout="+strconv.FormatInt(int64(h.keepAlive/time.Second), 10))
	}
	return append(b, "\r\n"...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
