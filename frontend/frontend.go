package frontend

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/panjf2000/ants/v2"
	"marjoramshore.example/core"
)

// hertz logs broken connections as errors through a process-wide logger. Here
// they are counted instead.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Config sets up a Frontend. Zero limits take the defaults given with each
// field.
type Config struct {
	// Addr is the host:port to listen on.
	Addr string
	// Handler serves the exchanges.
	Handler core.Handler
	// Dialect gives the heads their meaning; that of this package.
	Dialect Dialect
	// TLS serves HTTPS when set.
	TLS *tls.Config
	// MaxConns bounds callers' connections; 4096.
	MaxConns int
	// MaxExchanges bounds concurrent exchanges; beyond it they are refused as
	// not run; 2048.
	MaxExchanges int
	// MaxHeaderBytes bounds the head of a request; 32 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request; 0 is no bound.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time to receive a head; 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the pause between requests of a connection; 60 s.
	IdleTimeout time.Duration
	// KeepAlive tells callers for how long they may leave a connection unused,
	// in whole seconds; 0 tells nothing. IdleTimeout is at least a second more.
	KeepAlive time.Duration
	// BodyIdleTimeout bounds the pause between two reads of a body, and the
	// time in which a write of an answer must make progress; 30 s.
	BodyIdleTimeout time.Duration
	// MinBodyRate is the least bytes per second of an upload, counted over the
	// time spent waiting for the caller after the first 10 s; 1024.
	MinBodyRate int64
}

func (c Config) withDefaults() Config {
	setInt := func(p *int, v int) {
		if *p <= 0 {
			*p = v
		}
	}
	setTime := func(p *time.Duration, v time.Duration) {
		if *p <= 0 {
			*p = v
		}
	}
	setInt(&c.MaxConns, 4096)
	setInt(&c.MaxExchanges, 2048)
	setInt(&c.MaxHeaderBytes, 32<<10)
	setTime(&c.HeaderTimeout, 10*time.Second)
	setTime(&c.IdleTimeout, 60*time.Second)
	if c.KeepAlive > 0 {
		c.IdleTimeout = max(c.IdleTimeout, c.KeepAlive+time.Second)
	}
	setTime(&c.BodyIdleTimeout, 30*time.Second)
	if c.Dialect == nil {
		c.Dialect = native{}
	}
	if c.MinBodyRate <= 0 {
		c.MinBodyRate = 1024
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = math.MaxInt64
	}
	return c
}

// Stats are counters since the frontend was made.
type Stats struct {
	Exchanges, Refused, BadRequests, RefusedConns uint64
	// TruncatedResponses counts answers that broke off after their head was sent.
	TruncatedResponses uint64
	// Gone counts callers that went away before their answer began.
	Gone uint64
	// DroppedResponses counts answers dropped because the caller was gone.
	DroppedResponses uint64
	// InFlight is the number of exchanges in flight, OpenConns of connections.
	InFlight, OpenConns int64
}

type counters struct {
	exchanges, refused, bad, cut, gone, late atomic.Uint64
}

// Frontend accepts callers' requests.
type Frontend struct {
	cfg      Config
	ln       *listener
	hz       *server.Hertz
	watchers *ants.Pool
	served   chan struct{} // closed when the server has ended
	started  atomic.Bool
	draining atomic.Bool
	running  atomic.Int64
	counts   counters
}

// New listens on cfg.Addr; Start serves.
func New(cfg Config) (*Frontend, error) {
	cfg = cfg.withDefaults()
	if cfg.Handler == nil {
		return nil, core.Fail(core.CodeInvalid, "frontend: Handler is required")
	}
	// Each exchange has at most one goroutine that watches for its caller.
	watchers, err := ants.NewPool(cfg.MaxExchanges, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "frontend: pool")
	}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "frontend: listen")
	}
	f := &Frontend{cfg: cfg, watchers: watchers, served: make(chan struct{})}
	f.ln = newListener(ln, cfg.MaxConns, cfg.HeaderTimeout)
	f.hz = server.New(f.options()...)
	f.hz.NoRoute(f.handle)
	return f, nil
}

func (f *Frontend) options() []config.Option {
	opts := []config.Option{
		server.WithListener(f.ln),
		// The netpoll transport reads ahead without bound, which breaks
		// backpressure; this one reads only when the body is read.
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(connContext),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(math.MaxInt),
		server.WithMaxHeaderBytes(f.cfg.MaxHeaderBytes),
		server.WithDisablePreParseMultipartForm(true),
		server.WithReadTimeout(f.cfg.HeaderTimeout),
		server.WithIdleTimeout(f.cfg.IdleTimeout),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	}
	if f.cfg.TLS != nil {
		opts = append(opts, server.WithTLS(f.cfg.TLS))
		// WithTLS selects its own transport in some versions.
		opts = append(opts, server.WithTransport(standard.NewTransporter))
	}
	return opts
}

// Addr returns the address of the listener.
func (f *Frontend) Addr() string { return f.ln.Addr().String() }

// Start serves on a goroutine of its own until Shutdown or Close.
func (f *Frontend) Start() {
	if f.started.Swap(true) {
		return
	}
	go func() {
		defer close(f.served)
		_ = f.hz.Run()
	}()
}

// Shutdown refuses new exchanges, closes idle connections and waits until the
// running exchanges have ended or ctx ends. It cuts nothing.
func (f *Frontend) Shutdown(ctx context.Context) error {
	f.stopAccepting()
	if err := f.ln.drain(ctx); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "frontend: exchanges still running")
	}
	f.watchers.Release()
	return nil
}

// Close cuts every connection at once.
func (f *Frontend) Close() error {
	f.stopAccepting()
	f.ln.each((*conn).reset)
	f.watchers.Release()
	return nil
}

func (f *Frontend) stopAccepting() {
	f.draining.Store(true)
	_ = f.ln.Listener.Close()
	if f.started.Load() {
		<-f.served
	}
}

// Stats returns the frontend's counters.
func (f *Frontend) Stats() Stats {
	c := &f.counts
	return Stats{
		Exchanges: c.exchanges.Load(), Refused: c.refused.Load(),
		BadRequests: c.bad.Load(), RefusedConns: f.ln.refused.Load(),
		TruncatedResponses: c.cut.Load(), Gone: c.gone.Load(), DroppedResponses: c.late.Load(),
		InFlight: f.running.Load(), OpenConns: f.ln.open.Load(),
	}
}
