package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/wire"
)

// Guards against a second SIGTERM that ends a stopping process at once and cuts
// its requests: seed 2015 of planned work had two stops of one node in a series.
func TestSecondSignalDoesNotEndAStop(t *testing.T) {
	binary := build(t)
	file := filepath.Join(t.TempDir(), "node.conf")
	ip := host(2, 0)
	text := wire.VM{Node: "n", DataCentre: "a", IP: ip, Service: plainService, Store: ip}.EncodeSettings(bounds)
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	cmd := exec.Command(binary, "sidecar")
	cmd.Env = []string{wire.SettingsVariable + "=" + file}
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	time.Sleep(time.Second) // until it handles signals
	started := time.Now()
	for range 3 {
		must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
	}
	must.NoError(t, cmd.Wait())
	must.Greater(t, 2*time.Second, time.Since(started), must.Sprint("callers have 2 s to leave"))
	must.Less(t, grace, time.Since(started))
}
