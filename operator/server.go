package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"marjoramshore.example/core"
)

// Config sets the limits of a Server. Zero fields take the defaults.
type Config struct {
	// ReadToken and ChangeToken are required and must differ.
	ReadToken, ChangeToken string
	// MaxBodyBytes bounds a request body; default 1 MiB.
	MaxBodyBytes int
	// InFlight bounds the requests served at once; default 16.
	InFlight int
	// Timeout bounds one request; default 10 s.
	Timeout time.Duration
}

// Server serves the API.
type Server struct {
	cfg     Config
	backend Backend
	engine  *server.Hertz
	slots   chan struct{}
	read    [sha256.Size]byte
	change  [sha256.Size]byte
}

// NewServer returns a server on ln. It fails with CodeInvalid when a token is
// missing or both are equal.
func NewServer(cfg Config, ln net.Listener, b Backend) (*Server, error) {
	if cfg.ReadToken == "" || cfg.ChangeToken == "" || cfg.ReadToken == cfg.ChangeToken {
		return nil, core.Fail(core.CodeInvalid, "operator tokens must be set and differ")
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = 1 << 20
	}
	if cfg.InFlight <= 0 {
		cfg.InFlight = 16
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 10 * time.Second
	}
	s := &Server{
		cfg: cfg, backend: b, slots: make(chan struct{}, cfg.InFlight),
		read: sha256.Sum256([]byte(cfg.ReadToken)), change: sha256.Sum256([]byte(cfg.ChangeToken)),
	}
	s.engine = server.New(
		server.WithListener(ln), server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true), server.WithMaxHeaderBytes(16<<10),
		server.WithReadTimeout(cfg.Timeout), server.WithWriteTimeout(cfg.Timeout),
		server.WithIdleTimeout(time.Minute), server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true), server.WithHandleMethodNotAllowed(true),
	)
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	g := s.engine.Group("/v1")
	g.POST("/apply", s.handle(s.read, s.apply))
	g.GET("/plan", s.handle(s.read, s.plan))
	g.POST("/confirm", s.handle(s.change, s.confirm))
	g.GET("/status", s.handle(s.read, s.status))
	g.GET("/explain", s.handle(s.read, s.explain))
	g.GET("/history", s.handle(s.read, s.history))
	g.POST("/drain", s.handle(s.change, s.drain(true)))
	g.POST("/undrain", s.handle(s.change, s.drain(false)))
	g.POST("/quarantine", s.handle(s.change, s.quarantine))
	g.GET("/burn", s.handle(s.read, s.burn))
}

// Serve answers requests until Shutdown.
func (s *Server) Serve() error {
	if err := s.engine.Engine.Run(); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "serve operators")
	}
	return nil
}

// Shutdown stops the server and waits a moment for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.engine.Shutdown(ctx); err != nil {
		return core.Wrap(core.CodeInternal, err, "stop serving operators")
	}
	return nil
}

// handler answers one request with a JSON value.
type handler func(ctx context.Context, c *app.RequestContext) (any, error)

// handle checks the token, bounds the work and encodes the answer.
func (s *Server) handle(need [sha256.Size]byte, h handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if e := s.authorize(need, string(c.GetHeader("Authorization"))); e != nil {
			writeJSON(c, e.Status, envelope{e})
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		default:
			e := encodeError(core.Fail(core.CodeOverloaded, "too many operator requests at once"))
			writeJSON(c, e.Status, envelope{e})
			return
		}
		ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
		defer cancel()
		v, err := h(ctx, c)
		if err != nil {
			e := encodeError(err)
			writeJSON(c, e.Status, envelope{e})
			return
		}
		writeJSON(c, http.StatusOK, v)
	}
}

// authorize compares digests in constant time, so that the time taken tells
// nothing about a token. The change token also allows reading.
func (s *Server) authorize(need [sha256.Size]byte, header string) *ErrorBody {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	given := sha256.Sum256([]byte(token))
	read := subtle.ConstantTimeCompare(given[:], s.read[:]) == 1
	change := subtle.ConstantTimeCompare(given[:], s.change[:]) == 1
	switch {
	case !bearer || !read && !change:
		return encodeError(core.Fail(core.CodeUnauthenticated, "bearer token missing or wrong"))
	case !change && need == s.change:
		return &ErrorBody{Code: "forbidden", Message: "the token only allows reading", Status: http.StatusForbidden}
	}
	return nil
}

func writeJSON(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"error":{"code":"internal","message":"answer not encodable"}}`)
	}
	c.Data(status, "application/json", data)
}
