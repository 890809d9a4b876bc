package store

import (
	"bytes"
	"context"
	"errors"
)

// Doer runs operations; *Duty implements it.
type Doer interface {
	Do(ctx context.Context, op Op) (Result, error)
}

// Fate is what became of a write whose answer was lost.
type Fate uint8

const (
	// FatePending means that the write has not taken effect and still may.
	FatePending Fate = iota
	// FateApplied means that the write took effect.
	FateApplied
	// FateLost means that another write took its place. A creation can then
	// still take effect only if the key is deleted while it is under way.
	FateLost
	// FateOverwritten means that later writes hide what became of it.
	FateOverwritten
)

// Confirm reads key to learn the fate of a Put of value conditional on
// ifVersion. The value must carry a nonce of its writer, so that no other
// write has the same bytes.
func Confirm(ctx context.Context, d Doer, op Op) (Fate, Object, error) {
	r, err := d.Do(ctx, Op{Kind: OpGet, Key: op.Key, Urgent: op.Urgent})
	o := r.Object
	if kind := kindOf(err); kind == KindNotFound && op.IfVersion == 0 {
		return FatePending, o, nil
	} else if kind == KindNotFound {
		return FateOverwritten, o, nil
	} else if kind != 0 {
		return FatePending, o, err
	}
	switch {
	case bytes.Equal(o.Value, op.Value) && o.Version > op.IfVersion:
		return FateApplied, o, nil
	case o.Version <= op.IfVersion:
		return FatePending, o, nil
	case o.Version == op.IfVersion+1:
		return FateLost, o, nil
	default:
		return FateOverwritten, o, nil
	}
}

// PutIdempotent runs a Put and recognises its own write after a lost answer.
// The value must carry a nonce of its writer. It repeats the conditional write
// until its fate is known or ctx ends; the condition keeps a repetition from
// taking effect twice. The error is KindConflict when another write took its
// place, and KindUnavailable with MayHaveApplied when the fate stayed unknown.
func PutIdempotent(ctx context.Context, d Doer, op Op) (uint64, error) {
	op.Kind = OpPut
	doubt := false
	for {
		r, err := d.Do(ctx, op)
		switch kind := kindOf(err); {
		case kind == 0:
			return r.Version, nil
		case kind == KindUnavailable && mayHaveApplied(err):
			doubt = true
		case kind == KindUnavailable && ctx.Err() == nil:
		case !doubt || kind != KindConflict:
			return 0, doubtful(err, doubt)
		}
		if ctx.Err() != nil {
			return 0, doubtful(err, doubt)
		}
		if !doubt {
			continue // the duty's back-off paces the next attempt
		}
		fate, o, cerr := Confirm(ctx, d, op)
		switch fate {
		case FateApplied:
			return o.Version, nil
		case FateLost:
			return 0, &Error{Kind: KindConflict, Key: op.Key, Current: o.Version}
		case FateOverwritten:
			return 0, &Error{Kind: KindUnavailable, Key: op.Key, Current: o.Version, MayHaveApplied: true, Cause: err}
		case FatePending:
			if cerr != nil && ctx.Err() != nil {
				return 0, doubtful(cerr, true)
			}
		}
	}
}

func mayHaveApplied(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.MayHaveApplied
}

// doubtful marks err when an earlier attempt may have taken effect.
func doubtful(err error, doubt bool) error {
	var e *Error
	if !errors.As(err, &e) || !doubt || e.MayHaveApplied {
		return err
	}
	marked := *e
	marked.Kind, marked.MayHaveApplied, marked.Cause = KindUnavailable, true, err
	return &marked
}
