package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// servedAgain is the target of section 1.6 for every loss.
const servedAgain = 5 * time.Second

// healthy starts count nodes and runs until every member serves a share.
func healthy(t *testing.T, seed uint64, count, dcs int) *sim {
	t.Helper()
	s := newSim(seed, count, dcs, DefaultTiming())
	s.startAll()
	s.run(40 * time.Second)
	// A random phase against the heartbeats.
	s.run(time.Duration(s.rng.Int64N(int64(3 * time.Second))))
	must.Eq(t, "", s.fault)
	must.Eq(t, 0, s.unserved())
	owners := map[int]bool{}
	for _, p := range s.points {
		owners[s.owner(p).index] = true
	}
	must.Eq(t, count, len(owners), must.Sprint("members without a range"))
	return s
}

// outage watches the points for window and returns when the last one was seen
// without service, and the longest gap of one point.
func (s *sim) outage(points []core.Hash, window, every time.Duration) (last, longest time.Duration) {
	start := s.now
	since := make([]int64, len(points))
	for s.now < start+int64(window) && s.fault == "" {
		for i, p := range points {
			switch {
			case s.owner(p) != nil:
				since[i] = 0
			case since[i] == 0:
				since[i] = s.now
				fallthrough
			default:
				last = time.Duration(s.now-start) + every
				longest = max(longest, time.Duration(s.now-since[i])+every)
			}
		}
		s.run(every)
	}
	return last, longest
}

// pointsOf returns the sample points that n serves, or those it does not.
func (s *sim) pointsOf(n *simNode, owned bool) []core.Hash {
	var out []core.Hash
	for _, p := range s.points {
		if (s.owner(p) == n) == owned {
			out = append(out, p)
		}
	}
	return out
}

// member returns a node that is neither coordinator nor successor.
func (s *sim) ordinary() *simNode {
	c := s.coordinator()
	for _, n := range s.nodes {
		if n != c && !slices.Contains(c.node.rec.Successors, RunOf(n.member())) {
			return n
		}
	}
	return nil
}

// TestRecovery holds every loss to the target: all keys that can be served are
// served again within 5 s, and those of members that were not hit never stop.
func TestRecovery(t *testing.T) {
	cases := []struct {
		name string
		// hit causes the loss and returns the nodes whose keys may stop.
		hit func(s *sim) []*simNode
	}{
		{"ordinary node lost", func(s *sim) []*simNode { return s.lose(s.ordinary()) }},
		{"store down, ordinary node lost", func(s *sim) []*simNode {
			s.store.mode = storeDown
			s.run(time.Minute)
			return s.lose(s.ordinary())
		}},
		{"store fails together with ordinary node", func(s *sim) []*simNode {
			s.store.mode = storeDown
			return s.lose(s.ordinary())
		}},
		{"coordinator without the store, ordinary node lost", func(s *sim) []*simNode {
			s.noStore[s.coordinator().index] = true
			s.run(time.Minute)
			return s.lose(s.ordinary())
		}},
		{"coordinator lost", func(s *sim) []*simNode { return s.lose(s.coordinator()) }},
		{"successor lost", func(s *sim) []*simNode { return s.lose(s.successor(0)) }},
		{"coordinator and a member lost", func(s *sim) []*simNode { return s.lose(s.coordinator(), s.ordinary()) }},
		{"coordinator and a successor lost", func(s *sim) []*simNode { return s.lose(s.coordinator(), s.successor(0)) }},
		{"data centre of the coordinator lost", func(s *sim) []*simNode { return s.loseDC(s.coordinator().dc) }},
		{"data centre of a successor lost", func(s *sim) []*simNode { return s.loseDC(s.successor(1).dc) }},
		{"restart under the same address", func(s *sim) []*simNode {
			n := s.ordinary()
			s.crash(n)
			s.start(n)
			return []*simNode{n}
		}},
		{"coordinator restarts under the same address", func(s *sim) []*simNode {
			n := s.coordinator()
			s.crash(n)
			s.start(n)
			return []*simNode{n}
		}},
		{"member frozen past its lease", func(s *sim) []*simNode { return s.freeze(s.ordinary()) }},
		{"coordinator frozen past its authority", func(s *sim) []*simNode { return s.freeze(s.coordinator()) }},
		{"store slow by 10 s, ordinary node lost", func(s *sim) []*simNode {
			s.store.mode = storeSlow
			return s.lose(s.ordinary())
		}},
		{"answers of writes lost, ordinary node lost", func(s *sim) []*simNode {
			s.store.mode = storeLossy
			return s.lose(s.ordinary())
		}},
		{"member cut off one way, outgoing", func(s *sim) []*simNode { return s.cutOff(s.ordinary(), true, false) }},
		{"member cut off one way, incoming", func(s *sim) []*simNode { return s.cutOff(s.ordinary(), false, true) }},
		{"coordinator cut off one way, outgoing", func(s *sim) []*simNode { return s.cutOff(s.coordinator(), true, false) }},
		// The successors believe for two more heartbeats that their promises
		// are of use, so other members' leases may run out before a takeover.
		{"coordinator cut off one way, incoming", func(s *sim) []*simNode {
			s.cutOff(s.coordinator(), false, true)
			return s.nodes
		}},
		{"coordinator cut off from the members", func(s *sim) []*simNode { return s.cutOff(s.coordinator(), true, true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var times []time.Duration
			for seed := range uint64(20) {
				times = append(times, recoveryTime(t, seed+1, c.hit))
			}
			report(t, times)
		})
	}
}

func recoveryTime(t *testing.T, seed uint64, hit func(*sim) []*simNode) time.Duration {
	t.Helper()
	s := healthy(t, seed, 8, 4)
	before := map[core.Hash]*simNode{}
	for _, p := range s.points {
		before[p] = s.owner(p)
	}
	lost := hit(s)
	var others []core.Hash
	for _, p := range s.points {
		if !slices.Contains(lost, before[p]) {
			others = append(others, p)
		}
	}
	moves := s.events[EventMoveStarted]
	last, gap := s.watch(others, 20*time.Second, 5*time.Millisecond)
	// A planned move to a member that came back is allowed its own target.
	allowed := time.Duration(0)
	if s.events[EventMoveStarted] > moves {
		allowed = moveGap
	}
	must.LessEq(t, allowed, gap, must.Sprint(fmt.Sprintf("seed %d: gap of an unaffected member", seed)))
	must.Eq(t, "", s.fault)
	must.LessEq(t, servedAgain, last, must.Sprint(fmt.Sprintf("seed %d", seed)))
	return last
}

// watch returns when the last key was first served after the loss, and the
// longest other gap: one of the given unaffected points, or a later one.
func (s *sim) watch(unaffected []core.Hash, window, every time.Duration) (first, gap time.Duration) {
	start := s.now
	since := map[core.Hash]int64{}
	recovered := map[core.Hash]bool{}
	for _, p := range unaffected {
		recovered[p] = true
	}
	for time.Duration(s.now-start) < window && s.fault == "" {
		for _, p := range s.points {
			at, open := since[p]
			if s.owner(p) != nil {
				recovered[p] = recovered[p] || open
				delete(since, p)
				continue
			}
			if !open {
				at = s.now
				since[p] = at
			}
			if recovered[p] {
				gap = max(gap, time.Duration(s.now-at)+every)
			} else {
				first = max(first, time.Duration(s.now-start)+every)
			}
		}
		s.run(every)
	}
	return first, gap
}

func report(t *testing.T, times []time.Duration) {
	t.Helper()
	slices.Sort(times)
	t.Logf("min %v, median %v, max %v over %d seeds", times[0], times[len(times)/2], times[len(times)-1], len(times))
}

func (s *sim) lose(nodes ...*simNode) []*simNode {
	for _, n := range nodes {
		s.crash(n)
	}
	return nodes
}

func (s *sim) loseDC(dc core.DataCentre) []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if n.dc == dc {
			out = append(out, n)
		}
	}
	return s.lose(out...)
}

