package frontend

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callerConn is a connection of a caller. busy is set while a request is
// received or served on it; a shutdown closes only connections that are not
// busy.
type callerConn struct {
	net.Conn
	listener *listener
	busy     atomic.Bool
	closed   atomic.Bool
	// readBudget is the number of bytes after which reads fail.
	readBudget atomic.Int64
}

// FramingTooLargeError is the error for a chunked body with more bytes between
// its data than Config.MaxHeaderBytes.
type FramingTooLargeError struct{}

func (FramingTooLargeError) Error() string { return "framing of the request body too large" }

func newCallerConn(nc net.Conn, l *listener) *callerConn {
	c := &callerConn{Conn: nc, listener: l}
	c.readBudget.Store(math.MaxInt64)
	return c
}

// Read implements net.Conn. The first byte of a request marks the connection as
// busy until the response has been sent.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.readBudget.Load() <= 0 {
		return 0, FramingTooLargeError{}
	}
	n, err := c.Conn.Read(p)
	c.readBudget.Add(-int64(n))
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.listener.removeConn(c)
	return err
}

// closedByCaller reports whether the caller closed the connection before its
// request was read. This happens to connections that wait long in the accept
// queue.
func (c *callerConn) closedByCaller() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // already closed
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && rerr == nil
	})
	return err != nil || closed
}

// reset closes the connection with a TCP reset. A response whose end is marked
// by the end of the connection would look complete after an orderly close.
func (c *callerConn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// closeWrite closes the sending side, which ends the response, and leaves the
// receiving side open for bytes that the caller still sends.
func (c *callerConn) closeWrite() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

// listener accepts at most maxConns connections and tracks the open ones.
type listener struct {
	net.Listener
	maxConns      int64
	headerTimeout time.Duration
	conns         sync.Map // keys are *callerConn; at most maxConns
	openConns     atomic.Int64
	refusedConns  atomic.Uint64
	connClosed    chan struct{} // holds a token after a connection was closed
}

func newListener(ln net.Listener, maxConns int, headerTimeout time.Duration) *listener {
	return &listener{
		Listener: ln, maxConns: int64(maxConns), headerTimeout: headerTimeout,
		connClosed: make(chan struct{}, 1),
	}
}

// Accept implements net.Listener. Connections beyond maxConns are closed at
// once.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if isTransientAcceptError(err) {
			// On any error hertz stops serving for good, but these pass once
			// file descriptors or buffers are free again.
			<-time.After(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) > l.maxConns {
			l.openConns.Add(-1)
			l.refusedConns.Add(1)
			_ = nc.Close()
			continue
		}
		c := newCallerConn(nc, l)
		// hertz sets no read deadline for the first request of a connection.
		_ = c.SetReadDeadline(time.Now().Add(l.headerTimeout))
		l.conns.Store(c, nil)
		return c, nil
	}
}

// acceptRetryDelay is the delay after a transient error of accept, such as a
// lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// isTransientAcceptError reports whether a later accept can succeed after err.
func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ECONNABORTED)
}

func (l *listener) removeConn(c *callerConn) {
	l.conns.Delete(c)
	l.openConns.Add(-1)
	select {
	case l.connClosed <- struct{}{}:
	default:
	}
}

// drain closes connections as they become idle, until none is left or ctx ends.
func (l *listener) drain(ctx context.Context) error {
	for {
		l.forEachConn(func(c *callerConn) {
			if !c.busy.Load() {
				_ = c.Close()
			}
		})
		if l.openConns.Load() == 0 {
			return nil
		}
		select {
		case <-l.connClosed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *listener) forEachConn(f func(*callerConn)) {
	l.conns.Range(func(k, _ any) bool {
		f(k.(*callerConn))
		return true
	})
}

// connContextKey is the context key under which a request finds its
// *callerConn.
type connContextKey struct{}

func newConnContext(nc net.Conn) context.Context {
	return context.WithValue(context.Background(), connContextKey{}, nc)
}
