package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// maxMoveGap is the target for the time without service in a planned move
// (section 1.6 of the design page).
const maxMoveGap = 50 * time.Millisecond

// TestPlannedMove guards against keys that are without service for longer than
// the target, and against moves that do not happen.
func TestPlannedMove(t *testing.T) {
	var gaps []time.Duration
	for seed := range uint64(30) {
		s := newSettledGroup(t, seed+1, 6, 3)
		from := s.owner(s.samplePoints[0])
		to := s.nodes[(from.index+1)%len(s.nodes)]
		if seed%3 == 0 {
			to = s.coordinatorNode()
		}
		if to == from {
			continue
		}
		s.deliver(to, to.incarnation, RequestMove{Range: core.Range{Lo: s.samplePoints[0], Hi: s.samplePoints[0] + 7}, To: RunOf(to.member())})
		// The first request may only cause a read that finds the store available.
		s.run(100 * time.Millisecond)
		s.deliver(to, to.incarnation, RequestMove{Range: core.Range{Lo: s.samplePoints[0], Hi: s.samplePoints[0] + 7}, To: RunOf(to.member())})
		_, longest := s.measureOutage(s.samplePoints, 3*time.Second, time.Millisecond)
		must.Eq(t, "", s.failure)
		must.Eq(t, to, s.owner(s.samplePoints[0]))
		must.LessEq(t, maxMoveGap, longest)
		gaps = append(gaps, longest)
	}
	logDurations(t, gaps)
}

// TestMoveKeepsHashWithUpload guards against moving a key whose upload is in
// flight.
func TestMoveKeepsHashWithUpload(t *testing.T) {
	s := newSettledGroup(t, 1, 4, 2)
	s.keptHashShare = 1
	from := s.owner(s.samplePoints[0])
	to := s.nodes[(from.index+1)%len(s.nodes)]
	r := core.Range{Lo: s.samplePoints[0], Hi: s.samplePoints[0] + 100}
	for range 2 {
		s.deliver(to, to.incarnation, RequestMove{Range: r, To: RunOf(to.member())})
		s.run(time.Second)
	}
	must.Eq(t, "", s.failure)
	must.Eq(t, to, s.owner(r.Lo))
	must.Eq(t, from, s.owner(r.Lo+50), must.Sprint("the hash with an upload must keep its owner"))
	must.Eq(t, to, s.owner(r.Hi))
}

// TestPlannedStop guards against new work at a stopping node after 2 s, against
// keys without service during the stop, and against a node that never leaves.
func TestPlannedStop(t *testing.T) {
	for seed := range uint64(20) {
		s := newSettledGroup(t, seed+1, 6, 3)
		stopping := s.ordinaryMember()
		if seed%2 == 0 {
			stopping = s.coordinatorNode()
		}
		s.deliver(stopping, stopping.incarnation, Drain{Stop: true})
		_, longest := s.measureOutage(s.samplePoints, DefaultTiming().DrainGrace, time.Millisecond)
		must.LessEq(t, maxMoveGap, longest)
		for _, p := range s.samplePoints {
			must.True(t, s.owner(p) != stopping, must.Sprint("a stopping node admits new work after 2 s"))
		}
		s.deliver(stopping, stopping.incarnation, ExchangesDrained{})
		last, _ := s.measureOutage(s.samplePoints, 10*time.Second, 10*time.Millisecond)
		must.Eq(t, 0, last)
		must.Eq(t, "", s.failure)
		must.Eq(t, ReasonLeft, stopping.snapshot.Reason)
		must.Eq(t, -1, indexOf(&s.coordinatorNode().node.record.Table, RunOf(stopping.member())))
	}
}

// TestDrainCap guards against draining more than a fifth of the group at a
// time.
func TestDrainCap(t *testing.T) {
	s := newSettledGroup(t, 2, 10, 4)
	for _, n := range s.nodes {
		if n != s.coordinatorNode() {
			s.deliver(n, n.incarnation, Drain{})
		}
	}
	s.run(20 * time.Second)
	accepted := 0
	for _, info := range s.coordinatorNode().node.coordinator.members {
		if info.drainAccepted {
			accepted++
		}
	}
	must.Eq(t, 2, accepted)
	must.Eq(t, 0, s.countUnserved())
}

