package frontend

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

func newHead(method string, fields ...string) Head {
	h := Head{Method: method, Path: "/p", Fields: []core.Field{{Name: HeaderService, Value: "s"}, {Name: HeaderKey, Value: "k"}}}
	for i := 0; i < len(fields); i += 2 {
		h.Fields = append(h.Fields, core.Field{Name: fields[i], Value: fields[i+1]})
	}
	return h
}

// Guards against treating the requests of a method as idempotent by mistake,
// which would let them run twice.
func TestParseDefaults(t *testing.T) {
	for method, want := range map[string]bool{
		"GET": true, "HEAD": true, "PUT": true, "DELETE": true, "OPTIONS": true, "POST": false, "PATCH": false, "BREW": false,
	} {
		r, err := Parse(newHead(method), time.Now())
		must.NoError(t, err)
		must.Eq(t, want, r.Idempotent)
	}
}

func TestParseFields(t *testing.T) {
	now := time.Now()
	r, err := Parse(newHead("POST", HeaderCustomer, "c", HeaderKind, "long", HeaderIdempotent, "true",
		HeaderIdempotencyKey, "ik", HeaderIssuedAt, "1700000000000", HeaderDeadline, "250",
		"marjoram-fencing-token", "9.9", "connection", "x-own", "X-Own", "1", "X-App", "2"), now)
	must.NoError(t, err)
	must.Eq(t, core.Customer("c"), r.Customer)
	must.Eq(t, core.KindLong, r.Kind)
	must.True(t, r.Idempotent)
	must.Eq(t, "ik", r.IdempotencyKey)
	must.Eq(t, int64(1700000000000), r.IssuedAt.UnixMilli())
	must.Eq(t, 250*time.Millisecond, r.Deadline.Sub(now))
	must.Eq(t, []core.Field{{Name: "X-App", Value: "2"}}, r.Header)
}

// Guards against accepting values that the components behind Parse use without
// a check.
func TestParseRejects(t *testing.T) {
	for name, h := range map[string]Head{
		"no service": {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderKey, Value: "k"}}},
		"no key":     {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderService, Value: "s"}}},
		"method":     {Method: "G T", Path: "/", Fields: newHead("").Fields},
		"path":       {Method: "GET", Path: "http://x/", Fields: newHead("").Fields},
		"escape":     {Method: "GET", Path: "/%zz", Fields: newHead("").Fields},
		"empty":      newHead("GET", HeaderCustomer, ""),
		"long key":   {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderService, Value: "s"}, {Name: HeaderKey, Value: strings.Repeat("k", maxKeyBytes+1)}}},
		"customer":   newHead("GET", HeaderCustomer, strings.Repeat("c", maxNameBytes+1)),
		"twice":      newHead("GET", HeaderKey, "other"),
		"kind":       newHead("GET", HeaderKind, "medium"),
		"idempotent": newHead("GET", HeaderIdempotent, "yes"),
		"idem key":   newHead("GET", HeaderIdempotencyKey, strings.Repeat("i", maxIdempotencyKeyBytes+1)),
		"id":         newHead("GET", HeaderRequestID, "a b"),
		"issued":     newHead("GET", HeaderIssuedAt, "yesterday"),
		"future":     newHead("GET", HeaderIssuedAt, strconv.FormatInt(time.Now().Add(time.Minute).UnixMilli(), 10)),
		"no issue":   newHead("POST", HeaderIdempotencyKey, "ik"),
		"deadline 0": newHead("GET", HeaderDeadline, "0"),
		"deadline -": newHead("GET", HeaderDeadline, "-5"),
		"deadline +": newHead("GET", HeaderDeadline, "+5"),
		"deadline e": newHead("GET", HeaderDeadline, "1e3"),
		"deadline ∞": newHead("GET", HeaderDeadline, "99999999999999"),
		"newline":    newHead("GET", "X-App", "a\nb"),
	} {
		t.Run(name, func(t *testing.T) {
			r, err := Parse(h, time.Now())
			must.Eq(t, core.CodeInvalid, core.CodeOf(err))
			must.NotEq(t, "", r.ID)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("GET", "/p?q", HeaderKind, "short", HeaderDeadline, "10")
	f.Add("POST", "/%20", "connection", "close, x", "idempotency-key", "abc")
	f.Add("P\x00", "//x", "marjoram-key", "\xff", "X", "\r\n")
	f.Fuzz(func(t *testing.T, method, path, n1, v1, n2, v2 string) {
		h := newHead(method, n1, v1, n2, v2)
		h.Path = path
		now := time.Now()
		r, err := Parse(h, now)
		if r == nil || !isVisibleASCII(r.ID, maxRequestIDBytes) {
			t.Fatal("request without a valid ID")
		}
		if err != nil {
			must.Eq(t, core.CodeInvalid, core.CodeOf(err))
			return
		}
		must.True(t, r.Service != "" && r.Key != "" && len(r.Key) <= maxKeyBytes && r.Path[0] == '/')
		must.False(t, strings.ContainsAny(r.Path+r.Method+r.IdempotencyKey, "\r\n \x00"))
		must.False(t, r.Deadline.Before(now) && !r.Deadline.IsZero())
		for _, fd := range r.Header {
			must.False(t, strings.HasPrefix(fd.Name, reservedFieldPrefix) || fd.Name == "Connection" || fd.Name == "Transfer-Encoding" || strings.ContainsAny(fd.Value, "\r\n"))
		}
	})
}
