package shards

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a run that deregistered and gets keys again when a report that it
// had sent before arrives late.
func TestLateReportAfterALeaveGetsNoKeys(t *testing.T) {
	m := NewMember("s", "n", 1, 10*time.Second)
	left, next := Holder{Node: "n", Instance: "i", Born: 1}, Holder{Node: "n", Instance: "i", Born: 2}
	report := func(h Holder) { m.HandleReport(testStart, BackendReport{Holder: h, Ready: true, Slots: 4}) }
	report(left)
	must.True(t, m.BuildRequest().Ready)
	m.MarkLeaving(left)
	report(left)
	must.False(t, m.BuildRequest().Ready)
	report(next)
	must.True(t, m.BuildRequest().Ready, must.Sprint("the next run gets keys at once"))
	m.MarkSilent()
	must.False(t, m.BuildRequest().Ready)
	report(next)
	must.True(t, m.BuildRequest().Ready, must.Sprint("a run that reports again gets keys"))
}