// TestMassRestart guards against too many store calls, and against a group that
// does not recover, when every member restarts at once. The bounds give each of
// 225 groups its share of 300 writes and 2,000 reads a second.
func TestMassRestart(t *testing.T) {
	const window = 30 * time.Second
	var times []time.Duration
	for seed := range uint64(10) {
		s := newSettledGroup(t, seed+1, MaxMembers, 4)
		for _, n := range s.nodes {
			s.crash(n)
		}
		s.run(time.Second)
		puts, gets := s.store.puts, s.store.gets
		for _, n := range s.nodes {
			s.schedule(time.Duration(s.random.Int64N(int64(500*time.Millisecond))), func() { s.start(n) })
		}
		last, _ := s.measureOutage(s.samplePoints, window, 10*time.Millisecond)
		must.Eq(t, "", s.failure)
		must.LessEq(t, maxRecovery, last)
		must.LessEq(t, 300*30/225, s.store.puts-puts)
		must.LessEq(t, 2000*30/225, s.store.gets-gets)
		times = append(times, last)
		t.Logf("puts=%d gets=%d", s.store.puts-puts, s.store.gets-gets)
	}
	logDurations(t, times)
}

// TestBothSuccessorsLost checks the limit that the design states for the loss
// of both successors: renewals go on through the store, and ranges are
// reassigned only after one successor returns or is declared lost.
func TestBothSuccessorsLost(t *testing.T) {
	for seed := range uint64(10) {
		s := newSettledGroup(t, seed+1, 8, 4)
		c := s.coordinatorNode()
		a, b := s.successorNode(0), s.successorNode(1)
		lost := append(s.pointsOf(a, true), s.pointsOf(b, true)...)
		own := s.pointsOf(c, true)
		var others []core.Hash
		for _, p := range s.samplePoints {
			if n := s.owner(p); n != a && n != b && n != c {
				others = append(others, p)
			}
		}
		runs := []Run{RunOf(a.member()), RunOf(b.member())}
		s.crashAll(a, b)
		last, _ := s.measureOutage(others, time.Minute, 10*time.Millisecond)
		must.Eq(t, 0, last, must.Sprint("renewals must go on"))
		must.Eq(t, c, s.owner(own[0]))
		must.Nil(t, s.owner(lost[0]), must.Sprint("ranges must not be reassigned while the pair may still act"))
		if seed%2 == 0 {
			s.deliver(c, c.incarnation, DeclareLost{Runs: runs[:1]})
		} else {
			s.start(a)
		}
		s.run(maxRecovery)
		must.Eq(t, "", s.failure)
		must.Eq(t, 0, s.countUnserved())
	}
}

// TestTakeoverByUnnamedMember guards against a group that stays unavailable
// after the loss of its coordinator and both successors, and against a takeover
// before authority that rests on promises alone must have ended.
func TestTakeoverByUnnamedMember(t *testing.T) {
	s := newSim(1, 6, 3, quickTiming(0))
	s.startNodes()
	s.run(40 * time.Second)
	s.crashAll(s.successorNode(0), s.successorNode(1), s.coordinatorNode())
	s.run(s.timing.MaxUnconfirmed - time.Second)
	must.Positive(t, s.countUnserved())
	s.run(15 * time.Second)
	must.Eq(t, "", s.failure)
	must.Eq(t, 0, s.countUnserved())
}

// TestRevisionBehind guards against a member that serves under an outdated
// configuration, and against a coordinator that keeps its term with one.
func TestRevisionBehind(t *testing.T) {
	s := newSettledGroup(t, 1, 5, 3)
	behind := s.ordinaryMember()
	for _, n := range s.nodes {
		if n != behind {
			s.deliver(n, n.incarnation, SetRevision{Revision: 7})
		}
	}
	s.run(DefaultTiming().MemberLease + 10*time.Millisecond)
	must.False(t, s.isServing(behind))
	must.Eq(t, 7, behind.snapshot.RequiredRevision)
	s.run(2 * time.Second)
	must.Eq(t, 0, s.countUnserved())
	s.deliver(behind, behind.incarnation, SetRevision{Revision: 7})
	s.run(10 * time.Second)
	must.True(t, s.isServing(behind))

	c := s.coordinatorNode()
	for _, n := range s.nodes {
		if n != c {
			s.deliver(n, n.incarnation, SetRevision{Revision: 8})
		}
	}
	before := s.pointsOf(c, false)
	last, _ := s.measureOutage(before, maxRecovery, 5*time.Millisecond)
	must.Eq(t, 0, last)
	must.Eq(t, "", s.failure)
	must.True(t, s.coordinatorNode() != c, must.Sprint("a coordinator with an outdated configuration must lose its term"))
	must.Eq(t, 0, s.countUnserved())
}

// TestRecordEncoding guards against a record that does not survive its JSON
// encoding, or that exceeds the store's size limit for a full group.
func TestRecordEncoding(t *testing.T) {
	s := newSettledGroup(t, 1, MaxMembers, 4)
	rec, version := s.coordinatorNode().node.Record()
	must.Eq(t, s.store.version, version)
	must.Eq(t, rec.Table, decodeRecord(s.store.value).Table)
	must.Less(t, 64<<10, len(s.store.value))
}
