package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// moveGap is the target of section 1.6 for a planned move.
const moveGap = 50 * time.Millisecond

// TestPlannedMove guards against keys that stay without service longer than
// the target, and against moves that do not happen.
func TestPlannedMove(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(30) {
		s := healthy(t, seed+1, 6, 3)
		from := s.owner(s.points[0])
		to := s.nodes[(from.index+1)%len(s.nodes)]
		if seed%3 == 0 {
			to = s.coordinator()
		}
		if to == from {
			continue
		}
		s.toProcess(to, to.inc, RequestMove{Range: core.Range{Lo: s.points[0], Hi: s.points[0] + 7}, To: RunOf(to.member())})
		// The first request may only learn that the store is up.
		s.run(100 * time.Millisecond)
		s.toProcess(to, to.inc, RequestMove{Range: core.Range{Lo: s.points[0], Hi: s.points[0] + 7}, To: RunOf(to.member())})
		_, longest := s.outage(s.points, 3*time.Second, time.Millisecond)
		must.Eq(t, "", s.fault)
		must.Eq(t, to, s.owner(s.points[0]))
		must.LessEq(t, moveGap, longest)
		gaps = append(gaps, longest)
	}
	report(t, gaps)
}

// TestKeptHash guards against moving a key whose upload is in flight.
func TestKeptHash(t *testing.T) {
	s := healthy(t, 1, 4, 2)
	s.keepShare = 1
	from := s.owner(s.points[0])
	to := s.nodes[(from.index+1)%len(s.nodes)]
	r := core.Range{Lo: s.points[0], Hi: s.points[0] + 100}
	for range 2 {
		s.toProcess(to, to.inc, RequestMove{Range: r, To: RunOf(to.member())})
		s.run(time.Second)
	}
	must.Eq(t, "", s.fault)
	must.Eq(t, to, s.owner(r.Lo))
	must.Eq(t, from, s.owner(r.Lo+50), must.Sprint("the hash with an upload must stay"))
	must.Eq(t, to, s.owner(r.Hi))
}

// TestStop guards against new work at a stopping node after 2 s, against keys
// without service during the stop, and against a node that never leaves.
func TestStop(t *testing.T) {
	for seed := range uint64(20) {
		s := healthy(t, seed+1, 6, 3)
		n := s.ordinary()
		if seed%2 == 0 {
			n = s.coordinator()
		}
		s.toProcess(n, n.inc, Drain{Stop: true})
		_, longest := s.outage(s.points, DefaultTiming().Stop, time.Millisecond)
		must.LessEq(t, moveGap, longest)
		for _, p := range s.points {
			must.True(t, s.owner(p) != n, must.Sprint("new work after 2 s"))
		}
		s.toProcess(n, n.inc, ExchangesDrained{})
		last, _ := s.outage(s.points, 10*time.Second, 10*time.Millisecond)
		must.Eq(t, 0, last)
		must.Eq(t, "", s.fault)
		must.Eq(t, ReasonLeft, n.snap.Reason)
		must.Eq(t, -1, indexOf(&s.coordinator().node.rec.Table, RunOf(n.member())))
	}
}

// TestDrainCap guards against draining more than the stated share at a time.
func TestDrainCap(t *testing.T) {
	s := healthy(t, 2, 10, 4)
	for _, n := range s.nodes {
		if n != s.coordinator() {
			s.toProcess(n, n.inc, Drain{})
		}
	}
	s.run(20 * time.Second)
	accepted := 0
	for _, i := range s.coordinator().node.c.infos {
		if i.accepted {
			accepted++
		}
	}
	must.Eq(t, 2, accepted)
	must.Eq(t, 0, s.unserved())
}

// TestMassRestart guards against a storm of store calls, and against a group
// that does not come back when every member restarts at once. The bounds give
// each of 225 groups its share of 300 writes and 2,000 reads a second.
func TestMassRestart(t *testing.T) {
	const window = 30 * time.Second
	var times []time.Duration
	for seed := range uint64(10) {
		s := healthy(t, seed+1, MaxMembers, 4)
		for _, n := range s.nodes {
			s.crash(n)
		}
		s.run(time.Second)
		puts, gets := s.store.puts, s.store.gets
		for _, n := range s.nodes {
			s.after(time.Duration(s.rng.Int64N(int64(500*time.Millisecond))), func() { s.start(n) })
		}
		last, _ := s.outage(s.points, window, 10*time.Millisecond)
		must.Eq(t, "", s.fault)
		must.LessEq(t, servedAgain, last)
		must.LessEq(t, 300*30/225, s.store.puts-puts)
		must.LessEq(t, 2000*30/225, s.store.gets-gets)
		times = append(times, last)
		t.Logf("puts=%d gets=%d", s.store.puts-puts, s.store.gets-gets)
	}
	report(t, times)
}

