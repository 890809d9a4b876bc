package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/platform"
)

// leaver is a backend server of the third node of a fleet, whose status reports the
// test sends.
type leaver struct {
	*testFleet
	runs atomic.Int64
}

func startLeaver(t *testing.T) *leaver {
	return startLeaverWith(t, func(int, *platform.Settings) {})
}

func startLeaverWith(t *testing.T, adjust func(int, *platform.Settings)) *leaver {
	f := &leaver{testFleet: startFleetWith(t, adjust, "prices", "prices", "reports")}
	f.backends[2].Crash()
	f.backends = f.backends[:2]
	ln, err := net.Listen("tcp", f.settings[2].BackendAddress)
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Marjoramshore-Attempt-Id", r.Header.Get("X-Marjoramshore-Attempt-Id"))
		w.Header().Set("X-Marjoramshore-Response-Signature", "s")
	}))
	_ = server.Listener.Close()
	server.Listener = ln
	server.Start()
	t.Cleanup(server.Close)
	return f
}

// report sends a status report of a run.
func (f *leaver) report(born, sequence int64) { f.reportCold(born, sequence, "0ms") }

// reportCold sends a status report of a run that stays cold for a time.
func (f *leaver) reportCold(born, sequence int64, remaining string) {
	r := f.reportOf(2, born)
	delete(r, "holds")
	delete(r, "freed")
	status := r["status"].(map[string]any)
	status["seq"], status["cold-remaining"] = sequence, remaining
	must.Eq(f.t, http.StatusOK, f.postReport(2, "i-leaver", r))
}

// served reports whether a request that enters at another node is served.
func (f *leaver) served() bool {
	resp, _, err := f.send(0, "POST", "/sheet/1", "s", -1, "x")
	return err == nil && resp.StatusCode == http.StatusOK
}

func (f *leaver) restart() {
	f.nodes[2].Stop()
	f.nodes[2] = f.startNode(f.settings[2])
}

// Guards against a backend server that has deregistered and gets requests again,
// because a late status report of it reaches the process that was started after that:
// they are lost when it exits. A backend server that has not left is used at once.
func TestLateReportAfterRestartBringsNoRequests(t *testing.T) {
	f := startLeaver(t)
	born := time.Now().UnixMilli()
	f.report(born, 1)
	f.waitFor("the backend server gets no requests", 2*time.Second, f.served)
	f.restart()
	f.report(born, 2)
	f.waitFor("a backend server that has not left gets no requests after a restart of its node", time.Second, f.served)

	must.Eq(t, http.StatusOK, f.postControl(2, "i-leaver", "deregister", ""))
	f.restart() // takes longer than the drain
	before := f.runs.Load()
	f.report(born, 3)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		must.False(t, f.served(), must.Sprint("a request is served by the backend server that has left"))
	}
	must.Eq(t, before, f.runs.Load())
	f.report(time.Now().UnixMilli(), 1)
	f.waitFor("the next run gets no requests", time.Second, f.served)
}

// Guards against a run that counts as leaving, and gets no requests any more, because the
// call by which its former run deregistered arrives late: after the former run has ended,
// and after the first report of the next one, which has the same name.
func TestLateLeaveOfAFormerRunIsIgnored(t *testing.T) {
	f := startLeaver(t)
	born := time.Now().UnixMilli()
	f.report(born, 1)
	f.waitFor("the backend server gets no requests", 2*time.Second, f.served)
	conn, err := net.Dial("tcp", f.settings[2].ReportAddress)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST /instances/i-leaver/deregister HTTP/1.1\r\nHost: node\r\n")
	must.NoError(t, err)
	f.report(born+1, 1)
	_, err = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	time.Sleep(500 * time.Millisecond) // beacons are sent at once
	must.True(t, f.served(), must.Sprint("the call does not tell the start of its run"))
	must.Eq(t, http.StatusOK, f.postControl(2, "i-leaver", "deregister", fmt.Sprintf(`{"born":%d}`, born)))
	time.Sleep(500 * time.Millisecond)
	must.True(t, f.served(), must.Sprint("the call tells the start of its run"))

	must.Eq(t, http.StatusOK, f.postControl(2, "i-leaver", "deregister", ""))
	f.waitFor("the present run, which waits for the answer, is not taken to leave", 5*time.Second, func() bool { return !f.served() })
}

// Guards against a backend server that has deregistered and gets requests again from
// the node beside it, because that was started anew and the store has gone back to a
// copy without the leave. The other nodes know of it.
func TestLeaveThatTheStoreLostStays(t *testing.T) {
	f := startLeaver(t)
	f.store.TellEra()
	born := time.Now().UnixMilli()
	f.report(born, 1)
	f.waitFor("the backend server gets no requests", 2*time.Second, f.served)
	time.Sleep(500 * time.Millisecond)
	must.Eq(t, http.StatusOK, f.postControl(2, "i-leaver", "deregister", ""))
	time.Sleep(100 * time.Millisecond)
	f.nodes[2].Stop() // takes longer than the drain
	f.store.GoBack(5 * time.Second)
	f.nodes[2] = f.startNode(f.settings[2])
	f.report(born, 2)
	time.Sleep(time.Second) // beacons arrive within half of it
	before := f.runs.Load()
	f.report(born, 3)
	for range 10 {
		resp, _, err := f.send(2, "POST", "/sheet/1", "s", -1, "x")
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	must.Eq(t, before, f.runs.Load(), must.Sprint("the backend server that has left got requests"))
}

// Guards against a leave that is forgotten because the node stops while its backend
// server refuses connections: the address and the leave were removed from the store, and
// a late report of the run made the next process send requests to it.
func TestLeaveOfAServerThatRefusesConnectionsSurvivesAStop(t *testing.T) {
	f := startFleet(t, "prices", "prices", "prices")
	f.backends[2].Leave()
	f.waitFor("the leave is not known", 5*time.Second, func() bool { return len(f.backends[2].KeyRanges()) == 0 })
	f.backends[2].RefuseConnections()
	f.nodes[2].Stop()
	must.True(t, f.store.Has("marjoramshore", "node.node-2"), must.Sprint("the backend server reports, and may serve"))
	f.nodes[2] = f.startNode(f.settings[2])
}
