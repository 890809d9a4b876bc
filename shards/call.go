package shards

import (
	"time"

	"marjoramshore.example/clock"
)

// FencesPerRow is the number of fences, from Row.Fence up, that belong to one
// assignment of a row whose holder is granted it by calls.
const FencesPerRow = 1024

// CallKind says what a Call asks of the backend server.
type CallKind uint8

const (
	// GrantCall grants a span or renews its grant.
	GrantCall CallKind = iota + 1
	// ReleaseCall takes a span back. Its answer arrives once the work on the
	// span has ended.
	ReleaseCall
)

// String implements fmt.Stringer.
func (k CallKind) String() string {
	if k == ReleaseCall {
		return "release"
	}
	return "grant"
}

// Call is a call to the backend server that the member wants to be made at once.
type Call struct {
	// ID numbers the calls of a member, from 1.
	ID   uint64
	Kind CallKind
	Span
	// Holder is the run that the call is meant for.
	Holder Holder
	Fence  int64
	// HoldTime is how long the run may hold the span, counted from the arrival
	// of a grant.
	HoldTime time.Duration
	// Handover names the state that the former holder left, or is empty.
	Handover string
	// SentAt is the instant at which the call was returned by NextCalls.
	SentAt clock.Instant
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
	// NeedsProof is set if an answer to another call must not pass for the answer
	// to this one, because keys would be given away by it.
	NeedsProof bool
}

// CallOutcome says what became of a Call.
type CallOutcome uint8

const (
	// CallUnanswered means that the call may have been carried out, or may be
	// within maxCallDelay. It is the zero value, which promises least.
	CallUnanswered CallOutcome = iota
	// CallDone means that the call was carried out before its answer.
	CallDone
	// CallFenced means that the run has seen a greater fence on one of the keys,
	// and did not carry the call out.
	CallFenced
	// CallRejected means that the backend server refused the call for another
	// reason.
	CallRejected
	// CallNotSent means that the call has not reached the backend server.
	CallNotSent
)

// String implements fmt.Stringer.
func (o CallOutcome) String() string {
	switch o {
	case CallDone:
		return "done"
	case CallFenced:
		return "fenced"
	case CallRejected:
		return "rejected"
	case CallNotSent:
		return "not-sent"
	}
	return "unanswered"
}

// CallResult is the outcome of a Call.
type CallResult struct {
	Outcome CallOutcome
	// Handover names the state that a released span left, or is empty.
	Handover string
	// Disconnected is set if the connection was refused or closed by the backend
	// server, so that its run may have ended.
	Disconnected bool
}
