package gate

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"marjoramshore.example/core"
)

// conn is a connection to the backend server. One exchange uses it at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// writeStarted is set before the first write of the current exchange.
	// bytesWritten counts the bytes that the kernel has accepted since.
	writeStarted atomic.Bool
	bytesWritten atomic.Int64
	idleSince    time.Time
	// reused is set once the connection has carried an earlier exchange.
	reused bool
	// resendable holds the IDs of the requests on the connection that may be sent
	// again, although they were responded to. A repetition of such a response
	// would look like the response to the request that is sent again, which
	// therefore takes another connection.
	resendable []string
	// idleTime is how long the connection was idle before the current exchange.
	// It is zero for a new connection.
	idleTime time.Duration
	// headBytesLeft is the number of bytes that may still be read of a response
	// head and of those before it in the exchange, or -1 while no head is
	// expected.
	headBytesLeft int64
	meter         *core.ByteMeter
}

// Read implements io.Reader. It fails with HeadTooLargeError when a response
// head exceeds its limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft < 0 {
		n, err := c.Conn.Read(p)
		c.meter.CountRead(n)
		return n, err
	}
	if c.headBytesLeft == 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headBytesLeft)])
	c.headBytesLeft -= int64(n)
	c.meter.CountRead(n)
	return n, err
}

// Write implements io.Writer and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.writeStarted.Store(true)
	n, err := c.Conn.Write(p)
	c.bytesWritten.Add(int64(n))
	c.meter.CountWritten(n)
	return n, err
}

// isReusable reports whether an idle connection can carry another request,
// which needs that the server has neither closed it nor sent unrequested data.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// tcpCloseWait is the state of a TCP connection of which only the peer has ended
// its direction (TCP_CLOSE_WAIT of Linux). A reset ends both.
const tcpCloseWait = 8

// isHalfClosed reports whether the server has ended its direction of the
// connection in order and has not reset it since.
func (c *conn) isHalfClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	halfClosed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		halfClosed = infoErr == nil && info.State == tcpCloseWait
	})
	return err == nil && halfClosed
}

// connPool keeps idle connections and bounds the number of those in use.
type connPool struct {
	cfg     Config
	dialer  net.Dialer
	slots   chan struct{} // holds an element for each connection in use
	idle    *idleStack
	closing chan struct{} // closed when shutdown begins
	drained chan struct{} // closed when every exchange has ended after that
	closed  atomic.Bool
	counts  *counters
}

func newConnPool(cfg Config, counts *counters) *connPool {
	return &connPool{
		cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, Control: newTCPUserTimeoutControl(cfg.TCPUserTimeout)},
		slots: make(chan struct{}, cfg.MaxConns), idle: newIdleStack(cfg.IdleTimeout),
		closing: make(chan struct{}), drained: make(chan struct{}), counts: counts,
	}
}

// get returns an idle or a new connection for the exchange of the request with
// the given ID. The caller gives it back with put. An error means that the
// request did not run.
func (p *connPool) get(ctx context.Context, id string) (*conn, error) {
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	if c := p.takeIdle(id); c != nil {
		p.counts.reused.Add(1)
		return c, nil
	}
	tcpConn, err := p.dialer.DialContext(ctx, "tcp", p.cfg.BackendAddr)
	if err != nil {
		p.releaseSlot()
		if ctx.Err() != nil {
			return nil, core.ContextErrorBeforeSend(ctx)
		}
		return nil, core.Wrap(core.CodeBackendDown, err, "connect to backend server")
	}
	p.counts.dialed.Add(1)
	c := &conn{Conn: tcpConn, headBytesLeft: -1, meter: p.cfg.Meter}
	c.br = bufio.NewReaderSize(c, p.cfg.BufferSize)
	c.bw = bufio.NewWriterSize(c, p.cfg.BufferSize)
	return c, nil
}

// acquireSlot waits for at most ConnWait until the number of connections in use
// is below its limit.
func (p *connPool) acquireSlot(ctx context.Context) error {
	if p.closed.Load() {
		return core.Fail(core.CodeDraining, "gate is shutting down")
	}
	if ctx.Err() != nil {
		return core.ContextErrorBeforeSend(ctx)
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(p.cfg.ConnWait)
	defer timer.Stop()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-p.closing:
		return core.Fail(core.CodeDraining, "gate is shutting down")
	case <-timer.C:
		return core.Fail(core.CodeOverloaded, "all connections to the backend server are in use")
	case <-ctx.Done():
		return core.ContextErrorBeforeSend(ctx)
	}
}

func (p *connPool) releaseSlot() { <-p.slots }

// maxResendable bounds conn.resendable. A connection on which more requests were
// refused is closed.
const maxResendable = 16

// takeIdle returns an idle connection that can carry the request with the given
// ID, or nil. A request without an ID gets none, because nothing would tell the
// response to it from one to an earlier request. takeIdle closes the connections
// that the server has closed.
func (p *connPool) takeIdle(id string) *conn {
	if id == "" {
		return nil
	}
	for {
		c := p.idle.pop(time.Now(), id)
		if c == nil {
			return nil
		}
		if c.isReusable() {
			c.reused = true
			c.bytesWritten.Store(0)
			c.writeStarted.Store(false)
			return c
		}
		_ = c.Close()
	}
}

// recordReset shortens the idle limit after the server reset c on the first
// request that followed an idle time: it had forgotten the connection before.
func (p *connPool) recordReset(c *conn) { p.idle.limit.reduce(time.Now(), c.idleTime) }

// put ends the use of c. It closes a connection that is not clean.
func (p *connPool) put(c *conn, clean bool) {
	defer p.releaseSlot()
	if !clean || p.closed.Load() {
		_ = c.Close()
		return
	}
	p.idle.push(c, time.Now())
}

// shutdown refuses new exchanges and waits until the running ones have ended or
// ctx ends.
func (p *connPool) shutdown(ctx context.Context) error {
	if !p.closed.Swap(true) {
		close(p.closing)
		go p.drain()
	}
	select {
	case <-p.drained:
		return nil
	case <-ctx.Done():
		return core.Wrap(core.CodeUnavailable, ctx.Err(), "gate: shutdown timed out with requests still running")
	}
}

// drain closes the idle connections when it has acquired every slot: then no
// exchange uses a connection.
func (p *connPool) drain() {
	for range cap(p.slots) {
		p.slots <- struct{}{}
	}
	p.idle.closeIdle()
	close(p.drained)
}

// newTCPUserTimeoutControl returns a net.Dialer.Control function that sets
// TCP_USER_TIMEOUT, or nil for a timeout of zero.
func newTCPUserTimeoutControl(timeout time.Duration) func(string, string, syscall.RawConn) error {
	if timeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
