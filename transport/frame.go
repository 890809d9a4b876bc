package transport

import (
	"io"
	"sync"

	"marjoramshore.example/core"
	"marjoramshore.example/transport/peerv1"
)

const (
	// frameSize is how much body one frame carries. It bounds the memory of a
	// copy and how long one frame of a large body delays others.
	frameSize = 32 << 10
	// maxMessage bounds a received message: a frame of body, or a head.
	maxMessage = 256 << 10
)

// CutError reports that a stream ended without its end frame, or that its data
// do not match the announced length.
type CutError struct{ Why string }

func (e *CutError) Error() string { return "stream cut: " + e.Why }

// receiveFunc and sendFunc move one frame over a stream of either side.
type (
	receiveFunc func() (*peerv1.ExchangeFrame, error)
	sendFunc    func(*peerv1.ExchangeFrame) error
)

// frameReader turns the frames after the head into a body.
type frameReader struct {
	receive receiveFunc
	rest    []byte
	left    int64 // bytes still announced, or core.UnknownLength
	end     bool
}

// newFrameReader starts with the head frame, which may carry data itself.
func newFrameReader(head *peerv1.ExchangeFrame, length int64, receive receiveFunc) *frameReader {
	return &frameReader{receive: receive, rest: head.GetData(), end: head.GetEnd(), left: length}
}

// Read implements io.Reader. It returns io.EOF only after the end frame.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.end {
			if r.left > 0 {
				return 0, &CutError{Why: "fewer bytes than announced"}
			}
			return 0, io.EOF
		}
		f, err := r.receive()
		switch {
		case err == io.EOF:
			return 0, &CutError{Why: "no end frame"}
		case err != nil:
			return 0, err
		case f.GetHead() != nil:
			return 0, &CutError{Why: "second head"}
		}
		r.rest, r.end = f.GetData(), f.GetEnd()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	if r.left >= 0 {
		if r.left -= int64(n); r.left < 0 {
			return 0, &CutError{Why: "more bytes than announced"}
		}
	}
	return n, nil
}

// sendWhole sends head, body and end in one frame, for a body of known length
// up to frameSize. It is sent only once it is complete.
func sendWhole(head *peerv1.ExchangeFrame, body io.Reader, length int64, send sendFunc) error {
	if length > 0 {
		head.Data = make([]byte, length)
		if _, err := io.ReadFull(body, head.Data); err != nil {
			return core.Wrap(core.CodeAborted, err, "body cut")
		}
	}
	// The source confirms its proper end only with the read after the last byte.
	var one [1]byte
	if n, err := io.ReadFull(body, one[:]); n > 0 || err != io.EOF {
		return core.Wrap(core.CodeAborted, err, "body cut")
	}
	head.End = true
	return send(head)
}

// buffers holds the copy buffers of streamed bodies.
var buffers = sync.Pool{New: func() any { return new([frameSize]byte) }}

// sendBody sends body as frames and the end frame. The first frame carries
// head. Each read is sent at once, so that a trickling body is not held back.
func sendBody(head *peerv1.ExchangeFrame, body io.Reader, send sendFunc) error {
	if err := send(head); err != nil {
		return &sendError{cause: err}
	}
	buf := buffers.Get().(*[frameSize]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 || err == io.EOF {
			f := &peerv1.ExchangeFrame{Data: buf[:n], End: err == io.EOF}
			if serr := send(f); serr != nil {
				return &sendError{cause: serr}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return core.Wrap(core.CodeAborted, err, "body cut")
		}
	}
}

// sendError tells a failure of the stream from one of the body.
type sendError struct{ cause error }

func (e *sendError) Error() string { return "send frame: " + e.cause.Error() }

func (e *sendError) Unwrap() error { return e.cause }
