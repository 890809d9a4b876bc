package gate

import (
	"io"
	"net/http"
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

// encode builds the HTTP request, apart from what the permit adds.
func (g *Gate) encode(req *core.Request, body io.Reader, length int64) (*http.Request, error) {
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
	for _, f := range core.EndToEnd(req.Header) {
		switch {
		case f.Name == "Host":
			hr.Host = f.Value
		case g.cfg.Dialect.IsReserved(f.Name):
		default:
			h[f.Name] = append(h[f.Name], f.Value)
		}
	}
	g.cfg.Dialect.AddRequestFields(h, req)
	if length != 0 {
		hr.Body = io.NopCloser(body)
	}
	if length < 0 {
		hr.TransferEncoding = []string{"chunked"}
	}
	return hr, nil
}

// native is the protocol described in the package documentation.
type native struct{}

// IsReserved implements Dialect.
func (native) IsReserved(name string) bool {
	return strings.HasPrefix(name, reservedPrefix) || name == HeaderIdempotencyKey
}

// IsResponseTo implements Dialect.
func (native) IsResponseTo(*core.Request, int, http.Header) bool { return true }

// AddRequestFields implements Dialect.
func (native) AddRequestFields(h http.Header, req *core.Request) {
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

// AddSendTimeFields implements Dialect: it adds the permit and the time left.
func (native) AddSendTimeFields(h http.Header, req *core.Request, p Permit) {
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
	fields := make([]core.Field, 0, len(h)+4)
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, core.Field{Name: name, Value: v})
		}
	}
	return core.EndToEnd(fields)
}
