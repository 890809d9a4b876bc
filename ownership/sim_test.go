package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// event is one thing that happens at a true time.
type event struct {
	at  int64
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// sim runs nodes in virtual time against a fake store and network.
type sim struct {
	now    int64
	seq    uint64
	queue  eventQueue
	rng    *rand.Rand
	timing Timing
	nodes  []*simNode
	store  *fakeStore
	// blocked[from][to] drops messages of one direction.
	blocked map[[2]int]bool
	// noStore names the nodes that cannot reach the store.
	noStore  map[int]bool
	loss     float64
	slowDown float64
	steps    int
	fault    string
	// unsafe switches off waiting for leases, to prove the check's power.
	unsafe bool
	tokens map[core.Hash]tokenSeen
	points []core.Hash
	events map[EventKind]int
	trace  []string
	// keepShare is the share of hand-overs that keep a hash back.
	keepShare float64
	// disturbing is set while random faults are injected.
	disturbing bool
	// space is the group's part of the key space; zero means all.
	space core.Range
}

type tokenSeen struct {
	token core.Token
	run   Run
}

// simNode is one address; its process may be down, paused or restarted.
type simNode struct {
	index     int
	name      core.NodeID
	dc        core.DataCentre
	inc       core.Incarnation
	node      *Node
	snap      *Snapshot
	ppm       int64
	offset    int64
	paused    bool
	held      []func()
	wakeGen   uint64
	revision  core.Revision
	served    []HeldRange
	released  []HeldRange
	startedAt int64
}

func newSim(seed uint64, count, dcs int, timing Timing) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), timing: timing, blocked: map[[2]int]bool{}, noStore: map[int]bool{},
		tokens: map[core.Hash]tokenSeen{}, events: map[EventKind]int{}, slowDown: 0,
	}
	s.store = &fakeStore{s: s}
	for i := range core.Hash(64) {
		s.points = append(s.points, i*(^core.Hash(0)/64)+12345)
	}
	for i := range count {
		s.nodes = append(s.nodes, &simNode{
			index: i, name: core.NodeID(fmt.Sprintf("n%d", i)), dc: core.DataCentre(fmt.Sprintf("dc%d", i%dcs)),
			ppm: s.rng.Int64N(clock.MaxDriftPPM + 1), offset: int64(time.Hour) + s.rng.Int64N(int64(time.Hour)),
		})
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + int64(d), seq: s.seq, run: run})
}

// run processes events until the true time or until the check fails.
func (s *sim) run(d time.Duration) {
	end := s.now + int64(d)
	for s.fault == "" && len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = max(s.now, end)
}

func (s *sim) failf(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf("t=%v step=%d: ", time.Duration(s.now), s.steps) + fmt.Sprintf(format, args...)
	}
}

// debugTrace records what happens, to read the trace of a failing seed.
var debugTrace bool

func (s *sim) logf(format string, args ...any) {
	if debugTrace {
		s.trace = append(s.trace, fmt.Sprintf("%v ", time.Duration(s.now))+fmt.Sprintf(format, args...))
	}
}

func (n *simNode) local(t int64) clock.Instant {
	return clock.Instant(n.offset + t + t/1_000_000*n.ppm)
}

func (n *simNode) member() core.Member {
	return core.Member{Node: n.name, Incarnation: n.inc, DataCentre: n.dc, Address: string(n.name)}
}

func (n *simNode) up() bool { return n.node != nil }

// start runs a new process at the address.
func (s *sim) start(n *simNode) {
	n.inc++
	s.logf("START %s %d", n.name, n.inc)
	cfg := Config{Group: core.GroupID{Service: "s"}, Self: n.member(), Timing: s.timing, KeyRange: s.space}
	node, err := New(cfg, n.local(s.now))
	if err != nil {
		panic(err)
	}
	node.skipLeaseWait = s.unsafe
	n.node, n.snap, n.paused, n.held, n.served, n.released = node, nil, false, nil, nil, nil
	n.startedAt = s.now
	s.input(n, SetRevision{Revision: n.revision})
}

func (s *sim) startAll() {
	for _, n := range s.nodes {
		s.after(time.Duration(n.index)*20*time.Millisecond, func() { s.start(n) })
	}
}

func (s *sim) crash(n *simNode) {
	s.logf("CRASH %s", n.name)

	n.node, n.snap, n.held, n.paused, n.served = nil, nil, nil, false, nil
}

func (s *sim) pause(n *simNode, d time.Duration) {
	if n.paused || !n.up() {
		return
	}
	n.paused = true
	s.logf("PAUSE %s %v", n.name, d)
	inc := n.inc
	s.after(d, func() {
		if n.inc != inc || !n.up() {
			return
		}
		n.paused = false
		held := n.held
		n.held = nil
		for _, f := range held {
			f()
		}
		s.input(n, Tick{})
	})
}

// toProcess delivers an input to a given run, or holds it while paused.
func (s *sim) toProcess(n *simNode, inc core.Incarnation, in Input) {
	if !n.up() || n.inc != inc {
		return
	}
	if n.paused {
		if len(n.held) < 200 {
			n.held = append(n.held, func() { s.toProcess(n, inc, in) })
		}
		return
	}
	s.input(n, in)
}

func (s *sim) input(n *simNode, in Input) {
	s.steps++
	effects := n.node.Step(n.local(s.now), in)
	for _, e := range effects {
		s.carryOut(n, e)
	}
	n.wakeGen++
	gen, inc := n.wakeGen, n.inc
	wake := n.node.NextWake()
	if wake == never {
		return
	}
	d := time.Duration(wake-n.local(s.now)) + time.Microsecond
	s.after(d, func() {
		if n.wakeGen == gen && n.inc == inc && n.up() && !n.paused {
			s.input(n, Tick{})
		}
	})
}

