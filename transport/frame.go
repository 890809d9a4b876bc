package transport

import (
	"io"
	"sync"

	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

const (
	// maxFrameBytes is the largest part of a body in one frame. It bounds the
	// copy buffer, and how long a frame of a large body delays other streams.
	maxFrameBytes = 32 << 10
	// maxMessageBytes is the largest message accepted from a peer: a head, body
	// data or both.
	maxMessageBytes = 256 << 10
)

// TruncatedError reports that the frames of a stream do not form a whole body:
// the stream ended without its end frame, holds a second head or an empty frame,
// or holds more or fewer bytes than its head announced.
type TruncatedError struct{ Reason string }

func (e *TruncatedError) Error() string { return "stream truncated: " + e.Reason }

// receiveFunc and sendFunc transfer one frame of a client or server stream.
// receiveFunc returns io.EOF at the end of the stream.
type (
	receiveFunc func() (*peerv1.ExchangeFrame, error)
	sendFunc    func(*peerv1.ExchangeFrame) error
)

// frameReader reads the body of a stream from its frames.
type frameReader struct {
	receive   receiveFunc
	unread    []byte
	remaining int64 // announced bytes not yet read, or core.UnknownLength
	ended     bool
}

// newFrameReader returns a reader for the body that starts in the frame head
// and goes on in the frames of receive. length is the one that the head
// announces, or core.UnknownLength.
func newFrameReader(head *peerv1.ExchangeFrame, length int64, receive receiveFunc) *frameReader {
	return &frameReader{receive: receive, unread: head.GetData(), ended: head.GetEnd(), remaining: length}
}

// Read implements io.Reader. It returns io.EOF only after the end frame.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.ended {
			if r.remaining > 0 {
				return 0, &TruncatedError{Reason: "fewer bytes than the head announced"}
			}
			return 0, io.EOF
		}
		f, err := r.receive()
		switch {
		case err == io.EOF:
			return 0, &TruncatedError{Reason: "ended without an end frame"}
		case err != nil:
			return 0, err
		case f.GetHead() != nil:
			return 0, &TruncatedError{Reason: "second head frame"}
		case len(f.GetData()) == 0 && !f.GetEnd():
			return 0, &TruncatedError{Reason: "empty frame"} // they may have no end
		}
		r.unread, r.ended = f.GetData(), f.GetEnd()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	if r.remaining >= 0 {
		if r.remaining -= int64(n); r.remaining < 0 {
			return 0, &TruncatedError{Reason: "more bytes than the head announced"}
		}
	}
	return n, nil
}

// sendSingleFrame sends a head, its body and the end flag as one frame. The
// length is known and at most maxFrameBytes. Nothing is sent before the body
// has been read to its end, so after an error with core.CodeAborted a failure
// can still be sent.
func sendSingleFrame(head *peerv1.ExchangeFrame, body io.Reader, length int64, send sendFunc) error {
	if length > 0 {
		head.Data = make([]byte, length)
		if _, err := io.ReadFull(body, head.Data); err != nil {
			return core.Wrap(core.CodeAborted, err, "body failed or is shorter than its announced length")
		}
	}
	// Only the read after the last byte reports whether the body ended cleanly.
	var extra [1]byte
	if n, err := io.ReadFull(body, extra[:]); n > 0 || err != io.EOF {
		return core.Wrap(core.CodeAborted, err, "body failed or is longer than its announced length")
	}
	head.End = true
	return send(head)
}

// frameBuffers pools the copy buffers of sendFrames.
var frameBuffers = sync.Pool{New: func() any { return new([maxFrameBytes]byte) }}

// sendFrames sends head, and then the body as frames up to the end frame. Each
// read is sent at once, so that a slowly produced body is not delayed. The
// error is a *frameSendError when the stream failed, and a *core.Error when the
// body did.
func sendFrames(head *peerv1.ExchangeFrame, body io.Reader, send sendFunc) error {
	if err := send(head); err != nil {
		return &frameSendError{cause: err}
	}
	buf := frameBuffers.Get().(*[maxFrameBytes]byte)
	defer frameBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 || err == io.EOF {
			f := &peerv1.ExchangeFrame{Data: buf[:n], End: err == io.EOF}
			if sendErr := send(f); sendErr != nil {
				return &frameSendError{cause: sendErr}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return core.Wrap(core.CodeAborted, err, "body failed before its end")
		}
	}
}

// frameSendError reports that a frame could not be sent. It distinguishes a
// failed stream from a body that could not be read.
type frameSendError struct{ cause error }

func (e *frameSendError) Error() string { return "cannot send a frame: " + e.cause.Error() }

func (e *frameSendError) Unwrap() error { return e.cause }