// TestBothSuccessorsLost holds the protocol to its stated limit: renewals go on
// through the store, and reassignment waits until one returns or is declared
// lost.
func TestBothSuccessorsLost(t *testing.T) {
	for seed := range uint64(10) {
		s := healthy(t, seed+1, 8, 4)
		c := s.coordinator()
		a, b := s.successor(0), s.successor(1)
		lost := append(s.pointsOf(a, true), s.pointsOf(b, true)...)
		own := s.pointsOf(c, true)
		var others []core.Hash
		for _, p := range s.points {
			if n := s.owner(p); n != a && n != b && n != c {
				others = append(others, p)
			}
		}
		runs := []Run{RunOf(a.member()), RunOf(b.member())}
		s.lose(a, b)
		last, _ := s.outage(others, time.Minute, 10*time.Millisecond)
		must.Eq(t, 0, last, must.Sprint("renewals must go on"))
		must.Eq(t, c, s.owner(own[0]))
		must.Nil(t, s.owner(lost[0]), must.Sprint("the pair may still act"))
		if seed%2 == 0 {
			s.toProcess(c, c.inc, DeclareLost{Runs: runs[:1]})
		} else {
			s.start(a)
		}
		s.run(servedAgain)
		must.Eq(t, "", s.fault)
		must.Eq(t, 0, s.unserved())
	}
}

// TestOrphan guards against a group that is lost for good together with its
// coordinator and both successors, and against a takeover before authority that
// rests on promises alone must have ended.
func TestOrphan(t *testing.T) {
	s := newSim(1, 6, 3, quickTiming(0))
	s.startAll()
	s.run(40 * time.Second)
	s.lose(s.successor(0), s.successor(1), s.coordinator())
	s.run(s.timing.Orphan - time.Second)
	must.Positive(t, s.unserved())
	s.run(15 * time.Second)
	must.Eq(t, "", s.fault)
	must.Eq(t, 0, s.unserved())
}

// TestRevisionBehind guards against a member that serves under an old
// configuration, and against a coordinator that keeps such a group.
func TestRevisionBehind(t *testing.T) {
	s := healthy(t, 1, 5, 3)
	behind := s.ordinary()
	for _, n := range s.nodes {
		if n != behind {
			s.toProcess(n, n.inc, SetRevision{Revision: 7})
		}
	}
	s.run(DefaultTiming().MemberLease + 10*time.Millisecond)
	must.False(t, s.passes(behind))
	must.Eq(t, 7, behind.snap.RequiredRevision)
	s.run(2 * time.Second)
	must.Eq(t, 0, s.unserved())
	s.toProcess(behind, behind.inc, SetRevision{Revision: 7})
	s.run(10 * time.Second)
	must.True(t, s.passes(behind))

	c := s.coordinator()
	for _, n := range s.nodes {
		if n != c {
			s.toProcess(n, n.inc, SetRevision{Revision: 8})
		}
	}
	before := s.pointsOf(c, false)
	last, _ := s.outage(before, servedAgain, 5*time.Millisecond)
	must.Eq(t, 0, last)
	must.Eq(t, "", s.fault)
	must.True(t, s.coordinator() != c, must.Sprint("a coordinator that is behind must lose its term"))
	must.Eq(t, 0, s.unserved())
}

// TestRecordEncoding guards against a record that does not survive its JSON
// encoding or exceeds the store's limit for a full group.
func TestRecordEncoding(t *testing.T) {
	s := healthy(t, 1, MaxMembers, 4)
	rec, version := s.coordinator().node.Record()
	must.Eq(t, s.store.version, version)
	must.Eq(t, rec.Table, decode(s.store.value).Table)
	must.Less(t, 64<<10, len(s.store.value))
}
