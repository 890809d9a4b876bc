package frontend

import (
	"crypto/rand"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
	"marjoramshore.example/core"
)

// Header fields of requests, set by callers.
const (
	HeaderService        = "Marjoram-Service"
	HeaderKey            = "Marjoram-Key"
	HeaderCustomer       = "Marjoram-Customer"
	HeaderKind           = "Marjoram-Kind"
	HeaderIdempotent     = "Marjoram-Idempotent"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderIssuedAt       = "Marjoram-Issued-At"
	HeaderDeadline       = "Marjoram-Deadline-Ms"
	HeaderRequestID      = "Marjoram-Request-Id"
)

// Header fields of responses, set by the node.
const (
	HeaderOutcome = "Marjoram-Outcome"
	HeaderReason  = "Marjoram-Reason"
	HeaderOwner   = "Marjoram-Owner"
)

// reservedFieldPrefix begins the names of header fields that callers cannot
// pass to a backend server.
const reservedFieldPrefix = "Marjoram-"

// Limits of field values. They keep the records that are stored with requests
// small.
const (
	maxNameBytes           = 64
	maxKeyBytes            = 1024
	maxIdempotencyKeyBytes = 255
	maxRequestIDBytes      = 64
	maxDeadline            = 24 * time.Hour
)

// Parse converts a request head to a request without a body. now is the time of
// arrival, from which the deadline counts. Every error has core.CodeInvalid;
// the request is returned with an error too, because the response needs its ID.
func Parse(h core.RequestHead, now time.Time) (*core.Request, error) {
	req := &core.Request{Method: h.Method, Path: h.Path, Body: core.NoBody}
	p := headParser{protocolFields: make(map[string]string, 8), req: req}
	p.separateFields(h.Fields)
	p.parseRequestID()
	p.parseTarget(h)
	p.parseRoutingFields()
	p.parseIdempotency()
	p.parseTimes(now)
	if p.err != nil {
		return req, p.err
	}
	return req, nil
}

// headParser fills req from a request head. err is the first fault found.
type headParser struct {
	protocolFields map[string]string
	req            *core.Request
	err            *core.Error
}

func (p *headParser) reject(detail string) {
	if p.err == nil {
		p.err = core.Fail(core.CodeInvalid, detail)
	}
}

// separateFields collects the fields of this protocol and leaves those of the
// application in the request. Callers thus cannot forge reserved fields, such
// as the fencing token that a backend server receives.
func (p *headParser) separateFields(fields []core.Field) {
	applicationFields := make([]core.Field, 0, len(fields))
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		switch {
		case !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value):
			p.reject("malformed header field")
		case strings.HasPrefix(name, reservedFieldPrefix) || name == HeaderIdempotencyKey:
			if _, repeated := p.protocolFields[name]; repeated {
				p.reject("repeated header: " + name)
			}
			p.protocolFields[name] = strings.TrimSpace(f.Value)
		default:
			applicationFields = append(applicationFields, f)
		}
	}
	p.req.Header = core.StripHopByHopFields(applicationFields)
}

func (p *headParser) parseRequestID() {
	id, ok := p.protocolFields[HeaderRequestID]
	if ok && !isVisibleASCII(id, maxRequestIDBytes) {
		p.reject("invalid value: " + HeaderRequestID)
		ok = false
	}
	if !ok {
		id = rand.Text()
	}
	p.req.ID = id
}

func (p *headParser) parseTarget(h core.RequestHead) {
	if err := core.CheckRequestLine(h.Method, h.Path); err != nil {
		p.reject(err.Detail)
	}
	if len(h.Method) > maxNameBytes {
		p.reject("method too long")
	}
}

func (p *headParser) parseRoutingFields() {
	p.req.Service = core.Service(p.textField(HeaderService, maxNameBytes, true))
	p.req.Key = p.textField(HeaderKey, maxKeyBytes, true)
	p.req.Customer = core.Customer(p.textField(HeaderCustomer, maxNameBytes, false))
	switch p.protocolFields[HeaderKind] {
	case "":
	case "short":
		p.req.Kind = core.KindShort
	case "long":
		p.req.Kind = core.KindLong
	default:
		p.reject("unknown kind; it must be short or long")
	}
}

// textField returns the value of a field. An empty value is a fault, and so are
// a missing one if it is required and one longer than maxBytes.
func (p *headParser) textField(name string, maxBytes int, required bool) string {
	v, ok := p.protocolFields[name]
	switch {
	case v == "" && (required || ok):
		p.reject("missing or empty header: " + name)
	case len(v) > maxBytes:
		p.reject("header too long: " + name)
	}
	return v
}

func (p *headParser) parseIdempotency() {
	switch v, ok := p.protocolFields[HeaderIdempotent]; {
	case !ok:
		p.req.Idempotent = idempotentByDefault[p.req.Method]
	case v == "true" || v == "false":
		p.req.Idempotent = v == "true"
	default:
		p.reject("invalid value: " + HeaderIdempotent)
	}
	if v, ok := p.protocolFields[HeaderIdempotencyKey]; ok {
		if !isVisibleASCII(v, maxIdempotencyKeyBytes) {
			p.reject("invalid value: " + HeaderIdempotencyKey)
		}
		p.req.IdempotencyKey = v
	}
}

// maxClockSkew is the tolerated difference between the clocks of a caller and a
// node.
const maxClockSkew = time.Second

// parseTimes reads the deadline and the issue time. A request that has an
// idempotency key and is not idempotent must have an issue time. The record of
// such a request is kept for a limited time and moves between owners; only a
// reliable issue time tells a first attempt from a resend whose record has
// expired.
func (p *headParser) parseTimes(now time.Time) {
	if ms, ok := p.positiveNumberField(HeaderIssuedAt, 1<<52); ok {
		p.req.IssuedAt = time.UnixMilli(ms)
	}
	if p.req.IssuedAt.After(now.Add(maxClockSkew)) {
		p.reject("time is in the future: " + HeaderIssuedAt)
	}
	if !p.req.Idempotent && p.req.IdempotencyKey != "" && p.req.IssuedAt.IsZero() {
		p.reject("missing header, required with " + HeaderIdempotencyKey + ": " + HeaderIssuedAt)
	}
	if ms, ok := p.positiveNumberField(HeaderDeadline, maxDeadline.Milliseconds()); ok {
		p.req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
}

// positiveNumberField returns the value of a field, which must be a decimal
// number from 1 to highest without a sign. It returns false if the field is
// missing or invalid.
func (p *headParser) positiveNumberField(name string, highest int64) (int64, bool) {
	v, ok := p.protocolFields[name]
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 || n > highest || v[0] == '+' {
		p.reject("invalid number: " + name)
		return 0, false
	}
	return n, true
}

// isVisibleASCII reports whether v consists of 1 to maxBytes printable ASCII
// characters other than space.
func isVisibleASCII(v string, maxBytes int) bool {
	if v == "" || len(v) > maxBytes {
		return false
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] >= 0x7f {
			return false
		}
	}
	return true
}

// idempotentByDefault holds the methods whose requests are idempotent unless
// Marjoram-Idempotent says otherwise.
var idempotentByDefault = map[string]bool{
	"GET": true, "HEAD": true, "PUT": true, "DELETE": true, "OPTIONS": true,
}
