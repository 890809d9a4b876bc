package core

import (
	"net/url"
	"strings"
)

// CheckRequestLine returns an error with CodeInvalid unless the method and the target
// of a request can be passed on byte for byte. Targets are those of the origin form
// (RFC 9112, section 3.2.1). Bytes that RFC 3986 wants encoded are allowed, because
// browsers send some of them as they are; those with which HTTP parsers disagree on
// where a target ends, and what it names, are not: controls, spaces and "#".
func CheckRequestLine(method, target string) *Error {
	if !isToken(method) {
		return Fail(CodeInvalid, "request method is not a token")
	}
	if !strings.HasPrefix(target, "/") {
		return Fail(CodeInvalid, "request target does not begin with /")
	}
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 0x7f || c == '#' {
			return Fail(CodeInvalid, "request target with a control character, a space or #")
		}
	}
	if _, err := TargetURL(target); err != nil {
		return AsError(err)
	}
	return nil
}

// TargetURL returns a URL whose RequestURI is the target, byte for byte. net/url alone
// encodes a path anew that holds a byte which RFC 3986 wants encoded, and then an
// escaped slash becomes a separator.
func TargetURL(target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, Wrap(CodeInvalid, err, "request target is not a valid URI")
	}
	if u.RequestURI() != target {
		u.Opaque, u.RawQuery, u.ForceQuery = target, "", false
	}
	if u.RequestURI() != target { // begins with two slashes
		return nil, Fail(CodeInvalid, "request target cannot be passed on unchanged")
	}
	return u, nil
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
