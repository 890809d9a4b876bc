package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const start = clock.Instant(time.Hour)

func newEntry(id string, inc uint64, started int64, serial uint64) Entry {
	return Entry{Node: core.NodeID(id), Incarnation: core.Incarnation(inc), StartedUnixMs: started, Serial: serial, Service: "s", State: Ready}
}

// Guards against an entry of a former incarnation that replaces a later one.
func TestFormerIncarnationReplacesNoLater(t *testing.T) {
	v := NewView("me")
	must.True(t, v.ApplyEntry(start, newEntry("a", 1, 10, 1)))
	must.True(t, v.ApplyEntry(start, newEntry("a", 1, 10, 2)))
	must.False(t, v.ApplyEntry(start, newEntry("a", 1, 10, 1)))
	must.True(t, v.ApplyEntry(start, newEntry("a", 9, 20, 1)))
	must.False(t, v.ApplyEntry(start, newEntry("a", 1, 10, 3)))
	s, ok := v.Snapshot()
	must.True(t, ok)
	must.Eq(t, core.Incarnation(9), s.Nodes["a"].Incarnation)
}

// Guards against a node that is ignored for ever because the time of day went
// back while it restarted.
func TestRestartAfterClockStep(t *testing.T) {
	v := NewView("me")
	v.ApplyBeacon(start, Beacon{Entry: newEntry("a", 1, 5000, 9)})
	v.ApplyBeacon(start.Add(replaceAfter/2), Beacon{Entry: newEntry("a", 2, 3000, 1)})
	n, _ := v.Entry("a")
	must.Eq(t, core.Incarnation(1), n.Incarnation)
	v.ApplyBeacon(start.Add(replaceAfter), Beacon{Entry: newEntry("a", 2, 3000, 2)})
	n, _ = v.Entry("a")
	must.Eq(t, core.Incarnation(2), n.Incarnation)
	must.Eq(t, 0, v.nodes["a"].firstSeenAt.Sub(start.Add(replaceAfter)))
}

// Guards against requests to a node whose beacons are missing, and against one
// that is not used again after it is back.
func TestMissingBeaconsMakePeerUnusable(t *testing.T) {
	v := NewView("me")
	v.ApplyBeacon(start, Beacon{Entry: newEntry("a", 1, 10, 1)})
	s, _ := v.Snapshot()
	must.True(t, s.ByService["s"][0].Usable())
	v.UpdateLiveness(start.Add(lostAfter))
	s, ok := v.Snapshot()
	must.True(t, ok)
	must.False(t, s.ByService["s"][0].Usable())
	must.Eq(t, 0.0, v.HeardShare(start.Add(lostAfter)))
	v.ApplyBeacon(start.Add(2*lostAfter), Beacon{Entry: newEntry("a", 1, 10, 1)})
	s, _ = v.Snapshot()
	must.True(t, s.ByService["s"][0].Usable())
	must.Eq(t, 1.0, v.HeardShare(start.Add(2*lostAfter)))
}

// Guards against an old beacon that arrives once more and keeps a lost node alive
// or brings back what it reported.
func TestRepeatedOldBeacon(t *testing.T) {
	v := NewView("me")
	old := Beacon{Entry: newEntry("a", 1, 10, 1), ConfigVersion: 40, Running: 9}
	v.ApplyBeacon(start, old)
	v.ApplyBeacon(start, Beacon{Entry: newEntry("a", 1, 10, 2), ConfigVersion: 3})
	for d := time.Duration(0); d <= lostAfter; d += lostAfter / 4 {
		v.ApplyBeacon(start.Add(d), old)
	}
	v.UpdateLiveness(start.Add(lostAfter))
	s, _ := v.Snapshot()
	must.False(t, s.Nodes["a"].Alive)
	_, newer := v.FindNewerConfig(3)
	must.False(t, newer)
	running, _ := s.Nodes["a"].Load.RequestCounts()
	must.Eq(t, 0, running)
	v.ApplyBeacon(start.Add(lostAfter), Beacon{Entry: newEntry("a", 1, 10, 2), ConfigVersion: 3})
	s, _ = v.Snapshot()
	must.True(t, s.Nodes["a"].Alive)
}

