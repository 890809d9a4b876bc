package frontend

import (
	"crypto/rand"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
	"marjoramshore.example/core"
)

// Headers set by callers.
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

// Headers of answers.
const (
	HeaderOutcome = "Marjoram-Outcome"
	HeaderReason  = "Marjoram-Reason"
	HeaderOwner   = "Marjoram-Owner"
)

const reservedPrefix = "Marjoram-"

// Bounds of header values. They keep the records of later stages small.
const (
	maxName           = 64
	maxKey            = 1024
	maxIdempotencyKey = 255
	maxRequestID      = 64
	maxDeadline       = 24 * time.Hour
)

// Parse turns a head into a request without a body. Every failure has
// CodeInvalid; the request then still carries the id for the answer.
func Parse(h core.RequestHead, now time.Time) (*core.Request, error) {
	req := &core.Request{Method: h.Method, Path: h.Path, Body: core.NoBody}
	p := parser{own: make(map[string]string, 8), req: req}
	p.split(h.Fields)
	p.id()
	p.target(h)
	p.names()
	p.repetition()
	p.times(now)
	if p.err != nil {
		return req, p.err
	}
	return req, nil
}

// parser collects the first fault.
type parser struct {
	own map[string]string
	req *core.Request
	err *core.Error
}

func (p *parser) fail(detail string) {
	if p.err == nil {
		p.err = core.Fail(core.CodeInvalid, detail)
	}
}

// split separates the fields of this protocol from those of the application.
// Callers cannot pass reserved fields on, such as a fencing token.
func (p *parser) split(fields []core.Field) {
	rest := make([]core.Field, 0, len(fields))
	for _, f := range fields {
		name := textproto.CanonicalMIMEHeaderKey(f.Name)
		switch {
		case !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value):
			p.fail("malformed header field")
		case strings.HasPrefix(name, reservedPrefix) || name == HeaderIdempotencyKey:
			if _, twice := p.own[name]; twice {
				p.fail("repeated header: " + name)
			}
			p.own[name] = strings.TrimSpace(f.Value)
		default:
			rest = append(rest, f)
		}
	}
	p.req.Header = core.StripHopByHopFields(rest)
}

func (p *parser) id() {
	id, ok := p.own[HeaderRequestID]
	if ok && !visible(id, maxRequestID) {
		p.fail("bad value: " + HeaderRequestID)
		ok = false
	}
	if !ok {
		id = rand.Text()
	}
	p.req.ID = id
}

func (p *parser) target(h core.RequestHead) {
	if !httpguts.ValidHeaderFieldName(h.Method) || len(h.Method) > maxName {
		p.fail("bad method")
	}
	if !strings.HasPrefix(h.Path, "/") {
		p.fail("the target must be an absolute path")
		return
	}
	if _, err := url.ParseRequestURI(h.Path); err != nil || !httpguts.ValidHeaderFieldValue(h.Path) || strings.ContainsAny(h.Path, " \t") {
		p.fail("malformed path")
	}
}

func (p *parser) names() {
	p.req.Service = core.Service(p.text(HeaderService, maxName, true))
	p.req.Key = p.text(HeaderKey, maxKey, true)
	p.req.Customer = core.Customer(p.text(HeaderCustomer, maxName, false))
	switch p.own[HeaderKind] {
	case "":
	case "short":
		p.req.Kind = core.KindShort
	case "long":
		p.req.Kind = core.KindLong
	default:
		p.fail("unknown kind")
	}
}

func (p *parser) text(name string, limit int, required bool) string {
	v, ok := p.own[name]
	switch {
	case v == "" && (required || ok):
		p.fail("missing or empty: " + name)
	case len(v) > limit:
		p.fail("too long: " + name)
	}
	return v
}

func (p *parser) repetition() {
	switch v, ok := p.own[HeaderIdempotent]; {
	case !ok:
		p.req.Idempotent = idempotentMethods[p.req.Method]
	case v == "true" || v == "false":
		p.req.Idempotent = v == "true"
	default:
		p.fail("bad value: " + HeaderIdempotent)
	}
	if v, ok := p.own[HeaderIdempotencyKey]; ok {
		if !visible(v, maxIdempotencyKey) {
			p.fail("bad value: " + HeaderIdempotencyKey)
		}
		p.req.IdempotencyKey = v
	}
}

// maxSkew bounds how far the clocks of a caller and a node may differ.
const maxSkew = time.Second

// times reads the deadline and the issue time. Records of non-idempotent
// requests are kept for a while and move between owners; only a trustworthy
// issue time tells a first attempt from a resend that is older than the record.
func (p *parser) times(now time.Time) {
	if ms, ok := p.number(HeaderIssuedAt, 1<<52); ok {
		p.req.IssuedAt = time.UnixMilli(ms)
	}
	if p.req.IssuedAt.After(now.Add(maxSkew)) {
		p.fail("in the future: " + HeaderIssuedAt)
	}
	if !p.req.Idempotent && p.req.IdempotencyKey != "" && p.req.IssuedAt.IsZero() {
		p.fail("missing beside " + HeaderIdempotencyKey + ": " + HeaderIssuedAt)
	}
	if ms, ok := p.number(HeaderDeadline, maxDeadline.Milliseconds()); ok {
		p.req.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
}

// number reads a positive decimal without sign.
func (p *parser) number(name string, limit int64) (int64, bool) {
	v, ok := p.own[name]
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 || n > limit || v[0] == '+' {
		p.fail("bad number: " + name)
		return 0, false
	}
	return n, true
}

// visible reports whether v is 1 to limit printable ASCII characters without
// spaces.
func visible(v string, limit int) bool {
	if v == "" || len(v) > limit {
		return false
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] >= 0x7f {
			return false
		}
	}
	return true
}

// idempotentMethods holds the methods that count as idempotent when the caller
// does not say.
var idempotentMethods = map[string]bool{
	"GET": true, "HEAD": true, "PUT": true, "DELETE": true, "OPTIONS": true,
}
