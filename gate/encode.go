package gate

import (
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/core"
)

// Request headers that the gate writes itself. Fields of these names in
// Request.Header are dropped, so a caller cannot forge a token.
const (
	HeaderService        = "Marjoram-Service"
	HeaderKey            = "Marjoram-Key"
	HeaderCustomer       = "Marjoram-Customer"
	HeaderKind           = "Marjoram-Kind"
	HeaderIdempotent     = "Marjoram-Idempotent"
	HeaderIssuedAt       = "Marjoram-Issued-At"
	HeaderDeadline       = "Marjoram-Deadline-Ms"
	HeaderRequestID      = "Marjoram-Request-Id"
	HeaderAttempt        = "Marjoram-Attempt"
	HeaderFencingToken   = "Marjoram-Fencing-Token"
	HeaderLeaseRemaining = "Marjoram-Lease-Remaining-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const reservedPrefix = "Marjoram-"

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1),
// and those that the encoder writes from the message itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// encode builds the HTTP request, apart from what the permit adds.
func encode(req *core.Request, body io.Reader, length int64) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "request path")
	}
	h := make(http.Header, len(req.Header)+12)
	// An absent User-Agent stays absent.
	h["User-Agent"] = nil
	hr := &http.Request{
		Method: req.Method, URL: u, Header: h, Host: "backend",
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: length,
	}
	dropped := connectionFields(req.Header)
	for _, f := range req.Header {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		switch {
		case name == "Host":
			hr.Host = f.Value
		case hopByHop[name], dropped[name], strings.HasPrefix(name, reservedPrefix), name == HeaderIdempotencyKey:
		default:
			h[name] = append(h[name], f.Value)
		}
	}
	setOwn(h, req)
	if length != 0 {
		hr.Body = io.NopCloser(body)
	}
	if length < 0 {
		hr.TransferEncoding = []string{"chunked"}
	}
	return hr, nil
}

// connectionFields returns the names that a Connection field declares as
// hop-by-hop.
func connectionFields(fields []core.Field) map[string]bool {
	var names map[string]bool
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(f.Value, ",") {
			if names == nil {
				names = make(map[string]bool)
			}
			names[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func setOwn(h http.Header, req *core.Request) {
	set := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	set(HeaderRequestID, req.ID)
	set(HeaderService, string(req.Service))
	set(HeaderKey, req.Key)
	set(HeaderCustomer, string(req.Customer))
	set(HeaderKind, kindNames[req.Kind])
	set(HeaderIdempotent, strconv.FormatBool(req.Idempotent))
	set(HeaderIdempotencyKey, req.IdempotencyKey)
	if !req.IssuedAt.IsZero() {
		set(HeaderIssuedAt, strconv.FormatInt(req.IssuedAt.UnixMilli(), 10))
	}
	if req.Attempt > 0 {
		set(HeaderAttempt, strconv.Itoa(req.Attempt))
	}
}

var kindNames = map[core.Kind]string{core.KindShort: "short", core.KindLong: "long"}

// stamp adds the permit and the time left. It runs right before the write.
func stamp(h http.Header, req *core.Request, p Permit) {
	if !req.Deadline.IsZero() {
		h[HeaderDeadline] = []string{strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10)}
	}
	if !p.Token.IsZero() {
		h[HeaderFencingToken] = []string{strconv.FormatUint(p.Token.Term, 10) + "." +
			strconv.FormatUint(p.Token.Sequence, 10)}
		h[HeaderLeaseRemaining] = []string{strconv.FormatInt(p.LeaseLeft.Milliseconds(), 10)}
	}
}

// decodeHeader copies the end-to-end fields of a response.
func decodeHeader(h http.Header) []core.Field {
	var raw []core.Field
	for _, v := range h["Connection"] {
		raw = append(raw, core.Field{Name: "Connection", Value: v})
	}
	dropped := connectionFields(raw)
	fields := make([]core.Field, 0, len(h))
	for name, values := range h {
		if hopByHop[name] || dropped[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, core.Field{Name: name, Value: v})
		}
	}
	return fields
}
