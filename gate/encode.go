package gate

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramshore.example/core"
)

// Header fields that the Gate sets itself. Fields with these names in
// Request.Header are dropped, so that a caller cannot forge a fencing token.
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

// buildRequest builds the HTTP request without the fields that depend on the
// moment of sending. A negative length stands for an unknown one.
func (g *Gate) buildRequest(req *core.Request, body io.Reader, length int64) (*http.Request, error) {
	target, err := core.TargetURL(req.Path)
	if err != nil {
		return nil, err
	}
	h := make(http.Header, len(req.Header)+12)
	// A nil value keeps net/http from adding a User-Agent of its own.
	h["User-Agent"] = nil
	httpReq := &http.Request{
		Method: req.Method, URL: target, Header: h, Host: "backend",
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: length,
	}
	for _, f := range core.StripHopByHopFields(req.Header) {
		switch {
		case f.Name == "Host":
			httpReq.Host = f.Value
		case g.cfg.Dialect.IsReserved(f.Name):
		default:
			h[f.Name] = append(h[f.Name], f.Value)
		}
	}
	g.cfg.Dialect.AddRequestFields(h, req)
	if length != 0 {
		httpReq.Body = io.NopCloser(body)
	}
	if length < 0 {
		httpReq.TransferEncoding = []string{"chunked"}
	}
	return httpReq, nil
}

// nativeDialect is the protocol of the package documentation.
type nativeDialect struct{}

// IsReserved implements Dialect.
func (nativeDialect) IsReserved(name string) bool {
	return strings.HasPrefix(name, reservedPrefix) || name == HeaderIdempotencyKey
}

// Attribute implements Dialect. Backend servers need not echo the request ID, so
// a response without one belongs to the request.
func (nativeDialect) Attribute(req *core.Request, _ http.Header, _ int, h http.Header) Attribution {
	switch echo := h[HeaderRequestID]; {
	case len(echo) == 0 || len(echo) == 1 && echo[0] == req.ID:
		return Own
	case len(echo) == 1:
		return Foreign
	default:
		return Unattributable
	}
}

// MayResend implements Dialect. Every response of a backend server is final.
func (nativeDialect) MayResend(int, http.Header) bool { return false }

// ShowsBodyRead implements Dialect. A backend server may refuse a request by its
// head alone.
func (nativeDialect) ShowsBodyRead(status int, _ http.Header) bool {
	return status < http.StatusBadRequest
}

// AddRequestFields implements Dialect.
func (nativeDialect) AddRequestFields(h http.Header, req *core.Request) {
	setIfPresent := func(name, value string) {
		if value != "" {
			h[name] = []string{value}
		}
	}
	setIfPresent(HeaderRequestID, req.ID)
	setIfPresent(HeaderService, string(req.Service))
	setIfPresent(HeaderKey, req.Key)
	setIfPresent(HeaderCustomer, string(req.Customer))
	setIfPresent(HeaderKind, kindNames[req.Kind])
	setIfPresent(HeaderIdempotent, strconv.FormatBool(req.Idempotent))
	setIfPresent(HeaderIdempotencyKey, req.IdempotencyKey)
	if !req.IssuedAt.IsZero() {
		setIfPresent(HeaderIssuedAt, strconv.FormatInt(req.IssuedAt.UnixMilli(), 10))
	}
	if req.Attempt > 0 {
		setIfPresent(HeaderAttempt, strconv.Itoa(req.Attempt))
	}
}

var kindNames = map[core.WorkKind]string{core.KindShort: "short", core.KindLong: "long"}

// AddSendTimeFields implements Dialect. It adds the remaining time of the
// request, the fencing token and the remaining time of the lease.
func (nativeDialect) AddSendTimeFields(h http.Header, req *core.Request, p Permit) {
	if !req.Deadline.IsZero() {
		h[HeaderDeadline] = []string{strconv.FormatInt(max(1, time.Until(req.Deadline).Milliseconds()), 10)}
	}
	if !p.Token.IsZero() {
		h[HeaderFencingToken] = []string{strconv.FormatUint(p.Token.Term, 10) + "." +
			strconv.FormatUint(p.Token.Sequence, 10)}
		h[HeaderLeaseRemaining] = []string{strconv.FormatInt(p.LeaseLeft.Milliseconds(), 10)}
	}
}

// endToEndFields returns the header fields of a response without the
// hop-by-hop ones.
func endToEndFields(h http.Header) []core.Field {
	fields := make([]core.Field, 0, len(h)+4)
	for name, values := range h {
		for _, v := range values {
			fields = append(fields, core.Field{Name: name, Value: v})
		}
	}
	return core.StripHopByHopFields(fields)
}
