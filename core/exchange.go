package core

import (
	"bytes"
	"context"
	"io"
	"time"
)

// Handler processes one request and returns its response. Every stage of the
// request path implements it.
//
// On success the caller of Serve must close Response.Body. On failure the error
// is an *Error whose Code tells whether the request may have run.
type Handler interface {
	Serve(ctx context.Context, req *Request) (*Response, error)
}

// HandlerFunc adapts a function to the Handler interface.
type HandlerFunc func(ctx context.Context, req *Request) (*Response, error)

// Serve calls f.
func (f HandlerFunc) Serve(ctx context.Context, req *Request) (*Response, error) {
	return f(ctx, req)
}

// WorkKind is the caller's declaration of how long a request takes to run.
type WorkKind uint8

const (
	KindUnspecified WorkKind = iota
	KindShort
	KindLong
)

// Field is one header field. Lists of fields keep their order and may contain
// a name more than once.
type Field struct{ Name, Value string }

// UnknownLength is the length of a body that is not known in advance.
const UnknownLength = -1

// RequestHead is the request line and header of an HTTP request, independent of
// any HTTP library. Path includes the query.
type RequestHead struct {
	Method, Path string
	Fields       []Field
}

// Request is a caller's request, as the stages of the request path pass it on.
type Request struct {
	// ID is unique to the request and appears in logs and in the response.
	ID       string
	Service  Service
	Key      string
	Customer Customer
	Kind     WorkKind
	// Idempotent reports whether the request may safely run more than once.
	Idempotent bool
	// IdempotencyKey is the same in all attempts of a caller at one logical
	// request. It may be empty.
	IdempotencyKey string
	// IssuedAt is the caller's wall-clock time of its first attempt, or zero.
	IssuedAt time.Time
	// Deadline is the wall-clock time after which the caller has no use for the
	// response, or zero.
	Deadline time.Time
	// Attempt is the number of this attempt to forward the request, starting at
	// 1, or zero if it has not been forwarded.
	Attempt int
	// Route names the route that the request matched, or is empty.
	Route string
	// TargetTime is the wall-clock time by which the response should be sent to
	// meet the latency target of the route, or zero. Later responses are still
	// useful up to Deadline.
	TargetTime time.Time
	// Priority ranks the requests of one service; 0 is the most urgent.
	Priority int
	// Instance identifies the run of the backend server that must serve the
	// request, or is empty if any may serve it.
	Instance string
	// Origin is the service of the VM where the request originated, or empty.
	Origin Service
	// ReceivedAt is when this node read the request from another node, and
	// ReadDelay how long the request waited before that. Both are zero for a
	// request that entered here.
	ReceivedAt time.Time
	ReadDelay  time.Duration
	// SendID identifies the sending of the request from one node to another. It
	// is zero if the request entered here and was not sent on, or may run twice.
	SendID SendID
	// Call reports that a request which runs at a backend server has made this one and
	// needs its answer.
	Call bool
	// RateLimit is the number of requests a second that the expected run of the
	// backend server takes as far as the sending node knows, or 0 if it knows of no
	// limit.
	RateLimit float64
	// SendMark names the sending of the request by another node, which expects it
	// in the response, or is empty.
	SendMark string

	Method string
	Path   string // with the query
	Header []Field
	// Length is the number of body bytes, or UnknownLength.
	Length int64
	// Body streams the request body. It is never nil. A read error other than
	// io.EOF means that the caller disconnected or canceled the request.
	Body io.ReadCloser
}

// SendID identifies one sending of a request to another node.
type SendID struct {
	// Sender is the process that sent it.
	Sender Incarnation
	// Number is unique to the sending within that process, and not 0.
	Number uint64
}

// IsZero reports whether nothing is identified.
func (s SendID) IsZero() bool { return s.Sender == 0 || s.Number == 0 }

// Hash returns the hash of the request's key.
func (r *Request) Hash() Hash { return HashKey(r.Key) }

// Response is the response of a backend server.
type Response struct {
	Status int
	Header []Field
	// Length is the number of body bytes, or UnknownLength.
	Length int64
	// Body streams the response body. A read error other than io.EOF means that
	// the body is truncated; it must never be delivered as if it were complete.
	Body io.ReadCloser
	// OwnerCallerAddress is the host:port of the caller listener of the node
	// that served the request, or empty.
	OwnerCallerAddress string
}

// ReadAll reads the body, whose length must be known, into memory. If the body is
// not whole, the error tells that the outcome of the request is unknown.
func (r *Response) ReadAll() error {
	data := make([]byte, r.Length)
	_, err := io.ReadFull(r.Body, data)
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return Wrap(CodeUnknown, err, "the answer was cut off")
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return nil
}
