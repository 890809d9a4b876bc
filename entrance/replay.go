package entrance

import (
	"io"
	"sync"

	"marjoramshore.example/core"
)

// maxReplayBytes is the number of body bytes buffered for further attempts.
// 16 KiB covers the bodies of submissions and registrations. Uploads exceed it
// and are never sent twice.
const maxReplayBytes = 16 << 10

// replayBody lets several attempts read one request body. It buffers the bytes
// read from the source until they exceed maxReplayBytes. Attempts read the
// source one at a time: an abandoned attempt may still be blocked in a read,
// and the next attempt needs the bytes that this read returns.
type replayBody struct {
	source io.ReadCloser
	// readLock holds one token. The goroutine that took it may use the fields
	// below.
	readLock chan struct{}

	buffered   []byte
	overflowed bool
	readErr    error
}

func newReplayBody(src io.ReadCloser) *replayBody {
	b := &replayBody{source: src, readLock: make(chan struct{}, 1)}
	b.readLock <- struct{}{}
	return b
}

// newAttempt returns a reader that begins at the start of the body. It must not
// be called after replayable has returned false.
func (b *replayBody) newAttempt() *attemptBody {
	return &attemptBody{body: b, closed: make(chan struct{})}
}

// replayable reports whether another attempt can read the body from its start.
// It returns false while a read of an earlier attempt is in progress.
func (b *replayBody) replayable() bool {
	select {
	case <-b.readLock:
		ok := !b.overflowed
		b.readLock <- struct{}{}
		return ok
	default:
		return false
	}
}

// attemptBody is the request body as one attempt reads it. Read and Close may
// be called from different goroutines.
type attemptBody struct {
	body      *replayBody
	offset    int
	closed    chan struct{}
	closeOnce sync.Once
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	select {
	case <-a.closed:
		return 0, core.Fail(core.CodeAborted, "attempt abandoned")
	case <-b.readLock:
	}
	defer func() { b.readLock <- struct{}{} }()
	if a.isClosed() {
		return 0, core.Fail(core.CodeAborted, "attempt abandoned")
	}
	if a.offset < len(b.buffered) {
		n := copy(p, b.buffered[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.readErr != nil {
		return 0, b.readErr
	}
	n, err := b.source.Read(p)
	b.bufferRead(p[:n], err)
	a.offset += n
	return n, err
}

// bufferRead stores the result of a read of the source for later attempts.
func (b *replayBody) bufferRead(p []byte, err error) {
	b.readErr = err
	switch {
	case b.overflowed:
	case len(b.buffered)+len(p) > maxReplayBytes:
		b.overflowed, b.buffered = true, nil
	default:
		b.buffered = append(b.buffered, p...)
	}
}

func (a *attemptBody) isClosed() bool {
	select {
	case <-a.closed:
		return true
	default:
		return false
	}
}

// Close implements io.Closer. It leaves the source open for the next attempt.
func (a *attemptBody) Close() error {
	a.closeOnce.Do(func() { close(a.closed) })
	return nil
}
