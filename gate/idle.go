package gate

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// limitDivisor divides the idle time of a connection that the server reset;
	// the quotient is the new limit.
	limitDivisor = 2
	// minIdleLimit still lets requests in quick succession share a connection.
	minIdleLimit = 20 * time.Millisecond
	// reducedLimitTTL is how long a reduced limit applies. If the backend server
	// still forgets connections, one request fails each time it expires.
	reducedLimitTTL = 20 * time.Second
)

// idleLimit is how long an idle connection is kept: the configured time, or
// less for a while after the server has reset a connection that was idle for
// less than that.
type idleLimit struct {
	configured time.Duration
	reduced    atomic.Int64 // nanoseconds; 0 before the first reduction
	reducedAt  atomic.Int64 // Unix nanoseconds; only differences are used
}

// current returns the limit in force at now.
func (l *idleLimit) current(now time.Time) time.Duration {
	reduced := time.Duration(l.reduced.Load())
	if reduced == 0 || now.Sub(time.Unix(0, l.reducedAt.Load())) > reducedLimitTTL {
		return l.configured
	}
	return reduced
}

// reduce lowers the limit after a connection was reset that had been idle for
// idleTime. It raises the limit only to minIdleLimit.
func (l *idleLimit) reduce(now time.Time, idleTime time.Duration) {
	l.reduced.Store(int64(max(min(idleTime/limitDivisor, l.current(now)), minIdleLimit)))
	l.reducedAt.Store(now.UnixNano())
}

// idleStack holds idle connections in the order of their last use. The most
// recently used one is taken first, so that few connections share the load and
// none of them is idle for long.
type idleStack struct {
	limit idleLimit
	conns chan []*conn // holds the slice unless a goroutine is using it
}

func newIdleStack(limit time.Duration) *idleStack {
	s := &idleStack{limit: idleLimit{configured: limit}, conns: make(chan []*conn, 1)}
	s.conns <- nil
	return s
}

// push adds c and closes the connections that have been idle for too long.
func (s *idleStack) push(c *conn, now time.Time) {
	c.idleSince = now
	limit := s.limit.current(now)
	list := <-s.conns
	list, expired := splitExpired(list, now, limit)
	s.conns <- append(list, c)
	closeAll(expired)
}

// splitExpired removes the connections from list that have been idle for limit or
// longer, and returns the others and the removed ones.
func splitExpired(list []*conn, now time.Time, limit time.Duration) (kept, expired []*conn) {
	n := 0
	for n < len(list) && now.Sub(list[n].idleSince) >= limit {
		n++
	}
	expired = slices.Clone(list[:n])
	return slices.Delete(list, 0, n), expired
}

// pop returns the most recently used connection that may carry the request with
// the given ID, or nil if there is none. It closes the connections that have been
// idle for too long.
func (s *idleStack) pop(now time.Time, id string) *conn {
	limit := s.limit.current(now)
	list := <-s.conns
	list, expired := splitExpired(list, now, limit)
	var c *conn
	for i := len(list) - 1; i >= 0 && c == nil; i-- {
		if !slices.Contains(list[i].resendable, id) {
			c = list[i]
			list = slices.Delete(list, i, i+1)
		}
	}
	s.conns <- list
	closeAll(expired)
	if c != nil {
		c.idleTime = now.Sub(c.idleSince)
	}
	return c
}

// closeIdle closes all idle connections.
func (s *idleStack) closeIdle() {
	list := <-s.conns
	s.conns <- nil
	closeAll(list)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		// Nothing is sent on c any more, so a failure has no effect.
		_ = c.Close()
	}
}
