package transport

import (
	"net"
	"sync/atomic"
)

// limitListener closes connections beyond a bound at once, so that a flood of
// them takes no memory.
type limitListener struct {
	net.Listener
	max     int64
	open    atomic.Int64
	refused atomic.Uint64
}

func newLimitListener(ln net.Listener, limit int) *limitListener {
	return &limitListener{Listener: ln, max: int64(limit)}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = c.Close()
	}
}

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
