package core

import (
	"context"
	"io"
	"time"
)

// Handler runs one exchange. Every stage of the request path implements it.
//
// On success the caller must close Response.Body. On failure the error is an
// *Error whose Code tells whether the request may have run.
type Handler interface {
	Serve(ctx context.Context, req *Request) (*Response, error)
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, req *Request) (*Response, error)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, req *Request) (*Response, error) {
	return f(ctx, req)
}

// WorkKind is the caller's declaration of how long its work runs.
type WorkKind uint8

// Kinds of work.
const (
	KindUnspecified WorkKind = iota
	KindShort
	KindLong
)

// Field is one header field. The order and repetition of fields are kept.
type Field struct{ Name, Value string }

// UnknownLength marks a body whose length is not known in advance.
const UnknownLength = -1

// RequestHead is the head of a request, free of any HTTP library.
type RequestHead struct {
	Method, Path string
	Fields       []Field
}

// Request is one request of a caller.
type Request struct {
	// ID is unique for each exchange and appears in logs and in the answer.
	ID       string
	Service  Service
	Key      string
	Customer Customer
	Kind     WorkKind
	// Idempotent reports whether running the request twice does no harm.
	Idempotent bool
	// IdempotencyKey identifies resends of one logical request. It may be empty.
	IdempotencyKey string
	// IssuedAt is the caller's wall time of the first attempt, or zero.
	IssuedAt time.Time
	// Deadline is the wall time after which the answer is worthless, or zero.
	Deadline time.Time
	// Attempt counts forwards by nodes, starting at 1.
	Attempt int
	// Route names the route that the request matched, or is empty.
	Route string
	// TargetTime is the wall time up to which an answer has its full worth, or zero.
	TargetTime time.Time
	// Priority ranks requests of one service; 0 is the highest.
	Priority int
	// Instance names the run of a backend server that is to serve the request,
	// or is empty when any may.
	Instance string
	// Origin is the service of the VM on which the request began, or empty.
	Origin Service

	Method string
	Path   string
	Header []Field
	// Length is the number of body bytes, or UnknownLength.
	Length int64
	// Body streams the request body. It is never nil. A read error other than
	// io.EOF means that the caller went away.
	Body io.ReadCloser
}

// Hash returns the position of the request's key.
func (r *Request) Hash() Hash { return HashKey(r.Key) }

// Response is the answer of a backend server.
type Response struct {
	Status int
	Header []Field
	// Length is the number of body bytes, or UnknownLength.
	Length int64
	// Body streams the answer. A read error other than io.EOF means that the
	// answer is incomplete; it must never be delivered as if it were whole.
	Body io.ReadCloser
	// OwnerCallerAddress is the caller address of the node that served the request.
	OwnerCallerAddress string
}
