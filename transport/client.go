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

// ClientConfig configures a Client. A limit of zero means the default stated
// with the field.
type ClientConfig struct {
	// Auth signs requests. It is required.
	Auth *Authenticator
	// TLS selects HTTP/2 over TLS; nil means HTTP/2 in clear text.
	TLS *tls.Config
	// DialTimeout limits the opening of a connection; 500 ms. The TLS handshake
	// may take twice as long.
	DialTimeout time.Duration
	// MaxUploads limits the request bodies being streamed at a time; 1024.
	// Beyond it, an exchange whose body exceeds one frame fails with
	// core.CodeOverloaded and is not run.
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

// ClientStats holds counters since NewClient, and the current uploads.
type ClientStats struct {
	Exchanges uint64
	// Abandoned counts exchanges that failed or were closed before their
	// response was complete. Their stream is reset, so HTTP/2 drops a late
	// response.
	Abandoned uint64
	// ActiveUploads is the number of request bodies being streamed.
	ActiveUploads int
}

// Client sends exchanges and calls to peers, which are given by address.
type Client struct {
	auth      *Authenticator
	transport *http.Transport
	rpc       peerv1connect.PeerClient
	uploads   *ants.Pool
	counters  struct{ exchanges, abandoned atomic.Uint64 }
}

// NewClient returns a Client. Connections are opened on first use.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg = cfg.withDefaults()
	if cfg.Auth == nil {
		return nil, core.Fail(core.CodeInvalid, "transport: Auth is required")
	}
	uploads, err := ants.NewPool(cfg.MaxUploads, ants.WithNonblocking(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "transport: create upload pool")
	}
	c := &Client{auth: cfg.Auth, transport: newHTTPTransport(cfg), uploads: uploads}
	baseURL := "http://peer"
	if cfg.TLS != nil {
		baseURL = "https://peer"
	}
	// The peer's address is passed in the context of each call, so one client
	// serves all peers instead of a table of clients that grows with the fleet.
	// RoundTrip replaces the host of this URL.
	c.rpc = peerv1connect.NewPeerClient(&http.Client{Transport: c}, baseURL,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithCompressMinBytes(math.MaxInt),
	)
	return c, nil
}

// newHTTPTransport returns the connection pool. net/http opens another
// connection to a peer when the existing ones carry as many streams as the peer
// allows.
func newHTTPTransport(cfg ClientConfig) *http.Transport {
	dialer := net.Dialer{Timeout: cfg.DialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        cfg.TLS,
		TLSHandshakeTimeout:    2 * cfg.DialTimeout,
		IdleConnTimeout:        5 * time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		Protocols:              peerProtocols(cfg.TLS),
		HTTP2:                  clientHTTP2Config(),
	}
}

// peerCall is one RPC, an exchange or a call: its destination, and whether any
// of it may have been sent.
type peerCall struct {
	addr string
	// connected is set when net/http has obtained a connection. Until then,
	// nothing of the RPC can have left this process.
	connected atomic.Bool
}

// peerCallKey is the context key of a *peerCall.
type peerCallKey struct{}

// RoundTrip implements http.RoundTripper for the generated client. It signs the
// request and sends it to the peer of the *peerCall in its context.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	call, ok := req.Context().Value(peerCallKey{}).(*peerCall)
	if !ok {
		return nil, core.Fail(core.CodeInternal, "context of the RPC holds no peer address")
	}
	out := req.WithContext(withConnTrace(req.Context(), call))
	url := *req.URL
	url.Host = call.addr
	out.URL, out.Host = &url, call.addr
	// Without GetBody, net/http does not resend a request by itself.
	out.GetBody = nil
	out.Header.Set("Authorization", c.auth.Sign(url.Path, time.Now()))
	resp, err := c.transport.RoundTrip(out)
	if err == nil {
		resp.Body = limitBody(nil, url.Path, resp.Body)
	}
	return resp, err
}

// Call sends one control message to the peer at addr and returns the payload of
// its reply. The error is a *core.Error; one that the peer's CallFunc returned
// arrives with its own code.
func (c *Client) Call(ctx context.Context, addr, method string, payload []byte) ([]byte, error) {
	call := &peerCall{addr: addr}
	resp, err := c.rpc.Call(context.WithValue(ctx, peerCallKey{}, call),
		connect.NewRequest(&peerv1.CallRequest{Method: method, Payload: payload}))
	if err != nil {
		return nil, classifyError(ctx, call, err)
	}
	return resp.Msg.GetPayload(), nil
}

// Stats returns the client's counters.
func (c *Client) Stats() ClientStats {
	return ClientStats{
		Exchanges: c.counters.exchanges.Load(), Abandoned: c.counters.abandoned.Load(),
		ActiveUploads: c.uploads.Running(),
	}
}

// Close closes idle connections and the upload pool. It does not end exchanges
// that are in flight; their contexts do.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	c.uploads.Release()
	return nil
}
