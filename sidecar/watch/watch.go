// Package watch follows the objects of one kind in the platform's store. It lists
// the objects and then watches for changes. When the store no longer has the
// history since the last call, or when changes come faster than they are read, it
// lists them again: a listing has each object once, a watch each of its changes.
package watch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/platform"
)

const (
	// defaultWait is how long one call waits at the store for a change. Long
	// waits are cheaper, since calls are priced, and a connection that falls
	// silent is detected by its keep-alive probes.
	defaultWait = 20 * time.Second
	// callInterval is the pause between calls, so that a burst of changes costs
	// one call.
	callInterval = 60 * time.Millisecond
	// firstRetryDelay is the mean delay after the first failure. It doubles with
	// each further one up to maxRetryDelay, because refused calls are priced as
	// well. The maximum is short because a configuration must be in force 2 s
	// after its change. Delays vary by half their mean, which spreads the calls
	// of the nodes.
	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Store is the part of the store's client that a Watcher uses.
type Store interface {
	List(ctx context.Context, kind string) (platform.Listing, error)
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (platform.Changes, error)
}

// Handler receives the objects that were read, on the goroutine of Watcher.Run.
type Handler interface {
	// Replace is called with all objects of a listing.
	Replace(objects []platform.Object)
	// Put is called for each changed object.
	Put(o platform.Object)
	// Delete is called for each object that a watch reports as removed.
	Delete(o platform.Object)
}

// Watcher follows the objects of one kind.
type Watcher struct {
	Kind    string
	Store   Store
	Handler Handler
	Log     log.Interface
	// Wait is how long one call waits at the store for a change. The default is
	// defaultWait; the store allows 30 s.
	Wait time.Duration
}

// Run follows the objects until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	revision := uint64(0)
	storeFailing := false
	failures := 0
	for ctx.Err() == nil {
		next, err := w.callStore(ctx, revision)
		if ctx.Err() != nil {
			return
		}
		if (err != nil) != storeFailing {
			storeFailing = err != nil
			w.logStoreState(storeFailing, err)
		}
		revision = next
		failures++
		if err == nil {
			failures = 0
		}
		w.waitDelay(ctx, delayAfter(failures))
	}
}

// logStoreState logs that calls to the store began to fail or succeed again.
func (w *Watcher) logStoreState(storeFailing bool, err error) {
	f := w.Log.WithField("kind", w.Kind)
	if storeFailing {
		f.WithError(err).Warn("calls to the platform's store fail; retrying")
	} else {
		f.Info("calls to the platform's store succeed again")
	}
}

// callStore makes one call to the store and passes the objects on. It returns the
// revision to continue from, or 0 if the next call must be a listing.
func (w *Watcher) callStore(ctx context.Context, revision uint64) (uint64, error) {
	if revision == 0 {
		listing, err := w.Store.List(ctx, w.Kind)
		if err != nil {
			return 0, err
		}
		w.Handler.Replace(listing.Objects)
		return listing.Revision, nil
	}
	changes, err := w.Store.Watch(ctx, w.Kind, revision, cmp.Or(w.Wait, defaultWait))
	switch {
	case platform.FaultOf(err) == platform.FaultHistoryGone:
		w.Log.WithFields(log.Fields{"kind": w.Kind, "revision": revision}).Info("store has dropped the history since this revision; listing the objects again")
		return 0, nil
	case platform.ResponseBegan(err):
		// There are changes, and more of them at the next attempt.
		return 0, err
	case err != nil:
		return revision, err
	}
	latest := latestEvents(changes.Events)
	for _, e := range latest {
		if e.Deleted {
			w.Handler.Delete(e.Object)
		} else {
			w.Handler.Put(e.Object)
		}
	}
	if len(latest) < len(changes.Events) {
		return 0, nil
	}
	return max(revision, changes.Revision), nil
}

// latestEvents returns the last event of each object, in their order.
func latestEvents(events []platform.Event) []platform.Event {
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Object.Name] = i
	}
	latest := make([]platform.Event, 0, len(last))
	for i, e := range events {
		if last[e.Object.Name] == i {
			latest = append(latest, e)
		}
	}
	return latest
}

// delayAfter returns the delay before the next call after a number of failures in
// a row.
func delayAfter(failures int) time.Duration {
	if failures == 0 {
		return callInterval
	}
	mean := firstRetryDelay
	for range failures - 1 {
		mean = min(2*mean, maxRetryDelay)
	}
	return mean/2 + rand.N(mean)
}

func (w *Watcher) waitDelay(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
