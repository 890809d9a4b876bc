package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func readExample(t testing.TB, name string) string {
	data, err := os.ReadFile("examples/" + name + ".jsonc")
	must.NoError(t, err)
	return string(data)
}

// Guards against examples that a node refuses, and against defaults that differ
// from the design.
func TestExamples(t *testing.T) {
	for _, name := range []string{"lammasmarkkina", "muscat"} {
		s, err := Load("examples/" + name + ".jsonc")
		must.NoError(t, err)
		must.Eq(t, Timing{600 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond, 1500 * time.Millisecond}, s.Timing)
		must.Eq(t, "info", s.LogLevel)
		must.True(t, s.Advertise.Peer.IsValid())
	}
}

// faultsOf parses text, which must have faults, and returns each fault as
// "LINE FIELD LIMIT".
func faultsOf(t *testing.T, text string) []string {
	t.Helper()
	_, err := Parse("f", []byte(text))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	var out []string
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%d %s %s", f.Line, f.Field, f.Limit))
	}
	return out
}

// Guards against an error that lists only the first fault, or faults without
// line or requirement.
func TestReportsEveryFault(t *testing.T) {
	text := readExample(t, "lammasmarkkina")
	text = strings.Replace(text, `"hinta-01"`, "17", 1)
	text = strings.Replace(text, `"127.0.0.1:18001"`, `"localhost:1"`, 1)
	text = strings.Replace(text, `8192,`, `7, "conections": 1,`, 1)
	text = strings.Replace(text, `"service": "hintapalvelu"`, `"region": "x"`, 1)
	text = strings.Replace(text, `"info"`, `"loud"`, 1)
	must.Eq(t, []string{
		`1 service is required: a text of 1 to 64 letters, digits, '-', '_' and '.'`,
		`4 node_id must be a text of 1 to 64 letters, digits, '-', '_' and '.'`,
		`7 region must appear once`,
		`11 listen.peer must be an IP address and port such as "10.0.0.1:8000"`,
		`26 limits.connections must be a whole number from 16 to 65536`,
		`26 limits.conections is not a known field`,
		`27 log_level must be "debug", "info", "warn" or "error"`,
	}, faultsOf(t, text))
}

// Guards against values that are valid alone but contradict each other, and
// against an advertised address that nobody can reach.
func TestReportsContradictions(t *testing.T) {
	text := readExample(t, "muscat")
	text = strings.Replace(text, `"127.0.0.1:19001"`, `"0.0.0.0:19001"`, 1)
	text = strings.Replace(text, `"127.0.0.1:19003"`, `"127.0.0.1:19002"`, 1)
	text = strings.Replace(text, "example-change", "example-read", 1)
	text = strings.Replace(text, `"promise_ms": 1500`, `"promise_ms": 1199`, 1)
	text = strings.Replace(text, `"lease_ms": 2700`, `"lease_ms": 1199`, 1)
	must.Eq(t, []string{
		"13 listen.metrics must differ from listen.operator",
		"18 advertise.peer must be an address that others can reach, not 0.0.0.0",
		"30 operator.change_token must differ from operator.read_token",
		"35 timing.promise_ms must be at least 2 times timing.heartbeat_ms",
		"35 timing.lease_ms must be at least timing.promise_ms plus timing.heartbeat_ms",
	}, faultsOf(t, text))
}

// Guards against a syntax fault without its line, and against a fault of the
// whole file that is not reported as Faults.
func TestSyntaxFaultsHaveLines(t *testing.T) {
	must.StrHasPrefix(t, "3  must be JSON with comments: column 1: ", faultsOf(t, "{\n\"node_id\": 1\n\"x\"")[0])
	must.Eq(t, []string{"1  must be an object"}, faultsOf(t, "[]"))
	must.Eq(t, 1, len(faultsOf(t, strings.Repeat(" ", maxFileBytes+1))))
	_, err := Load("examples/absent.jsonc")
	must.StrContains(t, err.Error(), "examples/absent.jsonc: must be readable")
}

// Guards against keys and tokens in formatted settings, for example in logs.
func TestSecretsAreHidden(t *testing.T) {
	s, err := Load("examples/muscat.jsonc")
	must.NoError(t, err)
	for _, f := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		must.StrNotContains(t, fmt.Sprintf(f, s), "replace-me")
	}
	must.StrContains(t, s.PeerKey.Reveal(), "replace-me")
}

// Guards against a README.md whose table differs from the fields.
func TestReadmeHasReference(t *testing.T) {
	readme, err := os.ReadFile("README.md")
	must.NoError(t, err)
	must.StrContains(t, string(readme), Reference())
}

// Guards against input that crashes the parser, and against a fault whose line
// is outside the file.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"lammasmarkkina", "muscat"} {
		f.Add([]byte(readExample(f, name)))
	}
	f.Add([]byte("{\"listen\": [{}], \"listen\": {\"peer\": {}}, \"timing\": {\"lease_ms\": 1e9}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		var faults Faults
		if err != nil && (!errors.As(err, &faults) || len(faults) == 0) {
			t.Fatalf("untyped or empty fault: %v", err)
		}
		for _, fault := range faults {
			if fault.Line < 0 || fault.Line > 1+strings.Count(string(data), "\n") || fault.Limit == "" {
				t.Fatalf("fault outside the file or without limit: %+v", fault)
			}
		}
	})
}
