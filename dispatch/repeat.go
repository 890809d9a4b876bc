package dispatch

import (
	"math"
	"time"

	"marjoramshore.example/core"
)

// Decision is what follows a failed attempt.
type Decision uint8

const (
	// ReturnFailure returns the failure to the caller.
	ReturnFailure Decision = iota
	// TryOtherBackend tries another backend server. The request has not reached
	// one yet.
	TryOtherBackend
	// WaitForOwner waits for a new owner of the key or for a restarted node,
	// and tries again. The request has not reached a backend server yet.
	WaitForOwner
	// Retry sends the request to a backend server once more. It needs a retry
	// from the RetryBudget.
	Retry
)

// FailedAttempt is what is known after a failed attempt.
type FailedAttempt struct {
	Err *core.Error
	// Keyed requests can go to one backend server only.
	Keyed      bool
	Idempotent bool
	// BodyConsumed reports that a part of the body was sent and is not kept.
	BodyConsumed bool
	// Arrivals counts the backend servers that received the request, this
	// attempt included. MaxArrivals bounds them.
	Arrivals, MaxArrivals int
	// Refusals counts attempts that reached no backend server.
	Refusals int
	// LinkFull reports that the chosen peer's link has no room for the body.
	LinkFull bool
	// Waited is how long the request has waited for an owner so far, or, without
	// a key, the time since its first attempt began. MaxWait is how long it may.
	Waited, MaxWait time.Duration
	// Stopping is set while the node stops. The request then gains nothing by
	// waiting here: its caller finds another node.
	Stopping bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

const (
	// maxRefusals bounds the attempts of a request without a key that arrive at
	// no backend server. They take nothing from the retry budget, and each
	// costs two messages.
	maxRefusals = 3
	// minTimeLeft is the time to the deadline below which another attempt
	// cannot succeed.
	minTimeLeft = 30 * time.Millisecond
	// ownerWaitDivisor and refusalDivisor give the share of the latency target
	// that a request may spend on attempts which reach no backend server. Then
	// the caller is refused and tries again later, which serves it sooner than a
	// longer wait that ends in a refusal.
	ownerWaitDivisor = 4
	refusalDivisor   = 2
)

// MaxWait returns how long a request may go on after attempts that reached no
// backend server, the last of which failed with code. A request without a key
// tries other nodes up to its target if one is unreachable, since that says
// nothing about the load of the others. Without a target, the deadline alone
// bounds its attempts.
func MaxWait(target time.Duration, keyed bool, code core.Code) time.Duration {
	switch {
	case keyed:
		return target / ownerWaitDivisor
	case target == 0:
		return math.MaxInt64
	case code == core.CodePeerUnreachable:
		return target
	}
	return target / refusalDivisor
}

// DecideNext decides what follows a failed attempt.
func DecideNext(a FailedAttempt) Decision {
	if a.BodyConsumed || a.TimeLeft < minTimeLeft {
		return ReturnFailure
	}
	if a.LinkFull {
		// The peer was the best of a sample. With more choices, all nodes would
		// send their bodies to the few links whose reports are out of date.
		return ReturnFailure
	}
	if !a.Err.Code.NotRun() {
		if a.Idempotent && a.Arrivals < a.MaxArrivals && isRetryable(a.Err.Code) {
			return Retry
		}
		return ReturnFailure
	}
	switch a.Err.Code {
	case core.CodeInvalid, core.CodeCanceledNotRun, core.CodeDeadlineNotRun, core.CodeQuarantined:
		return ReturnFailure
	}
	switch {
	case a.Err.ReachedBackend && a.Arrivals < a.MaxArrivals:
		return Retry
	case a.Err.ReachedBackend:
		return ReturnFailure
	case a.Keyed && isTransient(a.Err.Code) && !a.Stopping && a.Waited < a.MaxWait:
		return WaitForOwner
	case !a.Keyed && a.Refusals < maxRefusals && a.Waited < a.MaxWait:
		return TryOtherBackend
	}
	return ReturnFailure
}

// isRetryable reports whether a request whose outcome is unknown may succeed
// when it is sent again.
func isRetryable(c core.Code) bool {
	return c == core.CodeUnknown || c == core.CodeAborted || c == core.CodeUnavailable
}

// isTransient reports whether a refusal ends when the key has a new owner or
// its node is back.
func isTransient(c core.Code) bool {
	switch c {
	case core.CodeNotOwner, core.CodeNoOwner, core.CodeLeaseExpired, core.CodePeerUnreachable, core.CodeBackendDown, core.CodeDraining:
		return true
	}
	return false
}
