package store

import (
	"context"
	"slices"
	"time"

	"marjoramshore.example/ring"
)

// Update is a change of a watched key.
type Update struct {
	// Object is the newest version. After a deletion only its key is set.
	Object  Object
	Deleted bool
}

// watch is the watch of one key, which all subscribers to the key share.
type watch struct {
	key                 string
	subscribers         []*subscriber
	delivered           Object // newest version that the subscribers have received
	exists              bool   // whether the key existed in the last update
	running             bool   // whether a store call waits for a change
	cancel              context.CancelFunc
	consecutiveFailures int
	retryAt             time.Time
}

// subscriber receives the updates of one call of Watch.
type subscriber struct{ deliver func(Update) }

// Watch subscribes to key until ctx ends, and returns once it has subscribed.
// It calls deliver with the cached object, if any, and then with each newer
// version or deletion. Versions in between may be skipped. deliver runs on the
// goroutine of Run and must not block; it usually pushes to a coalescing ring.
// Watch fails with KindBudgetExhausted if Config.WatchWorkers keys are already
// watched.
func (c *Client) Watch(ctx context.Context, key string, deliver func(Update)) error {
	sub := &subscriber{deliver: deliver}
	reply := ring.NewReply[error]()
	if err := c.enqueue(ctx, key, func(s *loopState) { reply.Send(s.subscribe(key, sub)) }); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() {
		// Push waits for room as long as Run does: without this command the
		// subscription would never end.
		_ = c.commands.Push(context.Background(), func(s *loopState) { s.unsubscribe(key, sub) })
	})
	select {
	case err := <-reply.C():
		return err
	case <-ctx.Done():
		return &Error{Kind: KindBudgetExhausted, Key: key, Cause: ctx.Err()}
	case <-c.stopped:
		return &Error{Kind: KindUnavailable, Key: key, Cause: &ring.ClosedError{Ring: c.commands.Name()}}
	}
}

func (s *loopState) subscribe(key string, sub *subscriber) error {
	w := s.watches[key]
	if w == nil {
		if len(s.watches) >= s.cfg.WatchWorkers {
			s.counters.refused.Add(1)
			return &Error{Kind: KindBudgetExhausted, Key: key}
		}
		w = &watch{key: key}
		if entry, seen := s.cache.entries[key]; seen && !entry.deleted {
			w.delivered, w.exists = entry.object, true
		}
		s.watches[key] = w
		s.counters.watches.Store(int64(len(s.watches)))
	}
	w.subscribers = append(w.subscribers, sub)
	if w.exists {
		sub.deliver(Update{Object: w.delivered})
	}
	return nil
}

func (s *loopState) unsubscribe(key string, sub *subscriber) {
	w := s.watches[key]
	if w == nil {
		return
	}
	w.subscribers = slices.DeleteFunc(w.subscribers, func(o *subscriber) bool { return o == sub })
	if len(w.subscribers) > 0 {
		return
	}
	delete(s.watches, key)
	s.counters.watches.Store(int64(len(s.watches)))
	if w.cancel != nil {
		w.cancel()
	}
}

// startWatches starts the watches that have no running store call, and returns
// the time until the next attempt can succeed.
func (s *loopState) startWatches(now time.Time) time.Duration {
	next := maxDispatchWait
	for _, w := range s.watches {
		if !w.running {
			next = min(next, s.startWatch(w, now))
		}
	}
	return next
}

// startWatch sends the store call of w, or returns the time until the next
// attempt can succeed.
func (s *loopState) startWatch(w *watch, now time.Time) time.Duration {
	if wait := max(w.retryAt.Sub(now), tokenWait(s.ordinaryBudget, now)); wait > 0 {
		return wait
	}
	// A cancelled watch occupies its worker until the store call returns.
	if s.runningWatches >= s.cfg.WatchWorkers {
		return maxDispatchWait
	}
	ctx, cancel := context.WithCancel(s.ctx)
	client, after := s.Client, w.afterVersion()
	err := s.watchPool.Submit(func() {
		defer cancel()
		o, err := client.store.Watch(ctx, w.key, after)
		_ = client.results.Push(context.WithoutCancel(ctx), func(s *loopState) { s.finishWatch(w, o, err) })
	})
	if err != nil {
		cancel()
		return poolRetryWait
	}
	s.ordinaryBudget.AllowN(now, 1)
	s.counters.watch.Add(1)
	w.running, w.cancel = true, cancel
	s.runningWatches++
	return maxDispatchWait
}

// afterVersion returns the version after which the next store call waits for a
// change. A key that does not exist is watched for its creation.
func (w *watch) afterVersion() uint64 {
	if !w.exists {
		return 0
	}
	return w.delivered.Version
}

func (s *loopState) finishWatch(w *watch, o Object, err error) {
	w.running, w.cancel = false, nil
	s.runningWatches--
	now := time.Now()
	switch errorKind(err) {
	case 0:
		w.consecutiveFailures = 0
		s.recordSuccess()
		s.cacheObject(o, now)
	case KindNotFound:
		w.consecutiveFailures = 0
		s.recordSuccess()
		s.cacheDeletion(w.key, now)
	default:
		if len(w.subscribers) == 0 {
			return
		}
		w.consecutiveFailures++
		w.retryAt = now.Add(s.backoff(w.consecutiveFailures))
		s.counters.failed.Add(1)
	}
}

// deliver passes u to the subscribers to its key, unless they have received it.
func (s *loopState) deliver(u Update) {
	w := s.watches[u.Object.Key]
	if w == nil || !w.isUndelivered(u) {
		return
	}
	w.exists = !u.Deleted
	if w.exists {
		w.delivered = u.Object
	}
	s.counters.watchUpdates.Add(uint64(len(w.subscribers)))
	for _, sub := range w.subscribers {
		sub.deliver(u)
	}
}

// isUndelivered reports whether the subscribers lack u. If a stale response has
// reported an object as deleted, the object is delivered again with the same
// version.
func (w *watch) isUndelivered(u Update) bool {
	if u.Deleted {
		return w.exists
	}
	return u.Object.Version > w.delivered.Version || !w.exists && u.Object.Version == w.delivered.Version
}
