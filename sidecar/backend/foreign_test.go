package backend

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/platform"
)

// Guards against a status report of another writer, under the name and start of the
// present run, whose sequence number makes later reports of the run look old.
func TestForeignReportChangesNothing(t *testing.T) {
	p := startProxy(t)
	own := platform.StatusReport{Instance: "i", StartedUnixMs: 1, Address: p.cfg.Address, Service: "reports", Slots: 1, Sequence: 2}
	for name, change := range map[string]func(*platform.StatusReport){
		"address":      func(r *platform.StatusReport) { r.Address = "127.0.0.1:1" },
		"no address":   func(r *platform.StatusReport) { r.Address = "" },
		"service":      func(r *platform.StatusReport) { r.Service = "others" },
		"another run":  func(r *platform.StatusReport) { r.Address, r.Instance, r.StartedUnixMs = "127.0.0.1:1", "j", 9 },
		"leave":        func(r *platform.StatusReport) { r.Address, r.Leaving = "127.0.0.1:1", true },
		"earlier run":  func(r *platform.StatusReport) { r.StartedUnixMs = 0 },
		"malformed IP": func(r *platform.StatusReport) { r.Address = "127.0.0.1" },
	} {
		odd := own
		odd.Sequence = 1_000_000
		change(&odd)
		ack, ok := p.HandleReport(t.Context(), odd)
		must.True(t, ok, must.Sprint(name))
		must.False(t, ack.Current, must.Sprint(name))
		ack, ok = p.HandleReport(t.Context(), own)
		must.True(t, ok, must.Sprint(name))
		must.True(t, ack.Current, must.Sprint(name))
		own.Sequence++
	}
	slot, err := p.admit(t.Context(), newRequest("r", 0, strings.NewReader("")))
	must.NoError(t, err, must.Sprint("the run takes no requests"))
	p.completeRequest(t.Context(), slot, &core.Response{}, nil)
}

// Guards against an address that is taken for another one because it is written in
// another form.
func TestSameAddress(t *testing.T) {
	must.True(t, sameAddress("10.0.0.1:80", "10.0.0.1:80"))
	must.True(t, sameAddress("[::1]:80", "[0:0:0:0:0:0:0:1]:80"))
	must.True(t, sameAddress("host:80", "host:80"))
	must.False(t, sameAddress("10.0.0.1:80", "10.0.0.1:81"))
	must.False(t, sameAddress("", "10.0.0.1:80"))
}
