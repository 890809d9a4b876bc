package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/platform"
)

// Guards against keys that another backend server is given while their holder, which
// refuses connections because it is full or leaves, still holds them: two refused
// connections in a row were taken for the end of its run.
func TestServerThatRefusesConnectionsKeepsItsKeys(t *testing.T) {
	f := startFleetWith(t, func(_ int, s *platform.Settings) { s.ReportInterval = 870 * time.Millisecond }, "prices", "prices")
	held := f.backends[0].KeyRanges()
	must.SliceNotEmpty(t, held)
	f.backends[0].RefuseConnections()
	refused := 0
	for i := range 4 {
		resp, _, err := f.send(0, "GET", "/look/x", fmt.Sprintf("r%d", i), held[0].From, "")
		must.NoError(t, err)
		if resp.StatusCode == 503 {
			refused++
		}
	}
	must.Positive(t, refused, must.Sprint("no request met a refused connection"))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.eachKeyHeldOnce("prices") // fails the test if a key has two holders
	}
	must.Eq(t, held, f.backends[0].KeyRanges())
	must.NoError(t, f.backends[0].AcceptConnections())
	f.waitFor("the backend server gets no requests again", 2*time.Second, func() bool {
		resp, _, err := f.send(1, "GET", "/look/x", fmt.Sprintf("a%d", time.Now().UnixNano()), held[0].From, "")
		return err == nil && resp.StatusCode == 200
	})
}

// Guards against keys of a backend server that has ended which stay idle although the
// next run on its VM shows that it has.
func TestKeysOfACrashedServerGoToItsNextRunAtOnce(t *testing.T) {
	f := startFleetWith(t, func(_ int, s *platform.Settings) { s.ReportInterval = 870 * time.Millisecond }, "prices", "prices")
	key := f.backends[0].KeyRanges()[0].From
	f.backends[0].Crash()
	f.backends[0] = f.startBackend(0, "i-next")
	start := time.Now()
	f.waitFor("keys not held by the next run", 10*time.Second, func() bool { return f.eachKeyHeldOnce("prices") })
	t.Logf("all keys held again %v after the next run began", time.Since(start).Round(time.Millisecond))
	resp, _, err := f.send(1, "GET", "/look/x", "n", key, "")
	must.NoError(t, err)
	must.Eq(t, 200, resp.StatusCode)
}
