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
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/quota"
)

// hertz logs broken connections as errors through a process-wide logger. The
// Frontend counts them in Stats instead.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Config holds the settings of a Frontend. A limit that is zero takes the
// default given with its field.
type Config struct {
	// Addr is the host:port to listen on.
	Addr string
	// Handler serves the requests. It is required.
	Handler core.Handler
	// Dialect maps header fields to requests and responses. The default is the
	// protocol described in the package documentation.
	Dialect Dialect
	// TLS, if not nil, makes the Frontend serve HTTPS.
	TLS *tls.Config
	// MaxConns limits the open connections. Beyond it, one that is idle is closed for
	// each new one. The default is 4096.
	MaxConns int
	// MaxExchanges limits the concurrent exchanges. Further requests are
	// refused as not run. The default is 2048.
	MaxExchanges int
	// MaxHeaderBytes limits the head of a request. The default is 32 KiB.
	MaxHeaderBytes int
	// Limits returns narrower limits of the head and the body of a request, which may
	// change; 0 is none. Nil means that there are none.
	Limits func() (maxHeaderBytes int, maxBodyBytes int64)
	// Quota bounds what is held for all callers together. Nil means no bound.
	Quota *quota.Quota
	// MaxBodyBytes limits the body of a request. Zero means no limit.
	MaxBodyBytes int64
	// HeaderTimeout limits the time to receive a request head. The default is
	// 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time between two requests on a connection. The
	// default is 60 s.
	IdleTimeout time.Duration
	// KeepAlive is the time, in whole seconds, that responses announce in their
	// Keep-Alive field: a connection may stay unused for that long. Zero sends
	// no such field. IdleTimeout is raised to at least one second more.
	KeepAlive time.Duration
	// BodyIdleTimeout limits one read of a request body and one write of a
	// response. The default is 30 s.
	BodyIdleTimeout time.Duration
	// MayRunAhead reports whether a request without a body may be served before
	// the requests that its caller sent before it have been answered. Such a
	// request may run again if the connection breaks. Nil means that none may.
	MayRunAhead func(*core.Request) bool
	// Meter counts the bytes of the connections; it may be nil.
	Meter *core.ByteMeter
	// OnDisconnect is called on the goroutine of an exchange whose caller has
	// closed its connection before the answer; it may be nil.
	OnDisconnect func(Disconnect)
	// MinBodyRate is the minimum rate of an upload in bytes per second. It is
	// averaged over the time spent waiting for the caller and applies once that
	// time reaches 10 s. The default is 1024.
	MinBodyRate int64
}

func (c Config) withDefaults() Config {
	defaultInt := func(p *int, v int) {
		if *p <= 0 {
			*p = v
		}
	}
	defaultDuration := func(p *time.Duration, v time.Duration) {
		if *p <= 0 {
			*p = v
		}
	}
	defaultInt(&c.MaxConns, 4096)
	defaultInt(&c.MaxExchanges, 2048)
	defaultInt(&c.MaxHeaderBytes, 32<<10)
	defaultDuration(&c.HeaderTimeout, 10*time.Second)
	defaultDuration(&c.IdleTimeout, 60*time.Second)
	if c.KeepAlive > 0 {
		c.IdleTimeout = max(c.IdleTimeout, c.KeepAlive+time.Second)
	}
	defaultDuration(&c.BodyIdleTimeout, 30*time.Second)
	if c.Dialect == nil {
		c.Dialect = nativeDialect{}
	}
	if c.MinBodyRate <= 0 {
		c.MinBodyRate = 1024
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = math.MaxInt64
	}
	if c.Quota == nil {
		c.Quota = quota.Unlimited(clock.NewReal())
	}
	return c
}

// maxHead returns the present limit of the head of a request.
func (c *Config) maxHead() int {
	if c.Limits != nil {
		if head, _ := c.Limits(); head > 0 {
			return min(head, c.MaxHeaderBytes)
		}
	}
	return c.MaxHeaderBytes
}

// maxBody returns the present limit of the body of a request.
func (c *Config) maxBody() int64 {
	if c.Limits != nil {
		if _, body := c.Limits(); body > 0 {
			return min(body, c.MaxBodyBytes)
		}
	}
	return c.MaxBodyBytes
}

// Stats holds counters since the Frontend was created, and two gauges.
type Stats struct {
	// RefusedExchanges counts requests beyond Config.MaxExchanges, RefusedConns
	// connections beyond Config.MaxConns, and EvictedConns idle ones that were closed
	// for others.
	// AheadExchanges counts requests that were read before the one before them was
	// answered.
	Exchanges, AheadExchanges, RefusedExchanges, BadRequests, RefusedConns, EvictedConns uint64
	// TruncatedResponses counts responses that failed while they were written.
	TruncatedResponses uint64
	// CallerDisconnects counts callers that disconnected before their response
	// began.
	CallerDisconnects uint64
	// UnwatchedExchanges counts exchanges without a watch for a disconnect of the
	// caller, because no goroutine was free for it.
	UnwatchedExchanges uint64
	// DroppedResponses counts responses of a backend server that were dropped
	// because the caller had disconnected.
	DroppedResponses uint64
	// InFlight is the number of exchanges in flight, OpenConns that of open
	// connections.
	InFlight, OpenConns int64
}

