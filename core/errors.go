package core

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome is what a caller is told about its request. The set is closed.
type Outcome string

// Outcomes.
const (
	OutcomeAnswered       Outcome = "answered"
	OutcomeRefusedNotRun  Outcome = "refused-not-run"
	OutcomeUnknown        Outcome = "outcome-unknown"
	OutcomeDeadlineNotRun Outcome = "deadline-passed-not-run"
	OutcomeBadRequest     Outcome = "bad-request"
	OutcomeQuarantined    Outcome = "quarantined"
	OutcomeAborted        Outcome = "aborted"
)

// Code classifies a failure.
type Code uint8

// Codes. Those up to and including lastNotRun are used only where no byte of
// the request has reached a backend server.
const (
	CodeInvalid Code = iota + 1
	CodeUnauthenticated
	CodeUnknownService
	CodeNotOwner
	CodeNoOwner
	CodeLeaseExpired
	CodeOverloaded
	CodeQueueFull
	CodeDraining
	CodeBackendDown
	CodePeerUnreachable
	CodeBudgetExhausted
	CodeDeadlineNotRun
	CodeQuarantined
	CodeStaleRevision
	CodeCanceledNotRun

	CodeUnknown
	CodeDuplicate
	CodeAborted
	CodeInternal
	CodeConflict
	CodeNotFound
	CodeUnavailable
	CodeTooLarge
	CodeDeadline
)

const lastNotRun = CodeCanceledNotRun

var codeNames = map[Code]string{
	CodeInvalid:         "invalid",
	CodeUnauthenticated: "unauthenticated",
	CodeUnknownService:  "unknown-service",
	CodeNotOwner:        "not-owner",
	CodeNoOwner:         "no-owner",
	CodeLeaseExpired:    "lease-expired",
	CodeOverloaded:      "overloaded",
	CodeQueueFull:       "queue-full",
	CodeDraining:        "draining",
	CodeBackendDown:     "backend-down",
	CodePeerUnreachable: "peer-unreachable",
	CodeBudgetExhausted: "retry-budget-exhausted",
	CodeDeadlineNotRun:  "deadline-passed",
	CodeQuarantined:     "quarantined",
	CodeStaleRevision:   "stale-revision",
	CodeCanceledNotRun:  "canceled",
	CodeUnknown:         "unknown",
	CodeDuplicate:       "duplicate",
	CodeAborted:         "aborted",
	CodeInternal:        "internal",
	CodeConflict:        "conflict",
	CodeNotFound:        "not-found",
	CodeUnavailable:     "unavailable",
	CodeTooLarge:        "too-large",
	CodeDeadline:        "deadline-passed-running",
}

// String returns the name used in headers, JSON bodies and logs.
func (c Code) String() string {
	if s, ok := codeNames[c]; ok {
		return s
	}
	return fmt.Sprintf("code-%d", uint8(c))
}

// Valid reports whether c is one of the codes.
func (c Code) Valid() bool { return c >= CodeInvalid && c <= CodeDeadline }

// NotRun reports whether the code proves that the request did not run.
func (c Code) NotRun() bool { return c != 0 && c <= lastNotRun }

// Outcome maps the code to what the caller is told. Every code that is not
// proven to precede the backend server maps to outcome-unknown or aborted.
func (c Code) Outcome() Outcome {
	switch {
	case c == CodeInvalid || c == CodeUnauthenticated || c == CodeUnknownService || c == CodeTooLarge:
		return OutcomeBadRequest
	case c == CodeDeadlineNotRun:
		return OutcomeDeadlineNotRun
	case c == CodeQuarantined:
		return OutcomeQuarantined
	case c == CodeAborted:
		return OutcomeAborted
	case c.NotRun():
		return OutcomeRefusedNotRun
	default:
		return OutcomeUnknown
	}
}

// Error is the failure type of the request path.
type Error struct {
	Code Code
	// Detail is a short text for people; it never holds bodies or tokens.
	Detail string
	// RetryAfter is the time after which a new attempt makes sense, or zero.
	RetryAfter time.Duration
	// ReachedBackend reports that a backend server received the request and stated
	// that it did not run it.
	ReachedBackend bool
	// OwnerPeerAddress is the peer address of the newer owner when Code is CodeNotOwner
	// and the owner is known.
	OwnerPeerAddress string
	// Cause is the underlying failure with its stack, or nil.
	Cause error
}

// Fail returns an *Error without a cause. It captures no stack, because
// refusals are frequent in an overload.
func Fail(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// Wrap returns an *Error that keeps cause and the stack at this point.
func Wrap(code Code, cause error, detail string) *Error {
	return &Error{Code: code, Detail: detail, Cause: eris.Wrap(cause, detail)}
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Cause != nil:
		return e.Code.String() + ": " + e.Cause.Error()
	case e.Detail != "":
		return e.Code.String() + ": " + e.Detail
	default:
		return e.Code.String()
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of err, or CodeInternal when err carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeInternal
}

// AsError returns the *Error in err's chain, or wraps err as CodeInternal.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(CodeInternal, err, "unclassified failure")
}
