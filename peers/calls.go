package peers

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"connectrpc.com/connect"
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

// Handler handles the calls of other nodes. A call may arrive twice.
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

// NewMux returns an HTTP handler that passes the calls to h.
func NewMux(h Handler) http.Handler {
	mux := http.NewServeMux()
	registerProcedure(mux, reportProcedure, h.Report)
	registerProcedure(mux, stepDownProcedure, h.StepDown)
	registerProcedure(mux, documentProcedure, h.Document)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(callIDHeader, r.Header.Get(callIDHeader))
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		mux.ServeHTTP(w, r)
	})
}

func registerProcedure[Req, Res any](mux *http.ServeMux, procedure string, answer func(context.Context, Req) Res) {
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
			res := answer(ctx, *r.Msg)
			return connect.NewResponse(&res), nil
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes), withFastGzip()))
}

// withFastGzip compresses answers at the fastest level: documents go to all other
// nodes at once, and the default level takes twice as long for the same size.
func withFastGzip() connect.HandlerOption {
	return connect.WithCompression("gzip",
		func() connect.Decompressor { return &gzip.Reader{} },
		func() connect.Compressor {
			// The level is valid, so that there is no error.
			w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
			return w
		})
}

// NewServer returns an HTTP server that passes the calls to h.
func NewServer(h Handler) *http.Server {
	return &http.Server{
		Handler: NewMux(h), MaxHeaderBytes: maxCallHeadBytes, ReadHeaderTimeout: callHeaderTimeout, ReadTimeout: 2 * callHeaderTimeout,
		WriteTimeout: 2 * callHeaderTimeout, IdleTimeout: 2 * callIdleTimeout, ErrorLog: nil,
	}
}
