package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// TestStopInOutage guards against a planned stop that takes the whole group
// down: replacing a stopping successor while the store was out left a write
// unresolved, which ended the coordinator's authority. The stopping node stays
// for its promise until the store can name another successor.
func TestStopInOutage(t *testing.T) {
	for which := range 2 {
		s := healthy(t, 1, 5, 4)
		s.store.mode = storeDown
		s.run(2 * time.Second)
		n := s.successor(which)
		others := s.pointsOf(n, false)
		s.input(n, Drain{Stop: true})
		s.input(n, ExchangesDrained{})
		_, longest := s.outage(others, 30*time.Second, 100*time.Millisecond)
		must.Eq(t, time.Duration(0), longest, must.Sprint("other members' keys were unavailable"))
		must.Eq(t, ReasonLeaving, n.node.Snapshot().Reason)
		s.store.mode = storeUp
		s.run(30 * time.Second)
		must.Eq(t, "", s.fault)
		must.Eq(t, ReasonLeft, n.node.Snapshot().Reason)
		must.Eq(t, 0, s.unserved())
	}
}

// TestStopOfTheLastMember guards against a node that waits for ever for
// somebody to confirm that it left.
func TestStopOfTheLastMember(t *testing.T) {
	s := healthy(t, 1, 1, 1)
	s.input(s.nodes[0], Drain{Stop: true})
	s.input(s.nodes[0], ExchangesDrained{})
	s.run(5 * time.Second)
	must.Eq(t, ReasonLeft, s.nodes[0].node.Snapshot().Reason)
}

// TestFullGroup guards against a node that hammers a group without room: 64
// nodes that started at once left five of them sending 37 KB a second.
func TestFullGroup(t *testing.T) {
	s := newSim(1, MaxMembers+1, 4, DefaultTiming())
	s.startAll()
	s.run(40 * time.Second)
	full := 0
	for _, n := range s.nodes {
		if n.snap != nil && n.snap.Reason == ReasonGroupFull {
			full++
			sent := n.node.m.seq
			s.run(time.Minute)
			must.Less(t, uint64(time.Minute/fullRetry)+2, n.node.m.seq-sent)
		}
	}
	must.Eq(t, 1, full)
	must.Eq(t, "", s.fault)
}

// TestPartOfTheKeySpace guards against a group that owns a part of the key
// space and divides it as if it were all: members took ranges from each other
// for ever, down to single hashes, and some had none.
func TestPartOfTheKeySpace(t *testing.T) {
	s := newSim(1, 8, 4, DefaultTiming())
	s.space = core.Range{Lo: 0x3333333333333333, Hi: 0x4ccccccccccccccb}
	s.points = s.points[:0]
	step := (s.space.Hi - s.space.Lo) / 64
	for i := range core.Hash(64) {
		s.points = append(s.points, s.space.Lo+i*step+5)
	}
	s.startAll()
	s.run(40 * time.Second)
	must.Eq(t, 0, s.unserved())
	moves := s.events[EventMoveStarted]
	s.run(5 * time.Minute)
	must.Eq(t, "", s.fault)
	must.Eq(t, moves, s.events[EventMoveStarted], must.Sprint("a settled group must not move ranges"))
	owners := map[int]int{}
	for _, p := range s.points {
		owners[s.owner(p).index]++
	}
	must.Eq(t, 8, len(owners))
}
