package transport

import (
	"net"
	"sync/atomic"
)

// limitListener closes new connections at once while maxConns are open, so that
// a flood of connections takes no memory.
type limitListener struct {
	net.Listener
	maxConns int64
	open     atomic.Int64
	refused  atomic.Uint64
}

func newLimitListener(ln net.Listener, maxConns int) *limitListener {
	return &limitListener{Listener: ln, maxConns: int64(maxConns)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = c.Close()
	}
}

// countedConn decrements the listener's count of open connections when closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
