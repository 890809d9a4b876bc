package peers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"marjoramshore.example/shards"
)

// Limits of calls.
const (
	// callTimeout bounds a call; members report every 400 ms.
	callTimeout = 700 * time.Millisecond
	// documentTimeout bounds a call for a document, and documentDialTimeout its
	// connection. Packets wait up to 3.4 s at a link that uploads fill; shorter
	// attempts would all fail there, and each begins from nothing.
	documentTimeout     = 6 * time.Second
	documentDialTimeout = 4 * time.Second
	// maxMessageBytes bounds a message; a thousand rows take 100 KB.
	maxMessageBytes = 2 << 20
	// maxBodyBytes bounds a body. It is one more than a message has, because
	// connect-go reads the rest of a body that exceeds maxMessageBytes by one
	// byte, however long that is.
	maxBodyBytes = maxMessageBytes + 1
	// maxCallHeadBytes bounds the head of a call or of an answer.
	maxCallHeadBytes = 16 << 10
	// maxCallAttempts bounds the attempts of a call. Each but the last uses up a
	// kept connection.
	maxCallAttempts   = 3
	callDialTimeout   = 300 * time.Millisecond
	callIdleTimeout   = 20 * time.Second
	callHeaderTimeout = 2 * time.Second
)

// callIDHeader identifies a call on its connection; the answer repeats it. An
// answer that is written once more on a kept connection would otherwise be taken
// for the one to the next call, and extend a lease.
const callIDHeader = "Marjoramshore-Call-Id"

// Client calls other nodes. It is safe for concurrent use. Its errors are of
// type *CallError.
type Client struct {
	calls     httpClient
	fresh     httpClient // takes a new connection for each call
	documents httpClient
}

// httpClient is an HTTP client and the timeout of its calls.
type httpClient struct {
	*http.Client
	timeout time.Duration
}

// NewClient returns a client. It connects on the first call to each node.
func NewClient() *Client {
	return &Client{
		calls:     newHTTPClient(callDialTimeout, callTimeout, true),
		fresh:     newHTTPClient(callDialTimeout, callTimeout, false),
		documents: newHTTPClient(documentDialTimeout, documentTimeout, true),
	}
}

func newHTTPClient(dialTimeout, timeout time.Duration, keepConns bool) httpClient {
	return httpClient{timeout: timeout, Client: &http.Client{
		Transport: &callTransport{http: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, IdleConnTimeout: callIdleTimeout, DisableKeepAlives: !keepConns,
			MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxCallHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// callTransport numbers the calls and rejects answers to other ones.
type callTransport struct {
	http   *http.Transport
	lastID atomic.Uint64
}

// OtherCallError reports an answer that belongs to another call than the one
// that was sent.
type OtherCallError struct{ Sent, Answered string }

// Error implements error.
func (e *OtherCallError) Error() string {
	return "answer belongs to call " + strconv.Quote(e.Answered) + " instead of " + strconv.Quote(e.Sent)
}

// RoundTrip implements http.RoundTripper. A kept connection may end while a call
// is sent on it, for example when the other node starts again. The call is then
// repeated on another connection, since each procedure may run twice.
func (t *callTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		resp, connEnded, err := t.attempt(r)
		if !connEnded || attempt == maxCallAttempts || r.GetBody == nil || r.Context().Err() != nil {
			return resp, err
		}
		body, bodyErr := r.GetBody()
		if bodyErr != nil {
			return nil, err
		}
		r = r.Clone(r.Context())
		r.Body = body
	}
}

// attempt sends a call once. connEnded reports that it failed on a kept
// connection before the first byte of an answer.
func (t *callTransport) attempt(r *http.Request) (resp *http.Response, connEnded bool, err error) {
	id := strconv.FormatUint(t.lastID.Add(1), 10)
	reused, answering := false, atomic.Bool{}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:              func(c httptrace.GotConnInfo) { reused = c.Reused },
		GotFirstResponseByte: func() { answering.Store(true) },
	}))
	r.Header.Set(callIDHeader, id)
	resp, err = t.http.RoundTrip(r)
	if err != nil {
		return nil, reused && !answering.Load(), err
	}
	// An answer that breaks off in its head and is followed by another one has
	// the IDs of both.
	answered := strings.Join(resp.Header.Values(callIDHeader), ",")
	// A node of an earlier version repeats no ID. Its answer can belong to no
	// other call if the connection has carried none.
	if answered != id && (answered != "" || reused) {
		_ = resp.Body.Close()
		// The connection is idle already if the answer has no body.
		t.http.CloseIdleConnections()
		return nil, false, &OtherCallError{Sent: id, Answered: answered}
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxBodyBytes)
	return resp, false, nil
}

// Report sends a member's report to the coordinator at address, host:port, and
// returns the coordinator's answer.
func (c *Client) Report(ctx context.Context, address string, r shards.LeaseRequest) (shards.LeaseAnswer, error) {
	return callPeer[shards.LeaseRequest, shards.LeaseAnswer](ctx, c.calls, address, reportProcedure, r)
}

// StepDown tells the coordinator at address, host:port, that it was replaced.
func (c *Client) StepDown(ctx context.Context, address string, r StepDownRequest) (StepDownAnswer, error) {
	return callPeer[StepDownRequest, StepDownAnswer](ctx, c.calls, address, stepDownProcedure, r)
}

// Document asks the node at address, host:port, for its copy of a store object.
func (c *Client) Document(ctx context.Context, address string, r DocumentRequest) (DocumentAnswer, error) {
	return callPeer[DocumentRequest, DocumentAnswer](ctx, c.documents, address, documentProcedure, r)
}

// Withdraw withdraws a request that was sent to the node whose peer address is
// address, host:port. An error leaves the outcome of the request unknown. The call
// takes a new connection: what broke that of the request may have broken the kept
// ones too.
func (c *Client) Withdraw(ctx context.Context, address string, r WithdrawRequest) (WithdrawAnswer, error) {
	return callPeer[WithdrawRequest, WithdrawAnswer](ctx, c.fresh, address, withdrawProcedure, r)
}

// Reserve asks the node at address, host:port, for the time of its link.
func (c *Client) Reserve(ctx context.Context, address string, r ReserveRequest) (ReserveAnswer, error) {
	return callPeer[ReserveRequest, ReserveAnswer](ctx, c.calls, address, reserveProcedure, r)
}

// Marks sends marks of requests that may crash backend servers to the node at address,
// host:port.
func (c *Client) Marks(ctx context.Context, address string, r MarksRequest) (MarksAnswer, error) {
	return callPeer[MarksRequest, MarksAnswer](ctx, c.calls, address, marksProcedure, r)
}

// CollectMarks asks the node at address, host:port, for the marks that it has.
func (c *Client) CollectMarks(ctx context.Context, address string, r CollectMarksRequest) (CollectMarksAnswer, error) {
	return callPeer[CollectMarksRequest, CollectMarksAnswer](ctx, c.documents, address, collectProcedure, r)
}

func callPeer[Req, Res any](ctx context.Context, c httpClient, address, procedure string, r Req) (Res, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := connect.NewClient[Req, Res](c, "http://"+address+procedure,
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		var zero Res
		return zero, &CallError{Procedure: procedure, Cause: eris.Wrap(err, address)}
	}
	return *res.Msg, nil
}
