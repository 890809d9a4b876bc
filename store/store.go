// Package store defines the interface to the platform's object store, which has
// versions, conditional updates and watches. Its Client keeps a node within its
// share of the store's call rate, spreads retries, and answers reads from a
// cache during outages.
package store

import (
	"context"
	"strconv"
)

// MaxValueBytes is the size of the largest value that the platform's store
// accepts.
const MaxValueBytes = 1 << 20

// Object is a stored value. Versions of a key start at 1 and only grow, also
// when the key is deleted and created again.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is the part of the platform's store that this project uses.
// Implementations are safe for concurrent use. Every error is an *Error.
type Store interface {
	// Get returns the object. It fails with KindNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the key's current version equals ifVersion, and
	// returns the new version. An ifVersion of 0 means that the key must not
	// exist. Put fails with KindConflict if the versions differ. If it fails
	// with KindUnavailable, Error.MayHaveApplied reports whether the write can
	// have taken effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the key if its current version equals ifVersion. It fails
	// as Put does.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch blocks until the key's version is greater than after, and returns
	// the object. Versions in between may be skipped. Watch fails with
	// KindNotFound if the key is deleted.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

// Kind classifies a store failure.
type Kind uint8

// Kinds of failure.
const (
	// KindNotFound means that the key does not exist.
	KindNotFound Kind = iota + 1
	// KindConflict means that the key has another version than was required.
	KindConflict
	// KindUnavailable means that the store did not answer the call, or answered
	// with an unexpected failure.
	KindUnavailable
	// KindTooLarge means that a value or a response exceeds its limit.
	KindTooLarge
	// KindBudgetExhausted means that the Client did not send the call: the call
	// budget or another bound left no room in time, or the Client has stopped.
	KindBudgetExhausted
	// KindInvalid means that the call or the configuration is invalid.
	KindInvalid
)

var kindNames = [...]string{"", "not-found", "conflict", "unavailable", "too-large", "call-budget-exhausted", "invalid"}

// String returns the name of k in error texts.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "kind-" + strconv.Itoa(int(k))
}

// Error is the failure type of every Store.
type Error struct {
	Kind Kind
	Key  string
	// Current is the current version of the key after KindConflict, or 0 if it
	// is not known.
	Current uint64
	// MayHaveApplied reports whether a write can have taken effect although
	// it failed.
	MayHaveApplied bool
	Cause          error
}

// Error implements error.
func (e *Error) Error() string {
	s := "store: " + e.Kind.String() + ": " + e.Key
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
