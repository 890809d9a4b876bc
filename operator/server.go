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

// Config holds the tokens and limits of a Server. Limits of zero take the
// defaults.
type Config struct {
	// ReadToken and ChangeToken are required and must differ.
	ReadToken, ChangeToken string
	// MaxBodyBytes bounds a request body; default 1 MiB.
	MaxBodyBytes int
	// MaxInFlight bounds the requests served at once; default 16.
	MaxInFlight int
	// Timeout bounds one request; default 10 s.
	Timeout time.Duration
}

// Server serves the operators' API of one node.
type Server struct {
	cfg          Config
	backend      Backend
	engine       *server.Hertz
	inFlight     chan struct{}     // holds one value for each request being served
	readDigest   [sha256.Size]byte // SHA-256 of Config.ReadToken
	changeDigest [sha256.Size]byte // SHA-256 of Config.ChangeToken
}

// NewServer returns a server that accepts connections on ln once Serve runs. It
// fails with CodeInvalid when a token is missing or both tokens are equal.
func NewServer(cfg Config, ln net.Listener, backend Backend) (*Server, error) {
	if cfg.ReadToken == "" || cfg.ChangeToken == "" || cfg.ReadToken == cfg.ChangeToken {
		return nil, core.Fail(core.CodeInvalid, "the operators' read token and change token must both be set and must differ")
	}
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = 1 << 20
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = 16
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 10 * time.Second
	}
	s := &Server{
		cfg: cfg, backend: backend, inFlight: make(chan struct{}, cfg.MaxInFlight),
		readDigest: sha256.Sum256([]byte(cfg.ReadToken)), changeDigest: sha256.Sum256([]byte(cfg.ChangeToken)),
	}
	s.engine = server.New(
		server.WithListener(ln), server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true), server.WithMaxHeaderBytes(16<<10),
		server.WithReadTimeout(cfg.Timeout), server.WithWriteTimeout(cfg.Timeout),
		server.WithIdleTimeout(time.Minute), server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true), server.WithHandleMethodNotAllowed(true),
	)
	s.registerRoutes()
	return s, nil
}

func (s *Server) registerRoutes() {
	api := s.engine.Group("/v1")
	api.POST("/apply", s.endpoint(s.readDigest, s.handleApply))
	api.GET("/plan", s.endpoint(s.readDigest, s.handlePlan))
	api.POST("/confirm", s.endpoint(s.changeDigest, s.handleConfirm))
	api.GET("/status", s.endpoint(s.readDigest, s.handleStatus))
	api.GET("/explain", s.endpoint(s.readDigest, s.handleExplain))
	api.GET("/history", s.endpoint(s.readDigest, s.handleHistory))
	api.POST("/drain", s.endpoint(s.changeDigest, s.handleDrain(true)))
	api.POST("/undrain", s.endpoint(s.changeDigest, s.handleDrain(false)))
	api.POST("/quarantine", s.endpoint(s.changeDigest, s.handleQuarantine))
	api.GET("/burn", s.endpoint(s.readDigest, s.handleBurn))
}

// Serve serves requests until Shutdown.
func (s *Server) Serve() error {
	if err := s.engine.Engine.Run(); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "serve operators")
	}
	return nil
}

// Shutdown stops the server after a short wait for running requests.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.engine.Shutdown(ctx); err != nil {
		return core.Wrap(core.CodeInternal, err, "stop serving operators")
	}
	return nil
}

// handler serves one request; its result is encoded as JSON.
type handler func(ctx context.Context, c *app.RequestContext) (any, error)

// endpoint returns an HTTP handler that checks the token, bounds the concurrency
// and duration of the request, calls handle and encodes its result.
func (s *Server) endpoint(requiredDigest [sha256.Size]byte, handle handler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if e := s.authorize(requiredDigest, string(c.GetHeader("Authorization"))); e != nil {
			writeJSON(c, e.Status, errorEnvelope{e})
			return
		}
		select {
		case s.inFlight <- struct{}{}:
			defer func() { <-s.inFlight }()
		default:
			e := newErrorBody(core.Fail(core.CodeOverloaded, "too many operator requests at once"))
			writeJSON(c, e.Status, errorEnvelope{e})
			return
		}
		ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
		defer cancel()
		v, err := handle(ctx, c)
		if err != nil {
			e := newErrorBody(err)
			writeJSON(c, e.Status, errorEnvelope{e})
			return
		}
		writeJSON(c, http.StatusOK, v)
	}
}

// authorize compares digests in constant time, so that the time taken reveals
// nothing about a token. The change token also permits reading. It returns nil
// if the request is authorized.
func (s *Server) authorize(requiredDigest [sha256.Size]byte, header string) *ErrorBody {
	token, bearer := strings.CutPrefix(header, "Bearer ")
	digest := sha256.Sum256([]byte(token))
	isRead := subtle.ConstantTimeCompare(digest[:], s.readDigest[:]) == 1
	isChange := subtle.ConstantTimeCompare(digest[:], s.changeDigest[:]) == 1
	switch {
	case !bearer || !isRead && !isChange:
		return newErrorBody(core.Fail(core.CodeUnauthenticated, "bearer token missing or wrong"))
	case !isChange && requiredDigest == s.changeDigest:
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
