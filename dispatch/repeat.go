package dispatch

import (
	"time"

	"marjoramshore.example/core"
)

// Decision is what follows a failed attempt.
type Decision uint8

// Steps.
const (
	// ReturnFailure gives the failure to the caller.
	ReturnFailure Decision = iota
	// TryOtherBackend tries another backend server; nothing arrived at one yet.
	TryOtherBackend
	// WaitForOwner waits for a new owner of the key or a restarted node, and tries
	// again; nothing arrived at a backend server yet.
	WaitForOwner
	// Retry sends the request to a backend server once more. It needs the
	// consent of the Budget.
	Retry
)

// FailedAttempt is what is known after a failure.
type FailedAttempt struct {
	Err *core.Error
	// Keyed requests can go to one backend server only.
	Keyed      bool
	Idempotent bool
	// BodyConsumed reports that a part of the body was sent and is not kept.
	BodyConsumed bool
	// Arrivals counts backend servers that received the request, this attempt
	// included; MaxArrivals bounds them.
	Arrivals, MaxArrivals int
	// Refusals counts attempts that arrived at no backend server.
	Refusals int
	// Waited is how long the request has waited so far, MaxWait how long it may.
	Waited, MaxWait time.Duration
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
}

const (
	// maxRefusals bounds free attempts of a request without a key, each of
	// which costs two messages.
	maxRefusals = 3
	// leastLeft is the time below which another attempt cannot succeed.
	leastLeft = 30 * time.Millisecond
)

// DecideNext decides what follows a failed attempt.
func DecideNext(a FailedAttempt) Decision {
	if a.BodyConsumed || a.TimeLeft < leastLeft {
		return ReturnFailure
	}
	if !a.Err.Code.NotRun() {
		if a.Idempotent && a.Arrivals < a.MaxArrivals && repeatable(a.Err.Code) {
			return Retry
		}
		return ReturnFailure
	}
	switch a.Err.Code {
	case core.CodeInvalid, core.CodeCanceledNotRun, core.CodeDeadlineNotRun, core.CodeQuarantined:
		return ReturnFailure
	}
	switch {
	case a.Err.Arrived && a.Arrivals < a.MaxArrivals:
		return Retry
	case a.Err.Arrived:
		return ReturnFailure
	case a.Keyed && passing(a.Err.Code) && a.Waited < a.MaxWait:
		return WaitForOwner
	case !a.Keyed && a.Refusals < maxRefusals:
		return TryOtherBackend
	}
	return ReturnFailure
}

// repeatable reports whether a request whose outcome is unknown may succeed
// when it is sent again.
func repeatable(c core.Code) bool {
	return c == core.CodeUnknown || c == core.CodeAborted || c == core.CodeUnavailable
}

// passing reports whether a refusal ends when the key has a new owner or its
// node is back.
func passing(c core.Code) bool {
	switch c {
	case core.CodeNotOwner, core.CodeNoOwner, core.CodeLeaseExpired, core.CodePeerUnreachable, core.CodeBackendDown, core.CodeDraining:
		return true
	}
	return false
}
