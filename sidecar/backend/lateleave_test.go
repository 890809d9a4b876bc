package backend

import (
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/platform"
)

// Guards against a run that told of its leave, by a call or in its reports, and
// counts as ready for keys when a report that it had sent before arrives late.
func TestLateReportAfterALeaveIsNotReady(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, *Proxy, platform.StatusReport){
		"call": func(t *testing.T, p *Proxy, r platform.StatusReport) {
			_, ok := p.HandleLeave(t.Context(), Leave{Instance: r.Instance})
			must.True(t, ok)
		},
		"report": func(t *testing.T, p *Proxy, r platform.StatusReport) {
			r.Leaving = true
			_, ok := p.HandleReport(t.Context(), r)
			must.True(t, ok)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t)
			r := platform.StatusReport{Instance: "i", StartedUnixMs: 1, Address: p.cfg.Address, Service: "reports", Slots: 1, Sequence: 2}
			ack, ok := p.HandleReport(t.Context(), r)
			must.True(t, ok && ack.Ready)
			r.Sequence++
			leave(t, p, r)
			r.Sequence++
			ack, ok = p.HandleReport(t.Context(), r)
			must.True(t, ok)
			must.False(t, ack.Ready)
			r.StartedUnixMs++
			ack, ok = p.HandleReport(t.Context(), r)
			must.True(t, ok && ack.Ready, must.Sprint("the next run is ready at once"))
		})
	}
}
