package core

import (
	"net/textproto"
	"strings"
)

// isHopByHop reports whether a field with the given canonical name applies to a
// single connection (RFC 9110, section 7.6.1), or is derived from the message by
// the encoder of the next hop.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return true
	}
	return false
}

// StripHopByHopFields returns the end-to-end fields, with canonical names: all
// except the hop-by-hop ones and those that a Connection field names.
func StripHopByHopFields(fields []Field) []Field {
	options := parseConnectionOptions(fields)
	out := make([]Field, 0, len(fields))
	for _, f := range fields {
		f.Name = textproto.CanonicalMIMEHeaderKey(f.Name)
		if !isHopByHop(f.Name) && !options[f.Name] {
			out = append(out, f)
		}
	}
	return out
}

// parseConnectionOptions returns the canonical names that the Connection fields
// list, or nil if there are none.
func parseConnectionOptions(fields []Field) map[string]bool {
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
