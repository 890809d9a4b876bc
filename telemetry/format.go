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

// maxValueBytes limits one value, so that an event stays a readable line. A
// longer value is truncated and ends in three dots.
const maxValueBytes = 1024

// formatEvent returns the line of one event, with its newline: time, level and
// msg, and then the fields in the order of their names.
func formatEvent(timestamp time.Time, e *log.Entry) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "time="...)
	b = timestamp.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, " level="...)
	b = append(b, e.Level.String()...)
	b = append(b, " msg="...)
	b = appendValue(b, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		b = append(b, ' ')
		b = append(b, fieldKey(name)...)
		b = append(b, '=')
		b = appendValue(b, fmt.Sprint(e.Fields[name]))
	}
	return append(b, '\n')
}

// fieldKey returns the key for a field name. Characters that would need quotes
// become underscores, and a name that is empty or equals one of the three fixed
// keys gets a prefix.
func fieldKey(name string) string {
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

// appendValue appends v, in quotes if a parser would need them.
func appendValue(b []byte, v string) []byte {
	if len(v) > maxValueBytes {
		v = strings.ToValidUTF8(v[:maxValueBytes], "") + "..."
	}
	if v == "" || !utf8.ValidString(v) || strings.ContainsFunc(v, needsQuotes) {
		return strconv.AppendQuote(b, v)
	}
	return append(b, v...)
}

func needsQuotes(c rune) bool {
	return c == ' ' || c == '=' || c == '"' || c == '\\' || !unicode.IsPrint(c)
}