// Guards against the newest beacon of a node that arrives again after the node
// was lost, or after a later one with the same entry, and counts once more. The
// sequence starts again with each incarnation.
func TestRepeatedNewestBeacon(t *testing.T) {
	v := NewView("me")
	beacon := func(incarnation, sequence uint64, running int) Beacon {
		return Beacon{Entry: newEntry("a", incarnation, int64(incarnation), 1), Sequence: sequence, Running: running}
	}
	v.ApplyBeacon(start, beacon(1, 7, 7))
	v.ApplyBeacon(start, beacon(1, 8, 8))
	v.ApplyBeacon(start, beacon(1, 7, 7))
	running, _ := v.nodes["a"].load.RequestCounts()
	must.Eq(t, 8, running)
	for d := time.Duration(0); d <= lostAfter; d += lostAfter / 4 {
		v.ApplyBeacon(start.Add(d), beacon(1, 8, 8))
	}
	v.UpdateLiveness(start.Add(lostAfter))
	must.False(t, v.nodes["a"].alive)
	v.ApplyBeacon(start.Add(lostAfter), beacon(1, 9, 9))
	must.True(t, v.nodes["a"].alive)
	v.ApplyBeacon(start.Add(lostAfter), beacon(2, 1, 1))
	running, _ = v.nodes["a"].load.RequestCounts()
	must.Eq(t, 1, running)
}

// Guards against a node of a version without sequence numbers that counts as
// lost.
func TestBeaconsWithoutSequenceKeepNodeAlive(t *testing.T) {
	v := NewView("me")
	for i := range 10 {
		now := start.Add(time.Duration(i) * lostAfter / 2)
		v.ApplyBeacon(now, Beacon{Entry: newEntry("a", 1, 1, 1)})
		v.UpdateLiveness(now.Add(lostAfter / 2))
		must.True(t, v.nodes["a"].alive)
	}
}

// Guards against a coordinator on a weak VM. In a large fleet, one with 0.16 of
// a core did not answer 53 members within a lease, and no key was served.
func TestCoordinatorRankPrefersStrongVMs(t *testing.T) {
	v := NewView("weak")
	for id, cores := range map[string]float64{"weak": 0.16, "strong": 0.8, "other": 0.2} {
		e := newEntry(id, 1, 1, 1)
		e.CPUCores = cores
		if id != "strong" {
			e.Service = "other"
		}
		v.ApplyBeacon(start, Beacon{Entry: e})
	}
	must.Eq(t, 2, v.CoordinatorRank("s"), must.Sprint("rank after the strong VM and, by name, the other one"))
}

// Guards against a coordinator on a VM with a slow link, where its calls wait
// behind the bodies of uploads to another service, while a faster one is free.
func TestCoordinatorRankPrefersFastLinks(t *testing.T) {
	v := NewView("slow")
	for id, mbps := range map[string]float64{"slow": 10, "fast": 200, "same": 12} {
		e := newEntry(id, 1, 1, 1)
		e.CPUCores, e.LinkMbps = 0.5, mbps
		if id == "slow" {
			e.Service = "uploads"
		}
		v.ApplyBeacon(start, Beacon{Entry: e})
	}
	must.Eq(t, 1, v.CoordinatorRank("s"), must.Sprint("rank after the fast link, before the VM beside a holder of keys"))
}

// Guards against a coordinator beside a holder of keys while a node of another
// service could coordinate, and against two candidates of the same rank.
func TestCoordinatorRankPrefersOtherServices(t *testing.T) {
	v := NewView("a")
	for i, id := range []string{"a", "b", "c"} {
		e := newEntry(id, uint64(i+1), 1, 1)
		if id == "c" {
			e.Service = "other"
		}
		v.ApplyBeacon(start, Beacon{Entry: e})
	}
	must.Eq(t, 1, v.CoordinatorRank("s"))
	must.Eq(t, 0, v.CoordinatorRank("other"))
}

// Guards against a coordinator that is taken for ended because this node has
// not heard of its present incarnation yet. After a restart of all nodes, two
// nodes took over within 0.2 s.
func TestUnheardIncarnationIsNotEnded(t *testing.T) {
	v := NewView("me")
	v.ApplyEntry(start, Entry{Node: "a"}) // as listed in the store
	_, ended := v.SilentFor(start, "a", 7)
	must.False(t, ended)
	v.ApplyBeacon(start, Beacon{Entry: newEntry("a", 1, 10, 1)})
	_, ended = v.SilentFor(start, "a", 7)
	must.True(t, ended)
	_, ended = v.SilentFor(start.Add(time.Second), "a", 7)
	must.False(t, ended)
	stopping := newEntry("a", 7, 20, 1)
	stopping.Stopping = true
	v.ApplyBeacon(start, Beacon{Entry: stopping})
	_, ended = v.SilentFor(start, "a", 7)
	must.True(t, ended)
}

