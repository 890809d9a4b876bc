package backend

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"marjoramshore.example/core"
)

const (
	// maxBufferedBody is the size up to which a request body is read before the
	// request asks for a slot, so that no slot is held while a slow link or
	// caller delivers it.
	maxBufferedBody = 512 << 10
	// maxBufferedBodies bounds the bytes of all bodies that are buffered at once.
	// The bodies beyond it are streamed.
	maxBufferedBodies = 16 << 20
)

// bodyBuffers counts the bytes of buffered bodies.
type bodyBuffers struct{ used atomic.Int64 }

// read replaces the body of req by a copy in memory, if it is small enough. The
// caller must call release when the request has ended.
func (b *bodyBuffers) read(ctx context.Context, req *core.Request) (release func(), err error) {
	size := req.Length
	if size <= 0 || size > maxBufferedBody {
		return func() {}, nil
	}
	release = func() { b.used.Add(-size) }
	if b.used.Add(size) > maxBufferedBodies {
		release()
		return func() {}, nil
	}
	data, err := core.ReadFullBody(ctx, req.Body, size)
	if err != nil {
		release()
		return func() {}, err
	}
	req.Body = io.NopCloser(bytes.NewReader(data))
	return release, nil
}
