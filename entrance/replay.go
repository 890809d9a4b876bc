package entrance

import (
	"io"
	"sync"

	"marjoramshore.example/core"
)

// replayLimit bounds the request bytes kept for a second attempt. Uploads
// exceed it at once and are then never sent twice; 16 KiB covers the bodies of
// submissions and registrations.
const replayLimit = 16 << 10

// replayBody lets several attempts read one request body. It keeps what was
// read until replayLimit is exceeded. One attempt at a time reads the source:
// an abandoned attempt may still be blocked in a read, and what that read
// yields must not be lost to its successor.
type replayBody struct {
	src  io.ReadCloser
	turn chan struct{} // holds one token; its holder may touch the fields below

	kept     []byte
	overflow bool
	err      error
}

func newReplayBody(src io.ReadCloser) *replayBody {
	b := &replayBody{src: src, turn: make(chan struct{}, 1)}
	b.turn <- struct{}{}
	return b
}

// attempt returns a reader from the start of the body. It must not be called
// once replayable has returned false.
func (b *replayBody) attempt() *attemptBody {
	return &attemptBody{body: b, closed: make(chan struct{})}
}

// replayable reports whether another attempt can read the body from its start.
// It returns false while an earlier attempt is blocked in a read of the source.
func (b *replayBody) replayable() bool {
	select {
	case <-b.turn:
		ok := !b.overflow
		b.turn <- struct{}{}
		return ok
	default:
		return false
	}
}

// attemptBody is one attempt's view of the body. Read and Close may be called
// from different goroutines.
type attemptBody struct {
	body   *replayBody
	pos    int
	closed chan struct{}
	once   sync.Once
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	select {
	case <-a.closed:
		return 0, core.Fail(core.CodeAborted, "attempt abandoned")
	case <-b.turn:
	}
	defer func() { b.turn <- struct{}{} }()
	if a.isClosed() {
		return 0, core.Fail(core.CodeAborted, "attempt abandoned")
	}
	if a.pos < len(b.kept) {
		n := copy(p, b.kept[a.pos:])
		a.pos += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.keep(p[:n], err)
	a.pos += n
	return n, err
}

// keep records what was read for later attempts.
func (b *replayBody) keep(p []byte, err error) {
	b.err = err
	switch {
	case b.overflow:
	case len(b.kept)+len(p) > replayLimit:
		b.overflow, b.kept = true, nil
	default:
		b.kept = append(b.kept, p...)
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

// Close abandons the attempt; the source stays open for the next one.
func (a *attemptBody) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}
