package ownership

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// TestStopInOutage guards against a planned stop that makes the whole group
// unavailable: replacing a stopping successor while the store was unavailable
// left a write unresolved, which ended the coordinator's authority. The
// stopping node must stay for its promise until the store can record another
// successor.
func TestStopInOutage(t *testing.T) {
	for rank := range 2 {
		s := newSettledGroup(t, 1, 5, 4)
		s.store.mode = storeDown
		s.run(2 * time.Second)
		stopping := s.successorNode(rank)
		others := s.pointsOf(stopping, false)
		s.step(stopping, Drain{Stop: true})
		s.step(stopping, ExchangesDrained{})
		_, longest := s.measureOutage(others, 30*time.Second, 100*time.Millisecond)
		must.Eq(t, time.Duration(0), longest, must.Sprint("other members' keys were unavailable"))
		must.Eq(t, ReasonLeaving, stopping.node.Snapshot().Reason)
		s.store.mode = storeUp
		s.run(30 * time.Second)
		must.Eq(t, "", s.failure)
		must.Eq(t, ReasonLeft, stopping.node.Snapshot().Reason)
		must.Eq(t, 0, s.countUnserved())
	}
}

// TestStopOfTheLastMember guards against a node that waits for ever for a
// confirmation that it left, when no other member exists to give it.
func TestStopOfTheLastMember(t *testing.T) {
	s := newSettledGroup(t, 1, 1, 1)
	s.step(s.nodes[0], Drain{Stop: true})
	s.step(s.nodes[0], ExchangesDrained{})
	s.run(5 * time.Second)
	must.Eq(t, ReasonLeft, s.nodes[0].node.Snapshot().Reason)
}

// TestFullGroup guards against a node that asks a full group for admission too
// often. After 64 nodes had started at once, five of them were left sending 37
// KB a second.
func TestFullGroup(t *testing.T) {
	s := newSim(1, MaxMembers+1, 4, DefaultTiming())
	s.startNodes()
	s.run(40 * time.Second)
	full := 0
	for _, n := range s.nodes {
		if n.snapshot != nil && n.snapshot.Reason == ReasonGroupFull {
			full++
			sent := n.node.member.lastSeq
			s.run(time.Minute)
			must.Less(t, uint64(time.Minute/groupFullRetry)+2, n.node.member.lastSeq-sent)
		}
	}
	must.Eq(t, 1, full)
	must.Eq(t, "", s.failure)
}

// TestGroupOwnsPartOfKeySpace guards against a group that owns a part of the
// key space and divides it as if it were all. Its members then took ranges from
// each other for ever, down to single hashes, and some had none.
func TestGroupOwnsPartOfKeySpace(t *testing.T) {
	s := newSim(1, 8, 4, DefaultTiming())
	s.keyRange = core.Range{Lo: 0x3333333333333333, Hi: 0x4ccccccccccccccb}
	s.samplePoints = s.samplePoints[:0]
	step := (s.keyRange.Hi - s.keyRange.Lo) / 64
	for i := range core.Hash(64) {
		s.samplePoints = append(s.samplePoints, s.keyRange.Lo+i*step+5)
	}
	s.startNodes()
	s.run(40 * time.Second)
	must.Eq(t, 0, s.countUnserved())
	moves := s.eventCounts[EventMoveStarted]
	s.run(5 * time.Minute)
	must.Eq(t, "", s.failure)
	must.Eq(t, moves, s.eventCounts[EventMoveStarted], must.Sprint("a settled group must not move ranges"))
	owners := map[int]int{}
	for _, p := range s.samplePoints {
		owners[s.owner(p).index]++
	}
	must.Eq(t, 8, len(owners))
}

// TestMemberLostInOutageDuringMove guards against keys of a lost member that nobody
// serves until the store is back, because a move from the coordinator was being
// written when the store failed: that move cannot be granted without the store, and
// nothing else was decided while it stood.
func TestMemberLostInOutageDuringMove(t *testing.T) {
	blocked := 0
	for seed := range uint64(20) {
		s := newSettledGroup(t, seed+1, 6, 3)
		lead, to := s.coordinatorNode(), s.ordinaryMember()
		moved := s.pointsOf(lead, true)[0]
		request := RequestMove{Range: core.Range{Lo: moved, Hi: moved + 7}, To: RunOf(to.member())}
		s.deliver(lead, lead.incarnation, request)
		s.run(100 * time.Millisecond)
		s.deliver(lead, lead.incarnation, request)
		s.store.mode = storeDown // before the move is written
		s.run(3 * time.Second)
		if s.owner(moved) == lead {
			continue // the node knew of the outage when it got the request
		}
		blocked++
		lost := s.ordinaryMember()
		if lost == to {
			for _, n := range s.nodes {
				if n != to && n != lead && !slices.Contains(lead.node.record.Successors, RunOf(n.member())) {
					lost = n
				}
			}
		}
		must.NotEq(t, to.index, lost.index)
		others := slices.DeleteFunc(s.pointsOf(lost, false), func(p core.Hash) bool { return s.owner(p) == nil })
		keys := s.pointsOf(lost, true)
		s.crash(lost)
		s.run(maxRecovery)
		must.Eq(t, "", s.failure)
		for _, p := range keys {
			must.NotNil(t, s.owner(p), must.Sprint("a key of the lost member has no owner, seed ", seed+1))
		}
		_, longest := s.measureOutage(others, time.Minute, 100*time.Millisecond)
		must.Eq(t, 0, longest, must.Sprint("another member's key was unavailable"))
		s.store.mode = storeUp
		s.run(30 * time.Second)
		must.Eq(t, "", s.failure)
		must.Eq(t, 0, s.countUnserved())
		must.Eq(t, to, s.owner(moved), must.Sprint("the move was not completed"))
	}
	must.Positive(t, blocked)
}
