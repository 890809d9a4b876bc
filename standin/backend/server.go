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
	cfg   Config
	rec   *records
	fence *fence
	slots chan struct{}
	mux   *http.ServeMux

	mu       sync.Mutex
	rng      *rand.Rand
	addr     string
	http     *http.Server
	life     context.Context // ends at a crash
	kill     context.CancelFunc
	started  time.Time
	thawed   chan struct{} // closed while the server is not frozen
	draining bool
	load     Load
	loadAt   time.Time
}

// New returns a server that is running but listens nowhere yet.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg: cfg, rec: newRecords(cfg.MaxRecords),
		fence:  &fence{keys: map[core.Hash]core.Token{}},
		slots:  make(chan struct{}, cfg.Slots),
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0x5eed)),
		thawed: make(chan struct{}),
		mux:    http.NewServeMux(),
	}
	close(s.thawed)
	s.mux.HandleFunc("GET /.well-known/marjoram/announce", s.announce)
	s.mux.HandleFunc("GET /healthz", s.healthz)
	s.mux.HandleFunc("GET /load", s.loadReport)
	s.mux.HandleFunc("/", s.work)
	s.begin()
	return s
}

func (s *Server) begin() {
	s.life, s.kill = context.WithCancel(context.Background())
	s.started = time.Now()
	s.draining = false
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	life := s.awaitThaw()
	if life.Err() != nil {
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

// Close stops the server for good, dropping every connection.
func (s *Server) Close() { s.stop() }

func (s *Server) stop() {
	s.mu.Lock()
	s.kill()
	h := s.http
	s.http = nil
	s.thaw()
	s.mu.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// Crash drops all connections and running requests, and stops listening.
func (s *Server) Crash() {
	s.rec.count(func(st *Stats) { st.Crashes++ })
	s.stop()
}

// Restart starts a crashed server again at its former address, cold, and
// without the fencing tokens it had seen.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.begin()
	addr := s.addr
	s.fence.reset()
	s.mu.Unlock()
	if addr == "" {
		return nil
	}
	return s.Start(addr)
}

// Running reports whether the server has not crashed.
func (s *Server) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Err() == nil
}

// Pause pauses the server: connections stay open and nothing is answered.
func (s *Server) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.thawed:
		s.thawed = make(chan struct{})
	default:
	}
}

// Resume resumes a frozen server as if no time had passed.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thaw()
}

func (s *Server) thaw() {
	select {
	case <-s.thawed:
	default:
		close(s.thawed)
	}
}

// awaitThaw waits until the server runs, and returns the context of its life.
func (s *Server) awaitThaw() context.Context {
	for {
		s.mu.Lock()
		thawed, life := s.thawed, s.life
		s.mu.Unlock()
		select {
		case <-thawed:
			return life
		default:
		}
		<-thawed
	}
}

// SetDraining makes the server refuse new work with 503, or accept it again.
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
		l.s.rec.count(func(st *Stats) {
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
	c.once.Do(func() { c.s.rec.count(func(st *Stats) { st.Connections-- }) })
	return c.Conn.Close()
}