func (s *sim) freeze(n *simNode) []*simNode {
	s.pause(n, 6*time.Second)
	return []*simNode{n}
}

func (s *sim) cutOff(n *simNode, out, in bool) []*simNode {
	for _, o := range s.nodes {
		if out {
			s.blocked[[2]int{n.index, o.index}] = true
		}
		if in {
			s.blocked[[2]int{o.index, n.index}] = true
		}
	}
	return []*simNode{n}
}

func (s *sim) successor(i int) *simNode {
	run := s.coordinator().node.rec.Successors[i]
	return s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == run.Node })]
}

// TestStoreOutage guards against unavailable time while only the store is down
// or slow, or while the coordinator is lost as well.
func TestStoreOutage(t *testing.T) {
	for _, mode := range []storeMode{storeDown, storeSlow} {
		s := healthy(t, 3, 8, 4)
		s.store.mode = mode
		last, _ := s.outage(s.points, time.Hour, 100*time.Millisecond)
		must.Eq(t, "", s.fault)
		must.Eq(t, 0, last)
	}
	for seed := range uint64(10) {
		s := healthy(t, seed+1, 8, 4)
		s.store.mode = storeDown
		s.run(time.Minute)
		c := s.coordinator()
		others := s.pointsOf(c, false)
		s.crash(c)
		last, _ := s.outage(others, 10*time.Minute, 50*time.Millisecond)
		must.Eq(t, "", s.fault)
		must.Eq(t, 0, last, must.Sprint(fmt.Sprintf("seed %d: another member's key unavailable", seed+1)))
		s.store.mode = storeUp
		s.run(10 * time.Second)
		must.Eq(t, 0, s.unserved())
	}
}

// TestGroupForms guards against a group that never settles, or whose steady
// state calls the store.
func TestGroupForms(t *testing.T) {
	for _, count := range []int{3, 8, MaxMembers} {
		s := healthy(t, 1, count, 4)
		puts, gets := s.store.puts, s.store.gets
		s.run(10 * time.Minute)
		must.Eq(t, "", s.fault)
		must.Eq(t, puts, s.store.puts, must.Sprint("steady state must write nothing"))
		must.Eq(t, gets, s.store.gets)
		must.Eq(t, 0, s.unserved())
		t.Logf("members=%d puts=%d gets=%d", count, puts, gets)
	}
}
