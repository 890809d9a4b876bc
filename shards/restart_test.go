package shards

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// Guards against an assignment of all keys to the member that reports first
// after all VMs lost power. The other members would then have to wait for
// moves.
func TestRestartOfAllVMsKeepsAssignment(t *testing.T) {
	s := newSim(t, 3, 5)
	s.healthy = true
	_, ok := s.runUntilAllHeld(5 * time.Second)
	must.True(t, ok)
	before := keysByNode(s.store.record)
	for _, x := range s.nodes {
		x.up, x.server.up = false, false
	}
	for i, x := range s.nodes {
		s.after(time.Duration(1000+200*i)*time.Millisecond, func() {
			x.start()
			x.startServer()
		})
	}
	for range 50 {
		s.step()
	}
	d, ok := s.runUntilAllHeld(6 * time.Second)
	must.True(t, ok, must.Sprint("keys not held again after ", d))
	must.Eq(t, before, keysByNode(s.store.record))
}

// keysByNode returns the number of keys of each node.
func keysByNode(a *Assignment) map[core.NodeID]int {
	out := make(map[core.NodeID]int)
	for _, r := range a.Rows {
		out[r.Holder.Node] += r.Width()
	}
	return out
}

// Guards against a fence that does not increase when a later run on the same VM
// takes keys over.
func TestLaterRunGetsGreaterFence(t *testing.T) {
	c := NewCoordinator(DefaultTiming(), "c", 1)
	old := Holder{Node: "n", Instance: "i", Born: 1}
	c.TakeOver(testStart, testStart, Assignment{
		Service: "s", Term: 1, NextFence: 9, Rows: []Row{{Span: Span{0, KeyCount - 1}, Holder: old, Fence: 8}},
	}, 1, FormerNone, true)
	later := Holder{Node: "n", Instance: "i", Born: 2}
	c.HandleRequest(testStart, LeaseRequest{Service: "s", Node: "n", Incarnation: 2, Term: 1, Holder: later, Ready: true, Slots: 4})
	next, ok := c.Plan(testStart)
	must.True(t, ok)
	must.Eq(t, []Row{{Span: Span{0, KeyCount - 1}, Holder: later, Fence: 9}}, next.Rows, must.Sprint(fmt.Sprint(next.Rows)))
	must.Eq(t, 10, next.NextFence)
}
