package ownership

import (
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// MaxMembers bounds the members of a group. Section 3 of the design page has
// the calculation.
const MaxMembers = 10

// Config describes one node of one group.
type Config struct {
	Group  core.GroupID
	Self   core.Member
	Timing Timing
	// KeyRange is the part of the key space that the group owns. The zero Range
	// means all of it.
	KeyRange core.Range
	// MayDrain reports whether candidate may drain in addition to the members
	// in draining, in a group of total members. Nil allows a fifth of the
	// group, and at least one member, to drain at a time.
	MayDrain func(draining []core.Member, candidate core.Member, total int) bool
	// Eligible reports whether m may be given ranges now. The coordinator asks
	// it; nil means always. Members that come and go repeatedly are held back
	// here.
	Eligible func(m core.Member, now clock.Instant) bool
	// ChooseSuccessors picks up to n of the candidates as successors of the
	// coordinator. Nil prefers other data centres.
	ChooseSuccessors func(coordinator core.Member, candidates []core.Member, n int) []core.Member
}

// Input is an event or a request that Node.Step handles. The set of types is
// closed.
type Input interface{ input() }

// Tick only lets time pass. Node.NextWake returns when it is needed.
type Tick struct{}

// MessageReceived delivers a message that another node sent to this run.
type MessageReceived struct{ Message Message }

// ReadStatus is the outcome of a store read.
type ReadStatus uint8

// Read outcomes.
const (
	ReadFound ReadStatus = iota + 1
	ReadMissing
	ReadUnavailable
)

// ReadResult is the result of GetGroupRecord, or the change that a watch
// reports, which has ID zero.
type ReadResult struct {
	ID      uint64
	Status  ReadStatus
	Record  *GroupRecord
	Version uint64
}

// PutStatus is the outcome of a conditional write.
type PutStatus uint8

// Write outcomes. With PutOutcomeUnknown the write may have taken effect or may
// still do so. With PutNotApplied it has not and will not.
const (
	PutOK PutStatus = iota + 1
	PutConflict
	PutOutcomeUnknown
	PutNotApplied
)

// PutResult is the result of PutGroupRecord.
type PutResult struct {
	ID     uint64
	Status PutStatus
	// Version is the new version if Status is PutOK.
	Version uint64
}

// SetRevision reports that a configuration revision is in force at this node.
type SetRevision struct{ Revision core.Revision }

// Drain asks to move all ranges away. With Stop, the node also leaves the group
// once ExchangesDrained has been reported, and starts without regard to the
// drain cap.
type Drain struct{ Stop bool }

// Undrain cancels a Drain without Stop.
type Undrain struct{}

// ExchangesDrained reports that no exchange is in flight at a stopping node.
type ExchangesDrained struct{}

// RequestMove asks for a planned move of a range to a member.
type RequestMove struct {
	Range core.Range
	To    Run
}

// HandOverDone reports that the new owner has the records of a HandOver effect.
// Keep lists the hashes that stay because of a long upload in flight.
type HandOverDone struct {
	Move uint64
	Keep []core.Hash
}

// HandOverFailed reports that the new owner did not take the records.
type HandOverFailed struct{ Move uint64 }

// DeclareLost is an operator's statement that these runs have ended for good,
// so that no successor among them can be acting.
type DeclareLost struct{ Runs []Run }

func (Tick) input()             {}
func (MessageReceived) input()  {}
func (ReadResult) input()       {}
func (PutResult) input()        {}
func (SetRevision) input()      {}
func (Drain) input()            {}
func (Undrain) input()          {}
func (ExchangesDrained) input() {}
func (RequestMove) input()      {}
func (HandOverDone) input()     {}
func (HandOverFailed) input()   {}
func (DeclareLost) input()      {}

// Effect is something that the caller of Node.Step must carry out. The set of
// types is closed.
type Effect interface{ effect() }

// SendMessage sends a message to another node. The message may be lost.
type SendMessage struct {
	To      core.Member
	Message Message
}

// GetGroupRecord reads the group record. The result is a ReadResult with this
// ID.
type GetGroupRecord struct{ ID uint64 }

// PutGroupRecord writes the group record if the stored version equals
// IfVersion, where zero means that no record exists. The result is a PutResult
// with this ID.
type PutGroupRecord struct {
	ID        uint64
	Record    *GroupRecord
	IfVersion uint64
}

// PublishSnapshot replaces the snapshot that the gate and the router read.
type PublishSnapshot struct{ Snapshot *Snapshot }

// HandOver asks to send the at-most-once records of Range to To. The published
// snapshot already refuses new work for Range, and the caller lets that work
// wait. Exchanges that were admitted before are still in flight: the caller
// waits for short ones, and names the hashes of long ones in HandOverDone.Keep.
// No report within Timing.HandOverTimeout counts as HandOverFailed.
type HandOver struct {
	Move  uint64
	Range core.Range
	To    core.Member
}

// JournalEvent writes an event to the journal.
type JournalEvent struct{ Event Event }

func (SendMessage) effect()     {}
func (GetGroupRecord) effect()  {}
func (PutGroupRecord) effect()  {}
func (PublishSnapshot) effect() {}
func (HandOver) effect()        {}
func (JournalEvent) effect()    {}

// EventKind names a change of ownership or of a role.
type EventKind string

// Event kinds.
const (
	EventGroupCreated        EventKind = "group-created"
	EventTakeover            EventKind = "takeover"
	EventSteppedDown         EventKind = "stepped-down"
	EventMemberJoined        EventKind = "member-joined"
	EventMemberLost          EventKind = "member-lost"
	EventMemberLeft          EventKind = "member-left"
	EventLeaseAdopted        EventKind = "lease-adopted"
	EventAssignmentWritten   EventKind = "assignment-written"
	EventAssignmentUnwritten EventKind = "assignment-unwritten"
	EventMoveStarted         EventKind = "move-started"
	EventMoveFailed          EventKind = "move-failed"
	EventMoveCancelled       EventKind = "move-cancelled"
	EventDrainAccepted       EventKind = "drain-accepted"
	EventSuccessorsChanged   EventKind = "successors-changed"
	EventActingBegan         EventKind = "acting-began"
	EventActingEnded         EventKind = "acting-ended"
)

// Event is one entry of the journal: a change of ownership or of a role.
type Event struct {
	Kind     EventKind
	Term     uint64
	Table    core.Token
	Revision core.Revision
	// Subject is the member that the event is about, or zero.
	Subject Run
	// Range is set for moves.
	Range core.Range
}
