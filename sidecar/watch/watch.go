// Package watch follows one kind of objects in the platform's store as a duty:
// it lists the objects, then waits for changes, and begins anew when the store
// has dropped the history in between.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/platform"
)

const (
	// waitFor is how long one call waits at the store. Calls are priced, and a
	// connection that falls silent is noticed by its own probes.
	waitFor = 20 * time.Second
	// pause separates calls, so that a burst of changes costs one call.
	pause = 60 * time.Millisecond
	// retryFirst is the mean pause after a failure. It doubles up to retryLast,
	// since refused calls are priced as well; a configuration has 2 s from its
	// change until it must be in force. Pauses vary by half, which spreads the
	// calls of the nodes.
	retryFirst = 250 * time.Millisecond
	retryLast  = time.Second
)

// Store is the part of the store's client that is used.
type Store interface {
	List(ctx context.Context, kind string) (platform.Listing, error)
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (platform.Changes, error)
}

// Handler takes what was read.
type Handler interface {
	// Put is called for each object of a listing and each changed one.
	Put(o platform.Object)
	// Deleted is called for each removed object.
	Deleted(o platform.Object)
}

// Duty follows one kind.
type Duty struct {
	Kind    string
	Store   Store
	Handler Handler
	Log     log.Interface
}

// Run follows the kind until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	revision := uint64(0)
	lost := false
	failures := 0
	for ctx.Err() == nil {
		next, err := d.step(ctx, revision)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != lost {
			lost = err != nil
			d.logChange(lost, err)
		}
		revision = next
		failures++
		if err == nil {
			failures = 0
		}
		d.sleep(ctx, pauseAfter(failures))
	}
}

func (d *Duty) logChange(lost bool, err error) {
	f := d.Log.WithField("kind", d.Kind)
	if lost {
		f.WithError(err).Warn("store lost")
	} else {
		f.Info("store regained")
	}
}

// step makes one call and returns the revision to continue at, where 0 begins
// with a listing.
func (d *Duty) step(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		l, err := d.Store.List(ctx, d.Kind)
		if err != nil {
			return 0, err
		}
		for _, o := range l.Objects {
			d.Handler.Put(o)
		}
		return l.Revision, nil
	}
	c, err := d.Store.Watch(ctx, d.Kind, revision, waitFor)
	if platform.FaultOf(err) == platform.FaultHistoryGone {
		d.Log.WithFields(log.Fields{"kind": d.Kind, "revision": revision}).Info("history dropped, listing anew")
		return 0, nil
	}
	if err != nil {
		return revision, err
	}
	for _, e := range c.Events {
		if e.Deleted {
			d.Handler.Deleted(e.Object)
		} else {
			d.Handler.Put(e.Object)
		}
	}
	return max(revision, c.Revision), nil
}

// pauseAfter returns the pause after a number of failures in a row.
func pauseAfter(failures int) time.Duration {
	if failures == 0 {
		return pause
	}
	mean := retryFirst
	for range failures - 1 {
		mean = min(2*mean, retryLast)
	}
	return mean/2 + rand.N(mean)
}

func (d *Duty) sleep(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
