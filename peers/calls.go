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

// CallError is a failed call between nodes.
type CallError struct {
	Procedure string
	Cause     error
}

// Error implements error.
func (e *CallError) Error() string { return "call " + e.Procedure + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Procedures.
const (
	procReport   = "/marjoramshore.peers.v1.Peers/Report"
	procStepDown = "/marjoramshore.peers.v1.Peers/StepDown"
	procDocument = "/marjoramshore.peers.v1.Peers/Document"
)

// StepDownRequest tells a coordinator that it was replaced.
type StepDownRequest struct {
	Service core.Service
	// Term is that of the new coordinator.
	Term uint64
}

// StepDownAnswer confirms that the node gives no more leases.
type StepDownAnswer struct{ Done bool }

// DocumentRequest asks for an object of the store as the node has it. It serves
// nodes that have no access to the store.
type DocumentRequest struct{ Kind, Name string }

// DocumentAnswer is the object's content, or nothing when it is not known.
type DocumentAnswer struct {
	Revision uint64
	Spec     json.RawMessage
}

// Handler answers the calls of other nodes.
type Handler interface {
	Report(ctx context.Context, r shards.LeaseRequest) shards.LeaseAnswer
	StepDown(ctx context.Context, r StepDownRequest) StepDownAnswer
	Document(ctx context.Context, r DocumentRequest) DocumentAnswer
}

// jsonCodec encodes plain types, for which connect-go has no codec.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// Limits of calls.
const (
	// callTimeout bounds a call; members ask each 400 ms.
	callTimeout = 700 * time.Millisecond
	// maxCall bounds a message; a thousand rows use 100 KB.
	maxCall     = 2 << 20
	callDial    = 300 * time.Millisecond
	callIdle    = 20 * time.Second
	callHeaders = 2 * time.Second
)

// NewMux returns the HTTP handler of the calls.
func NewMux(h Handler) http.Handler {
	mux := http.NewServeMux()
	handle(mux, procReport, h.Report)
	handle(mux, procStepDown, h.StepDown)
	handle(mux, procDocument, h.Document)
	return mux
}

func handle[Req, Res any](mux *http.ServeMux, procedure string, f func(context.Context, Req) Res) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res := f(ctx, *r.Msg)
			return connect.NewResponse(&res), nil
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxCall)))
}

// NewServer returns the HTTP server of the calls.
func NewServer(h Handler) *http.Server {
	return &http.Server{
		Handler: NewMux(h), ReadHeaderTimeout: callHeaders, ReadTimeout: 2 * callHeaders,
		WriteTimeout: 2 * callHeaders, IdleTimeout: 2 * callIdle, ErrorLog: nil,
	}
}

// Caller calls other nodes.
type Caller struct{ http *http.Client }

// NewCaller returns a caller without connections.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: callDial}).DialContext, IdleConnTimeout: callIdle,
		MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}}
}

// Report asks the coordinator at an address.
func (c *Caller) Report(ctx context.Context, address string, r shards.LeaseRequest) (shards.LeaseAnswer, error) {
	return do[shards.LeaseRequest, shards.LeaseAnswer](ctx, c, address, procReport, r)
}

// StepDown tells the coordinator at an address that it was replaced.
func (c *Caller) StepDown(ctx context.Context, address string, r StepDownRequest) (StepDownAnswer, error) {
	return do[StepDownRequest, StepDownAnswer](ctx, c, address, procStepDown, r)
}

// Document asks a node for an object of the store.
func (c *Caller) Document(ctx context.Context, address string, r DocumentRequest) (DocumentAnswer, error) {
	return do[DocumentRequest, DocumentAnswer](ctx, c, address, procDocument, r)
}

func do[Req, Res any](ctx context.Context, c *Caller, address, procedure string, r Req) (Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := connect.NewClient[Req, Res](c.http, "http://"+address+procedure,
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxCall))
	res, err := client.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		var zero Res
		return zero, &CallError{Procedure: procedure, Cause: eris.Wrap(err, address)}
	}
	return *res.Msg, nil
}
