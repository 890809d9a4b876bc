package telemetry

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/apex/log"
)

// maxValue bounds one value, so that an event stays a readable line.
const maxValue = 1024

// format returns the line of one event: time, level and msg, and then the
// fields in the order of their names.
func format(at time.Time, e *log.Entry) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "time="...)
	b = at.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, " level="...)
	b = append(b, e.Level.String()...)
	b = append(b, " msg="...)
	b = appendValue(b, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		b = append(b, ' ')
		b = append(b, key(name)...)
		b = append(b, '=')
		b = appendValue(b, fmt.Sprint(e.Fields[name]))
	}
	return append(b, '\n')
}

// key returns a name without characters that would need quotes, and apart from
// the three fixed names.
func key(name string) string {
	switch name {
	case "", "time", "level", "msg":
		return "field_" + name
	}
	return strings.Map(func(c rune) rune {
		if c == '=' || c == '"' || c == ' ' || !unicode.IsPrint(c) || c == utf8.RuneError {
			return '_'
		}
		return c
	}, name)
}

func appendValue(b []byte, v string) []byte {
	if len(v) > maxValue {
		v = strings.ToValidUTF8(v[:maxValue], "") + "..."
	}
	if v == "" || !utf8.ValidString(v) || strings.ContainsFunc(v, needsQuotes) {
		return strconv.AppendQuote(b, v)
	}
	return append(b, v...)
}

func needsQuotes(c rune) bool {
	return c == ' ' || c == '=' || c == '"' || c == '\\' || !unicode.IsPrint(c)
}
