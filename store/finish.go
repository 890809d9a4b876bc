package store

import "time"

// finishCall records the result of a call and sends it to the callers that wait
// for it. A caller that accepts a stale object gets the cached one if the store
// is unavailable.
func (s *loopState) finishCall(c *call, sentAt time.Time, res callResult) {
	s.inFlight--
	s.counters.inFlight.Store(int64(s.inFlight))
	if !c.op.isWrite() {
		key := readKey{c.op.Kind, c.op.Key}
		s.sharedReads[key].inFlight = false
		if s.sharedReads[key].next == nil {
			delete(s.sharedReads, key)
		}
	}
	if res.notSent {
		return
	}
	kind := errorKind(res.err)
	s.updateBackoff(kind)
	res = s.updateCache(c.op, sentAt, res)
	for _, w := range c.waiters {
		if kind == KindUnavailable && w.allowStale && s.replyFromCache(c.op.withAllowStale(), w) {
			continue
		}
		w.reply.Send(res)
	}
}

// withAllowStale returns a copy of o with AllowStale set.
func (o Op) withAllowStale() Op {
	o.AllowStale = true
	return o
}

// updateBackoff extends the back-off after an unanswered call and ends it after
// any other. An urgent call waits for the shortest back-off only.
func (s *loopState) updateBackoff(kind Kind) {
	if kind == KindUnavailable {
		s.consecutiveFailures++
		now := time.Now()
		s.retryAt = now.Add(s.backoff(s.consecutiveFailures))
		s.urgentRetryAt = now.Add(s.jitter(s.cfg.BackoffMin))
		s.counters.failed.Add(1)
		s.counters.failing.Store(true)
		return
	}
	s.recordSuccess()
}

// recordSuccess ends the back-off: the store has answered, if only to refuse.
func (s *loopState) recordSuccess() {
	s.consecutiveFailures, s.retryAt, s.urgentRetryAt = 0, time.Time{}, time.Time{}
	s.counters.failing.Store(false)
	s.counters.lastSuccess.Store(time.Now().UnixNano())
}

// updateCache updates the cache with the result of a call. It returns the
// result, with the cached state in place of an older one.
func (s *loopState) updateCache(op Op, sentAt time.Time, res callResult) callResult {
	kind := errorKind(res.err)
	switch {
	case kind == KindNotFound && op.Kind != OpList:
		s.cacheDeletion(op.Key, sentAt)
	case kind != 0:
	case op.Kind == OpGet:
		return s.cacheObject(res.result.Object, sentAt)
	case op.Kind == OpList:
		for i, o := range res.result.List {
			res.result.List[i] = s.cacheObject(o, sentAt).result.Object
		}
	case op.Kind == OpPut:
		s.cacheObject(Object{Key: op.Key, Version: res.result.Version, Value: op.Value}, sentAt)
	case op.Kind == OpDelete:
		s.cacheDeletion(op.Key, sentAt)
	}
	return res
}

// cacheObject adds o to the cache, delivers it to its subscribers and returns
// it. If the cache has a newer version, it returns that one instead.
func (s *loopState) cacheObject(o Object, sentAt time.Time) callResult {
	entry, stale := s.cache.update(o, sentAt)
	if stale {
		s.counters.staleReads.Add(1)
		if entry.deleted {
			return entry.toResult(0)
		}
		return callResult{result: Result{Object: entry.object, FromCache: true, Age: time.Since(entry.requestedAt)}}
	}
	s.deliver(Update{Object: o})
	return callResult{result: Result{Object: o, Age: time.Since(sentAt)}}
}

// cacheDeletion marks the object as deleted in the cache and tells its
// subscribers.
func (s *loopState) cacheDeletion(key string, sentAt time.Time) {
	s.cache.markDeleted(key, sentAt)
	s.deliver(Update{Object: Object{Key: key}, Deleted: true})
}
