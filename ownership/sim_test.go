package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// scheduledAction is an action at a simulated time in nanoseconds. seq orders
// the actions of one time.
type scheduledAction struct {
	at     int64
	seq    uint64
	action func()
}

type eventQueue []scheduledAction

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledAction)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// sim runs the nodes of one group in simulated time, with a fake store and
// network.
type sim struct {
	// now is the simulated true time in nanoseconds. The clocks of the nodes
	// differ from it by an offset and a drift.
	now    int64
	seq    uint64
	queue  eventQueue
	random *rand.Rand
	timing Timing
	nodes  []*simNode
	store  *fakeStore
	// blocked drops the messages from the first node to the second.
	blocked map[[2]int]bool
	// storeUnreachable names the nodes that cannot reach the store.
	storeUnreachable map[int]bool
	// messageLoss and delayedShare are the shares of messages that are lost and
	// that are delayed by up to 5 s.
	messageLoss  float64
	delayedShare float64
	stepCount    int
	// failure describes the first failed check; it is empty while all have
	// passed.
	failure string
	// skipLeaseWait lets ranges be reassigned before leases expire, to show
	// that the checks detect two owners.
	skipLeaseWait bool
	// lastServed is the last token under which each sample point was served.
	lastServed   map[core.Hash]servedToken
	samplePoints []core.Hash
	eventCounts  map[EventKind]int
	trace        []string
	// keptHashShare is the share of hand-overs that keep one hash at the old
	// owner. As many fail, and half as many are never reported.
	keptHashShare float64
	// injecting is set while random faults are injected.
	injecting bool
	// keyRange is the part of the key space that the group owns. The zero Range
	// means all of it.
	keyRange core.Range
}

type servedToken struct {
	token core.Token
	run   Run
}

// simNode is one address. Its process may be down, paused or restarted.
type simNode struct {
	index          int
	name           core.NodeID
	dataCentre     core.DataCentre
	incarnation    core.Incarnation
	node           *Node
	snapshot       *Snapshot
	driftPPM       int64
	clockOffset    int64
	paused         bool
	heldInputs     []func()
	wakeGeneration uint64
	revision       core.Revision
	served         []HeldRange
	released       []HeldRange
	startedAt      int64
}

func newSim(seed uint64, count, dataCentres int, timing Timing) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), timing: timing, blocked: map[[2]int]bool{}, storeUnreachable: map[int]bool{},
		lastServed: map[core.Hash]servedToken{}, eventCounts: map[EventKind]int{}, delayedShare: 0,
	}
	s.store = &fakeStore{sim: s}
	for i := range core.Hash(64) {
		s.samplePoints = append(s.samplePoints, i*(^core.Hash(0)/64)+12345)
	}
	for i := range count {
		s.nodes = append(s.nodes, &simNode{
			index: i, name: core.NodeID(fmt.Sprintf("n%d", i)), dataCentre: core.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
			driftPPM: s.random.Int64N(clock.MaxDriftPPM + 1), clockOffset: int64(time.Hour) + s.random.Int64N(int64(time.Hour)),
		})
	}
	return s
}

func (s *sim) schedule(d time.Duration, action func()) {
	s.seq++
	heap.Push(&s.queue, scheduledAction{at: s.now + int64(d), seq: s.seq, action: action})
}

// run advances the simulated time by d, or until a check fails.
func (s *sim) run(d time.Duration) {
	end := s.now + int64(d)
	for s.failure == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(scheduledAction)
		s.now = e.at
		e.action()
	}
	s.now = max(s.now, end)
}

func (s *sim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("t=%v step=%d: ", time.Duration(s.now), s.stepCount) + fmt.Sprintf(format, args...)
	}
}

// debugTrace records the events of a run in sim.trace, to examine a failing
// seed.
var debugTrace bool

func (s *sim) logf(format string, args ...any) {
	if debugTrace {
		s.trace = append(s.trace, fmt.Sprintf("%v ", time.Duration(s.now))+fmt.Sprintf(format, args...))
	}
}

// localInstant returns what the clock of the node shows at true time t.
func (n *simNode) localInstant(t int64) clock.Instant {
	return clock.Instant(n.clockOffset + t + t/1_000_000*n.driftPPM)
}

func (n *simNode) member() core.Member {
	return core.Member{Node: n.name, Incarnation: n.incarnation, DataCentre: n.dataCentre, Address: string(n.name)}
}

func (n *simNode) isUp() bool { return n.node != nil }

