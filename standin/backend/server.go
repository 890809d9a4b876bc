package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"marjoramshore.example/core"
)

// Server is one stand-in backend server. It implements http.Handler, so a test
// can also use it without a listener.
type Server struct {
	cfg     Config
	records *records
	fence   *tokenFence
	slots   chan struct{}
	mux     *http.ServeMux

	mu          sync.Mutex
	rng         *rand.Rand
	addr        string
	http        *http.Server
	runCtx      context.Context // ends at a crash
	cancelRun   context.CancelFunc
	started     time.Time
	resumed     chan struct{} // closed while the server is not paused
	draining    bool
	load        Load
	loadTakenAt time.Time
}

// New returns a running server that has no listener yet.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg: cfg, records: newRecords(cfg.MaxRecords),
		fence:   &tokenFence{keyTokens: map[core.Hash]core.Token{}},
		slots:   make(chan struct{}, cfg.Slots),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0x5eed)),
		resumed: make(chan struct{}),
		mux:     http.NewServeMux(),
	}
	close(s.resumed)
	s.mux.HandleFunc("GET /.well-known/marjoram/announce", s.serveAnnouncement)
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.mux.HandleFunc("/", s.serveWork)
	s.beginRun()
	return s
}

func (s *Server) beginRun() {
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.started = time.Now()
	s.draining = false
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	runCtx := s.awaitResume()
	if runCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Start listens on addr, for example "127.0.0.1:0".
func (s *Server) Start(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return core.Wrap(core.CodeUnavailable, err, "backend stand-in: listen")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = ln.Addr().String()
	s.http = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(&limitListener{Listener: ln, s: s}) }(s.http)
	return nil
}

// Addr returns the listening address.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Close stops the server for good and closes every connection.
func (s *Server) Close() { s.stop() }

func (s *Server) stop() {
	s.mu.Lock()
	s.cancelRun()
	h := s.http
	s.http = nil
	s.resume()
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// Crash closes all connections, aborts the running requests and stops
// listening.
func (s *Server) Crash() {
	s.records.updateStats(func(st *Stats) { st.Crashes++ })
	s.stop()
}

// Restart starts a crashed server again at its former address, with cold
// service times and without the fencing tokens it had seen.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.beginRun()
	addr := s.addr
	s.fence.reset()
	s.mu.Unlock()
	if addr == "" {
		return nil
	}
	return s.Start(addr)
}

// Running reports whether the server has not crashed or been closed.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCtx.Err() == nil
}

// Pause stops the server from answering: connections stay open until Resume.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.resumed:
		s.resumed = make(chan struct{})
	default:
	}
}

// Resume ends a pause as if no time had passed: the requests that waited during
// it go on.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resume()
}

func (s *Server) resume() {
	select {
	case <-s.resumed:
	default:
		close(s.resumed)
	}
}

// awaitResume waits while the server is paused, and returns the context of the
// current run, which ends at a crash.
func (s *Server) awaitResume() context.Context {
	for {
		s.mu.Lock()
		resumed, runCtx := s.resumed, s.runCtx
		s.mu.Unlock()
		select {
		case <-resumed:
			return runCtx
		default:
		}
		<-resumed
	}
}

// SetDraining makes the server reject new requests with 503, or accept them
// again.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// limitListener closes connections beyond the configured number at once.
type limitListener struct {
	net.Listener
	s *Server
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := false
		l.s.records.updateStats(func(st *Stats) {
			if accepted = st.Connections < l.s.cfg.MaxConnections; !accepted {
				st.RefusedConnections++
				return
			}
			st.Connections++
			st.PeakConnections = max(st.PeakConnections, st.Connections)
		})
		if accepted {
			return &countedConn{Conn: c, s: l.s}, nil
		}
		_ = c.Close()
	}
}

type countedConn struct {
	net.Conn
	s    *Server
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.s.records.updateStats(func(st *Stats) { st.Connections-- }) })
	return c.Conn.Close()
}
