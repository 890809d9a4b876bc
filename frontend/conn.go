package frontend

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is a caller's connection. It knows whether a request is on it, so that
// a shutdown closes idle connections and no others.
type conn struct {
	net.Conn
	ln     *listener
	busy   atomic.Bool
	closed atomic.Bool
}

// Read implements net.Conn. The first byte of a request makes the connection
// busy until the answer is out.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.ln.forget(c)
	return err
}

// callerLeft reports whether the caller closed the connection before its request
// was read, as happens to one that waited in the queue of new connections.
func (c *conn) callerLeft() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // already closed
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && rerr == nil
	})
	return err != nil || left
}

// reset closes the connection so that the caller sees a broken exchange even
// where a clean close would end the message.
func (c *conn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// closeWrite tells the caller that the answer is complete while its own bytes
// may still arrive.
func (c *conn) closeWrite() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

// listener accepts up to a bound of connections and knows the open ones.
type listener struct {
	net.Listener
	max           int64
	headerTimeout time.Duration
	conns         sync.Map // of *conn; holds at most max
	open          atomic.Int64
	refused       atomic.Uint64
	changed       chan struct{} // holds a signal after a connection closed
}

func newListener(ln net.Listener, limit int, headerTimeout time.Duration) *listener {
	return &listener{
		Listener: ln, max: int64(limit), headerTimeout: headerTimeout,
		changed: make(chan struct{}, 1),
	}
}

// Accept implements net.Listener. Connections beyond the bound are closed at
// once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if exhausted(err) {
			// hertz would stop serving for good; descriptors come back.
			<-time.After(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.max {
			l.open.Add(-1)
			l.refused.Add(1)
			_ = nc.Close()
			continue
		}
		c := &conn{Conn: nc, ln: l}
		// hertz sets no deadline for the first request of a connection.
		_ = c.SetReadDeadline(time.Now().Add(l.headerTimeout))
		l.conns.Store(c, nil)
		return c, nil
	}
}

// acceptPause is the pause after the process ran out of descriptors.
const acceptPause = 50 * time.Millisecond

// exhausted reports whether an accept failed for a reason that passes.
func exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ECONNABORTED)
}

func (l *listener) forget(c *conn) {
	l.conns.Delete(c)
	l.open.Add(-1)
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// drain closes idle connections until none is left or ctx ends.
func (l *listener) drain(ctx context.Context) error {
	for {
		l.each(func(c *conn) {
			if !c.busy.Load() {
				_ = c.Close()
			}
		})
		if l.open.Load() == 0 {
			return nil
		}
		select {
		case <-l.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *listener) each(f func(*conn)) {
	l.conns.Range(func(k, _ any) bool {
		f(k.(*conn))
		return true
	})
}

// connKey finds the *conn in the context of its requests.
type connKey struct{}

func connContext(nc net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, nc)
}
