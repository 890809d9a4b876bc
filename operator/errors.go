package operator

import (
	"errors"
	"net/http"
	"strings"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
)

// ErrorBody is the JSON form of a failure. It implements error for the client.
type ErrorBody struct {
	// Code is the name of a core.Code, or "forbidden". The client also sets
	// "http-STATUS" for a response without an ErrorBody, and "client" for its
	// own failures.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Faults lists the faults of a request, each with its field and limit.
	Faults intent.Faults `json:"faults,omitempty"`
	// Conflict lists the changes made since the plan, when the plan was out of
	// date.
	Conflict *intent.ConflictError `json:"conflict,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error implements error.
func (e *ErrorBody) Error() string { return e.Code + ": " + e.Message }

// errorEnvelope is the body of every response that reports a failure.
type errorEnvelope struct {
	Error *ErrorBody `json:"error"`
}

var httpStatuses = map[core.Code]int{
	core.CodeInvalid:         http.StatusBadRequest,
	core.CodeUnauthenticated: http.StatusUnauthorized,
	core.CodeUnknownService:  http.StatusNotFound,
	core.CodeNotFound:        http.StatusNotFound,
	core.CodeConflict:        http.StatusConflict,
	core.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	core.CodeOverloaded:      http.StatusServiceUnavailable,
	core.CodeUnavailable:     http.StatusServiceUnavailable,
	core.CodeNoOwner:         http.StatusServiceUnavailable,
	core.CodePeerUnreachable: http.StatusServiceUnavailable,
	core.CodeDraining:        http.StatusConflict,
	core.CodeStaleRevision:   http.StatusConflict,
}

// newErrorBody returns the ErrorBody for an error of the Backend. The text of an
// error of unknown type is not sent to the client, because it may contain
// internals.
func newErrorBody(err error) *ErrorBody {
	var faults intent.Faults
	var conflict *intent.ConflictError
	var typed *core.Error
	switch {
	case errors.As(err, &faults):
		return &ErrorBody{Code: core.CodeInvalid.String(), Message: faults.Error(), Faults: faults, Status: http.StatusBadRequest}
	case errors.As(err, &conflict):
		return &ErrorBody{Code: core.CodeConflict.String(), Message: conflict.Error(), Conflict: conflict, Status: http.StatusConflict}
	case errors.As(err, &typed):
		status, known := httpStatuses[typed.Code]
		if !known {
			status = http.StatusInternalServerError
		}
		return &ErrorBody{Code: typed.Code.String(), Message: typed.Detail, Status: status}
	default:
		return &ErrorBody{Code: core.CodeInternal.String(), Message: "unclassified failure", Status: http.StatusInternalServerError}
	}
}

// Exit codes of the operator commands.
const (
	ExitOK           = 0
	ExitRefused      = 1 // the node refused the request: conflict, not found, not valid
	ExitUsage        = 2 // wrong arguments, or a file that cannot be read or written
	ExitUnreachable  = 3 // no answer from the node
	ExitUnauthorized = 4 // the token is missing or wrong, or only permits reading
	ExitUnavailable  = 5 // the node answered, but cannot serve the request now
	ExitInternal     = 6 // the node failed, or its response could not be decoded
)

// ExitCode returns the exit code for an error of Client or Command.
func ExitCode(err error) int {
	var body *ErrorBody
	var usage *UsageError
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case !errors.As(err, &body):
		return ExitInternal
	case body.Status == http.StatusUnauthorized || body.Status == http.StatusForbidden:
		return ExitUnauthorized
	case body.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case body.Status >= http.StatusInternalServerError:
		return ExitInternal
	default:
		return ExitRefused
	}
}

// UsageError reports a wrong argument or file and what it must be.
type UsageError struct {
	Argument    string
	Requirement string
}

// Error implements error.
func (e *UsageError) Error() string { return e.Argument + " " + e.Requirement }

// UnreachableError reports that the node did not answer. A requested change may
// have been made nevertheless.
type UnreachableError struct {
	URL   string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no answer from " + e.URL + ": " + strings.TrimSpace(e.Cause.Error())
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