func (s *sim) carryOut(n *simNode, e Effect) {
	inc := n.inc
	switch x := e.(type) {
	case PublishSnapshot:
		s.publish(n, x.Snapshot)
	case SendMessage:
		s.transmit(n, x.To, x.Message)
	case GetGroupRecord:
		s.store.get(s.noStore[n.index], func(r ReadResult) { r.ID = x.ID; s.toProcess(n, inc, r) })
	case PutGroupRecord:
		s.store.put(s.noStore[n.index], x.Record, x.IfVersion, func(r PutResult) { r.ID = x.ID; s.toProcess(n, inc, r) })
	case HandOver:
		s.handOver(n, x)
	case JournalEvent:
		s.events[x.Event.Kind]++
		s.logf("%s %s term %d table %v subject %s", n.name, x.Event.Kind, x.Event.Term, x.Event.Table, x.Event.Subject.Node)
	}
}

func (s *sim) delay() time.Duration {
	d := 200*time.Microsecond + time.Duration(s.rng.Int64N(int64(1500*time.Microsecond)))
	if s.slowDown > 0 && s.rng.Float64() < s.slowDown {
		d += time.Duration(s.rng.Int64N(int64(5 * time.Second)))
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
	if dest == nil || s.blocked[[2]int{from.index, dest.index}] || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.slowDown > 0 && s.rng.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		s.after(s.delay(), func() {
			if dest.up() { // whichever run is at the address receives it
				s.toProcess(dest, dest.inc, MessageReceived{Message: msg})
			}
		})
	}
}

func (s *sim) handOver(n *simNode, h HandOver) {
	inc := n.inc
	p := s.rng.Float64()
	s.after(time.Millisecond+time.Duration(s.rng.Int64N(int64(5*time.Millisecond))), func() {
		switch {
		case p < s.keepShare:
			s.toProcess(n, inc, HandOverDone{Move: h.Move, Keep: []core.Hash{h.Range.Lo + (h.Range.Hi-h.Range.Lo)/2}})
		case p < 2*s.keepShare:
			s.toProcess(n, inc, HandOverFailed{Move: h.Move})
		case p < 2.5*s.keepShare: // the caller never reports
		default:
			s.toProcess(n, inc, HandOverDone{Move: h.Move})
		}
	})
}

// publish installs a snapshot and checks it against all others. Ownership can
// only begin with a snapshot, so this covers every moment.
func (s *sim) publish(n *simNode, snap *Snapshot) {
	s.checkKept(n, snap)
	n.snap = snap
	n.served = snap.OwnRanges
	if !s.passes(n) {
		return
	}
	for _, o := range s.nodes {
		if o == n || !s.passes(o) {
			continue
		}
		for _, a := range snap.OwnRanges {
			for _, b := range o.snap.OwnRanges {
				if a.Range.Overlaps(b.Range) {
					s.failf("%s and %s both serve %x: tokens %v and %v", n.name, o.name, a.Range.Intersect(b.Range), a.Token, b.Token)
				}
			}
		}
	}
	s.checkTokens(n, snap)
}

func (s *sim) passes(n *simNode) bool {
	return n.up() && n.snap != nil && len(n.snap.OwnRanges) > 0 && n.local(s.now) < n.snap.LeaseEnd
}

// checkTokens verifies that tokens never go back and that a new owner has a
// greater token than the former one.
func (s *sim) checkTokens(n *simNode, snap *Snapshot) {
	run := RunOf(n.member())
	for _, p := range s.points {
		token, code := snap.Check(n.local(s.now), p)
		if code != 0 {
			continue
		}
		seen := s.tokens[p]
		if token.Less(seen.token) || (token == seen.token && run != seen.run) {
			s.failf("%s serves %x under %v after %v was served under %v", n.name, p, token, seen.run, seen.token)
		}
		s.tokens[p] = tokenSeen{token: token, run: run}
	}
}

// checkKept verifies that a range under an unexpired lease is lost only by a
// release, a stop, or the end of the coordinator's own term.
func (s *sim) checkKept(n *simNode, next *Snapshot) {
	prev := n.snap
	if prev == nil || n.local(s.now) >= prev.LeaseEnd || prev.IsCoordinator || next.IsCoordinator {
		return
	}
	if next.Reason.stopped() {
		return
	}
	for _, h := range prev.OwnRanges {
		rest := []core.Range{h.Range}
		for _, o := range next.OwnRanges {
			rest = core.SubtractAll(rest, o.Range)
		}
		for _, r := range next.Moving {
			rest = core.SubtractAll(rest, r)
		}
		for _, r := range n.node.m.released {
			rest = core.SubtractAll(rest, r.Range)
		}
		if len(rest) > 0 {
			s.failf("%s lost %x under an unexpired lease without releasing it (table %v -> %v)", n.name, rest, prev.Table.Version, next.Table.Version)
		}
	}
}

// owner returns the node that serves h at this moment.
func (s *sim) owner(h core.Hash) *simNode {
	for _, n := range s.nodes {
		if n.up() && !n.paused && n.snap != nil {
			if _, code := n.snap.Check(n.local(s.now), h); code == 0 {
				return n
			}
		}
	}
	return nil
}

// unserved counts the sample points that no node serves.
func (s *sim) unserved() int {
	count := 0
	for _, p := range s.points {
		if s.owner(p) == nil {
			count++
		}
	}
	return count
}

// coordinator returns the node that coordinates with authority, or nil.
func (s *sim) coordinator() *simNode {
	for _, n := range s.nodes {
		if n.up() && !n.paused && n.snap != nil && n.snap.IsCoordinator && n.local(s.now) < n.snap.AuthorityEnd {
			return n
		}
	}
	return nil
}
