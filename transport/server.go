package transport

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1/peerv1connect"
)

// CallFunc answers one control message of a peer.
type CallFunc func(ctx context.Context, payload []byte) ([]byte, error)

// ServerConfig sets up a Server. Zero limits take the defaults given with each
// field.
type ServerConfig struct {
	// Addr is the host:port to listen on.
	Addr string
	// Handler serves exchanges.
	Handler core.Handler
	// Calls holds the control methods by name. It must not change afterwards.
	Calls map[string]CallFunc
	// Auth checks peers. It is required.
	Auth *Authenticator
	// TLS serves HTTP/2 over TLS when set, and in clear text otherwise.
	TLS *tls.Config
	// MaxConns bounds connections; 8192, twice the fleet and some.
	MaxConns int
	// MaxStreams bounds concurrent streams of one connection; 128, and at
	// least 100. A peer opens a further connection beyond it, so a small bound
	// spreads the load of one peer over several connections. A client of
	// net/http assumes 100 until it has the settings, and its streams beyond
	// a smaller bound would be refused.
	MaxStreams int
	// MaxExchanges bounds concurrent exchanges; beyond it they are refused as
	// not run; 8192.
	MaxExchanges int
}

func (c ServerConfig) withDefaults() ServerConfig {
	if c.MaxConns <= 0 {
		c.MaxConns = 8192
	}
	if c.MaxStreams <= 0 {
		c.MaxStreams = 128
	}
	c.MaxStreams = max(c.MaxStreams, 100)
	if c.MaxExchanges <= 0 {
		c.MaxExchanges = 8192
	}
	return c
}

// ServerStats are counters since the server was made.
type ServerStats struct {
	Exchanges, Refused, Unauthenticated, RefusedConns uint64
	// Running is the number of exchanges in flight.
	Running int64
}

// Server accepts the exchanges and calls of peers.
type Server struct {
	cfg     ServerConfig
	http    *http.Server
	ln      *limitListener
	served  chan struct{} // closed when the server has ended
	started atomic.Bool
	running atomic.Int64
	counts  struct{ exchanges, refused, strangers atomic.Uint64 }
}

// NewServer listens on cfg.Addr; Start serves.
func NewServer(cfg ServerConfig) (*Server, error) {
	cfg = cfg.withDefaults()
	if cfg.Auth == nil || cfg.Handler == nil {
		return nil, core.Fail(core.CodeInvalid, "transport: Auth and Handler are required")
	}
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "transport: listen")
	}
	s := &Server{cfg: cfg, served: make(chan struct{})}
	s.ln = newLimitListener(ln, cfg.MaxConns)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(&peerHandler{s: s},
		connect.WithReadMaxBytes(maxMessage),
		// Bodies are opaque and often compressed already.
		connect.WithCompression("gzip", nil, nil),
		connect.WithCompressMinBytes(math.MaxInt),
	))
	s.http = &http.Server{
		Handler:           s.authenticated(mux),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       5 * time.Minute,
		MaxHeaderBytes:    32 << 10,
		Protocols:         peerProtocols(cfg.TLS),
		HTTP2:             serverHTTP2(cfg.MaxStreams),
		ErrorLog:          discardLog,
	}
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Start serves on a goroutine of its own until Shutdown or Close.
func (s *Server) Start() {
	if s.started.Swap(true) {
		return
	}
	go func() {
		defer close(s.served)
		if s.cfg.TLS != nil {
			_ = s.http.ServeTLS(s.ln, "", "")
			return
		}
		_ = s.http.Serve(s.ln)
	}()
}

// Shutdown stops accepting streams and waits for running ones, or for ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "transport: exchanges still running")
	}
	s.ended()
	return nil
}

// Close cuts everything at once.
func (s *Server) Close() error {
	_ = s.http.Close()
	s.ended()
	return nil
}

// ended closes the listener in case it was never served, and waits for the
// server otherwise.
func (s *Server) ended() {
	if s.started.Load() {
		<-s.served
		return
	}
	_ = s.ln.Close()
}

// Stats returns the server's counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Exchanges: s.counts.exchanges.Load(), Refused: s.counts.refused.Load(),
		Unauthenticated: s.counts.strangers.Load(), RefusedConns: s.ln.refused.Load(),
		Running: s.running.Load(),
	}
}

// authenticated answers a stranger with nothing but the status and closes the
// connection.
func (s *Server) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.cfg.Auth.Check(r.Header.Get("Authorization"), r.URL.Path, time.Now()); err != nil {
			s.counts.strangers.Add(1)
			// On HTTP/2 this header makes net/http send GOAWAY and close.
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		ctx := context.WithValue(r.Context(), bodyCloserKey{}, r.Body)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
