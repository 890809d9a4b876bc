package core

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome tells a caller what became of its request. Callers may rely on there
// being no values other than the constants below.
type Outcome string

const (
	OutcomeAnswered       Outcome = "answered"
	OutcomeRefusedNotRun  Outcome = "refused-not-run"
	OutcomeUnknown        Outcome = "outcome-unknown"
	OutcomeDeadlineNotRun Outcome = "deadline-passed-not-run"
	OutcomeBadRequest     Outcome = "bad-request"
	OutcomeQuarantined    Outcome = "quarantined"
	OutcomeAborted        Outcome = "aborted"
)

// Code classifies an Error.
type Code uint8

// Codes up to and including lastNotRunCode are used only where no byte of the
// request has reached a backend server, unless Error.ReachedBackend is set.
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

const lastNotRunCode = CodeCanceledNotRun

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

// String returns the name of c that header fields, JSON bodies and logs carry.
func (c Code) String() string {
	if s, ok := codeNames[c]; ok {
		return s
	}
	return fmt.Sprintf("code-%d", uint8(c))
}

// Valid reports whether c is one of the codes above.
func (c Code) Valid() bool { return c >= CodeInvalid && c <= CodeDeadline }

// NotRun reports whether the code proves that the request did not run.
func (c Code) NotRun() bool { return c != 0 && c <= lastNotRunCode }

// Outcome returns the outcome that the caller is told. A code that does not
// prove that the request did not run maps to OutcomeUnknown or OutcomeAborted,
// with the exception of CodeTooLarge, which maps to OutcomeBadRequest.
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

// Error is the type of all errors of the request path.
type Error struct {
	Code Code
	// Detail is a short text for people. It never contains bodies or tokens.
	Detail string
	// RetryAfter is how long the caller should wait before a new attempt; zero
	// if nothing is known about that.
	RetryAfter time.Duration
	// ReachedBackend reports whether a backend server received the request and
	// stated that it did not run it.
	ReachedBackend bool
	// PeerReadDelay is how long the request waited before the other node that
	// reports the failure read it, and PeerTime how long it was there. Both are
	// zero for a failure of this node.
	PeerReadDelay, PeerTime time.Duration
	// OwnerPeerAddress is the host:port of the peer listener of the current
	// owner if Code is CodeNotOwner and the owner is known; otherwise empty.
	OwnerPeerAddress string
	// Cause is the underlying error with its stack trace, or nil.
	Cause error
}

// Fail returns an *Error without a cause. It captures no stack trace, because
// requests are rejected at a high rate under overload.
func Fail(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// Wrap returns an *Error with the given cause and the caller's stack trace.
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

// CodeOf returns the code of the *Error in err's chain, or CodeInternal if
// there is none.
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
	return Wrap(CodeInternal, err, "unclassified error")
}
