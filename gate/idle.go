package gate

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// restPart is the part of the time after which an unused connection turned
	// out to be lost for which connections are kept from then on.
	restPart = 2
	// leastRest keeps connections between requests that follow each other.
	leastRest = 20 * time.Millisecond
	// restFor is how long a shorter time holds. A backend server that still
	// forgets connections costs one request each time it ends.
	restFor = 20 * time.Second
)

// restLimit is how long an unused connection is kept. It is the configured time
// until a connection is lost sooner.
type restLimit struct {
	usual time.Duration
	short atomic.Int64 // duration
	since atomic.Int64 // Unix nanoseconds; only differences are used
}

func (l *restLimit) at(now time.Time) time.Duration {
	short := time.Duration(l.short.Load())
	if short == 0 || now.Sub(time.Unix(0, l.since.Load())) > restFor {
		return l.usual
	}
	return short
}

// lost records that a connection was lost although it had rested for less than
// the limit.
func (l *restLimit) lost(now time.Time, rested time.Duration) {
	l.short.Store(int64(max(min(rested/restPart, l.at(now)), leastRest)))
	l.since.Store(now.UnixNano())
}

// idleStack holds unused connections, the last used on top, so that as few as
// possible are in use and rest for a short time only. The channel holds the
// slice while nobody works on it.
type idleStack struct {
	limit restLimit
	held  chan []*conn
}

func newIdleStack(usual time.Duration) *idleStack {
	s := &idleStack{limit: restLimit{usual: usual}, held: make(chan []*conn, 1)}
	s.held <- nil
	return s
}

// push keeps a connection, and closes those that have rested for too long.
func (s *idleStack) push(c *conn, now time.Time) {
	c.idleAt = now
	limit := s.limit.at(now)
	list := <-s.held
	old := 0
	for old < len(list) && now.Sub(list[old].idleAt) >= limit {
		old++
	}
	gone := slices.Clone(list[:old])
	list = append(slices.Delete(list, 0, old), c)
	s.held <- list
	closeAll(gone)
}

// pop returns the connection that was used last, or nil when all have rested
// for too long.
func (s *idleStack) pop(now time.Time) *conn {
	limit := s.limit.at(now)
	list := <-s.held
	if len(list) == 0 {
		s.held <- list
		return nil
	}
	c := list[len(list)-1]
	c.rested = now.Sub(c.idleAt)
	if c.rested >= limit {
		s.held <- nil
		closeAll(list)
		return nil
	}
	list[len(list)-1] = nil
	s.held <- list[:len(list)-1]
	return c
}

// closeIdle closes all connections.
func (s *idleStack) closeIdle() {
	list := <-s.held
	s.held <- nil
	closeAll(list)
}

func closeAll(list []*conn) {
	for _, c := range list {
		// Nothing is sent on it any more, so a failure has no effect.
		_ = c.Close()
	}
}
