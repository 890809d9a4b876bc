package ownership

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// quickTiming shortens the two long limits, so that random runs reach them. A
// third of the seeds use a promise longer than the term lease, because equal
// ones hide a missing wait for either behind the other.
func quickTiming(seed uint64) Timing {
	t := DefaultTiming()
	t.Acting, t.Orphan = 20*time.Second, 60*time.Second
	if seed%3 == 1 {
		t.Acting, t.Orphan = 5*time.Second, 20*time.Second
		t.PromiseDuration, t.TermLease = 2*time.Second, 1200*time.Millisecond
	}
	return t
}

// disturb schedules random faults for as long as the run lasts.
func (s *sim) disturb(every time.Duration) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(every)), func() {
		if s.disturbing {
			s.randomFault()
			s.disturb(every)
		}
	})
}

func (s *sim) randomNode() *simNode { return s.nodes[s.rng.IntN(len(s.nodes))] }

func (s *sim) randomDuration(limit time.Duration) time.Duration {
	// Short faults around the lease durations are as likely as long ones.
	if s.rng.IntN(2) == 0 {
		limit /= 4
	}
	return time.Duration(s.rng.Int64N(int64(limit)))
}

// target picks the coordinator as often as any other node, because faults at
// it matter most.
func (s *sim) target() *simNode {
	if c := s.coordinator(); c != nil && s.rng.IntN(2) == 0 {
		return c
	}
	return s.randomNode()
}

func (s *sim) randomFault() {
	switch s.rng.IntN(15) {
	case 0, 1:
		s.crashAndRestart(s.target(), s.randomDuration(8*time.Second))
	case 2, 3:
		s.pause(s.target(), s.randomDuration(8*time.Second))
	case 4, 5:
		s.partition(s.target(), s.randomDuration(12*time.Second))
	case 6:
		a, b := s.target().index, s.randomNode().index
		s.block(a, b, s.randomDuration(12*time.Second))
	case 7, 8:
		s.setStore(storeMode(1+s.rng.IntN(3)), s.randomDuration(30*time.Second))
	case 9:
		s.loss, s.slowDown = s.rng.Float64()*0.4, s.rng.Float64()*0.2
		s.after(s.randomDuration(10*time.Second), func() { s.loss, s.slowDown = 0, 0 })
	case 10:
		s.randomMove()
	case 11:
		s.randomDrain()
	case 12:
		s.newRevision()
	case 13, 14:
		i := s.target().index
		s.logf("NOSTORE %d", i)
		s.noStore[i] = true
		s.after(s.randomDuration(20*time.Second), func() { delete(s.noStore, i) })
	}
}

func (s *sim) crashAndRestart(n *simNode, d time.Duration) {
	if !n.up() {
		return
	}
	s.crash(n)
	s.after(d, func() {
		if !n.up() {
			s.start(n)
		}
	})
}

// partition cuts one node off: both ways, or only one way.
func (s *sim) partition(n *simNode, d time.Duration) {
	way := s.rng.IntN(3)
	s.logf("PARTITION %s way %d %v", n.name, way, d)
	for _, o := range s.nodes {
		if o == n {
			continue
		}
		if way != 0 {
			s.block(n.index, o.index, d)
		}
		if way != 1 {
			s.block(o.index, n.index, d)
		}
	}
}

func (s *sim) block(a, b int, d time.Duration) {
	s.blocked[[2]int{a, b}] = true
	s.logf("BLOCK %d->%d %v", a, b, d)
	s.after(d, func() { delete(s.blocked, [2]int{a, b}) })
}

func (s *sim) setStore(mode storeMode, d time.Duration) {
	s.store.mode = mode
	s.logf("STORE %d %v", mode, d)
	s.after(d, func() {
		if s.store.mode == mode {
			s.store.mode = storeUp
		}
	})
}

func (s *sim) randomMove() {
	n, to := s.randomNode(), s.randomNode()
	if !n.up() || !to.up() {
		return
	}
	lo := core.Hash(s.rng.Uint64())
	hi := max(lo, lo+core.Hash(s.rng.Uint64()>>uint(2+s.rng.IntN(60))))
	s.toProcess(n, n.inc, RequestMove{Range: core.Range{Lo: lo, Hi: hi}, To: RunOf(to.member())})
}

