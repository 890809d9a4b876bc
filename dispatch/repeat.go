package dispatch

import (
	"time"

	"marjoramshore.example/core"
)

// Step is what follows a failed attempt.
type Step uint8

// Steps.
const (
	// Stop gives the failure to the caller.
	Stop Step = iota
	// Elsewhere tries another backend server; nothing arrived at one yet.
	Elsewhere
	// Hold waits for a new owner of the key or a restarted node, and tries
	// again; nothing arrived at a backend server yet.
	Hold
	// Repeat sends the request to a backend server once more. It needs the
	// consent of the Budget.
	Repeat
)

// Attempt is what is known after a failure.
type Attempt struct {
	Err *core.Error
	// Keyed requests can go to one backend server only.
	Keyed      bool
	Idempotent bool
	// BodySpent reports that a part of the body was sent and is not kept.
	BodySpent bool
	// Arrivals counts backend servers that received the request, this attempt
	// included; Attempts bounds them.
	Arrivals, Attempts int
	// Refusals counts attempts that arrived at no backend server.
	Refusals int
	// Held is how long the request has waited so far, MayHold how long it may.
	Held, MayHold time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

const (
	// maxRefusals bounds free attempts of a request without a key, each of
	// which costs two messages.
	maxRefusals = 3
	// leastLeft is the time below which another attempt cannot succeed.
	leastLeft = 30 * time.Millisecond
)

// After decides what follows a failed attempt.
func After(a Attempt) Step {
	if a.BodySpent || a.Left < leastLeft {
		return Stop
	}
	if !a.Err.Code.NotRun() {
		if a.Idempotent && a.Arrivals < a.Attempts && repeatable(a.Err.Code) {
			return Repeat
		}
		return Stop
	}
	switch a.Err.Code {
	case core.CodeInvalid, core.CodeCanceledNotRun, core.CodeDeadlineNotRun, core.CodeQuarantined:
		return Stop
	}
	switch {
	case a.Err.ReachedBackend && a.Arrivals < a.Attempts:
		return Repeat
	case a.Err.ReachedBackend:
		return Stop
	case a.Keyed && passing(a.Err.Code) && a.Held < a.MayHold:
		return Hold
	case !a.Keyed && a.Refusals < maxRefusals:
		return Elsewhere
	}
	return Stop
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
