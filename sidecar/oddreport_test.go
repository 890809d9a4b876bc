package sidecar_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reportOf returns a whole status report of a backend server of the fleet that was
// started at born.
func (f *testFleet) reportOf(i int, born int64) map[string]any {
	return map[string]any{
		"address": f.settings[i].BackendAddress, "born": born,
		"info":   map[string]any{"service": f.settings[i].Service, "version": "v1", "zone": "a", "slots": 4},
		"status": map[string]any{"state": "ready", "seq": 1_000_000, "cold-remaining": "0ms"},
		"holds":  []any{}, "freed": []any{},
	}
}

// postReport sends a status report to a node and returns the status of the answer.
func (f *testFleet) postReport(i int, instance string, report map[string]any) int {
	body, err := json.Marshal(report)
	must.NoError(f.t, err)
	return f.postControl(i, instance, "heartbeat", string(body))
}

// postControl makes a call of a backend server to a node, on a connection of its
// own, and returns the status of the answer.
func (f *testFleet) postControl(i int, instance, action, body string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+f.settings[i].ReportAddress+"/instances/"+instance+"/"+action, "application/json", strings.NewReader(body))
	must.NoError(f.t, err)
	must.NoError(f.t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against a status report of another writer that takes the keys from the
// backend server that holds them: its run counted as ended, and others got its keys
// at once.
func TestReportOfAnotherWriterTakesNoKeys(t *testing.T) {
	f := startFleet(t, "prices", "prices", "prices", "reports")
	held := f.backends[0].KeyRanges()
	must.SliceNotEmpty(t, held)
	born := time.Now().UnixMilli()
	for name, change := range map[string]func(report, info, status map[string]any){
		"no address":          func(r, _, _ map[string]any) { delete(r, "address") },
		"another address":     func(r, _, _ map[string]any) { r["address"] = f.settings[1].BackendAddress },
		"no start":            func(r, _, _ map[string]any) { delete(r, "born") },
		"start as text":       func(r, _, _ map[string]any) { r["born"] = "1" },
		"no lists":            func(r, _, _ map[string]any) { delete(r, "holds"); delete(r, "freed") },
		"no list of releases": func(r, _, _ map[string]any) { delete(r, "freed") },
		"no service":          func(_, i, _ map[string]any) { delete(i, "service") },
		"another service":     func(_, i, _ map[string]any) { i["service"] = "reports" },
		"no version":          func(_, i, _ map[string]any) { delete(i, "version") },
		"no zone":             func(_, i, _ map[string]any) { delete(i, "zone") },
		"zone as number":      func(_, i, _ map[string]any) { i["zone"] = 1 },
		"no slots":            func(_, i, _ map[string]any) { delete(i, "slots") },
		"no state":            func(_, _, s map[string]any) { delete(s, "state") },
		"unknown state":       func(_, _, s map[string]any) { s["state"] = "resting" },
		"no sequence number":  func(_, _, s map[string]any) { delete(s, "seq") },
		"no warm-up":          func(_, _, s map[string]any) { delete(s, "cold-remaining") },
		"as in the review": func(r, i, s map[string]any) {
			for _, field := range []string{"address", "holds", "freed"} {
				delete(r, field)
			}
			delete(i, "version")
			delete(i, "zone")
			delete(s, "seq")
			delete(s, "cold-remaining")
		},
	} {
		for _, instance := range []string{"i-other", "i-0"} {
			report := f.reportOf(0, born)
			change(report, report["info"].(map[string]any), report["status"].(map[string]any))
			f.postReport(0, instance, report)
			must.True(t, f.eachKeyHeldOnce("prices"), must.Sprintf("after a report of %s with %s", instance, name))
		}
	}
	for end := time.Now().Add(5 * f.settings[0].ReportInterval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		must.Eq(t, held, f.backends[0].KeyRanges())
		must.True(t, f.eachKeyHeldOnce("prices"))
	}
	key := held[0].From
	resp, _, err := f.send(1, "GET", "/look/x", "after", key, "")
	must.NoError(t, err)
	must.Eq(t, "signed-by-i-0", resp.Header.Get("X-Marjoramshore-Response-Signature"))
}

// Guards against a check of status reports that keeps a backend server away which
// starts again under the same name.
func TestNextRunTakesOver(t *testing.T) {
	f := startFleet(t, "prices", "prices", "reports")
	f.backends[2].Crash()
	f.backends[2] = f.startBackend(2, "i-2")
	f.waitFor("the next run of the backend server gets no requests", 2*time.Second, func() bool {
		resp, _, err := f.send(0, "POST", "/sheet/1", "n", -1, "x")
		return err == nil && resp.StatusCode == http.StatusOK
	})
}
