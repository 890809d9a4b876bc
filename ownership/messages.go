package ownership

import (
	"time"

	"marjoramshore.example/core"
)

// Run identifies one run of a node. A node that restarts is a different Run.
type Run struct {
	Node        core.NodeID
	Incarnation core.Incarnation
}

// RunOf returns the Run of m.
func RunOf(m core.Member) Run { return Run{Node: m.Node, Incarnation: m.Incarnation} }

// Message is a message between nodes of a group. The set of types is closed:
// those of this file.
type Message interface{ message() }

// Renew asks the coordinator, or a successor that acts for it, to renew the
// sender's lease. It is sent once per heartbeat interval. Join and Claim are
// absent in steady state, which keeps the datagram small.
type Renew struct {
	Group core.GroupID
	From  Run
	// Term is the newest term that the sender knows.
	Term uint64
	// Seq counts the sender's renewals; the answer repeats it.
	Seq uint64
	// Answered is the newest Seq whose answer has reached the sender. The
	// coordinator stops renewing for a member that it cannot reach.
	Answered uint64
	// Table is the version of the sender's table; zero when it has none.
	Table core.Token
	// Revision is the configuration revision in force at the sender.
	Revision core.Revision
	// Draining asks the coordinator to move the sender's ranges away.
	Draining bool
	// Stopping tells that the sender is about to end, so that the drain cap
	// does not apply.
	Stopping bool
	// Leaving tells that the sender owns no range, serves nothing, and asks to
	// be removed from the group.
	Leaving bool
	// Join describes a sender that is not a member, or may have been removed.
	Join *core.Member
	// Claim is set while the sender holds a lease of an earlier term than the
	// newest one that it knows.
	Claim *Claim
}

// Claim states which ranges the sender holds under an unexpired lease.
type Claim struct {
	// Term is the term in which the lease was granted.
	Term   uint64
	Ranges []HeldRange
}

// HeldRange is one range with the token under which it is held.
type HeldRange struct {
	Range core.Range
	Token core.Token
}

// Verdict is the decision of the receiver of a Renew, a PromiseRequest or an
// ActingRequest.
type Verdict uint8

// Verdicts.
const (
	// Granted: the lease is renewed, or the promise is given.
	Granted Verdict = iota + 1
	// RefusedRevision: the sender's configuration revision is behind.
	RefusedRevision
	// RefusedNotCoordinator: the receiver does not coordinate the group;
	// Coordinator tells who does, when known.
	RefusedNotCoordinator
	// RefusedNoAuthority: the coordinator has no authority at the moment.
	RefusedNoAuthority
	// RefusedClaimNeeded: the receiver needs Renew.Claim or Renew.Join.
	RefusedClaimNeeded
	// RefusedTerm: the sender's term or record version is outdated.
	RefusedTerm
	// RefusedTakeover: a takeover write of the receiver may still take effect.
	RefusedTakeover
	// RefusedActing: the receiver may not let the sender act, or can take
	// over itself.
	RefusedActing
	// RefusedGroupFull: the receiver's group has no room for the sender.
	RefusedGroupFull
)

// RenewAnswer answers one Renew. With Granted, the sender of the Renew holds a
// lease of Timing.MemberLease, counted from when it sent the Renew, for its
// ranges in the table of version Table.
type RenewAnswer struct {
	Group   core.GroupID
	From    Run
	To      Run
	Term    uint64
	Seq     uint64
	Verdict Verdict
	// Acting is set by a successor that acts for a lost coordinator. Such an
	// answer extends an unexpired lease and changes no range.
	Acting bool
	// Table is the table version that the lease refers to.
	Table core.Token
	// NewTable is set when the Renew named another version. An answer with a
	// table exceeds a datagram and needs a stream transport.
	NewTable *core.Table
	// Revision is the coordinator's configuration revision.
	Revision core.Revision
	// DrainAccepted tells a draining member that its drain has begun.
	DrainAccepted bool
	// Removed tells a leaving member that it is no longer in the group.
	Removed bool
	// Coordinator is set with RefusedNotCoordinator when known.
	Coordinator *core.Member
}

// TablePush gives a member a newer table under the lease that it holds. It
// does not extend the lease. It needs a stream transport.
type TablePush struct {
	Group core.GroupID
	From  Run
	Term  uint64
	Table *core.Table
}

// PromiseRequest asks a successor not to take over for Timing.PromiseDuration.
// The coordinator sends it once per heartbeat interval.
type PromiseRequest struct {
	Group core.GroupID
	From  Run
	To    Run
	Term  uint64
	Seq   uint64
	// Version is the store version of the newest confirmed group record.
	Version uint64
	// Answered is the newest Seq whose answer has reached the coordinator. A
	// successor stops promising to a coordinator that it cannot reach.
	Answered uint64
	// Revision is the coordinator's configuration revision.
	Revision core.Revision
	// Record is set until the successor has acknowledged Version; it then
	// needs a stream transport.
	Record *GroupRecord
	// Active tells a successor that GroupRecord.PendingSuccessor no longer
	// keeps it from taking over, because the other successor has acknowledged
	// the record.
	Active bool
}

