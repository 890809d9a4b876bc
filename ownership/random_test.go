package ownership

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// quickTiming shortens MaxActing and MaxUnconfirmed, so that random runs reach
// them. A third of the seeds use a promise longer than the term lease, because
// with equal ones a missing wait for either is hidden behind the other.
func quickTiming(seed uint64) Timing {
	t := DefaultTiming()
	t.MaxActing, t.MaxUnconfirmed = 20*time.Second, 60*time.Second
	if seed%3 == 1 {
		t.MaxActing, t.MaxUnconfirmed = 5*time.Second, 20*time.Second
		t.PromiseDuration, t.TermLease = 2*time.Second, 1200*time.Millisecond
	}
	return t
}

// injectFaults injects random faults at random intervals for as long as
// s.injecting is set.
func (s *sim) injectFaults(meanInterval time.Duration) {
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(meanInterval)), func() {
		if s.injecting {
			s.randomFault()
			s.injectFaults(meanInterval)
		}
	})
}

func (s *sim) randomNode() *simNode { return s.nodes[s.random.IntN(len(s.nodes))] }

func (s *sim) randomDuration(limit time.Duration) time.Duration {
	// Half of the faults are short, about as long as the leases.
	if s.random.IntN(2) == 0 {
		limit /= 4
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}

// pickTarget picks the coordinator half of the time, because faults there
// matter most, and otherwise any node.
func (s *sim) pickTarget() *simNode {
	if c := s.coordinatorNode(); c != nil && s.random.IntN(2) == 0 {
		return c
	}
	return s.randomNode()
}

func (s *sim) randomFault() {
	switch s.random.IntN(15) {
	case 0, 1:
		s.crashAndRestart(s.pickTarget(), s.randomDuration(8*time.Second))
	case 2, 3:
		s.pause(s.pickTarget(), s.randomDuration(8*time.Second))
	case 4, 5:
		s.partition(s.pickTarget(), s.randomDuration(12*time.Second))
	case 6:
		a, b := s.pickTarget().index, s.randomNode().index
		s.blockFor(a, b, s.randomDuration(12*time.Second))
	case 7, 8:
		s.setStoreMode(storeMode(1+s.random.IntN(3)), s.randomDuration(30*time.Second))
	case 9:
		s.messageLoss, s.delayedShare = s.random.Float64()*0.4, s.random.Float64()*0.2
		s.schedule(s.randomDuration(10*time.Second), func() { s.messageLoss, s.delayedShare = 0, 0 })
	case 10:
		s.randomMove()
	case 11:
		s.randomDrain()
	case 12:
		s.newRevision()
	case 13, 14:
		i := s.pickTarget().index
		s.logf("NOSTORE %d", i)
		s.storeUnreachable[i] = true
		s.schedule(s.randomDuration(20*time.Second), func() { delete(s.storeUnreachable, i) })
	}
}

func (s *sim) crashAndRestart(n *simNode, d time.Duration) {
	if !n.isUp() {
		return
	}
	s.crash(n)
	s.schedule(d, func() {
		if !n.isUp() {
			s.start(n)
		}
	})
}

// partition cuts n off from all other nodes for d. Messages are lost in both
// directions (way 2), only to n (way 0) or only from n (way 1).
func (s *sim) partition(n *simNode, d time.Duration) {
	way := s.random.IntN(3)
	s.logf("PARTITION %s way %d %v", n.name, way, d)
	for _, o := range s.nodes {
		if o == n {
			continue
		}
		if way != 0 {
			s.blockFor(n.index, o.index, d)
		}
		if way != 1 {
			s.blockFor(o.index, n.index, d)
		}
	}
}

// blockFor drops the messages from node a to node b for d.
func (s *sim) blockFor(a, b int, d time.Duration) {
	s.blocked[[2]int{a, b}] = true
	s.logf("BLOCK %d->%d %v", a, b, d)
	s.schedule(d, func() { delete(s.blocked, [2]int{a, b}) })
}

// setStoreMode sets the failure mode of the store for d, or until another mode
// is set.
func (s *sim) setStoreMode(mode storeMode, d time.Duration) {
	s.store.mode = mode
	s.logf("STORE %d %v", mode, d)
	s.schedule(d, func() {
		if s.store.mode == mode {
			s.store.mode = storeUp
		}
	})
}

// randomMove asks a random node to move a random range to a random node.
func (s *sim) randomMove() {
	n, to := s.randomNode(), s.randomNode()
	if !n.isUp() || !to.isUp() {
		return
	}
	lo := core.Hash(s.random.Uint64())
	hi := max(lo, lo+core.Hash(s.random.Uint64()>>uint(2+s.random.IntN(60))))
	s.deliver(n, n.incarnation, RequestMove{Range: core.Range{Lo: lo, Hi: hi}, To: RunOf(to.member())})
}

// randomDrain starts a drain of a node. Two in three end with an undrain; the
// others end with a restart of the node.
func (s *sim) randomDrain() {
	n := s.pickTarget()
	stop := s.random.IntN(3) == 0
	s.deliver(n, n.incarnation, Drain{Stop: stop})
	incarnation := n.incarnation
	if !stop {
		s.schedule(s.randomDuration(15*time.Second), func() { s.deliver(n, incarnation, Undrain{}) })
		return
	}
	s.schedule(s.randomDuration(5*time.Second), func() { s.deliver(n, incarnation, ExchangesDrained{}) })
	s.schedule(10*time.Second, func() {
		if n.incarnation == incarnation && n.isUp() {
			s.crash(n)
			s.start(n)
		}
	})
}

// newRevision makes every node adopt a newer configuration revision, each after
// a random delay.
func (s *sim) newRevision() {
	rev := core.Revision(0)
	for _, n := range s.nodes {
		rev = max(rev, n.revision+1)
	}
	for _, n := range s.nodes {
		s.schedule(s.randomDuration(4*time.Second), func() {
			n.revision = max(n.revision, rev)
			s.deliver(n, n.incarnation, SetRevision{Revision: rev})
		})
	}
}

// heal ends all faults and drains, and restarts the nodes that are down or
// stopping.
func (s *sim) heal() {
	s.blocked, s.storeUnreachable = map[[2]int]bool{}, map[int]bool{}
	s.messageLoss, s.delayedShare, s.store.mode, s.keptHashShare = 0, 0, storeUp, 0
	for _, n := range s.nodes {
		if !n.isUp() || n.node.member.stopping {
			s.start(n)
			continue
		}
		s.deliver(n, n.incarnation, Undrain{})
	}
}

// runWithFaults injects faults into a group for at least minSteps steps, then
// ends them and checks that every key is served again.
func runWithFaults(seed uint64, minSteps int, skipLeaseWait bool) *sim {
	count := 3 + int(seed%6)
	s := newSim(seed, count, 3, quickTiming(seed/3))
	s.skipLeaseWait = skipLeaseWait
	s.keptHashShare = 0.1
	s.startNodes()
	s.run(10 * time.Second)
	meanInterval := []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second}[seed%3]
	s.injecting = true
	s.injectFaults(meanInterval)
	for s.failure == "" && s.stepCount < minSteps {
		s.run(time.Second)
	}
	s.injecting = false
	if s.failure != "" || skipLeaseWait {
		return s
	}
	s.run(40 * time.Second) // longer than any injected fault lasts
	s.heal()
	s.run(maxRecoveryAfterHeal)
	if unserved := s.countUnserved(); s.failure == "" && unserved > 0 {
		s.failf("%d of %d sample points unserved %v after the last fault", unserved, len(s.samplePoints), maxRecoveryAfterHeal)
	}
	return s
}

