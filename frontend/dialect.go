package frontend

import (
	"time"

	"marjoramshore.example/core"
)

// Head is the head of a caller's request.
type Head = core.RequestHead

// Dialect gives the heads of a protocol over HTTP their meaning. A Frontend
// decides nothing from header fields itself, so that one server code serves
// callers of several protocols.
type Dialect interface {
	// ParseHead turns a head into a request without a body. On failure the request
	// is still set, for the answer.
	ParseHead(h Head, now time.Time) (*core.Request, error)
	// EncodeFailure encodes an answer that does not come from a backend server.
	EncodeFailure(req *core.Request, e *core.Error) FailureResponse
	// ResponseFields returns the fields of a backend server's answer as the caller
	// gets them. fields holds no hop-by-hop fields.
	ResponseFields(req *core.Request, resp *core.Response, fields []core.Field) []core.Field
}

// FailureResponse is an answer made by the node.
type FailureResponse struct {
	Status int
	Fields []core.Field
	Body   []byte
}

// native is the protocol described in the package documentation.
type native struct{}

// ParseHead implements Dialect.
func (native) ParseHead(h Head, now time.Time) (*core.Request, error) { return Parse(h, now) }

// EncodeFailure implements Dialect.
func (native) EncodeFailure(req *core.Request, e *core.Error) FailureResponse {
	fields := []core.Field{
		{Name: HeaderOutcome, Value: string(e.Code.Outcome())},
		{Name: HeaderReason, Value: e.Code.String()},
		{Name: HeaderRequestID, Value: req.ID},
	}
	if e.OwnerPeerAddress != "" {
		fields = append(fields, core.Field{Name: HeaderOwner, Value: e.OwnerPeerAddress})
	}
	if e.RetryAfter > 0 {
		fields = append(fields, core.Field{Name: "Retry-After", Value: retryAfter(e.RetryAfter)})
	}
	fields = append(fields, core.Field{Name: "Content-Type", Value: "application/json"})
	return FailureResponse{Status: StatusOf(e.Code), Fields: fields, Body: encodeFailure(e, req.ID)}
}

// answerFields are set here and taken from nobody else.
var answerFields = map[string]bool{
	HeaderOutcome: true, HeaderReason: true, HeaderRequestID: true, HeaderOwner: true,
}

// ResponseFields implements Dialect.
func (native) ResponseFields(req *core.Request, resp *core.Response, fields []core.Field) []core.Field {
	out := make([]core.Field, 0, len(fields)+3)
	for _, f := range fields {
		if !answerFields[f.Name] {
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
