package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a node that has forgotten at its restart that the backend server
// beside it leaves, and that draws requests for it from the others.
func TestRestartedNodeBringsNoLeavingRunBack(t *testing.T) {
	v := NewView("me")
	run := func(incarnation uint64, started int64, serial uint64, instance string, born int64, s BackendState) Entry {
		e := newEntry("a", incarnation, started, serial)
		e.Instance, e.BornUnixMs, e.State = instance, born, s
		return e
	}
	usable := func(e Entry) bool {
		v.ApplyBeacon(start.Add(time.Duration(e.Serial)*time.Millisecond), Beacon{Entry: e})
		s, ok := v.Snapshot()
		must.True(t, ok)
		return s.Nodes["a"].Usable()
	}
	must.True(t, usable(run(1, 10, 1, "i", 5, Ready)))
	must.False(t, usable(run(1, 10, 2, "i", 5, Leaving)))
	must.False(t, usable(run(2, 20, 1, "", 0, Absent)))
	must.False(t, usable(run(2, 20, 2, "i", 5, Ready)), must.Sprint("a late report of the leaving run"))
	must.False(t, usable(run(2, 20, 3, "i", 5, Unreachable)))
	must.False(t, usable(run(3, 30, 1, "i", 5, Ready)), must.Sprint("after another restart"))
	must.True(t, usable(run(3, 30, 2, "i", 6, Ready)), must.Sprint("a new run under the same name"))
	must.True(t, usable(run(3, 30, 3, "j", 7, Ready)), must.Sprint("a new run under another name"))
}

// Guards against departures without end, and against one that hides a later run.
func TestDepartures(t *testing.T) {
	a, b := Departure{"a", 5, 100}, Departure{"b", 7, 200}
	list := AddDepartures(nil, b, a, a)
	must.Eq(t, []Departure{a, b}, list, must.Sprint("in the order in which they left"))
	later := Departure{"a", 9, 300}
	must.Eq(t, []Departure{b, later}, AddDepartures(list, later))
	must.Eq(t, []Departure{a, b}, list, must.Sprint("the former list is not changed"))
	_, left := FindDeparture(list, "a", 5)
	must.True(t, left)
	_, left = FindDeparture(list, "a", 6)
	must.False(t, left)
	_, left = FindDeparture(list, "c", 1)
	must.False(t, left)
	for i := range 10 {
		list = AddDepartures(list, Departure{string(rune('k' + i)), 1, int64(400 + i)})
	}
	must.SliceLen(t, maxDepartures, list)
	must.Eq(t, "t", list[maxDepartures-1].Instance)
}
