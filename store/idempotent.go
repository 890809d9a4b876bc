package store

import (
	"bytes"
	"context"
	"errors"
)

// Doer runs operations. *Client implements it.
type Doer interface {
	Do(ctx context.Context, op Op) (Result, error)
}

// WriteOutcome is the outcome of a write whose response was lost.
type WriteOutcome uint8

const (
	// WritePending means that the write has not taken effect and still may.
	WritePending WriteOutcome = iota
	// WriteApplied means that the write took effect.
	WriteApplied
	// WriteSuperseded means that another write produced the version that this
	// one would have produced. If the write was to create the key, it can still
	// take effect if the key is deleted before the write arrives.
	WriteSuperseded
	// WriteUnknown means that the outcome cannot be told because of later
	// writes.
	WriteUnknown
)

// ConfirmPut reads the key of op, a Put, to find the outcome of that Put, and
// returns it with the object that it read. The value of op must contain a nonce
// of its writer, so that no other write has the same bytes. An error means that
// the read failed; the outcome is then WritePending.
func ConfirmPut(ctx context.Context, d Doer, op Op) (WriteOutcome, Object, error) {
	r, err := d.Do(ctx, Op{Kind: OpGet, Key: op.Key, Urgent: op.Urgent})
	o := r.Object
	if kind := errorKind(err); kind == KindNotFound && op.IfVersion == 0 {
		return WritePending, o, nil
	} else if kind == KindNotFound {
		return WriteUnknown, o, nil
	} else if kind != 0 {
		return WritePending, o, err
	}
	switch {
	case bytes.Equal(o.Value, op.Value) && o.Version > op.IfVersion:
		return WriteApplied, o, nil
	case o.Version <= op.IfVersion:
		return WritePending, o, nil
	case o.Version == op.IfVersion+1:
		return WriteSuperseded, o, nil
	default:
		return WriteUnknown, o, nil
	}
}

// PutIdempotent runs a Put, recognises its own write after a lost response, and
// returns the new version. The value must contain a nonce of its writer. The
// conditional write is repeated until its outcome is known or ctx ends; the
// condition keeps a repetition from taking effect twice. PutIdempotent fails
// with KindConflict if another write took its place, and with KindUnavailable
// and MayHaveApplied if the outcome remains unknown.
func PutIdempotent(ctx context.Context, d Doer, op Op) (uint64, error) {
	op.Kind = OpPut
	maybeApplied := false
	for {
		r, err := d.Do(ctx, op)
		switch kind := errorKind(err); {
		case kind == 0:
			return r.Version, nil
		case kind == KindUnavailable && mayHaveApplied(err):
			maybeApplied = true
		case kind == KindUnavailable && ctx.Err() == nil:
		case !maybeApplied || kind != KindConflict:
			return 0, markMaybeApplied(err, maybeApplied)
		}
		if ctx.Err() != nil {
			return 0, markMaybeApplied(err, maybeApplied)
		}
		if !maybeApplied {
			continue // the back-off of the client delays the next attempt
		}
		outcome, o, confirmErr := ConfirmPut(ctx, d, op)
		switch outcome {
		case WriteApplied:
			return o.Version, nil
		case WriteSuperseded:
			return 0, &Error{Kind: KindConflict, Key: op.Key, Current: o.Version}
		case WriteUnknown:
			return 0, &Error{Kind: KindUnavailable, Key: op.Key, Current: o.Version, MayHaveApplied: true, Cause: err}
		case WritePending:
			if confirmErr != nil && ctx.Err() != nil {
				return 0, markMaybeApplied(confirmErr, true)
			}
		}
	}
}

func mayHaveApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.MayHaveApplied
}

// markMaybeApplied returns err, changed to KindUnavailable with MayHaveApplied
// if maybeApplied reports that an earlier attempt may have taken effect.
func markMaybeApplied(err error, maybeApplied bool) error {
	var e *Error
	if !errors.As(err, &e) || !maybeApplied || e.MayHaveApplied {
		return err
	}
	marked := *e
	marked.Kind, marked.MayHaveApplied, marked.Cause = KindUnavailable, true, err
	return &marked
}