// start starts a new run at the address.
func (s *sim) start(n *simNode) {
	n.incarnation++
	s.logf("START %s %d", n.name, n.incarnation)
	cfg := Config{Group: core.GroupID{Service: "s"}, Self: n.member(), Timing: s.timing, KeyRange: s.keyRange}
	node, err := New(cfg, n.localInstant(s.now))
	if err != nil {
		panic(err)
	}
	node.skipLeaseWait = s.skipLeaseWait
	n.node, n.snapshot, n.paused, n.heldInputs, n.served, n.released = node, nil, false, nil, nil, nil
	n.startedAt = s.now
	s.step(n, SetRevision{Revision: n.revision})
}

// startNodes starts all nodes, 20 ms apart.
func (s *sim) startNodes() {
	for _, n := range s.nodes {
		s.schedule(time.Duration(n.index)*20*time.Millisecond, func() { s.start(n) })
	}
}

func (s *sim) crash(n *simNode) {
	s.logf("CRASH %s", n.name)

	n.node, n.snapshot, n.heldInputs, n.paused, n.served = nil, nil, nil, false, nil
}

func (s *sim) pause(n *simNode, d time.Duration) {
	if n.paused || !n.isUp() {
		return
	}
	n.paused = true
	s.logf("PAUSE %s %v", n.name, d)
	incarnation := n.incarnation
	s.schedule(d, func() {
		if n.incarnation != incarnation || !n.isUp() {
			return
		}
		n.paused = false
		held := n.heldInputs
		n.heldInputs = nil
		for _, f := range held {
			f()
		}
		s.step(n, Tick{})
	})
}

// deliver passes an input to a given run, or holds it while the process is
// paused.
func (s *sim) deliver(n *simNode, incarnation core.Incarnation, in Input) {
	if !n.isUp() || n.incarnation != incarnation {
		return
	}
	if n.paused {
		if len(n.heldInputs) < 200 {
			n.heldInputs = append(n.heldInputs, func() { s.deliver(n, incarnation, in) })
		}
		return
	}
	s.step(n, in)
}

// step passes one input to a node, carries out the effects, and schedules the
// next Tick.
func (s *sim) step(n *simNode, in Input) {
	s.stepCount++
	effects := n.node.Step(n.localInstant(s.now), in)
	for _, e := range effects {
		s.perform(n, e)
	}
	n.wakeGeneration++
	gen, incarnation := n.wakeGeneration, n.incarnation
	wake := n.node.NextWake()
	if wake == never {
		return
	}
	d := time.Duration(wake-n.localInstant(s.now)) + time.Microsecond
	s.schedule(d, func() {
		if n.wakeGeneration == gen && n.incarnation == incarnation && n.isUp() && !n.paused {
			s.step(n, Tick{})
		}
	})
}

func (s *sim) perform(n *simNode, e Effect) {
	incarnation := n.incarnation
	switch x := e.(type) {
	case PublishSnapshot:
		s.publish(n, x.Snapshot)
	case SendMessage:
		s.transmit(n, x.To, x.Message)
	case GetGroupRecord:
		s.store.get(s.storeUnreachable[n.index], func(r ReadResult) { r.ID = x.ID; s.deliver(n, incarnation, r) })
	case PutGroupRecord:
		s.store.put(s.storeUnreachable[n.index], x.Record, x.IfVersion, func(r PutResult) { r.ID = x.ID; s.deliver(n, incarnation, r) })
	case HandOver:
		s.handOver(n, x)
	case JournalEvent:
		s.eventCounts[x.Event.Kind]++
		s.logf("%s %s term %d table %v subject %s", n.name, x.Event.Kind, x.Event.Term, x.Event.Table, x.Event.Subject.Node)
	}
}

func (s *sim) messageDelay() time.Duration {
	d := 200*time.Microsecond + time.Duration(s.random.Int64N(int64(1500*time.Microsecond)))
	if s.delayedShare > 0 && s.random.Float64() < s.delayedShare {
		d += time.Duration(s.random.Int64N(int64(5 * time.Second)))
	}
	return d
}

func (s *sim) transmit(from *simNode, to core.Member, msg Message) {
	var dest *simNode
	for _, n := range s.nodes {
		if n.name == to.Node {
			dest = n
		}
	}
	if dest == nil || s.blocked[[2]int{from.index, dest.index}] || s.random.Float64() < s.messageLoss {
		return
	}
	copies := 1
	if s.delayedShare > 0 && s.random.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		s.schedule(s.messageDelay(), func() {
			if dest.isUp() { // the run that is at the address by then receives it
				s.deliver(dest, dest.incarnation, MessageReceived{Message: msg})
			}
		})
	}
}

