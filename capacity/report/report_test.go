package report

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/capacity"
)

// Guards against a page that differs from the calculation with the recorded
// slopes.
func TestPageMatchesRecord(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	measurements, err := LoadRecorded()
	must.NoError(t, err)
	generated, err := capacity.GeneratedText(measurements)
	must.NoError(t, err)
	from, to, err := capacity.FindGenerated(string(page))
	must.NoError(t, err)
	must.Eq(t, generated, string(page)[from:to])
}

// Guards against a recorded line that does not fit its points, and against
// slopes with fewer than three sizes. Slopes of ordinary members have only two,
// because a group of two has no ordinary member.
func TestRecordedSlopes(t *testing.T) {
	measurements, err := LoadRecorded()
	must.NoError(t, err)
	for _, s := range measurements.Slopes {
		must.Eq(t, capacity.Fit(s), s)
		if !strings.HasPrefix(s.Name, "member-") {
			must.GreaterEq(t, 3, len(s.Points), must.Sprint(s.Name))
		}
	}
}

// Guards against a command whose output differs from the part of the page that
// it generates, and against lost errors.
func TestRunOutput(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	must.NoError(t, os.WriteFile(page, []byte("head\n"+capacity.BeginMarker+capacity.EndMarker+"\nfoot\n"), 0o600))
	var out strings.Builder
	must.NoError(t, Run(&out, Options{PageFile: page}))
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, "head\n"+out.String()+"foot\n", string(got))
	must.NoError(t, Run(&out, Options{OnlySlope: "table-bytes"}))
	must.True(t, errors.As(Run(&out, Options{OnlySlope: "none"}), new(*UnknownSlopeError)))
	must.True(t, errors.As(Run(&out, Options{PageFile: page + "x"}), new(*FileError)))
}
