package sidecar_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a backend server that has deregistered and gets requests again,
// because a late status report of it reaches the process that was started after that:
// they are lost when it exits. A backend server that has not left is used at once.
func TestLateReportAfterRestartBringsNoRequests(t *testing.T) {
	f := startFleet(t, "prices", "prices", "reports")
	f.backends[2].Crash()
	f.backends = f.backends[:2]
	var runs atomic.Int64
	ln, err := net.Listen("tcp", f.settings[2].BackendAddress)
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Marjoramshore-Attempt-Id", r.Header.Get("X-Marjoramshore-Attempt-Id"))
		w.Header().Set("X-Marjoramshore-Response-Signature", "s")
	}))
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	t.Cleanup(server.Close)
	report := func(born, sequence int64) {
		r := f.reportOf(2, born)
		delete(r, "holds")
		delete(r, "freed")
		r["status"].(map[string]any)["seq"] = sequence
		must.Eq(t, http.StatusOK, f.postReport(2, "i-leaver", r))
	}
	served := func() bool {
		resp, _, err := f.send(0, "POST", "/sheet/1", "s", -1, "x")
		return err == nil && resp.StatusCode == http.StatusOK
	}
	restart := func() {
		f.nodes[2].Stop()
		f.nodes[2] = f.startNode(f.settings[2])
	}
	born := time.Now().UnixMilli()
	report(born, 1)
	f.waitFor("the backend server gets no requests", 2*time.Second, served)
	restart()
	report(born, 2)
	f.waitFor("a backend server that has not left gets no requests after a restart of its node", time.Second, served)

	must.Eq(t, http.StatusOK, f.postControl(2, "i-leaver", "deregister", ""))
	restart() // takes longer than the drain
	before := runs.Load()
	report(born, 3)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		must.False(t, served(), must.Sprint("a request is served by the backend server that has left"))
	}
	must.Eq(t, before, runs.Load())
	report(time.Now().UnixMilli(), 1)
	f.waitFor("the next run gets no requests", time.Second, served)
}