type counters struct {
	exchanges, refused, badRequests, truncated, disconnects, dropped, unwatched, ahead atomic.Uint64
}

// Frontend is an HTTP server for callers.
type Frontend struct {
	cfg        Config
	listener   *listener
	hertz      *server.Hertz
	watchPool  *ants.Pool
	aheadPool  *ants.Pool    // serves requests ahead of their turn
	serveEnded chan struct{} // closed when hertz has stopped serving
	started    atomic.Bool
	draining   atomic.Bool
	// announcing is set once answers announce the end of their connections.
	announcing atomic.Bool
	inFlight   atomic.Int64
	counts     counters
}

// New returns a Frontend that listens on cfg.Addr. It serves nothing before
// Start is called.
func New(cfg Config) (*Frontend, error) {
	cfg = cfg.withDefaults()
	if cfg.Handler == nil {
		return nil, core.Fail(core.CodeInvalid, "frontend: Handler is required")
	}
	// Each exchange uses at most one goroutine of the pool, which detects that
	// the caller disconnects.
	pool, err := ants.NewPool(cfg.MaxExchanges, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "frontend: cannot create the goroutine pool")
	}
	ahead, err := ants.NewPool(cfg.MaxExchanges, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "frontend: cannot create the goroutine pool")
	}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "frontend: cannot listen")
	}
	f := &Frontend{cfg: cfg, watchPool: pool, aheadPool: ahead, serveEnded: make(chan struct{})}
	f.listener = newListener(ln, &f.cfg)
	f.hertz = server.New(f.hertzOptions()...)
	// As a middleware, since hertz answers some heads itself without a route.
	f.hertz.Use(f.handle)
	f.hertz.PanicHandler = f.handlePanic
	return f, nil
}

func (f *Frontend) hertzOptions() []config.Option {
	opts := []config.Option{
		server.WithListener(f.listener),
		// The netpoll transport reads ahead without limit, which defeats
		// backpressure. The standard transport reads only when the body is
		// read.
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(newConnContext),
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
		// WithTLS replaces the transport in some versions of hertz.
		opts = append(opts, server.WithTransport(standard.NewTransporter))
	}
	return opts
}

// Addr returns the host:port of the listener.
func (f *Frontend) Addr() string { return f.listener.Addr().String() }

// Start begins to serve, on a goroutine of its own, until Shutdown or Close is
// called. Further calls do nothing.
func (f *Frontend) Start() {
	if f.started.Swap(true) {
		return
	}
	go func() {
		defer close(f.serveEnded)
		_ = f.hertz.Run()
	}()
}

// AnnounceClose makes each answer from now on end its connection, and say so, while new
// connections and requests are still served. Fewer requests then cross the end of an
// idle connection when Shutdown is called.
func (f *Frontend) AnnounceClose() { f.announcing.Store(true) }

// Shutdown refuses new exchanges, closes idle connections and waits until every
// running exchange has ended. It returns an error if ctx ends first. It aborts
// no exchange.
func (f *Frontend) Shutdown(ctx context.Context) error {
	f.stopAccepting()
	defer f.endServing()
	if err := f.listener.drain(ctx); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "frontend: shutdown ended with exchanges still running")
	}
	f.watchPool.Release()
	f.aheadPool.Release()
	return nil
}

// Close resets every connection at once, which aborts running exchanges.
func (f *Frontend) Close() error {
	f.stopAccepting()
	f.listener.forEachConn((*callerConn).reset)
	f.endServing()
	f.watchPool.Release()
	f.aheadPool.Release()
	return nil
}

func (f *Frontend) stopAccepting() {
	f.draining.Store(true)
	_ = f.listener.Listener.Close()
	if f.started.Load() {
		select {
		case <-f.listener.acceptEnded:
		case <-f.serveEnded:
		}
	}
}

// endServing ends hertz, which no longer serves further requests of open
// connections then.
func (f *Frontend) endServing() {
	f.listener.release()
	if f.started.Load() {
		<-f.serveEnded
	}
}

// Stats returns the current counters and gauges.
func (f *Frontend) Stats() Stats {
	c := &f.counts
	return Stats{
		Exchanges: c.exchanges.Load(), AheadExchanges: c.ahead.Load(), RefusedExchanges: c.refused.Load(),
		BadRequests: c.badRequests.Load(), RefusedConns: f.listener.refusedConns.Load(), EvictedConns: f.listener.evictedConns.Load(),
		TruncatedResponses: c.truncated.Load(), CallerDisconnects: c.disconnects.Load(), DroppedResponses: c.dropped.Load(),
		UnwatchedExchanges: c.unwatched.Load(),
		InFlight:           f.inFlight.Load(), OpenConns: f.listener.openConns.Load(),
	}
}
