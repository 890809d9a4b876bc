package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/standin/loopback"
	"marjoramshore.example/standin/wire"
)

// Guards against a second SIGTERM that ends a stopping process at once and cuts
// off its requests. It came about with seed 2015 of planned work, whose plan
// stops one node twice in a series.
func TestRepeatedSIGTERMKeepsGracePeriod(t *testing.T) {
	binary := buildBinary(t)
	settingsFile := filepath.Join(t.TempDir(), "node.conf")
	ip := loopback.IP(2, 0)
	settings := wire.VM{Node: "n", DataCentre: "a", IP: ip, Service: plainService, Store: ip}.EncodeSettings(settingsBounds)
	must.NoError(t, os.WriteFile(settingsFile, []byte(settings), 0o600))
	cmd := exec.Command(binary, "sidecar")
	cmd.Env = []string{wire.SettingsVariable + "=" + settingsFile}
	must.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	time.Sleep(time.Second) // until the process handles signals
	started := time.Now()
	for range 3 {
		must.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(200 * time.Millisecond)
	}
	must.NoError(t, cmd.Wait())
	must.Greater(t, 2*time.Second, time.Since(started), must.Sprint("the process ended before the 2 s that callers have to leave"))
	must.Less(t, gracePeriod, time.Since(started))
}
