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

// CallFunc handles one control message of a peer and returns the payload of the
// reply. Its error reaches the caller as a *core.Error.
type CallFunc func(ctx context.Context, payload []byte) ([]byte, error)

// ServerConfig configures a Server. A limit of zero means the default stated
// with the field.
type ServerConfig struct {
	// Addr is the host:port to listen on.
	Addr string
	// Handler serves exchanges. It is required.
	Handler core.Handler
	// Calls holds the handlers of control messages by method name. It must not
	// change after NewServer.
	Calls map[string]CallFunc
	// Auth verifies the credentials of peers. It is required.
	Auth *Authenticator
	// TLS selects HTTP/2 over TLS; nil means HTTP/2 in clear text.
	TLS *tls.Config
	// MaxConns limits open connections; 8192, somewhat more than two for each
	// node of the fleet.
	MaxConns int
	// MaxStreams limits concurrent streams of one connection; 128, and at least
	// 100. A peer opens another connection beyond it, so a low limit spreads
	// the load of one peer over several connections. A net/http client assumes
	// 100 until it has received the server's SETTINGS frame, so under a lower
	// limit its first streams could be refused.
	MaxStreams int
	// MaxExchanges limits concurrent exchanges; 8192. Beyond it an exchange
	// fails with core.CodeOverloaded and is not run.
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

// ServerStats holds counters since NewServer, and the exchanges in flight.
type ServerStats struct {
	// RefusedExchanges and RefusedConns count those beyond MaxExchanges and
	// MaxConns, Unauthenticated the requests without valid credentials.
	Exchanges, RefusedExchanges, Unauthenticated, RefusedConns uint64
	// Running is the number of exchanges in flight at present.
	Running int64
}

// Server serves the exchanges and calls of peers.
type Server struct {
	cfg        ServerConfig
	httpServer *http.Server
	listener   *limitListener
	done       chan struct{} // closed when the goroutine of Start has ended
	started    atomic.Bool
	running    atomic.Int64
	counters   struct{ exchanges, refused, unauthenticated atomic.Uint64 }
}

// NewServer opens the listener on cfg.Addr. Connections are served after Start.
func NewServer(cfg ServerConfig) (*Server, error) {
	cfg = cfg.withDefaults()
	if cfg.Auth == nil || cfg.Handler == nil {
		return nil, core.Fail(core.CodeInvalid, "transport: Auth and Handler are required")
	}
	listener, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "transport: listen")
	}
	s := &Server{cfg: cfg, done: make(chan struct{})}
	s.listener = newLimitListener(listener, cfg.MaxConns)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerHandler(&peerHandler{server: s},
		connect.WithReadMaxBytes(maxMessageBytes),
		// No compression: bodies are opaque and often compressed already.
		connect.WithCompression("gzip", nil, nil),
		connect.WithCompressMinBytes(math.MaxInt),
	))
	s.httpServer = &http.Server{
		Handler:           s.authenticate(mux),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       5 * time.Minute,
		MaxHeaderBytes:    maxHeadBytes,
		Protocols:         peerProtocols(cfg.TLS),
		HTTP2:             serverHTTP2Config(cfg.MaxStreams),
		ErrorLog:          discardLogger,
	}
	return s, nil
}

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start serves connections on a new goroutine until Shutdown or Close. Further
// calls have no effect.
func (s *Server) Start() {
	if s.started.Swap(true) {
		return
	}
	go func() {
		defer close(s.done)
		if s.cfg.TLS != nil {
			_ = s.httpServer.ServeTLS(s.listener, "", "")
			return
		}
		_ = s.httpServer.Serve(s.listener)
	}()
}

// Shutdown stops accepting streams and waits until those in flight have ended.
// If ctx ends first, it returns a *core.Error with core.CodeUnavailable and
// leaves the remaining connections open until Close.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.httpServer.Shutdown(ctx); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "transport: shutdown ended with exchanges in flight")
	}
	s.awaitDone()
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	_ = s.httpServer.Close()
	s.awaitDone()
	return nil
}

// awaitDone waits for the goroutine of Start. If the server was never started,
// it closes the listener instead.
func (s *Server) awaitDone() {
	if s.started.Load() {
		<-s.done
		return
	}
	_ = s.listener.Close()
}

// Stats returns the server's counters.
func (s *Server) Stats() ServerStats {
	return ServerStats{
		Exchanges: s.counters.exchanges.Load(), RefusedExchanges: s.counters.refused.Load(),
		Unauthenticated: s.counters.unauthenticated.Load(), RefusedConns: s.listener.refused.Load(),
		Running: s.running.Load(),
	}
}

// authenticate passes requests with valid peer credentials to next. It answers
// any other with an empty 401 and closes the connection.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := s.cfg.Auth.Verify(r.Header.Get("Authorization"), r.URL.Path, time.Now()); err != nil {
			s.counters.unauthenticated.Add(1)
			// On HTTP/2 this header makes net/http send GOAWAY and close the
			// connection.
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		r.Body = limitBody(w, r.URL.Path, r.Body)
		ctx := context.WithValue(r.Context(), requestBodyKey{}, r.Body)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
