package frontend

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"marjoramshore.example/core"
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
	// readDeadline is the read deadline without the effect of endWait, or nil
	// before the first one.
	readDeadline atomic.Pointer[time.Time]
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
// busy until the response has been sent. A deadline ends only the wait for it:
// bytes that have arrived by then are returned.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.readBudget.Load() <= 0 {
		return 0, FramingTooLargeError{}
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if !c.busy.Load() {
			if n = c.readArrived(p); n > 0 {
				err = nil
				c.restoreReadDeadline() // for the rest of the request
			}
			break
		}
		// endWait may have taken the connection for idle.
		if !c.restoreReadDeadline() {
			break
		}
		n, err = c.Conn.Read(p)
	}
	c.readBudget.Add(-int64(n))
	if n > 0 {
		c.busy.Store(true)
		c.listener.meter.CountRead(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.meter.CountWritten(n)
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
	n, err := c.peek()
	return n == 0 && err == nil || errors.Is(err, net.ErrClosed)
}

// peek looks at the first byte that has arrived, without taking or waiting for
// it. It returns 0 and nil if the caller closed the connection.
func (c *callerConn) peek() (int, error) {
	var b [1]byte
	return c.receive(b[:], syscall.MSG_PEEK)
}

// readArrived reads what has arrived, without waiting and regardless of the
// read deadline. It returns 0 if there is nothing.
func (c *callerConn) readArrived(p []byte) int {
	n, err := c.receive(p, 0)
	if err != nil {
		return 0
	}
	return n
}

func (c *callerConn) receive(p []byte, flags int) (int, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EOPNOTSUPP
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), p, flags|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, net.ErrClosed
	}
	return n, recvErr
}

// SetReadDeadline implements net.Conn. Once the listener drains, a connection
// waits for no further request.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.Store(&t)
	err := c.Conn.SetReadDeadline(t)
	if c.listener.draining.Load() {
		c.endWait()
	}
	return err
}

// restoreReadDeadline undoes the effect of endWait. It returns false if the read
// deadline has passed.
func (c *callerConn) restoreReadDeadline() bool {
	for {
		t := c.readDeadline.Load()
		if t == nil {
			return false
		}
		// Fails only on a closed connection.
		_ = c.Conn.SetReadDeadline(*t)
		if c.readDeadline.Load() == t {
			return t.IsZero() || time.Now().Before(*t)
		}
	}
}

// endWait ends the wait for a request on a connection that is not busy. The
// goroutine that reads it then closes it, or serves a request that arrived
// meanwhile: only that goroutine can tell.
func (c *callerConn) endWait() {
	if !c.busy.Load() {
		// Fails only on a closed connection.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
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
	meter         *core.ByteMeter
	conns         sync.Map // keys are *callerConn; at most maxConns
	openConns     atomic.Int64
	draining      atomic.Bool
	refusedConns  atomic.Uint64
	connClosed    chan struct{} // holds a token after a connection was closed
	acceptEnded   chan struct{} // closed when no connection is accepted any more
	released      chan struct{} // closed when Accept may return an error
	releaseOnce   sync.Once
}

func newListener(ln net.Listener, maxConns int, headerTimeout time.Duration) *listener {
	return &listener{
		Listener: ln, maxConns: int64(maxConns), headerTimeout: headerTimeout,
		connClosed: make(chan struct{}, 1), acceptEnded: make(chan struct{}), released: make(chan struct{}),
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
			// On an error hertz counts as stopped, and closes each connection
			// after its present request without reading the next.
			close(l.acceptEnded)
			<-l.released
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

// release lets Accept return an error once the listener is closed, which ends
// hertz.
func (l *listener) release() { l.releaseOnce.Do(func() { close(l.released) }) }

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
// A request that has arrived on an idle connection is still read and answered.
func (l *listener) drain(ctx context.Context) error {
	l.draining.Store(true)
	l.forEachConn((*callerConn).endWait)
	for l.openConns.Load() > 0 {
		select {
		case <-l.connClosed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
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
