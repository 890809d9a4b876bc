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
	"github.com/panjf2000/ants/v2"
	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
	"marjoramshore.example/transport/peerv1/peerv1connect"
)

// ClientConfig sets up a Client. Zero limits take the defaults given with each
// field.
type ClientConfig struct {
	// Auth signs calls. It is required.
	Auth *Authenticator
	// TLS is used when set; clear-text HTTP/2 otherwise.
	TLS *tls.Config
	// DialTimeout bounds a new connection; 500 ms.
	DialTimeout time.Duration
	// MaxUploads bounds concurrent bodies that are being sent; 1024. Beyond it an
	// exchange with a large body is refused as not run.
	MaxUploads int
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.DialTimeout <= 0 {
		c.DialTimeout = 500 * time.Millisecond
	}
	if c.MaxUploads <= 0 {
		c.MaxUploads = 1024
	}
	return c
}

// ClientStats are counters since the client was made.
type ClientStats struct {
	Exchanges uint64
	// Abandoned counts exchanges given up before their answer was complete.
	// Their stream is reset, so a late answer is dropped by HTTP/2.
	Abandoned uint64
	// Uploading is the number of bodies being sent.
	Uploading int
}

// Client sends exchanges and calls to peers by address.
type Client struct {
	auth    *Authenticator
	http    *http.Transport
	rpc     peerv1connect.PeerClient
	uploads *ants.Pool
	counts  struct{ exchanges, abandoned atomic.Uint64 }
}

// NewClient makes a Client. It opens no connection.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg = cfg.withDefaults()
	if cfg.Auth == nil {
		return nil, core.Fail(core.CodeInvalid, "transport: Auth is required")
	}
	uploads, err := ants.NewPool(cfg.MaxUploads, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "transport: upload pool")
	}
	c := &Client{auth: cfg.Auth, http: newHTTPTransport(cfg), uploads: uploads}
	base := "http://peer"
	if cfg.TLS != nil {
		base = "https://peer"
	}
	// The address of each call travels in its context, so one client serves
	// all peers and no table of clients grows with the fleet.
	c.rpc = peerv1connect.NewPeerClient(&http.Client{Transport: c}, base,
		connect.WithReadMaxBytes(maxMessage),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithCompressMinBytes(math.MaxInt),
	)
	return c, nil
}

// newHTTPTransport makes the pool of connections. net/http opens a further
// connection to a peer when the others carry as many streams as it allows.
func newHTTPTransport(cfg ClientConfig) *http.Transport {
	d := net.Dialer{Timeout: cfg.DialTimeout}
	return &http.Transport{
		DialContext:         d.DialContext,
		TLSClientConfig:     cfg.TLS,
		TLSHandshakeTimeout: 2 * cfg.DialTimeout,
		IdleConnTimeout:     5 * time.Minute,
		DisableCompression:  true,
		Protocols:           peerProtocols(cfg.TLS),
		HTTP2:               clientHTTP2(),
	}
}

// attempt is the route of one call and what is known of its sending.
type attempt struct {
	addr string
	// connected is set once a connection was at hand. Until then nothing of
	// the call can have left this process.
	connected atomic.Bool
}

type attemptKey struct{}

// RoundTrip implements http.RoundTripper for the generated client: it signs
// the call and directs it to the peer named in the context.
func (c *Client) RoundTrip(r *http.Request) (*http.Response, error) {
	a, ok := r.Context().Value(attemptKey{}).(*attempt)
	if !ok {
		return nil, core.Fail(core.CodeInternal, "call without a peer address")
	}
	out := r.WithContext(traced(r.Context(), a))
	u := *r.URL
	u.Host = a.addr
	out.URL, out.Host = &u, a.addr
	// Without it net/http sends no request again on its own.
	out.GetBody = nil
	out.Header.Set("Authorization", c.auth.Sign(u.Path, time.Now()))
	return c.http.RoundTrip(out)
}

// Call sends one control message to the peer at addr.
func (c *Client) Call(ctx context.Context, addr, method string, payload []byte) ([]byte, error) {
	a := &attempt{addr: addr}
	resp, err := c.rpc.Call(context.WithValue(ctx, attemptKey{}, a),
		connect.NewRequest(&peerv1.CallRequest{Method: method, Payload: payload}))
	if err != nil {
		return nil, classify(ctx, a, err)
	}
	return resp.Msg.GetPayload(), nil
}

// Stats returns the client's counters.
func (c *Client) Stats() ClientStats {
	return ClientStats{
		Exchanges: c.counts.exchanges.Load(), Abandoned: c.counts.abandoned.Load(),
		Uploading: c.uploads.Running(),
	}
}

// Close drops idle connections. Running exchanges end through their contexts.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	c.uploads.Release()
	return nil
}
