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

// conn is one connection to the backend server. One exchange uses it at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	bw *bufio.Writer
	// begun is set before the first write of the present exchange, written
	// counts the bytes that the kernel accepted since.
	begun   atomic.Bool
	written atomic.Int64
	idleAt  time.Time
	// rested is how long the connection was unused before the present exchange.
	rested time.Duration
	// headLeft is how much of a response head may still be read, or -1 while
	// no head is expected.
	headLeft int64
}

// Read implements io.Reader and bounds the head of a response.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.headLeft)])
	c.headLeft -= int64(n)
	return n, err
}

// Write implements io.Writer and counts what the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.begun.Store(true)
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// usable reports whether an idle connection can carry another request: the
// server has neither closed it nor sent anything unasked.
func (c *conn) usable() bool {
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
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = rerr == syscall.EAGAIN || rerr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// connPool holds idle connections and counts those in use with a bounded
// channel.
type connPool struct {
	cfg    Config
	dialer net.Dialer
	slots  chan struct{}
	idle   *idleStack
	done   chan struct{} // closed when shutdown begins
	empty  chan struct{} // closed when shutdown has seen every exchange end
	closed atomic.Bool
	counts *counters
}

func newConnPool(cfg Config, counts *counters) *connPool {
	return &connPool{
		cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, Control: userTimeout(cfg.TCPUserTimeout)},
		slots: make(chan struct{}, cfg.MaxConns), idle: newIdleStack(cfg.IdleTimeout),
		done: make(chan struct{}), empty: make(chan struct{}), counts: counts,
	}
}

// get returns a connection on which nothing has been written for this
// exchange. Every failure proves that the request did not run.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	if c := p.reuse(); c != nil {
		p.counts.reused.Add(1)
		return c, nil
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", p.cfg.BackendAddr)
	if err != nil {
		p.release()
		if ctx.Err() != nil {
			return nil, core.EndedNotRun(ctx)
		}
		return nil, core.Wrap(core.CodeBackendDown, err, "connect to backend server")
	}
	p.counts.dialed.Add(1)
	c := &conn{Conn: nc, headLeft: -1}
	c.br = bufio.NewReaderSize(c, p.cfg.BufferSize)
	c.bw = bufio.NewWriterSize(c, p.cfg.BufferSize)
	return c, nil
}

func (p *connPool) acquire(ctx context.Context) error {
	if p.closed.Load() {
		return core.Fail(core.CodeDraining, "gate is shutting down")
	}
	if ctx.Err() != nil {
		return core.EndedNotRun(ctx)
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	t := time.NewTimer(p.cfg.ConnWait)
	defer t.Stop()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-p.done:
		return core.Fail(core.CodeDraining, "gate is shutting down")
	case <-t.C:
		return core.Fail(core.CodeOverloaded, "all connections to the backend server are in use")
	case <-ctx.Done():
		return core.EndedNotRun(ctx)
	}
}

func (p *connPool) release() { <-p.slots }

func (p *connPool) reuse() *conn {
	for {
		c := p.idle.pop(time.Now())
		if c == nil {
			return nil
		}
		if c.usable() {
			c.written.Store(0)
			c.begun.Store(false)
			return c
		}
		_ = c.Close()
	}
}

// forgotten records that the server had dropped c while it was unused, which
// showed only in the reset of what was sent next.
func (p *connPool) forgotten(c *conn) { p.idle.limit.lost(time.Now(), c.rested) }

// put ends the use of c. A connection that is not clean is closed.
func (p *connPool) put(c *conn, clean bool) {
	defer p.release()
	if !clean || p.closed.Load() {
		_ = c.Close()
		return
	}
	p.idle.push(c, time.Now())
}

func (p *connPool) shutdown(ctx context.Context) error {
	if !p.closed.Swap(true) {
		close(p.done)
		go p.drain()
	}
	select {
	case <-p.empty:
		return nil
	case <-ctx.Done():
		return core.Wrap(core.CodeUnavailable, ctx.Err(), "gate: exchanges still running")
	}
}

// drain takes every slot, which proves that no exchange uses a connection.
func (p *connPool) drain() {
	for range cap(p.slots) {
		p.slots <- struct{}{}
	}
	p.idle.closeIdle()
	close(p.empty)
}

// userTimeout returns a control function for dialers that sets
// TCP_USER_TIMEOUT, or nil for a limit of zero.
func userTimeout(limit time.Duration) func(string, string, syscall.RawConn) error {
	if limit <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		cerr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
}
