package ownership

import (
	"math"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// never is an instant that no clock reaches.
const never = clock.Instant(math.MaxInt64)

// Node is the part of one process that takes part in one group: a member, at
// times the coordinator, and at times a successor. It is not safe for
// concurrent use.
type Node struct {
	cfg     Config
	t       Timing
	self    Run
	now     clock.Instant
	started clock.Instant
	wake    clock.Instant
	out     []Effect
	local   []Message

	revision core.Revision
	// wantRevision is the newest revision that an answer named.
	wantRevision core.Revision

	// rec is the newest group record known, stored under version; recSince is
	// when this node first knew it.
	rec      *GroupRecord
	version  uint64
	recSince clock.Instant
	// term is the newest term known, and coordinator its coordinator.
	term        uint64
	coordinator core.Member

	store     storeState
	m         member
	s         successor
	c         *coordinator
	published *Snapshot

	// skipLeaseWait makes reassignment ignore unexpired leases. Only the test
	// that proves the safety check's power sets it.
	skipLeaseWait bool
}

// New returns a node that starts at now without a lease.
func New(cfg Config, now clock.Instant) (*Node, error) {
	if err := cfg.Timing.Validate(); err != nil {
		return nil, err
	}
	if cfg.Self.Node == "" || cfg.Self.Incarnation == 0 {
		return nil, core.Fail(core.CodeInvalid, "ownership: node without identity")
	}
	if cfg.MayDrain == nil {
		cfg.MayDrain = fifthOfGroup
	}
	if cfg.KeyRange == (core.Range{}) {
		cfg.KeyRange = core.FullRange
	}
	if cfg.ChooseSuccessors == nil {
		cfg.ChooseSuccessors = otherDataCentres
	}
	n := &Node{cfg: cfg, t: cfg.Timing, self: RunOf(cfg.Self), now: now, started: now}
	// Promises of a former run at this address are unknown, so this run waits
	// as if one had been given just before it started.
	n.s.promised = now.Add(n.t.stretch(n.t.PromiseDuration))
	n.s.noReassign = n.s.promised.Add(n.t.stretch(n.t.MemberLease))
	n.store.getWanted = true
	return n, nil
}

// Step processes one input at now and returns the effects, which the caller
// must carry out in order: a PublishLease comes first, so that a range is no
// longer served when its release is sent. now must be read after the input was
// received, because promises and leases are counted from it. The slice is valid
// until the next Step.
func (n *Node) Step(now clock.Instant, in Input) []Effect {
	n.now = max(n.now, now)
	n.out = n.out[:0]
	n.input(in)
	for range 8 { // messages to itself settle in a few rounds
		n.deliverLocal()
		n.wake = never
		n.tickMember()
		n.tickSuccessor()
		n.tickCoordinator()
		n.tickStore()
		if len(n.local) == 0 {
			break
		}
	}
	n.publish()
	return n.out
}

// NextWake returns when Step is next needed without other input.
func (n *Node) NextWake() clock.Instant { return n.wake }

// Snapshot returns the newest published snapshot, or nil.
func (n *Node) Snapshot() *Snapshot { return n.published }

// Record returns the newest group record known and its version.
func (n *Node) Record() (*GroupRecord, uint64) { return n.rec, n.version }

func (n *Node) input(in Input) {
	switch x := in.(type) {
	case MessageReceived:
		n.receive(x.Message)
	case ReadResult:
		n.onRead(x)
	case PutResult:
		n.onPut(x)
	case SetRevision:
		n.revision = max(n.revision, x.Revision)
	case Drain:
		n.startDrain(x.Stop)
	case Undrain:
		n.undrain()
	case ExchangesDrained:
		n.m.exchangesDrained = true
	case RequestMove:
		n.requestMove(x)
	case HandOverDone:
		n.handedOver(x)
	case HandOverFailed:
		n.handOverFailed(x.Move)
	case DeclareLost:
		n.declareLost(x.Runs)
	}
}

func (n *Node) receive(msg Message) {
	switch x := msg.(type) {
	case *Renew:
		n.onRenew(x)
	case *RenewAnswer:
		n.onRenewAnswer(x)
	case *TablePush:
		n.onTablePush(x)
	case *TermNotice:
		n.onTermNotice(x)
	case *PromiseRequest:
		n.onPromiseRequest(x)
	case *PromiseAnswer:
		n.onPromiseAnswer(x)
	case *ActingRequest:
		n.onActingRequest(x)
	case *ActingAnswer:
		n.onActingAnswer(x)
	case *StepDown:
		n.onStepDown(x)
	case *MoveStop:
		n.onMoveStop(x)
	case *MoveReleased:
		n.onMoveReleased(x)
	case *MoveFailed:
		n.onMoveFailed(x)
	case *MoveRequest:
		n.onMoveRequest(x)
	}
}

func (n *Node) deliverLocal() {
	for len(n.local) > 0 {
		msg := n.local[0]
		n.local = n.local[1:]
		n.receive(msg)
	}
}

// send queues a message; messages to this run are delivered in the same step.
func (n *Node) send(to core.Member, msg Message) {
	switch {
	case RunOf(to) == n.self:
		n.local = append(n.local, msg)
	case to.Address != "" || to.Node != "":
		n.out = append(n.out, SendMessage{To: to, Message: msg})
	}
}

// sendRun sends to a run whose addresses are known, and else drops msg.
func (n *Node) sendRun(to Run, msg Message) {
	if m, ok := n.lookup(to); ok {
		n.send(m, msg)
	}
}

// lookup finds the addresses of a run.
func (n *Node) lookup(run Run) (core.Member, bool) {
	if run == n.self {
		return n.cfg.Self, true
	}
	if n.c != nil {
		if i := n.c.info(run); i != nil {
			return i.member, true
		}
	}
	for _, t := range []*core.Table{n.recTable(), n.m.table} {
		if t == nil {
			continue
		}
		if i := indexOf(t, run); i >= 0 {
			return t.Members[i], true
		}
	}
	return core.Member{}, false
}

func (n *Node) recTable() *core.Table {
	if n.rec == nil {
		return nil
	}
	return &n.rec.Table
}

func (n *Node) journal(kind EventKind, subject Run, r core.Range) {
	e := Event{Kind: kind, Term: n.term, Revision: n.revision, Subject: subject, Range: r}
	if n.m.table != nil {
		e.Table = n.m.table.Version
	}
	n.out = append(n.out, JournalEvent{Event: e})
}

// wakeAt asks for a step at t. Instants that have passed are ignored, because
// every tick has acted on them already.
func (n *Node) wakeAt(t clock.Instant) {
	if t > n.now && t < n.wake {
		n.wake = t
	}
}

// setTerm notes a newer term or the coordinator of the present one.
func (n *Node) setTerm(term uint64, coordinator core.Member) {
	if term == n.term && n.coordinator.Node == "" {
		n.coordinator = coordinator
	}
	if term <= n.term {
		return
	}
	n.term, n.coordinator = term, coordinator
	n.abortMoves()
	n.endActing()
	n.m.nextRenew = n.now
	if n.c != nil && n.c.term < term {
		n.stepDown()
	}
}

// learn takes note of a group record. Older versions are ignored, which makes
// stale reads harmless.
func (n *Node) learn(rec *GroupRecord, version uint64) {
	if version <= n.version {
		return
	}
	if n.rec == nil || version > n.version {
		n.rec, n.version, n.recSince = rec, version, n.now
		n.s.active = 0
	}
	if p := n.store.pend; p != nil && version > p.ifVersion {
		n.store.pend = nil
		if rec.Writer == n.self && rec.Nonce == p.rec.Nonce {
			n.written(p, version, p.firstSent)
			return
		}
		n.writeFailed(p)
	}
	coordinator, _ := n.lookup(rec.Coordinator)
	n.setTerm(rec.Term, coordinator)
}

// publish puts the new snapshot before all other effects, so that a range is
// no longer served by the time its release is sent.
func (n *Node) publish() {
	s := n.snapshot()
	if s.same(n.published) {
		return
	}
	n.published = s
	n.out = append(n.out, nil)
	copy(n.out[1:], n.out)
	n.out[0] = PublishSnapshot{Snapshot: s}
}

func (n *Node) snapshot() *Snapshot {
	s := &Snapshot{
		Group: n.cfg.Group, Term: n.term, Coordinator: n.coordinator, Table: n.m.table,
		LeaseEnd: n.leaseEnd(), RequiredRevision: n.wantRevision, Reason: n.reason(),
	}
	if n.rec != nil {
		s.Successors = n.rec.Successors
	}
	if n.c != nil {
		s.IsCoordinator, s.AuthorityEnd, s.TableUnwritten = true, n.authorityEnd(), n.c.unwritten
	}
	if !s.Reason.stopped() {
		s.OwnRanges, s.Moving = n.own()
	}
	return s
}
