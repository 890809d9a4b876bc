package router

import (
	"io"
	"sync/atomic"
)

// attemptBody is the unbuffered body of a request for one attempt. The sender may still
// read it when the attempt has failed, so that it decides at one place whether this
// attempt or the next one gets the first byte.
type attemptBody struct {
	io.ReadCloser
	state atomic.Int32
}

const (
	bodyUnread int32 = iota
	bodyRead
	bodyEnded // unread when the attempt ended
)

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.state.CompareAndSwap(bodyUnread, bodyRead)
	if b.state.Load() == bodyEnded {
		return 0, io.ErrClosedPipe
	}
	return b.ReadCloser.Read(p)
}

// endAttempt ends the attempt and reports whether a part of the body was read. If not,
// the attempt reads none from now on.
func (b *attemptBody) endAttempt() bool {
	return !b.state.CompareAndSwap(bodyUnread, bodyEnded)
}
