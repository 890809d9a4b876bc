package frontend

import (
	"time"

	"marjoramshore.example/core"
)

// Head is the head of a caller's request.
type Head = core.RequestHead

// Dialect defines the header fields and failure responses of a protocol over
// HTTP. A Frontend takes all of them from its Dialect, so that the same server
// code serves callers of several protocols.
type Dialect interface {
	// ParseHead converts a request head to a request without a body. now is the
	// time of arrival. The request must not be nil even with an error, because
	// EncodeFailure receives it.
	ParseHead(h Head, now time.Time) (*core.Request, error)
	// EncodeFailure returns the response to a request that failed without a
	// response of a backend server.
	EncodeFailure(req *core.Request, e *core.Error) FailureResponse
	// ResponseFields returns the header fields that the caller receives with
	// the response of a backend server. fields are those of resp without the
	// hop-by-hop fields.
	ResponseFields(req *core.Request, resp *core.Response, fields []core.Field) []core.Field
}

// FailureResponse is a response that the node creates itself.
type FailureResponse struct {
	Status int
	Fields []core.Field
	Body   []byte
}

// nativeDialect implements the protocol described in the package documentation.
type nativeDialect struct{}

// ParseHead implements Dialect.
func (nativeDialect) ParseHead(h Head, now time.Time) (*core.Request, error) { return Parse(h, now) }

// EncodeFailure implements Dialect.
func (nativeDialect) EncodeFailure(req *core.Request, e *core.Error) FailureResponse {
	fields := []core.Field{
		{Name: HeaderOutcome, Value: string(e.Code.Outcome())},
		{Name: HeaderReason, Value: e.Code.String()},
		{Name: HeaderRequestID, Value: req.ID},
	}
	if e.OwnerPeerAddress != "" {
		fields = append(fields, core.Field{Name: HeaderOwner, Value: e.OwnerPeerAddress})
	}
	if e.RetryAfter > 0 {
		fields = append(fields, core.Field{Name: "Retry-After", Value: formatRetryAfter(e.RetryAfter)})
	}
	fields = append(fields, core.Field{Name: "Content-Type", Value: "application/json"})
	return FailureResponse{Status: StatusOf(e.Code), Fields: fields, Body: encodeFailure(e, req.ID)}
}

// nodeOnlyFields are the response fields that only the node sets. A backend
// server's fields of these names are dropped.
var nodeOnlyFields = map[string]bool{
	HeaderOutcome: true, HeaderReason: true, HeaderRequestID: true, HeaderOwner: true,
}

// ResponseFields implements Dialect.
func (nativeDialect) ResponseFields(req *core.Request, resp *core.Response, fields []core.Field) []core.Field {
	out := make([]core.Field, 0, len(fields)+3)
	for _, f := range fields {
		if !nodeOnlyFields[f.Name] {
			out = append(out, f)
		}
	}
	out = append(out,
		core.Field{Name: HeaderOutcome, Value: string(core.OutcomeAnswered)},
		core.Field{Name: HeaderRequestID, Value: req.ID})
	if resp.OwnerCallerAddress != "" {
		out = append(out, core.Field{Name: HeaderOwner, Value: resp.OwnerCallerAddress})
	}
	return out
}
