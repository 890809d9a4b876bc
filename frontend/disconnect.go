package frontend

import (
	"time"

	"marjoramshore.example/core"
)

// DisconnectStage tells how the Frontend noticed that a caller has closed its
// connection.
type DisconnectStage string

// Stages of an exchange at which a disconnect is noticed.
const (
	// BeforeServe means that the connection was closed before the Handler was
	// called.
	BeforeServe DisconnectStage = "before-serve"
	// InBody means that the request body ended early.
	InBody DisconnectStage = "in-body"
	// WhileServed means that the connection was closed while the Handler ran,
	// after the end of the body.
	WhileServed DisconnectStage = "while-served"
)

// Disconnect describes a caller that closed its connection before its request was
// answered.
type Disconnect struct {
	Request *core.Request
	Stage   DisconnectStage
	// After is the time from the end of the request's head until the exchange
	// ended.
	After time.Duration
	// BodyRead is the number of body bytes that were read.
	BodyRead int64
}

// reportDisconnect counts a caller that has left and reports it.
func (x *exchange) reportDisconnect(stage DisconnectStage) {
	x.frontend.counts.disconnects.Add(1)
	if report := x.frontend.cfg.OnDisconnect; report != nil {
		d := Disconnect{Request: x.req, Stage: stage, After: time.Since(x.started)}
		if x.requestBody != nil {
			_ = x.requestBody.Close() // nothing reads the body after that
			d.BodyRead = x.upload.bytesRead
		}
		report(d)
	}
}
