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

// buildBinary compiles the program as a module of its own, outside the
// workspace.
func buildBinary(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "marjoramshore")
	cmd := exec.Command("go", "build", "-o", binary, ".")
	cmd.Dir = filepath.Join("..", "cmd", "marjoramshore")
	cmd.Env = append(os.Environ(), "GOWORK=off")
	out, err := cmd.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return binary
}

// runSeed runs one seed and fails the test on a violation. It then keeps the
// logs of the processes in a directory that outlives the test.
func runSeed(t *testing.T, binary string, seed uint64, shape Shape) Result {
	dir := t.TempDir()
	var steps bytes.Buffer
	result, err := Run(t.Context(), Options{Binary: binary, Dir: dir, Seed: seed, Shape: shape, PerSecond: 100, CallersPerNode: 4, Out: &steps})
	must.NoError(t, err)
	if len(result.Violations) > 0 {
		logDir, err := os.MkdirTemp("", "soak-failed-")
		must.NoError(t, err)
		must.NoError(t, os.CopyFS(logDir, os.DirFS(dir)))
		t.Logf("logs: %s\n%s", logDir, steps.String())
	}
	must.SliceEmpty(t, result.Violations)
	must.Positive(t, result.Counts.Answered)
	return result
}

// Guards the guarantees of the product with real processes under faults: one
// holder for each key, no second execution of a request, no execution of a
// refused request, complete responses, drains, configuration changes, the retry
// budget, and recovery.
func TestShortSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, shape := range []Shape{
		{Keyed: 3, Plain: 2, Trouble: 8 * time.Second, Gap: 700 * time.Millisecond},
		{Keyed: 3, Plain: 2, Trouble: 8 * time.Second, Gap: 700 * time.Millisecond, Planned: true},
	} {
		result := runSeed(t, binary, 20261204, shape)
		var page bytes.Buffer
		must.NoError(t, WriteHTML(&page, []Result{result}))
		must.StrContains(t, page.String(), "No guarantee was violated")
		must.False(t, strings.Contains(page.String(), "http://"), must.Sprint("the page refers to another resource"))
	}
}
