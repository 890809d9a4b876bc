// Package store is the interface to the platform's object store: versions,
// conditional updates and watches. It also holds the store duty, which keeps a
// node within its share of the store's call rate, spreads retries, and serves
// the last known state from memory during outages.
package store

import (
	"context"
	"strconv"
)

// MaxValueBytes is the largest value the platform's store accepts, in bytes.
const MaxValueBytes = 1 << 20

// Object is one stored value. Versions of a key start at 1 and only grow.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Store is what the project needs of the platform's store. Implementations
// are safe for concurrent use. Every failure is an *Error.
type Store interface {
	// Get returns the object, or an *Error with KindNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the key's current version equals ifVersion, and
	// returns the new version. An ifVersion of 0 means that the key must not
	// exist. A mismatch is KindConflict. After KindUnavailable the write may
	// or may not have taken effect.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the key if its current version equals ifVersion.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List returns the objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch blocks until the key's version is greater than after, and returns
	// the object. Versions in between may be skipped. A deletion ends it with
	// KindNotFound.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}

// Kind classifies a store failure.
type Kind uint8

// Kinds of failure.
const (
	KindNotFound Kind = iota + 1
	KindConflict
	KindUnavailable
	KindTooLarge
	KindBudgetExhausted
	KindInvalid
)

var kindNames = [...]string{"", "not-found", "conflict", "unavailable", "too-large", "call-budget-exhausted", "invalid"}

// String returns the name used in logs.
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
	// Current is the version that caused KindConflict, when known.
	Current uint64
	// MayHaveApplied reports whether a write can have taken effect although
	// no answer arrived.
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
