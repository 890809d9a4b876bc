package core

import (
	"context"
	"io"
	"sync/atomic"
)

// ClosedBodyError is what a Body returns to reads after Close.
type ClosedBodyError struct{}

func (ClosedBodyError) Error() string { return "read of a closed body" }

// Body makes a stream safe to close while another goroutine reads it. A stage
// that returns an answer early may leave an upload running; closing the body
// ends that read before the connection below is used for anything else.
type Body struct {
	src       io.Reader
	interrupt func()
	turn      chan struct{} // holds one element while a read runs
	closed    atomic.Bool
	whole     atomic.Bool
}

// NewBody wraps src. interrupt must make a blocked read of src return; it is
// called at most once and may be nil when reads never block.
func NewBody(src io.Reader, interrupt func()) *Body {
	return &Body{src: src, interrupt: interrupt, turn: make(chan struct{}, 1)}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.whole.Load() {
		return 0, io.EOF
	}
	if b.closed.Load() {
		return 0, ClosedBodyError{}
	}
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.whole.Store(true)
	}
	return n, err
}

// ReachedEOF reports whether the stream was read to its proper end.
func (b *Body) ReachedEOF() bool { return b.whole.Load() }

// Close ends a running read and refuses later ones. It returns once no read of
// the source is running.
func (b *Body) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if b.interrupt != nil && !b.whole.Load() {
		b.interrupt()
	}
	b.turn <- struct{}{}
	<-b.turn
	return nil
}

// NoBody is the body of a request or response without one.
var NoBody io.ReadCloser = noBody{}

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// ReadFullBody reads a body of known length before a stage sends any of it, and
// gives up when ctx ends. Every failure proves that the request did not run.
func ReadFullBody(ctx context.Context, body io.ReadCloser, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = body.Close() })
	defer stop()
	buf := make([]byte, length)
	_, err := io.ReadFull(body, buf)
	if err == nil {
		return buf, nil
	}
	if ctx.Err() != nil {
		return nil, ContextErrorBeforeSend(ctx)
	}
	return nil, Wrap(CodeCanceledNotRun, err, "request body cut before it was sent")
}

// ContextErrorBeforeSend is the failure of a request whose context ended before a byte of
// it was sent.
func ContextErrorBeforeSend(ctx context.Context) *Error {
	if ctx.Err() == context.DeadlineExceeded {
		return Fail(CodeDeadlineNotRun, "deadline passed before the request was sent")
	}
	return Fail(CodeCanceledNotRun, "caller went away before the request was sent")
}
