package gate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"marjoramshore.example/core"
)

// Permit is the right to hand one request to the backend server.
type Permit struct {
	// Token is the fencing token of the range that holds the key.
	Token core.Token
	// LeaseLeft is the time until the lease ends, at the moment of the call.
	LeaseLeft time.Duration
}

// Dialect writes the header fields that a gate adds to requests, and tells
// whose answer a response is.
type Dialect interface {
	// IsReserved reports whether a field of the caller is dropped.
	IsReserved(name string) bool
	// AddRequestFields adds the fields that are known in advance.
	AddRequestFields(h http.Header, req *core.Request)
	// AddSendTimeFields adds the fields that depend on the moment of sending. It runs right
	// before the first byte is written.
	AddSendTimeFields(h http.Header, req *core.Request, p Permit)
	// IsResponseTo reports whether a response answers req. A backend server may
	// send a second response to an earlier request of the connection.
	IsResponseTo(req *core.Request, status int, h http.Header) bool
}

// Config sets up a Gate. Zero limits take the defaults given with each field.
type Config struct {
	// BackendAddr is the host:port of the backend server.
	BackendAddr string
	// Permit is called at the last instant before the first byte is written.
	// A failure refuses the request, which has not run. Nil permits all.
	Permit func(req *core.Request) (Permit, error)
	// Dialect is the protocol spoken to the backend server; that of this
	// package.
	Dialect Dialect
	// TCPUserTimeout bounds how long sent bytes stay unacknowledged before the
	// connection counts as lost; 0 leaves it to the operating system.
	TCPUserTimeout time.Duration
	// MaxConns bounds open connections; 256.
	MaxConns int
	// ConnWait bounds the wait for a connection when all are in use; 1 s.
	ConnWait time.Duration
	// DialTimeout bounds a new connection; 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 30 s. It should be
	// shorter than the backend server's own.
	IdleTimeout time.Duration
	// BufferSize is the size of each of the two buffers of a connection; 32 KiB.
	BufferSize int
	// MaxHeaderBytes bounds the head of a response; 64 KiB.
	MaxHeaderBytes int64
}

func (c Config) withDefaults() Config {
	if c.Dialect == nil {
		c.Dialect = native{}
	}
	if c.MaxConns <= 0 {
		c.MaxConns = 256
	}
	if c.ConnWait <= 0 {
		c.ConnWait = time.Second
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = 500 * time.Millisecond
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 30 * time.Second
	}
	if c.BufferSize <= 0 {
		c.BufferSize = copySize
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = 64 << 10
	}
	return c
}

// Stats are counters since the gate was made.
type Stats struct {
	// Sent counts requests of which at least one byte was written.
	Sent uint64
	// Dialed and Reused count connections taken for a request.
	Dialed, Reused uint64
	// Abandoned counts sent requests given up before their response head; the
	// connection is closed, and with it any later answer.
	Abandoned uint64
	// LateResponses counts response heads that arrived after the request was
	// given up and were dropped.
	LateResponses uint64
}

type counters struct {
	sent, dialed, reused, abandoned, late atomic.Uint64
}

// Gate is a core.Handler that forwards to one backend server.
type Gate struct {
	cfg     Config
	pool    *connPool
	uploads *ants.Pool
	counts  counters
}

// New makes a Gate. It opens no connection.
func New(cfg Config) (*Gate, error) {
	cfg = cfg.withDefaults()
	if _, _, err := net.SplitHostPort(cfg.BackendAddr); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "gate: backend address")
	}
	// An upload holds a connection, so as many copies as connections suffice.
	uploads, err := ants.NewPool(cfg.MaxConns, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "gate: upload pool")
	}
	g := &Gate{cfg: cfg, uploads: uploads}
	g.pool = newConnPool(cfg, &g.counts)
	return g, nil
}

// Stats returns the gate's counters.
func (g *Gate) Stats() Stats {
	return Stats{
		Sent:   g.counts.sent.Load(),
		Dialed: g.counts.dialed.Load(), Reused: g.counts.reused.Load(),
		Abandoned: g.counts.abandoned.Load(), LateResponses: g.counts.late.Load(),
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (g *Gate) CloseIdleConnections() { g.pool.idle.closeIdle() }

// Shutdown refuses new exchanges and waits until the running ones have ended
// or ctx ends. Idle connections are closed.
func (g *Gate) Shutdown(ctx context.Context) error {
	err := g.pool.shutdown(ctx)
	g.uploads.Release()
	return err
}
