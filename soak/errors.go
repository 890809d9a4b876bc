package soak

import "github.com/rotisserie/eris"

// Error is a failure of the test run itself, not of the product under test. Op
// names the operation that failed.
type Error struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "soak: " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// wrapError returns an *Error for op that records the stack of the caller.
func wrapError(op string, cause error) error { return &Error{op, eris.Wrap(cause, op)} }

// OptionsError reports options that make no run.
type OptionsError struct{ Detail string }

// Error implements error.
func (e *OptionsError) Error() string { return "soak: " + e.Detail }
