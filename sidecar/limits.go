package sidecar

import (
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/platform"
	"marjoramshore.example/quota"
)

const (
	// fileDescriptors is the number of descriptors that the platform reserves for
	// files.
	fileDescriptors = 200
	// defaultDescriptors applies where the settings tell no number.
	defaultDescriptors = 4100
	// defaultMemoryMB applies where the settings tell no memory.
	defaultMemoryMB = 184
	// connMemory is the memory of an open connection without a request: its goroutine
	// and buffers.
	connMemory = 24 << 10
	// callerDivisor and the following ones give the parts of the sockets for the
	// connections of callers, of other nodes' requests, of their calls, and of each
	// server for the platform. What is left is for connections that the node opens.
	callerDivisor   = 2.5
	inboundDivisor  = 5
	peerDivisor     = 10
	platformDivisor = 50
	// connMemoryDivisor gives the part of the memory for open connections.
	connMemoryDivisor = 4
	// quotaDivisor gives the part of the memory that may be held of requests which are
	// on their way. The collector lets the heap grow to one and a half of what is in
	// use, and the rest of the process needs some 30 MB.
	quotaDivisor = 8
	// callQuotaDivisor gives the part of the memory that may be held of the calls of
	// other nodes.
	callQuotaDivisor = 16
	minConns         = 8
	// runtimePercent is the part of the memory that the Go runtime may use before it
	// collects garbage without waiting for the heap to grow. The rest is for the program
	// itself and for what is allocated during a collection.
	runtimePercent = 66
)

// RuntimeMemory returns the number of bytes beyond which the Go runtime is to collect
// garbage at once.
func RuntimeMemory(s platform.Settings) int64 {
	memoryMB := s.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return int64(memoryMB * (1 << 20) * runtimePercent / 100)
}

// limits bound what others make a process hold, by the limits of the VM.
type limits struct {
	callerConns, inboundConns, peerConns, platformConns int
	quotaBytes, callQuotaBytes                          int64
}

// limitsFor returns the limits for the settings of a VM.
func limitsFor(s platform.Settings) limits {
	descriptors, memoryMB := s.MaxDescriptors, s.MemoryMB
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	memory := memoryMB * (1 << 20)
	sockets := min(float64(max(0, descriptors-fileDescriptors)), memory/connMemoryDivisor/connMemory)
	share := func(divisor float64) int { return max(minConns, int(sockets/divisor)) }
	return limits{
		callerConns: share(callerDivisor), inboundConns: share(inboundDivisor), peerConns: share(peerDivisor), platformConns: share(platformDivisor),
		quotaBytes: int64(memory / quotaDivisor), callQuotaBytes: int64(memory / callQuotaDivisor),
	}
}

// callerLimits returns the limits of the configuration in force, or none before the
// first.
func (n *Node) callerLimits() (maxHeaderBytes int, maxBodyBytes int64) {
	t := n.routes.Load()
	if t == nil {
		return 0, 0
	}
	return t.Limits.MaxHeaderBytes, t.Limits.MaxBodyBytes
}

// boundedListener accepts a bounded number of connections for a server of net/http.
// Beyond it, the one that is idle for longest is closed for each new one.
type boundedListener struct {
	net.Listener
	most  int64
	open  atomic.Int64
	conns sync.Map // keys are *boundedConn
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// idleSince is when the connection became idle, in Unix nanoseconds, or 0 while it
	// has a request.
	idleSince atomic.Int64
	closed    atomic.Bool
}

func newBoundedListener(ln net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: ln, most: int64(most)}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &boundedConn{Conn: nc, listener: l}
		c.idleSince.Store(time.Now().UnixNano())
		if l.open.Add(1) > l.most && !l.closeIdle() {
			l.open.Add(-1)
			_ = nc.Close()
			continue
		}
		l.conns.Store(c, nil)
		return c, nil
	}
}

// closeIdle closes the connection that is idle for longest. It returns false if there
// is none.
func (l *boundedListener) closeIdle() bool {
	var longest *boundedConn
	since := int64(math.MaxInt64)
	l.conns.Range(func(k, _ any) bool {
		c := k.(*boundedConn)
		if at := c.idleSince.Load(); at > 0 && at < since {
			longest, since = c, at
		}
		return true
	})
	if longest == nil {
		return false
	}
	_ = longest.Close()
	return true
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.listener.conns.Delete(c)
	c.listener.open.Add(-1)
	return c.Conn.Close()
}

// followConnState notes which connections of a server are idle. It is for
// http.Server.ConnState.
func followConnState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*boundedConn)
	switch {
	case !ok:
	case state == http.StateIdle:
		c.idleSince.Store(time.Now().UnixNano())
	case state == http.StateActive:
		c.idleSince.Store(0)
	}
}

// maxCallBytes is assumed for a call of unknown length.
const maxCallBytes = 2 << 20

// limitCalls refuses the calls for whose messages the quota has no room.
func limitCalls(q *quota.Quota, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length := r.ContentLength
		if length < 0 {
			length = maxCallBytes
		}
		h := q.Open(func() {})
		defer h.Close()
		if !h.Take(length) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
