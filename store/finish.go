package store

import "time"

// finish records the end of a call and answers its callers.
func (s *state) finish(c *call, sent time.Time, a answer) {
	s.inFlight--
	s.count.inFlight.Store(int64(s.inFlight))
	if !c.op.write() {
		key := readKey{c.op.Kind, c.op.Key}
		s.reads[key].inFlight = false
		if s.reads[key].next == nil {
			delete(s.reads, key)
		}
	}
	if a.notSent {
		return
	}
	kind := kindOf(a.err)
	s.judge(kind)
	a = s.learn(c.op, sent, a)
	for _, w := range c.waiters {
		if kind == KindUnavailable && w.allowStale && s.answerFromMemory(c.op.stale(), w) {
			continue
		}
		w.reply.Send(a)
	}
}

// stale returns the operation as one that accepts last known state.
func (o Op) stale() Op {
	o.AllowStale = true
	return o
}

// judge moves the back-off with the fate of one call.
func (s *state) judge(k Kind) {
	if k == KindUnavailable {
		s.failures++
		now := time.Now()
		s.retryAt = now.Add(s.backoff(s.failures))
		s.urgentAt = now.Add(s.jitter(s.cfg.BackoffMin))
		s.count.failed.Add(1)
		s.count.failing.Store(true)
		return
	}
	s.answered()
}

func (s *state) answered() {
	s.failures, s.retryAt, s.urgentAt = 0, time.Time{}, time.Time{}
	s.count.failing.Store(false)
	s.count.lastSuccess.Store(time.Now().UnixNano())
}

// learn updates the last known state from an answer, and replaces an answer
// that is older than what is known.
func (s *state) learn(op Op, sent time.Time, a answer) answer {
	kind := kindOf(a.err)
	switch {
	case kind == KindNotFound && op.Kind != OpList:
		s.learnDeleted(op.Key, sent)
	case kind != 0:
	case op.Kind == OpGet:
		return s.learnObject(a.result.Object, sent)
	case op.Kind == OpList:
		for i, o := range a.result.List {
			a.result.List[i] = s.learnObject(o, sent).result.Object
		}
	case op.Kind == OpPut:
		s.learnObject(Object{Key: op.Key, Version: a.result.Version, Value: op.Value}, sent)
	case op.Kind == OpDelete:
		s.learnDeleted(op.Key, sent)
	}
	return a
}

func (s *state) learnObject(o Object, sent time.Time) answer {
	k, stale := s.memory.observe(o, sent)
	if stale {
		s.count.staleReads.Add(1)
		if k.deleted {
			return k.answer(0)
		}
		return answer{result: Result{Object: k.object, FromMemory: true, Age: time.Since(k.at)}}
	}
	s.deliver(Update{Object: o})
	return answer{result: Result{Object: o, Age: time.Since(sent)}}
}

func (s *state) learnDeleted(key string, sent time.Time) {
	s.memory.forget(key, sent)
	s.deliver(Update{Object: Object{Key: key}, Deleted: true})
}
