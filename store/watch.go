package store

import (
	"context"
	"slices"
	"time"

	"marjoramshore.example/ring"
)

// Update is a change of a watched key.
type Update struct {
	// Object is the newest version; after a deletion only its key is set.
	Object  Object
	Deleted bool
}

// watch is one waiting store watch that all watchers of a key share.
type watch struct {
	key      string
	watchers []*watcher
	last     Object // newest version that the watchers have
	exists   bool   // whether the last update was an object
	running  bool
	cancel   context.CancelFunc
	failures int
	retryAt  time.Time
}

type watcher struct{ deliver func(Update) }

// Watch calls deliver with the known state of key, if any, and then with each
// newer version, until ctx ends. Versions in between may be skipped. Deliver
// runs on the duty's goroutine and must not block; it usually pushes to a
// coalescing ring. The error is KindBudget when too many keys are watched.
func (d *Client) Watch(ctx context.Context, key string, deliver func(Update)) error {
	w := &watcher{deliver: deliver}
	reply := ring.NewReply[error]()
	if err := d.push(ctx, key, func(s *state) { reply.Send(s.subscribe(key, w)) }); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() {
		// Waits for room as long as the duty runs: a lost message would keep
		// the watch for ever.
		_ = d.in.Push(context.Background(), func(s *state) { s.unsubscribe(key, w) })
	})
	select {
	case err := <-reply.C():
		return err
	case <-ctx.Done():
		return &Error{Kind: KindBudgetExhausted, Key: key, Cause: ctx.Err()}
	case <-d.stopped:
		return &Error{Kind: KindUnavailable, Key: key, Cause: &ring.ClosedError{Ring: d.in.Name()}}
	}
}

func (s *state) subscribe(key string, w *watcher) error {
	e := s.watched[key]
	if e == nil {
		if len(s.watched) >= s.cfg.WatchWorkers {
			s.count.refused.Add(1)
			return &Error{Kind: KindBudgetExhausted, Key: key}
		}
		e = &watch{key: key}
		if k, seen := s.memory.objects[key]; seen && !k.deleted {
			e.last, e.exists = k.object, true
		}
		s.watched[key] = e
		s.count.watches.Store(int64(len(s.watched)))
	}
	e.watchers = append(e.watchers, w)
	if e.exists {
		w.deliver(Update{Object: e.last})
	}
	return nil
}

func (s *state) unsubscribe(key string, w *watcher) {
	e := s.watched[key]
	if e == nil {
		return
	}
	e.watchers = slices.DeleteFunc(e.watchers, func(o *watcher) bool { return o == w })
	if len(e.watchers) > 0 {
		return
	}
	delete(s.watched, key)
	s.count.watches.Store(int64(len(s.watched)))
	if e.cancel != nil {
		e.cancel()
	}
}

// startWatches starts the watches that are not waiting, and returns the time
// until the next attempt makes sense.
func (s *state) startWatches(now time.Time) time.Duration {
	next := idle
	for _, e := range s.watched {
		if !e.running {
			next = min(next, s.startWatch(e, now))
		}
	}
	return next
}

func (s *state) startWatch(e *watch, now time.Time) time.Duration {
	if wait := max(e.retryAt.Sub(now), tokenWait(s.ordinary, now)); wait > 0 {
		return wait
	}
	// A cancelled watch keeps its worker until the store call returns.
	if s.running >= s.cfg.WatchWorkers {
		return idle
	}
	ctx, cancel := context.WithCancel(s.ctx)
	d, after := s.Client, e.after()
	err := s.watches.Submit(func() {
		defer cancel()
		o, err := d.store.Watch(ctx, e.key, after)
		_ = d.results.Push(context.WithoutCancel(ctx), func(s *state) { s.watchEnded(e, o, err) })
	})
	if err != nil {
		cancel()
		return saturated
	}
	s.ordinary.AllowN(now, 1)
	s.count.watch.Add(1)
	e.running, e.cancel = true, cancel
	s.running++
	return idle
}

// after is the version that the next watch waits to be exceeded. A deleted key
// is watched for its creation.
func (e *watch) after() uint64 {
	if !e.exists {
		return 0
	}
	return e.last.Version
}

func (s *state) watchEnded(e *watch, o Object, err error) {
	e.running, e.cancel = false, nil
	s.running--
	now := time.Now()
	switch kindOf(err) {
	case 0:
		e.failures = 0
		s.answered()
		s.learnObject(o, now)
	case KindNotFound:
		e.failures = 0
		s.answered()
		s.learnDeleted(e.key, now)
	default:
		if len(e.watchers) == 0 {
			return
		}
		e.failures++
		e.retryAt = now.Add(s.backoff(e.failures))
		s.count.failed.Add(1)
	}
}

// deliver hands a change to the watchers of its key, unless they have it.
func (s *state) deliver(u Update) {
	e := s.watched[u.Object.Key]
	if e == nil || !e.news(u) {
		return
	}
	e.exists = !u.Deleted
	if e.exists {
		e.last = u.Object
	}
	s.count.watchUpdates.Add(uint64(len(e.watchers)))
	for _, w := range e.watchers {
		w.deliver(u)
	}
}

// news reports whether the watchers lack u. An object that was reported
// deleted by a stale answer is delivered again with the same version.
func (e *watch) news(u Update) bool {
	if u.Deleted {
		return e.exists
	}
	return u.Object.Version > e.last.Version || !e.exists && u.Object.Version == e.last.Version
}
