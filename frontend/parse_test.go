package frontend

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

func head(method string, fields ...string) Head {
	h := Head{Method: method, Path: "/p", Fields: []core.Field{{Name: HeaderService, Value: "s"}, {Name: HeaderKey, Value: "k"}}}
	for i := 0; i < len(fields); i += 2 {
		h.Fields = append(h.Fields, core.Field{Name: fields[i], Value: fields[i+1]})
	}
	return h
}

// Guards against a default that lets non-idempotent work run twice.
func TestParseDefaults(t *testing.T) {
	for method, want := range map[string]bool{
		"GET": true, "HEAD": true, "PUT": true, "DELETE": true, "OPTIONS": true, "POST": false, "PATCH": false, "BREW": false,
	} {
		r, err := Parse(head(method), time.Now())
		must.NoError(t, err)
		must.Eq(t, want, r.Idempotent)
	}
}

func TestParseFields(t *testing.T) {
	now := time.Now()
	r, err := Parse(head("POST", HeaderCustomer, "c", HeaderKind, "long", HeaderIdempotent, "true",
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

// Guards against values that later stages trust without a check.
func TestParseRejects(t *testing.T) {
	for name, h := range map[string]Head{
		"no service": {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderKey, Value: "k"}}},
		"no key":     {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderService, Value: "s"}}},
		"method":     {Method: "G T", Path: "/", Fields: head("").Fields},
		"path":       {Method: "GET", Path: "http://x/", Fields: head("").Fields},
		"escape":     {Method: "GET", Path: "/%zz", Fields: head("").Fields},
		"empty":      head("GET", HeaderCustomer, ""),
		"long key":   {Method: "GET", Path: "/", Fields: []core.Field{{Name: HeaderService, Value: "s"}, {Name: HeaderKey, Value: strings.Repeat("k", maxKey+1)}}},
		"customer":   head("GET", HeaderCustomer, strings.Repeat("c", maxName+1)),
		"twice":      head("GET", HeaderKey, "other"),
		"kind":       head("GET", HeaderKind, "medium"),
		"idempotent": head("GET", HeaderIdempotent, "yes"),
		"idem key":   head("GET", HeaderIdempotencyKey, strings.Repeat("i", maxIdempotencyKey+1)),
		"id":         head("GET", HeaderRequestID, "a b"),
		"issued":     head("GET", HeaderIssuedAt, "yesterday"),
		"future":     head("GET", HeaderIssuedAt, strconv.FormatInt(time.Now().Add(time.Minute).UnixMilli(), 10)),
		"no issue":   head("POST", HeaderIdempotencyKey, "ik"),
		"deadline 0": head("GET", HeaderDeadline, "0"),
		"deadline -": head("GET", HeaderDeadline, "-5"),
		"deadline +": head("GET", HeaderDeadline, "+5"),
		"deadline e": head("GET", HeaderDeadline, "1e3"),
		"deadline ∞": head("GET", HeaderDeadline, "99999999999999"),
		"newline":    head("GET", "X-App", "a\nb"),
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
		h := head(method, n1, v1, n2, v2)
		h.Path = path
		now := time.Now()
		r, err := Parse(h, now)
		if r == nil || !visible(r.ID, maxRequestID) {
			t.Fatal("no usable id")
		}
		if err != nil {
			must.Eq(t, core.CodeInvalid, core.CodeOf(err))
			return
		}
		must.True(t, r.Service != "" && r.Key != "" && len(r.Key) <= maxKey && r.Path[0] == '/')
		must.False(t, strings.ContainsAny(r.Path+r.Method+r.IdempotencyKey, "\r\n \x00"))
		must.False(t, r.Deadline.Before(now) && !r.Deadline.IsZero())
		for _, fd := range r.Header {
			must.False(t, strings.HasPrefix(fd.Name, reservedPrefix) || fd.Name == "Connection" || fd.Name == "Transfer-Encoding" || strings.ContainsAny(fd.Value, "\r\n"))
		}
	})
}
