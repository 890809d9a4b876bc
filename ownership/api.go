package ownership

import (
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// MaxMembers bounds a group; see section 3 of the design for the arithmetic.
const MaxMembers = 10

// Config describes one node of one group.
type Config struct {
	Group  core.GroupID
	Self   core.Member
	Timing Timing
	// KeyRange is the part of the key space that the group owns; zero means all.
	KeyRange core.Range
	// MayDrain reports whether candidate may drain while others do, in a group
	// of total members. Nil allows a fifth of the group, and at least one.
	MayDrain func(draining []core.Member, candidate core.Member, total int) bool
	// Eligible reports whether m may be given ranges now. It is asked by the
	// coordinator; nil means always. Flap damping belongs here.
	Eligible func(m core.Member, now clock.Instant) bool
	// ChooseSuccessors picks up to n of the candidates as successors of the
	// coordinator. Nil prefers other data centres.
	ChooseSuccessors func(coordinator core.Member, candidates []core.Member, n int) []core.Member
}

// Input is anything that Node.Step reacts to. The set is closed.
type Input interface{ input() }

// Tick passes time. NextWake tells when it is needed.
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

// ReadResult is the result of GetGroup, or of a watch, which has ID zero.
type ReadResult struct {
	ID      uint64
	Status  ReadStatus
	Record  *GroupRecord
	Version uint64
}

// PutStatus is the outcome of a conditional write.
type PutStatus uint8

// Write outcomes. PutOutcomeUnknown leaves open whether the write took effect or
// will take effect; PutNotApplied rules both out.
const (
	PutOK PutStatus = iota + 1
	PutConflict
	PutOutcomeUnknown
	PutNotApplied
)

// PutResult is the result of PutGroup.
type PutResult struct {
	ID     uint64
	Status PutStatus
	// Version is the new version with PutOK.
	Version uint64
}

// SetRevision reports that a configuration revision is in force at this node.
type SetRevision struct{ Revision core.Revision }

// Drain asks to move all ranges away. With Stop the node also leaves the group
// once ExchangesDrained has been reported, and waits for no drain cap.
type Drain struct{ Stop bool }

// Undrain cancels a Drain that was not a stop.
type Undrain struct{}

// ExchangesDrained reports that no exchange is in flight at a stopping node.
type ExchangesDrained struct{}

// RequestMove asks for a planned move of a range to a member.
type RequestMove struct {
	Range core.Range
	To    Run
}

// HandOverDone reports that the records of a HandOver effect have arrived. Keep
// lists hashes with a long upload in flight; they stay.
type HandOverDone struct {
	Move uint64
	Keep []core.Hash
}

// HandOverFailed reports that the new owner did not take the records.
type HandOverFailed struct{ Move uint64 }

// DeclareLost is an operator's statement that these runs are gone for good, so
// that no successor among them can be acting.
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

// Effect is anything that Node.Step asks its caller to do. The set is closed.
type Effect interface{ effect() }

// SendMessage sends a message to another node. Loss is allowed.
type SendMessage struct {
	To      core.Member
	Message Message
}

// GetGroupRecord reads the group record; the result is a StoreRead with this ID.
type GetGroupRecord struct{ ID uint64 }

// PutGroupRecord writes the group record if the stored version equals IfVersion,
// where zero means that no record exists; the result is a StorePut with ID.
type PutGroupRecord struct {
	ID        uint64
	Record    *GroupRecord
	IfVersion uint64
}

// PublishSnapshot replaces the snapshot that the gate reads.
type PublishSnapshot struct{ Snapshot *Snapshot }

// HandOver asks to send the at-most-once records of Range to To. New work for
// Range is already refused by the published snapshot; the caller lets it wait.
// Exchanges that were admitted before are still in flight: short ones are
// waited for, and the hashes of long ones are kept with HandedOver.Keep. No
// report within Timing.HandOver counts as HandOverFailed.
type HandOver struct {
	Move  uint64
	Range core.Range
	To    core.Member
}

// JournalEvent records a change of ownership or of a role.
type JournalEvent struct{ Event Event }

func (SendMessage) effect()     {}
func (GetGroupRecord) effect()  {}
func (PutGroupRecord) effect()  {}
func (PublishSnapshot) effect() {}
func (HandOver) effect()        {}
func (JournalEvent) effect()    {}

// EventKind names what happened.
type EventKind string

// Event kinds.
const (
	EventCreated           EventKind = "group-created"
	EventTakeover          EventKind = "takeover"
	EventSteppedDown       EventKind = "stepped-down"
	EventMemberJoined      EventKind = "member-joined"
	EventMemberLost        EventKind = "member-lost"
	EventMemberLeft        EventKind = "member-left"
	EventAdopted           EventKind = "lease-adopted"
	EventAssigned          EventKind = "assignment-written"
	EventAssignedUnsaved   EventKind = "assignment-unwritten"
	EventMoveStarted       EventKind = "move-started"
	EventMoveFailed        EventKind = "move-failed"
	EventDrainAccepted     EventKind = "drain-accepted"
	EventSuccessorsChanged EventKind = "successors-changed"
	EventActingBegan       EventKind = "acting-began"
	EventActingEnded       EventKind = "acting-ended"
)

// Event is one entry for the journal.
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
