package peers

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/shards"
	"marjoramshore.example/suspect"
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
	withdrawProcedure = "/marjoramshore.peers.v1.Peers/Withdraw"
	reserveProcedure  = "/marjoramshore.peers.v1.Peers/Reserve"
	marksProcedure    = "/marjoramshore.peers.v1.Peers/Marks"
	collectProcedure  = "/marjoramshore.peers.v1.Peers/CollectMarks"
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

// WithdrawWindow is how long after it was sent a request can be withdrawn. A
// node remembers for longer which requests it has passed to its backend server.
const WithdrawWindow = 10 * time.Second

// WithdrawRequest asks a process not to pass a request to its backend server,
// after the connection on which the request was sent has failed.
type WithdrawRequest struct {
	// Receiver is the process to which the request was sent. Another one cannot
	// tell what became of it.
	Receiver core.Incarnation
	SendID   core.SendID
}

// WithdrawAnswer confirms, with NotRun, that the request has not been passed to
// the backend server and never will be.
type WithdrawAnswer struct{ NotRun bool }

// ReserveRequest asks for the time of the receiver's link for a body that may wait for
// MaxWait.
type ReserveRequest struct {
	Bytes   int64
	MaxWait time.Duration
}

// ReserveAnswer is the answer to a ReserveRequest.
type ReserveAnswer struct{ fleet.Reservation }

// MarksRequest tells a node beside a backend server of a service which requests of the
// service were in flight when backend servers crashed, and which of those have been
// answered since.
type MarksRequest struct {
	Service core.Service
	Marks   []suspect.Mark
}

// MarksAnswer confirms, with Taken, that the marks have been taken in.
type MarksAnswer struct{ Taken bool }

// CollectMarksRequest asks a node beside a backend server of a service for all marks that
// it has of requests of the service.
type CollectMarksRequest struct{ Service core.Service }

// CollectMarksAnswer holds the marks.
type CollectMarksAnswer struct {
	// Settled is set if the node has marks of its own or has collected those of others
	// since its start. If not, it may lack what was known before.
	Settled bool
	Marks   []suspect.Mark
}

// Handler handles the calls of other nodes. A call may arrive twice.
type Handler interface {
	Report(ctx context.Context, r shards.LeaseRequest) shards.LeaseAnswer
	StepDown(ctx context.Context, r StepDownRequest) StepDownAnswer
	Document(ctx context.Context, r DocumentRequest) DocumentAnswer
	Withdraw(ctx context.Context, r WithdrawRequest) WithdrawAnswer
	Reserve(ctx context.Context, r ReserveRequest) ReserveAnswer
	Marks(ctx context.Context, r MarksRequest) MarksAnswer
	CollectMarks(ctx context.Context, r CollectMarksRequest) CollectMarksAnswer
}

// jsonCodec encodes plain Go types, for which connect-go has no codec.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// minCompressedBytes is the size from which answers are compressed. A compressor
// takes 800 KB, and most answers are leases of 150 bytes.
const minCompressedBytes = 1 << 10

// NewMux returns an HTTP handler that passes the calls to h.
func NewMux(h Handler) http.Handler {
	mux := http.NewServeMux()
	registerProcedure(mux, reportProcedure, h.Report)
	registerProcedure(mux, stepDownProcedure, h.StepDown)
	registerProcedure(mux, documentProcedure, h.Document)
	registerProcedure(mux, withdrawProcedure, h.Withdraw)
	registerProcedure(mux, reserveProcedure, h.Reserve)
	registerProcedure(mux, marksProcedure, h.Marks)
	registerProcedure(mux, collectProcedure, h.CollectMarks)
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
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressedBytes), withFastGzip()))
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
