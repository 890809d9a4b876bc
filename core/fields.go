package core

import (
	"net/textproto"
	"strings"
)

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1),
// and those that the next encoder writes from the message itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
}

// StripHopByHopFields returns the fields that are passed on, with canonical names: all but
// the hop-by-hop ones and those that a Connection field declares as such.
func StripHopByHopFields(fields []Field) []Field {
	declared := declaredHopByHop(fields)
	out := make([]Field, 0, len(fields))
	for _, f := range fields {
		f.Name = textproto.CanonicalMIMEHeaderKey(f.Name)
		if !hopByHop[f.Name] && !declared[f.Name] {
			out = append(out, f)
		}
	}
	return out
}

func declaredHopByHop(fields []Field) map[string]bool {
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
