package core

import (
	"context"
	"io"
	"sync/atomic"
)

// ClosedBodyError is returned by Body.Read after Close.
type ClosedBodyError struct{}

func (ClosedBodyError) Error() string { return "read from closed body" }

// Body is a stream that may be closed while another goroutine reads it. A
// handler that returns its response early may leave an upload running; Close
// ends that read before the underlying connection is reused.
type Body struct {
	src        io.Reader
	interrupt  func()
	readSlot   chan struct{} // semaphore of capacity 1, held during a read
	closed     atomic.Bool
	reachedEOF atomic.Bool
}

// NewBody wraps src. interrupt must make a blocked read of src return. It is
// called at most once, and may be nil if reads of src never block.
func NewBody(src io.Reader, interrupt func()) *Body {
	return &Body{src: src, interrupt: interrupt, readSlot: make(chan struct{}, 1)}
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.readSlot <- struct{}{}
	defer func() { <-b.readSlot }()
	if b.reachedEOF.Load() {
		return 0, io.EOF
	}
	if b.closed.Load() {
		return 0, ClosedBodyError{}
	}
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.reachedEOF.Store(true)
	}
	return n, err
}

// ReachedEOF reports whether a read of the source has returned io.EOF.
func (b *Body) ReachedEOF() bool { return b.reachedEOF.Load() }

// Close interrupts a running read and makes later ones fail with
// ClosedBodyError. It returns when no read of the source is running.
func (b *Body) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if b.interrupt != nil && !b.reachedEOF.Load() {
		b.interrupt()
	}
	b.readSlot <- struct{}{}
	<-b.readSlot
	return nil
}

// NoBody is an empty body, for requests and responses that have none.
var NoBody io.ReadCloser = noBody{}

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }
func (noBody) Close() error             { return nil }

// ReadFullBody reads a body of exactly length bytes into memory before any of
// it is sent. It closes the body if ctx ends first. The code of every error it
// returns proves that the request did not run.
func ReadFullBody(ctx context.Context, body io.ReadCloser, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = body.Close() })
	defer stop()
	buf := make([]byte, length)
	if _, err := io.ReadFull(body, buf); err != nil {
		return nil, incompleteBodyError(ctx, err)
	}
	return buf, nil
}

// ReadBodyUpTo reads a body of unknown length into memory before any of it is
// sent. If the body has more than limit bytes, it returns the first ones, and whole
// is false. It closes the body if ctx ends first. The code of every error it returns
// proves that the request did not run.
func ReadBodyUpTo(ctx context.Context, body io.ReadCloser, limit int64) (data []byte, whole bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = body.Close() })
	defer stop()
	data, err = io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, false, incompleteBodyError(ctx, err)
	}
	return data, int64(len(data)) <= limit, nil
}

// incompleteBodyError returns the error for a body that could not be read before
// the request was sent.
func incompleteBodyError(ctx context.Context, err error) *Error {
	if ctx.Err() != nil {
		return ContextErrorBeforeSend(ctx)
	}
	return Wrap(CodeCanceledNotRun, err, "request body incomplete; request not sent")
}

// ContextErrorBeforeSend returns the error for a request whose context ended
// before any byte of it was sent: CodeDeadlineNotRun or CodeCanceledNotRun.
func ContextErrorBeforeSend(ctx context.Context) *Error {
	if ctx.Err() == context.DeadlineExceeded {
		return Fail(CodeDeadlineNotRun, "deadline passed before the request was sent")
	}
	return Fail(CodeCanceledNotRun, "caller canceled the request before it was sent")
}