// PromiseAnswer answers a PromiseRequest.
type PromiseAnswer struct {
	Group   core.GroupID
	From    Run
	Term    uint64
	Seq     uint64
	Verdict Verdict
	// MayReassign is false while leases may exist that an acting successor
	// renewed. The coordinator then renews leases but reassigns nothing.
	MayReassign bool
	// Version acknowledges the newest group record that the sender knows.
	Version uint64
}

// ActingRequest asks the other successor for its promise that the sender may
// act for the lost coordinator while the store is down.
type ActingRequest struct {
	Group core.GroupID
	From  Run
	To    Run
	Term  uint64
	Seq   uint64
	// Version is the store version of the group record that names both.
	Version uint64
}

// ActingAnswer answers an ActingRequest.
type ActingAnswer struct {
	Group   core.GroupID
	From    Run
	Term    uint64
	Seq     uint64
	Verdict Verdict
}

// TermNotice tells a member to send its renewals to From: the coordinator of a
// new term, or a successor that acts in the present term.
type TermNotice struct {
	Group  core.GroupID
	From   core.Member
	Term   uint64
	Acting bool
}

// StepDown tells a successor that the coordinator gives up its authority for
// good, so that the successor may take over without waiting.
type StepDown struct {
	Group   core.GroupID
	From    Run
	Term    uint64
	Version uint64
}

// MoveStop asks the owner of Range to stop admitting new work for it, to hand
// over its at-most-once records to To, and then to release it. It is repeated
// until MoveReleased or MoveFailed arrives.
type MoveStop struct {
	Group core.GroupID
	From  Run
	Term  uint64
	// Move identifies the move within the term.
	Move  uint64
	Range core.Range
	// Token is the token under which the receiver owns Range.
	Token core.Token
	To    core.Member
}

// MoveReleased tells the coordinator that the sender no longer serves Range,
// except for the single hashes in Keep, whose uploads are still in flight.
type MoveReleased struct {
	Group core.GroupID
	From  Run
	Term  uint64
	Move  uint64
	Range core.Range
	// Token is the token of the released assignment. The sender never again
	// serves Range under this token or an older one.
	Token core.Token
	Keep  []core.Hash
}

// MoveFailed tells the coordinator that the hand-over did not complete and
// that the sender continues to serve the range.
type MoveFailed struct {
	Group core.GroupID
	From  Run
	Term  uint64
	Move  uint64
}

// MoveRequest asks the coordinator to move Range to To. Any member may send
// it; placement decides, the coordinator carries it out.
type MoveRequest struct {
	Group core.GroupID
	From  Run
	Term  uint64
	Range core.Range
	To    Run
}

func (*Renew) message()          {}
func (*RenewAnswer) message()    {}
func (*TablePush) message()      {}
func (*PromiseRequest) message() {}
func (*PromiseAnswer) message()  {}
func (*ActingRequest) message()  {}
func (*ActingAnswer) message()   {}
func (*TermNotice) message()     {}
func (*StepDown) message()       {}
func (*MoveStop) message()       {}
func (*MoveReleased) message()   {}
func (*MoveFailed) message()     {}
func (*MoveRequest) message()    {}

// GroupRecord is the group object in the platform's store, encoded as JSON.
// Every change is a conditional update on the object's version.
type GroupRecord struct {
	Term        uint64 `json:"term"`
	Coordinator Run    `json:"coordinator"`
	// Successors are the members that may take over, at most two.
	Successors []Run `json:"successors,omitempty"`
	// PendingSuccessor is the successor that may not take over yet, because the
	// other successor may still act together with the one that was replaced.
	PendingSuccessor Run `json:"pending"`
	// Table holds the members and the assignment.
	Table core.Table `json:"table"`
	// Draining names the members whose drain was accepted.
	Draining []Run `json:"draining,omitempty"`
	// Writer and Nonce identify the write, so that a writer that did not get
	// the result recognises its own record.
	Writer Run    `json:"writer"`
	Nonce  uint64 `json:"nonce"`
	// WrittenAtMs is the writer's wall time in Unix milliseconds. Only people
	// read it.
	WrittenAtMs int64 `json:"written_at_ms,omitempty"`
}

// Timing holds the durations of the lease protocol. Formulas in comments use
// the letters.
type Timing struct {
	// HeartbeatInterval (H) is the interval of renewals and promise requests.
	HeartbeatInterval time.Duration
	// PromiseDuration (P) is how long a successor promises not to take over.
	PromiseDuration time.Duration
	// MemberLease (M) is the length of a member lease.
	MemberLease time.Duration
	// TermLease (L) is how long a confirmed write of the record gives
	// authority.
	TermLease time.Duration
	// DriftPPM (D) bounds how much the rates of two clocks differ, in parts per
	// million.
	DriftPPM int64
	// StoreSlowAfter is how long a store call may take before the store is
	// treated as unavailable.
	StoreSlowAfter time.Duration
	// MaxActing is the longest time that a successor acts after its last
	// promise.
	MaxActing time.Duration
	// MaxUnconfirmed is the longest time that authority rests on promises
	// without a confirmed write. After it, any member may take over.
	MaxUnconfirmed time.Duration
	// DrainGrace is how long a member still admits new work after it stops, or
	// after its drain was accepted.
	DrainGrace time.Duration
	// HandOverTimeout bounds the hand-over step of a planned move.
	HandOverTimeout time.Duration
}
