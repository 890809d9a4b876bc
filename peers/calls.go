package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"marjoramshore.example/core"
	"marjoramshore.example/shards"
)

// CallError is the error of a failed call to another node.
type CallError struct {
	Procedure string
	Cause     error
}

// Error implements error.
func (e *CallError) Error() string { return "call " + e.Procedure + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Paths of the procedures.
const (
	reportProcedure   = "/marjoramshore.peers.v1.Peers/Report"
	stepDownProcedure = "/marjoramshore.peers.v1.Peers/StepDown"
	documentProcedure = "/marjoramshore.peers.v1.Peers/Document"
)

// StepDownRequest tells the coordinator of a service that another node replaced
// it.
type StepDownRequest struct {
	Service core.Service
	// Term is the term of the new coordinator.
	Term uint64
}

// StepDownAnswer confirms, with Done, that the node grants no more leases.
type StepDownAnswer struct{ Done bool }

// DocumentRequest asks for the copy of a store object that a node has. Nodes
// without access to the store use it.
type DocumentRequest struct{ Kind, Name string }

// DocumentAnswer holds the object's content, or no content when the node does
// not have the object.
type DocumentAnswer struct {
	Revision uint64
	Spec     json.RawMessage
}

// Handler handles the calls of other nodes.
type Handler interface {
	Report(ctx context.Context, r shards.LeaseRequest) shards.LeaseAnswer
	StepDown(ctx context.Context, r StepDownRequest) StepDownAnswer
	Document(ctx context.Context, r DocumentRequest) DocumentAnswer
}

// jsonCodec encodes plain Go types, for which connect-go has no codec.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// Limits of calls.
const (
	// callTimeout bounds a call; members report every 400 ms.
	callTimeout = 700 * time.Millisecond
	// maxMessageBytes bounds a message; a thousand rows take 100 KB.
	maxMessageBytes   = 2 << 20
	callDialTimeout   = 300 * time.Millisecond
	callIdleTimeout   = 20 * time.Second
	callHeaderTimeout = 2 * time.Second
)

// NewMux returns an HTTP handler that passes the calls to h.
func NewMux(h Handler) http.Handler {
	mux := http.NewServeMux()
	registerProcedure(mux, reportProcedure, h.Report)
	registerProcedure(mux, stepDownProcedure, h.StepDown)
	registerProcedure(mux, documentProcedure, h.Document)
	return mux
}

func registerProcedure[Req, Res any](mux *http.ServeMux, procedure string, answer func(context.Context, Req) Res) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res := answer(ctx, *r.Msg)
			return connect.NewResponse(&res), nil
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes)))
}

// NewServer returns an HTTP server that passes the calls to h.
func NewServer(h Handler) *http.Server {
	return &http.Server{
		Handler: NewMux(h), ReadHeaderTimeout: callHeaderTimeout, ReadTimeout: 2 * callHeaderTimeout,
		WriteTimeout: 2 * callHeaderTimeout, IdleTimeout: 2 * callIdleTimeout, ErrorLog: nil,
	}
}

// Client calls other nodes. It is safe for concurrent use. Its errors are of
// type *CallError.
type Client struct{ http *http.Client }

// NewClient returns a client. It connects on the first call to each node.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: callDialTimeout}).DialContext, IdleConnTimeout: callIdleTimeout,
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

// Report sends a member's report to the coordinator at address, host:port, and
// returns the coordinator's answer.
func (c *Client) Report(ctx context.Context, address string, r shards.LeaseRequest) (shards.LeaseAnswer, error) {
	return callPeer[shards.LeaseRequest, shards.LeaseAnswer](ctx, c, address, reportProcedure, r)
}

// StepDown tells the coordinator at address, host:port, that it was replaced.
func (c *Client) StepDown(ctx context.Context, address string, r StepDownRequest) (StepDownAnswer, error) {
	return callPeer[StepDownRequest, StepDownAnswer](ctx, c, address, stepDownProcedure, r)
}

// Document asks the node at address, host:port, for its copy of a store object.
func (c *Client) Document(ctx context.Context, address string, r DocumentRequest) (DocumentAnswer, error) {
	return callPeer[DocumentRequest, DocumentAnswer](ctx, c, address, documentProcedure, r)
}

func callPeer[Req, Res any](ctx context.Context, c *Client, address, procedure string, r Req) (Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[Req, Res](c.http, "http://"+address+procedure,
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes))
	res, err := client.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		var zero Res
		return zero, &CallError{Procedure: procedure, Cause: eris.Wrap(err, address)}
	}
	return *res.Msg, nil
}
