package frontend

import (
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http/httpguts"
	"marjoramshore.example/core"
)

// responseHead is the head of a response. It is not encoded by hertz, which
// replaces Date and keeps only one Set-Cookie field for each cookie name.
type responseHead struct {
	status    int
	length    int64 // of the body in bytes, or core.UnknownLength
	fields    []core.Field
	date      time.Time // used if fields has no Date
	isHTTP11  bool
	forHEAD   bool // the request method is HEAD
	closeConn bool
	// keepAlive is the time to announce in the Keep-Alive field, or 0 for none.
	keepAlive time.Duration
	// chunked is set by chooseFraming.
	chunked bool
}

// chooseFraming decides how the end of the body is marked, and sets chunked and
// closeConn accordingly.
func (h *responseHead) chooseFraming() {
	if h.hasNoBody() || h.length >= 0 {
		return
	}
	h.chunked = h.isHTTP11
	// HTTP/1.0 has no chunks, so the end of the connection marks the end of the
	// body. A truncated response ends with a reset instead.
	h.closeConn = h.closeConn || !h.isHTTP11
}

// hasNoBody reports whether no body follows the head, whatever length says.
func (h *responseHead) hasNoBody() bool {
	return h.forHEAD || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

func (h *responseHead) encode() []byte {
	b := make([]byte, 0, 512)
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(h.status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(h.status)...)
	b = append(b, "\r\n"...)
	hasDate := false
	for _, f := range h.fields {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			continue // would corrupt the head
		}
		b = appendField(b, f.Name, f.Value)
		hasDate = hasDate || f.Name == "Date"
	}
	if !hasDate {
		b = appendField(b, "Date", h.date.UTC().Format(http.TimeFormat))
	}
	switch {
	case h.chunked:
		b = appendField(b, "Transfer-Encoding", "chunked")
	case h.length > 0 || h.length == 0 && !h.hasNoBody():
		b = appendField(b, "Content-Length", strconv.FormatInt(h.length, 10))
	}
	switch {
	case h.closeConn:
		b = appendField(b, "Connection", "close")
	case !h.isHTTP11:
		b = appendField(b, "Connection", "keep-alive")
	}
	if h.keepAlive > 0 && !h.closeConn {
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
