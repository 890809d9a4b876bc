package soak

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// build compiles the program as a module of its own.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "marjoramshore")
	cmd := exec.Command("go", "build", "-o", binary, ".")
	cmd.Dir = filepath.Join("..", "cmd", "marjoramshore")
	cmd.Env = append(os.Environ(), "GOWORK=off")
	out, err := cmd.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// play runs one seed and keeps the logs of its processes when it fails.
func play(t *testing.T, binary string, seed uint64, s Shape) Result {
	dir := t.TempDir()
	var steps bytes.Buffer
	res, err := Run(t.Context(), Options{Binary: binary, Dir: dir, Seed: seed, Shape: s, PerSecond: 100, Out: &steps})
	must.NoError(t, err)
	if len(res.Violations) > 0 {
		kept, err := os.MkdirTemp("", "soak-failed-")
		must.NoError(t, err)
		must.NoError(t, os.CopyFS(kept, os.DirFS(dir)))
		t.Logf("logs: %s\n%s", kept, steps.String())
	}
	must.SliceEmpty(t, res.Violations)
	must.Positive(t, res.Counts.Answered)
	return res
}

// Guards the promises of the product through real processes: one holder of a
// key, no second run, true refusals, whole answers, drains, configurations, the
// retry budget, and service after the recovery.
func TestShortSoak(t *testing.T) {
	binary := build(t)
	for _, s := range []Shape{
		{Keyed: 3, Plain: 2, Trouble: 8 * time.Second, Gap: 700 * time.Millisecond},
		{Keyed: 3, Plain: 2, Trouble: 8 * time.Second, Gap: 700 * time.Millisecond, Planned: true},
	} {
		res := play(t, binary, 20261204, s)
		var page bytes.Buffer
		must.NoError(t, WriteHTML(&page, []Result{res}))
		must.StrContains(t, page.String(), "No promise was broken")
		must.False(t, strings.Contains(page.String(), "http://"), must.Sprint("the page loads something"))
	}
}
