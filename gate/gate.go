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

// Permit is the right to send one request to the backend server.
type Permit struct {
	// Token is the fencing token of the range that contains the key.
	Token core.Token
	// LeaseLeft is the remaining time of the lease when the permit was issued.
	// A permit without remaining time refuses the request.
	LeaseLeft time.Duration
}

// Dialect defines the header fields that a Gate adds to requests, and matches
// responses with requests.
type Dialect interface {
	// IsReserved reports whether only the Gate may set the header field. Such a
	// field of the caller is dropped.
	IsReserved(name string) bool
	// AddRequestFields adds the fields that follow from the request alone.
	AddRequestFields(h http.Header, req *core.Request)
	// AddSendTimeFields adds the fields that depend on the moment of sending.
	// It is called right before the first byte is written.
	AddSendTimeFields(h http.Header, req *core.Request, p Permit)
	// Attribute says whether a response belongs to req, which was sent with the
	// header fields sent. A faulty backend server may send a response once more,
	// or one that belongs to no request.
	Attribute(req *core.Request, sent http.Header, status int, h http.Header) Attribution
	// MayResend reports whether the node may send the same request again after
	// the response to it. The Gate then uses another connection for it.
	MayResend(status int, h http.Header) bool
	// ShowsBodyRead reports whether the response shows that the server has read
	// the body of the request. A server may respond before it has, keep the
	// connection and read on later; the Gate does not use such a connection again.
	ShowsBodyRead(status int, h http.Header) bool
}

// Attribution says whether a response belongs to the request that was sent last
// on its connection.
type Attribution uint8

const (
	// Own means that the response names the request.
	Own Attribution = iota
	// Foreign means that it names another request. It is skipped.
	Foreign
	// Unmarked means that it names no request and may be the response to the
	// request. It counts as such only on a connection that has carried no other
	// request.
	Unmarked
	// Unattributable means that it cannot be told to which request it belongs.
	Unattributable
)

// Config configures a Gate. A limit of zero selects the default that its field
// states.
type Config struct {
	// BackendAddr is the host:port of the backend server.
	BackendAddr string
	// Permit is called immediately before the first byte is written. If it
	// fails, the request is refused without having run. Nil permits every
	// request.
	Permit func(req *core.Request) (Permit, error)
	// Dialect is the protocol spoken to the backend server. The default is the
	// protocol of the package documentation.
	Dialect Dialect
	// TCPUserTimeout bounds how long sent bytes stay unacknowledged before the
	// kernel closes the connection; 0 leaves it to the operating system.
	TCPUserTimeout time.Duration
	// MaxConns bounds open connections; default 256.
	MaxConns int
	// ConnWait bounds the wait for a connection when all are in use; default
	// 1 s.
	ConnWait time.Duration
	// DialTimeout bounds the set-up of a connection; default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; default 30 s. It
	// should be shorter than the idle timeout of the backend server.
	IdleTimeout time.Duration
	// BufferSize is the size in bytes of each of the two buffers of a
	// connection; default 32 KiB.
	BufferSize int
	// MaxHeaderBytes bounds the head of a response, together with those of the
	// interim and stray responses before it; default 64 KiB.
	MaxHeaderBytes int64
	// Meter counts the bytes of the connections; it may be nil.
	Meter *core.ByteMeter
}

func (c Config) withDefaults() Config {
	if c.Dialect == nil {
		c.Dialect = nativeDialect{}
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
		c.BufferSize = copyBufferSize
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = 64 << 10
	}
	return c
}

// Stats holds counters since the Gate was created.
type Stats struct {
	// Sent counts requests of which at least one byte was written.
	Sent uint64
	// Dialed and Reused count requests that got a new connection and requests
	// that got an idle one.
	Dialed, Reused uint64
	// Abandoned counts requests that failed after their first byte and before
	// their response head. The connection is closed, so a later response is
	// lost.
	Abandoned uint64
	// LateResponses counts response heads that were dropped because they arrived
	// after the end of their request.
	LateResponses uint64
	// StrayResponses counts response heads that arrived during a request but
	// belong to another one, or to none as far as can be told.
	StrayResponses uint64
}

type counters struct {
	sent, dialed, reused, abandoned, lateResponses, strayResponses atomic.Uint64
}

// Gate is a core.Handler that forwards to one backend server.
type Gate struct {
	cfg     Config
	pool    *connPool
	uploads *ants.Pool
	counts  counters
}

// New creates a Gate. It opens no connection.
func New(cfg Config) (*Gate, error) {
	cfg = cfg.withDefaults()
	if _, _, err := net.SplitHostPort(cfg.BackendAddr); err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "gate: parse address of the backend server")
	}
	// Each upload holds a connection, so one worker per connection suffices.
	uploads, err := ants.NewPool(cfg.MaxConns, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "gate: create upload pool")
	}
	g := &Gate{cfg: cfg, uploads: uploads}
	g.pool = newConnPool(cfg, &g.counts)
	return g, nil
}

// Stats returns a copy of the counters.
func (g *Gate) Stats() Stats {
	return Stats{
		Sent:   g.counts.sent.Load(),
		Dialed: g.counts.dialed.Load(), Reused: g.counts.reused.Load(),
		Abandoned: g.counts.abandoned.Load(), LateResponses: g.counts.lateResponses.Load(),
		StrayResponses: g.counts.strayResponses.Load(),
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (g *Gate) CloseIdleConnections() { g.pool.idle.closeIdle() }

// Shutdown refuses new requests, waits until the running ones have ended or ctx
// ends, and closes idle connections. It fails with CodeUnavailable when ctx ends
// first.
func (g *Gate) Shutdown(ctx context.Context) error {
	err := g.pool.shutdown(ctx)
	g.uploads.Release()
	return err
}