func (s *sim) handOver(n *simNode, h HandOver) {
	incarnation := n.incarnation
	p := s.random.Float64()
	s.schedule(time.Millisecond+time.Duration(s.random.Int64N(int64(5*time.Millisecond))), func() {
		switch {
		case p < s.keptHashShare:
			s.deliver(n, incarnation, HandOverDone{Move: h.Move, Keep: []core.Hash{h.Range.Lo + (h.Range.Hi-h.Range.Lo)/2}})
		case p < 2*s.keptHashShare:
			s.deliver(n, incarnation, HandOverFailed{Move: h.Move})
		case p < 2.5*s.keptHashShare: // the hand-over is never reported
		default:
			s.deliver(n, incarnation, HandOverDone{Move: h.Move})
		}
	})
}

// publish installs a snapshot and checks it against those of all other nodes.
// Ownership begins only with a snapshot, so this covers every moment.
func (s *sim) publish(n *simNode, snap *Snapshot) {
	s.checkNoRangeLost(n, snap)
	n.snapshot = snap
	n.served = snap.OwnRanges
	if !s.isServing(n) {
		return
	}
	for _, o := range s.nodes {
		if o == n || !s.isServing(o) {
			continue
		}
		for _, a := range snap.OwnRanges {
			for _, b := range o.snapshot.OwnRanges {
				if a.Range.Overlaps(b.Range) {
					s.failf("%s and %s both serve %x: tokens %v and %v", n.name, o.name, a.Range.Intersect(b.Range), a.Token, b.Token)
				}
			}
		}
	}
	s.checkTokens(n, snap)
}

// isServing reports whether the node owns ranges under an unexpired lease.
func (s *sim) isServing(n *simNode) bool {
	return n.isUp() && n.snapshot != nil && len(n.snapshot.OwnRanges) > 0 && n.localInstant(s.now) < n.snapshot.LeaseEnd
}

// checkTokens verifies that tokens never decrease and that a new owner has a
// greater token than the former one.
func (s *sim) checkTokens(n *simNode, snap *Snapshot) {
	run := RunOf(n.member())
	for _, p := range s.samplePoints {
		token, code := snap.Check(n.localInstant(s.now), p)
		if code != 0 {
			continue
		}
		seen := s.lastServed[p]
		if token.Less(seen.token) || (token == seen.token && run != seen.run) {
			s.failf("%s serves %x under %v after %v was served under %v", n.name, p, token, seen.run, seen.token)
		}
		s.lastServed[p] = servedToken{token: token, run: run}
	}
}

// checkNoRangeLost verifies that a range under an unexpired lease is lost only
// by a release, a stop, or the end of the coordinator's own term.
func (s *sim) checkNoRangeLost(n *simNode, next *Snapshot) {
	prev := n.snapshot
	if prev == nil || n.localInstant(s.now) >= prev.LeaseEnd || prev.IsCoordinator || next.IsCoordinator {
		return
	}
	if next.Reason.hasStoppedAdmitting() {
		return
	}
	for _, h := range prev.OwnRanges {
		rest := []core.Range{h.Range}
		for _, o := range next.OwnRanges {
			rest = core.SubtractAll(rest, o.Range)
		}
		for _, r := range next.MovingRanges {
			rest = core.SubtractAll(rest, r)
		}
		for _, r := range n.node.member.releasedRanges {
			rest = core.SubtractAll(rest, r.Range)
		}
		if len(rest) > 0 {
			s.failf("%s lost %x under an unexpired lease without releasing it (table %v -> %v)", n.name, rest, prev.Table.Version, next.Table.Version)
		}
	}
}

// owner returns the node that serves h at this moment, or nil.
func (s *sim) owner(h core.Hash) *simNode {
	for _, n := range s.nodes {
		if n.isUp() && !n.paused && n.snapshot != nil {
			if _, code := n.snapshot.Check(n.localInstant(s.now), h); code == 0 {
				return n
			}
		}
	}
	return nil
}

// countUnserved counts the sample points that no node serves.
func (s *sim) countUnserved() int {
	count := 0
	for _, p := range s.samplePoints {
		if s.owner(p) == nil {
			count++
		}
	}
	return count
}

// coordinatorNode returns the node that coordinates with authority, or nil.
func (s *sim) coordinatorNode() *simNode {
	for _, n := range s.nodes {
		if n.isUp() && !n.paused && n.snapshot != nil && n.snapshot.IsCoordinator && n.localInstant(s.now) < n.snapshot.AuthorityEnd {
			return n
		}
	}
	return nil
}
