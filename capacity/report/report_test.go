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
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	must.NoError(t, err)
	r, err := Recorded()
	must.NoError(t, err)
	text, err := capacity.Text(r)
	must.NoError(t, err)
	from, to, err := capacity.Section(string(page))
	must.NoError(t, err)
	must.Eq(t, text, string(page)[from:to])
}

// Guards against a recorded line that does not belong to its points, and
// against fewer than three sizes. A group of two has no ordinary member.
func TestRecord(t *testing.T) {
	r, err := Recorded()
	must.NoError(t, err)
	for _, s := range r.Slopes {
		must.Eq(t, capacity.Fit(s), s)
		if !strings.HasPrefix(s.Name, "member-") {
			must.GreaterEq(t, 3, len(s.Points), must.Sprint(s.Name))
		}
	}
}

// Guards against a command that writes something other than the tables.
func TestCommand(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	must.NoError(t, os.WriteFile(page, []byte("head\n"+capacity.Begin+capacity.End+"\nfoot\n"), 0o600))
	var out strings.Builder
	must.NoError(t, Run(&out, Options{PageFile: page}))
	got, err := os.ReadFile(page)
	must.NoError(t, err)
	must.Eq(t, "head\n"+out.String()+"foot\n", string(got))
	must.NoError(t, Run(&out, Options{OnlySlope: "table-bytes"}))
	must.True(t, errors.As(Run(&out, Options{OnlySlope: "none"}), new(*NameError)))
	must.True(t, errors.As(Run(&out, Options{PageFile: page + "x"}), new(*FileError)))
}