func (s *sim) randomDrain() {
	n := s.target()
	stop := s.rng.IntN(3) == 0
	s.toProcess(n, n.inc, Drain{Stop: stop})
	inc := n.inc
	if !stop {
		s.after(s.randomDuration(15*time.Second), func() { s.toProcess(n, inc, Undrain{}) })
		return
	}
	s.after(s.randomDuration(5*time.Second), func() { s.toProcess(n, inc, ExchangesDrained{}) })
	s.after(10*time.Second, func() {
		if n.inc == inc && n.up() {
			s.crash(n)
			s.start(n)
		}
	})
}

// newRevision puts a newer revision in force at every node after a while.
func (s *sim) newRevision() {
	rev := core.Revision(0)
	for _, n := range s.nodes {
		rev = max(rev, n.revision+1)
	}
	for _, n := range s.nodes {
		s.after(s.randomDuration(4*time.Second), func() {
			n.revision = max(n.revision, rev)
			s.toProcess(n, n.inc, SetRevision{Revision: rev})
		})
	}
}

// heal ends all faults and restarts what is down.
func (s *sim) heal() {
	s.blocked, s.noStore = map[[2]int]bool{}, map[int]bool{}
	s.loss, s.slowDown, s.store.mode, s.keepShare = 0, 0, storeUp, 0
	for _, n := range s.nodes {
		if !n.up() || n.node.m.stopping {
			s.start(n)
			continue
		}
		s.toProcess(n, n.inc, Undrain{})
	}
}

// randomRun disturbs a group for steps steps, then heals it and checks that
// every key is served again.
func randomRun(seed uint64, steps int, unsafe bool) *sim {
	count := 3 + int(seed%6)
	s := newSim(seed, count, 3, quickTiming(seed/3))
	s.unsafe = unsafe
	s.keepShare = 0.1
	s.startAll()
	s.run(10 * time.Second)
	every := []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second}[seed%3]
	s.disturbing = true
	s.disturb(every)
	for s.fault == "" && s.steps < steps {
		s.run(time.Second)
	}
	s.disturbing = false
	if s.fault != "" || unsafe {
		return s
	}
	s.run(40 * time.Second) // the ends of all faults have passed
	s.heal()
	s.run(settleLimit)
	if left := s.unserved(); s.fault == "" && left > 0 {
		s.failf("%d of %d sample points unserved %v after the last fault", left, len(s.points), settleLimit)
	}
	return s
}

// settleLimit is when a healed group must serve all keys: the orphan limit of
// quickTiming with drift, a takeover and a lease, and slack for retries.
const settleLimit = 80 * time.Second

func runSeeds(seeds, steps int, unsafe bool) []*sim {
	out := make([]*sim, seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 5)
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			out[i] = randomRun(uint64(i+1), steps, unsafe)
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// TestRandomFaults guards against two owners of a key, tokens that go back,
// ranges lost under a lease, and groups that never recover.
func TestRandomFaults(t *testing.T) {
	seeds, steps := 60, 20_000
	if testing.Short() {
		seeds = 6
	}
	total, longest := 0, 0
	events := map[EventKind]int{}
	for i, s := range runSeeds(seeds, steps, false) {
		total += s.steps
		longest = max(longest, len(s.store.history[len(s.store.history)-1].Table.Entries))
		for k, v := range s.events {
			events[k] += v
		}
		must.Eq(t, "", s.fault, must.Sprint(fmt.Sprintf("seed %d", i+1)))
	}
	t.Logf("seeds=%d steps=%d longest final table=%d events=%v", seeds, total, longest, events)
}

// TestCheckFindsMissingLeaseWait proves the power of the check above: with the
// wait for unexpired leases switched off, it must find two owners of a key.
func TestCheckFindsMissingLeaseWait(t *testing.T) {
	found := 0
	for _, s := range runSeeds(6, 20_000, true) {
		if s.fault != "" {
			found++
		}
	}
	must.Positive(t, found, must.Sprint("the check did not notice the missing wait"))
	t.Logf("noticed in %d of 6 seeds", found)
}