// Guards against a rank that is kept although nodes came, went, stop, or were
// lost since.
func TestCoordinatorRankFollowsChanges(t *testing.T) {
	v := NewView("m")
	rank := func(want int, change string) {
		t.Helper()
		must.Eq(t, want, v.CoordinatorRank("s"), must.Sprint(change))
	}
	v.ApplyEntry(start, newEntry("m", 1, 1, 1))
	rank(0, "alone")
	v.ApplyEntry(start, newEntry("a", 1, 1, 1))
	rank(1, "a node came")
	v.ApplyEntry(start, newEntry("b", 1, 1, 1))
	rank(2, "another node came")
	stopping := newEntry("a", 1, 1, 2)
	stopping.Stopping = true
	v.ApplyBeacon(start, Beacon{Entry: stopping})
	rank(1, "the first one stops")
	v.UpdateLiveness(start.Add(lostAfter))
	rank(0, "the other one is lost")
	later := start.Add(lostAfter)
	v.ApplyBeacon(later, Beacon{Entry: newEntry("b", 1, 1, 1)})
	rank(1, "it is heard again")
	v.RemoveEntry(later.Add(lostAfter), "b")
	rank(0, "it was removed")
}

// Guards against a newer configuration or key table that is not found, and
// against one that is taken from a node that is lost.
func TestNewerVersionsAreFound(t *testing.T) {
	v := NewView("m")
	v.ApplyEntry(start, newEntry("m", 1, 1, 1))
	found := func(wantConfig, wantTable bool, version uint64) {
		t.Helper()
		_, config := v.FindNewerConfig(version)
		_, table := v.FindNewerTable("s", version)
		must.Eq(t, wantConfig, config)
		must.Eq(t, wantTable, table)
	}
	found(false, false, 0)
	v.ApplyBeacon(start, Beacon{Entry: newEntry("a", 1, 1, 1), ConfigVersion: 5})
	found(true, false, 4)
	v.ApplyBeacon(start, Beacon{Entry: newEntry("b", 1, 1, 1), ConfigVersion: 3, TableVersions: map[core.Service]uint64{"s": 5}})
	found(true, true, 4)
	found(false, false, 5)
	later := start.Add(lostAfter)
	v.ApplyBeacon(later, Beacon{Entry: newEntry("a", 1, 1, 1), ConfigVersion: 5})
	v.UpdateLiveness(later)
	found(true, false, 4)
}

// BenchmarkTick does what a node asks of its view ten times a second.
func BenchmarkTick(b *testing.B) {
	v := NewView("n-00")
	services := []core.Service{"s", "t"}
	for i := range 76 {
		e := newEntry(fmt.Sprintf("n-%02d", i), 1, 1, 1)
		v.ApplyBeacon(start, Beacon{Entry: e, ConfigVersion: 1, TableVersions: map[core.Service]uint64{"s": 7, "t": 8}})
	}
	for b.Loop() {
		v.UpdateLiveness(start)
		v.FindNewerConfig(1)
		for _, s := range services {
			v.FindNewerTable(s, 8)
			v.CoordinatorRank(s)
		}
	}
}

// Guards against an odd report that makes a peer look better than idle, so that it
// is chosen for all requests.
func TestUsageOutOfRangeIsBounded(t *testing.T) {
	l := &Load{}
	l.SetUsage(Usage{Running: -5, Waiting: -7, FailedShare: -3, LinkShare: 9, ReadDelay: -time.Second, UnreadBodyBytes: -1 << 40, MeanServiceTime: -time.Second})
	running, waiting := l.RequestCounts()
	must.Eq(t, []int64{0, 0}, []int64{running, waiting})
	must.Eq(t, []float64{0, 1}, []float64{l.FailedShare(), l.LinkShare()})
	must.Eq(t, 0, l.ReadDelay())
	must.Eq(t, 0, l.UnreadBodyBytes())
	must.Eq(t, defaultServiceTime, l.MeanServiceTime())
}