// maxRecoveryAfterHeal is how long after heal a group may take to serve all
// keys: MaxUnconfirmed of quickTiming with drift, a takeover and a lease, and
// slack for retries.
const maxRecoveryAfterHeal = 80 * time.Second

func runSeedsWithFaults(seeds, minSteps int, skipLeaseWait bool) []*sim {
	out := make([]*sim, seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 5)
	for i := range seeds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			out[i] = runWithFaults(uint64(i+1), minSteps, skipLeaseWait)
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// TestRandomFaults guards against two owners of a key, tokens that decrease,
// ranges lost under a lease, and groups that never recover.
func TestRandomFaults(t *testing.T) {
	seeds, steps := 60, 20_000
	if testing.Short() {
		seeds = 6
	}
	total, longest := 0, 0
	events := map[EventKind]int{}
	for i, s := range runSeedsWithFaults(seeds, steps, false) {
		total += s.stepCount
		longest = max(longest, len(s.store.history[len(s.store.history)-1].Table.Entries))
		for k, v := range s.eventCounts {
			events[k] += v
		}
		must.Eq(t, "", s.failure, must.Sprint(fmt.Sprintf("seed %d", i+1)))
	}
	t.Logf("seeds=%d steps=%d longest final table=%d events=%v", seeds, total, longest, events)
}

// TestCheckDetectsMissingLeaseWait shows that the checks of TestRandomFaults
// are effective: if ranges are reassigned without waiting for unexpired leases,
// they must find two owners of a key.
func TestCheckDetectsMissingLeaseWait(t *testing.T) {
	found := 0
	for _, s := range runSeedsWithFaults(6, 20_000, true) {
		if s.failure != "" {
			found++
		}
	}
	must.Positive(t, found, must.Sprint("no seed detected two owners although lease waits were off"))
	t.Logf("detected in %d of 6 seeds", found)
}
