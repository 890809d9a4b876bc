package ownership

import (
	"math"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// never is an instant that no clock reaches.
const never = clock.Instant(math.MaxInt64)

// Node is the part of one process that takes part in one group: always as a
// member, at times also as the coordinator or a successor. It is not safe for
// concurrent use.
type Node struct {
	cfg       Config
	timing    Timing
	self      Run
	now       clock.Instant
	startedAt clock.Instant
	nextWake  clock.Instant
	// effects collects the result of the present Step, and ownMessages the
	// messages from this run to itself.
	effects     []Effect
	ownMessages []Message

	revision core.Revision
	// requiredRevision is the newest configuration revision that an answer
	// named.
	requiredRevision core.Revision

	// record is the newest group record known, stored under version.
	// recordSeenAt is when this node first knew it.
	record       *GroupRecord
	version      uint64
	recordSeenAt clock.Instant
	// term is the newest term known, and termCoordinator its coordinator, or
	// the zero Member while that is not known.
	term            uint64
	termCoordinator core.Member

	store     storeState
	member    memberState
	successor successorState
	// coordinator is nil unless this node coordinates the term.
	coordinator  *coordinatorState
	lastSnapshot *Snapshot

	// skipLeaseWait lets ranges be reassigned before their leases have expired.
	// Only the test sets it that shows that the simulator detects two owners.
	skipLeaseWait bool
}

// New returns a node that starts at now without a lease. It fails with
// CodeInvalid if the timing is not valid or Config.Self has no identity.
func New(cfg Config, now clock.Instant) (*Node, error) {
	if err := cfg.Timing.Validate(); err != nil {
		return nil, err
	}
	if cfg.Self.Node == "" || cfg.Self.Incarnation == 0 {
		return nil, core.Fail(core.CodeInvalid, "ownership: Config.Self needs a node name and an incarnation")
	}
	if cfg.MayDrain == nil {
		cfg.MayDrain = mayDrainFifth
	}
	if cfg.KeyRange == (core.Range{}) {
		cfg.KeyRange = core.FullRange
	}
	if cfg.ChooseSuccessors == nil {
		cfg.ChooseSuccessors = preferOtherDataCentres
	}
	n := &Node{cfg: cfg, timing: cfg.Timing, self: RunOf(cfg.Self), now: now, startedAt: now}
	// The promises of a former run at this address are not known. This run
	// waits as if one had been given just before it started.
	n.successor.promisedUntil = now.Add(n.timing.withDrift(n.timing.PromiseDuration))
	n.successor.noReassignUntil = n.successor.promisedUntil.Add(n.timing.withDrift(n.timing.MemberLease))
	n.store.readWanted = true
	return n, nil
}

// Step processes one input at now and returns the effects, which the caller
// must carry out in order: a PublishSnapshot comes first, so that a range is no
// longer served when its release is sent. now must be read after the input was
// received, because promises and leases are counted from it. The slice is valid
// until the next Step.
func (n *Node) Step(now clock.Instant, in Input) []Effect {
	n.now = max(n.now, now)
	n.effects = n.effects[:0]
	n.handleInput(in)
	for range 8 { // a message to itself may cause another one
		n.deliverOwnMessages()
		n.nextWake = never
		n.tickMember()
		n.tickSuccessor()
		n.tickCoordinator()
		n.tickStore()
		if len(n.ownMessages) == 0 {
			break
		}
	}
	n.publishSnapshot()
	return n.effects
}

// NextWake returns when Step must be called next if no other input arrives.
func (n *Node) NextWake() clock.Instant { return n.nextWake }

// Snapshot returns the newest published snapshot, or nil before the first.
func (n *Node) Snapshot() *Snapshot { return n.lastSnapshot }

// Record returns the newest group record known and its store version. The
// record must not be changed.
func (n *Node) Record() (*GroupRecord, uint64) { return n.record, n.version }

func (n *Node) handleInput(in Input) {
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
		n.member.exchangesDrained = true
	case RequestMove:
		n.requestMove(x)
	case HandOverDone:
		n.onHandOverDone(x)
	case HandOverFailed:
		n.onHandOverFailed(x.Move)
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

func (n *Node) deliverOwnMessages() {
	for len(n.ownMessages) > 0 {
		msg := n.ownMessages[0]
		n.ownMessages = n.ownMessages[1:]
		n.receive(msg)
	}
}

// send sends a message to another node, or delivers it in the same step if it
// is for this run.
func (n *Node) send(to core.Member, msg Message) {
	switch {
	case RunOf(to) == n.self:
		n.ownMessages = append(n.ownMessages, msg)
	case to.Address != "" || to.Node != "":
		n.effects = append(n.effects, SendMessage{To: to, Message: msg})
	}
}

// sendToRun sends a message to a run, or drops it if the run's address is not
// known.
func (n *Node) sendToRun(to Run, msg Message) {
	if m, ok := n.findMember(to); ok {
		n.send(m, msg)
	}
}

// findMember returns the member with its addresses for a run.
func (n *Node) findMember(run Run) (core.Member, bool) {
	if run == n.self {
		return n.cfg.Self, true
	}
	if n.coordinator != nil {
		if info := n.coordinator.findMember(run); info != nil {
			return info.member, true
		}
	}
	for _, t := range []*core.Table{n.recordTable(), n.member.table} {
		if t == nil {
			continue
		}
		if i := indexOf(t, run); i >= 0 {
			return t.Members[i], true
		}
	}
	return core.Member{}, false
}

func (n *Node) recordTable() *core.Table {
	if n.record == nil {
		return nil
	}
	return &n.record.Table
}

// recordEvent adds an event to the journal.
func (n *Node) recordEvent(kind EventKind, subject Run, r core.Range) {
	e := Event{Kind: kind, Term: n.term, Revision: n.revision, Subject: subject, Range: r}
	if n.member.table != nil {
		e.Table = n.member.table.Version
	}
	n.effects = append(n.effects, JournalEvent{Event: e})
}

// wakeAt asks for a step at t. Instants that have passed are ignored, because
// every tick has acted on them already.
func (n *Node) wakeAt(t clock.Instant) {
	if t > n.now && t < n.nextWake {
		n.nextWake = t
	}
}

// learnTerm records a newer term, or the coordinator of the present one if it
// was not known.
func (n *Node) learnTerm(term uint64, coordinator core.Member) {
	if term == n.term && n.termCoordinator.Node == "" {
		n.termCoordinator = coordinator
	}
	if term <= n.term {
		return
	}
	n.term, n.termCoordinator = term, coordinator
	n.dropMoves()
	n.endActing()
	n.member.nextRenewAt = n.now
	if n.coordinator != nil && n.coordinator.term < term {
		n.stepDown()
	}
}

// learnRecord records a group record. Older versions are ignored, which makes
// stale reads harmless.
func (n *Node) learnRecord(rec *GroupRecord, version uint64) {
	if version <= n.version {
		return
	}
	if n.record == nil || version > n.version {
		n.record, n.version, n.recordSeenAt = rec, version, n.now
		n.successor.activeVersion = 0
	}
	if p := n.store.pendingWrite; p != nil && version > p.ifVersion {
		n.store.pendingWrite = nil
		if rec.Writer == n.self && rec.Nonce == p.record.Nonce {
			n.onOwnWriteStored(p, version, p.firstSentAt)
			return
		}
		n.onWriteNotCurrent(p)
	}
	coordinator, _ := n.findMember(rec.Coordinator)
	n.learnTerm(rec.Term, coordinator)
}

// publishSnapshot puts a changed snapshot before all other effects, so that a
// range is no longer served by the time its release is sent.
func (n *Node) publishSnapshot() {
	s := n.buildSnapshot()
	if s.equals(n.lastSnapshot) {
		return
	}
	n.lastSnapshot = s
	n.effects = append(n.effects, nil)
	copy(n.effects[1:], n.effects)
	n.effects[0] = PublishSnapshot{Snapshot: s}
}

func (n *Node) buildSnapshot() *Snapshot {
	s := &Snapshot{
		Group: n.cfg.Group, Term: n.term, Coordinator: n.termCoordinator, Table: n.member.table,
		LeaseEnd: n.leaseEnd(), RequiredRevision: n.requiredRevision, Reason: n.reason(),
	}
	if n.record != nil {
		s.Successors = n.record.Successors
	}
	if n.coordinator != nil {
		s.IsCoordinator, s.AuthorityEnd, s.TableUnwritten = true, n.authorityEnd(), n.coordinator.tableUnwritten
	}
	if !s.Reason.hasStoppedAdmitting() {
		s.OwnRanges, s.MovingRanges = n.ownRanges()
	}
	return s
}
