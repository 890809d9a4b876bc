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
	"marjoramshore.example/quota"
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
	// idleSince is when the connection was opened or its last response was sent, in
	// Unix nanoseconds.
	idleSince atomic.Int64
	// head counts the bytes outside bodies. The goroutine that reads the connection
	// owns it.
	head headMeter
	// headHolding is what is held of heads, or nil while they are short.
	headHolding atomic.Pointer[quota.Holding]
	// refused is set once a request was refused before its head was read. Nothing
	// else is written then.
	refused atomic.Bool
}

// headMeter counts the bytes that are read for the heads of requests.
type headMeter struct {
	// inBody is set while a body is read, and served while the request is.
	inBody, served bool
	bytes          int
}

const (
	// freeHeadBytes is the size up to which a head takes nothing from the quota. Most
	// heads are shorter, and a connection has a buffer of that size in any case.
	freeHeadBytes = 4 << 10
	// headFactor is the memory that a head takes, in terms of its size: the buffers
	// into which it is read, and the fields.
	headFactor = 3
	// headSlack is what may be read beyond the limit of a head: the buffer holds the
	// beginning of the body as well.
	headSlack = 8 << 10
)

// HeadTooLargeError is the error for a request head that exceeds the limit in force,
// or for bytes without end before a request.
type HeadTooLargeError struct{}

func (HeadTooLargeError) Error() string { return "request head too large" }

// QuotaError is the error for a request that the process has no room to hold.
type QuotaError struct{}

func (QuotaError) Error() string { return "no room to hold the request" }

// countHead counts bytes that were read for the head of a request. The error ends the
// connection.
func (c *callerConn) countHead(n int) error {
	h, cfg := &c.head, c.listener.cfg
	if h.inBody || n <= 0 {
		return nil
	}
	h.bytes += n
	if !h.served && h.bytes > cfg.maxHead()+headSlack {
		return HeadTooLargeError{}
	}
	charged := min(n, h.bytes-freeHeadBytes)
	if charged <= 0 {
		return nil
	}
	holding := c.headHolding.Load()
	if holding == nil {
		holding = cfg.Quota.Open(c.reset)
		c.headHolding.Store(holding)
	}
	if !holding.Take(int64(headFactor * charged)) {
		return QuotaError{}
	}
	if h.served {
		holding.Complete()
	} else {
		holding.Progress()
	}
	if c.closed.Load() {
		holding.Close()
	}
	return nil
}

// beginServing notes that the head of a request is complete, endServing that its
// response was sent and that its buffers are free.
func (c *callerConn) beginServing() {
	c.head.served = true
	if h := c.headHolding.Load(); h != nil {
		h.Complete()
	}
}

func (c *callerConn) endServing() {
	if h := c.headHolding.Swap(nil); h != nil {
		h.Close()
	}
	c.head = headMeter{}
	c.idleSince.Store(time.Now().UnixNano())
}

// refuseHead answers a request whose head there is no room to read, as not run.
// Without it hertz would answer 400, which tells a caller not to come back. It runs on
// the goroutine that reads the connection, before anything of the request is served.
func (c *callerConn) refuseHead() {
	cfg := c.listener.cfg
	if cfg.TLS != nil || c.refused.Swap(true) {
		return
	}
	now := time.Now()
	r := cfg.Dialect.EncodeFailure(&core.Request{Body: core.NoBody, ReceivedAt: now},
		&core.Error{Code: core.CodeOverloaded, Detail: "the node has no room for the request", RetryAfter: quotaRetryAfter})
	h := responseHead{status: r.Status, length: int64(len(r.Body)), fields: r.Fields, date: now, isHTTP11: true, closeConn: true}
	h.chooseFraming()
	// The errors mean that the caller has left.
	_ = c.Conn.SetDeadline(now.Add(lingerTimeout))
	n, err := c.Conn.Write(append(h.encode(), r.Body...))
	cfg.Meter.CountWritten(n)
	if err == nil {
		c.closeWrite()
		discardUpTo(c.Conn, maxLingerBytes)
	}
}

// FramingTooLargeError is the error for a chunked body with more bytes between
// its data than Config.MaxHeaderBytes.
type FramingTooLargeError struct{}

func (FramingTooLargeError) Error() string { return "framing of the request body too large" }

func newCallerConn(nc net.Conn, l *listener) *callerConn {
	c := &callerConn{Conn: nc, listener: l}
	c.readBudget.Store(math.MaxInt64)
	c.idleSince.Store(time.Now().UnixNano())
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
		c.listener.cfg.Meter.CountRead(n)
	}
	if headErr := c.countHead(n); headErr != nil {
		if _, noRoom := headErr.(QuotaError); noRoom && !c.head.served {
			c.refuseHead()
		}
		return 0, headErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.listener.cfg.Meter.CountWritten(n)
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	if h := c.headHolding.Load(); h != nil {
		h.Close()
	}
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
	cfg          *Config
	conns        sync.Map // keys are *callerConn
	openConns    atomic.Int64
	draining     atomic.Bool
	refusedConns atomic.Uint64
	evictedConns atomic.Uint64
	connClosed   chan struct{} // holds a token after a connection was closed
	acceptEnded  chan struct{} // closed when no connection is accepted any more
	released     chan struct{} // closed when Accept may return an error
	releaseOnce  sync.Once
}

func newListener(ln net.Listener, cfg *Config) *listener {
	return &listener{
		Listener: ln, cfg: cfg,
		connClosed: make(chan struct{}, 1), acceptEnded: make(chan struct{}), released: make(chan struct{}),
	}
}

// evictionSpare is the part of the connections, as a divisor, that may be open beyond
// the limit while idle ones are being closed.
const evictionSpare = 16

// makeRoom closes an idle connection if there are too many. It returns false if there
// is none, or if those that were closed before have not ended yet.
func (l *listener) makeRoom() bool {
	open, most := l.openConns.Load(), int64(l.cfg.MaxConns)
	if open <= most {
		return true
	}
	if open > most+most/evictionSpare+1 {
		return false
	}
	idle := l.findIdle()
	if idle == nil {
		return false
	}
	l.evictedConns.Add(1)
	idle.idleSince.Store(time.Now().UnixNano())
	idle.endWait()
	return true
}

// idleSample is the number of connections among which the one that is idle for longest
// is closed. A crowd would otherwise cost a pass over all for each connection.
const idleSample = 64

// findIdle returns a connection without a request, or nil.
func (l *listener) findIdle() *callerConn {
	var longest *callerConn
	seen := 0
	l.conns.Range(func(k, _ any) bool {
		if c := k.(*callerConn); !c.busy.Load() {
			seen++
			if longest == nil || c.idleSince.Load() < longest.idleSince.Load() {
				longest = c
			}
		}
		return seen < idleSample
	})
	return longest
}

// Accept implements net.Listener. Connections for which there is no room are closed at
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
		l.openConns.Add(1)
		if !l.makeRoom() {
			l.openConns.Add(-1)
			l.refusedConns.Add(1)
			_ = nc.Close()
			continue
		}
		c := newCallerConn(nc, l)
		// hertz sets no read deadline for the first request of a connection.
		_ = c.SetReadDeadline(time.Now().Add(l.cfg.HeaderTimeout))
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
