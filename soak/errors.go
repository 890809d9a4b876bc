package soak

import "github.com/rotisserie/eris"

// Error is a failure of the run itself, which says nothing about the product.
type Error struct {
	What  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "soak: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func fault(what string, cause error) error { return &Error{what, eris.Wrap(cause, what)} }

// OptionsError reports options that make no run.
type OptionsError struct{ Detail string }

// Error implements error.
func (e *OptionsError) Error() string { return "soak: " + e.Detail }
