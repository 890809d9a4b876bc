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

// bodyBuffers counts the bytes of buffered bodies, and those of bodies of other
// nodes that are not read yet.
type bodyBuffers struct{ used, unread atomic.Int64 }

// read replaces the body of req by a copy in memory, which it returns, if it is small
// enough. whole tells whether it is. The caller must call release when the request has
// ended, also if read fails.
func (b *bodyBuffers) read(ctx context.Context, req *core.Request) (release func(), data []byte, whole bool, err error) {
	size := req.Length
	if size <= 0 {
		return func() {}, nil, size == 0, nil
	}
	endUnread := b.trackUnread(req)
	if size > maxBufferedBody || b.used.Add(size) > maxBufferedBodies {
		if size <= maxBufferedBody {
			b.used.Add(-size)
		}
		return endUnread, nil, false, nil
	}
	release = func() { b.used.Add(-size) }
	data, err = core.ReadFullBody(ctx, req.Body, size)
	endUnread()
	if err == nil {
		req.Body = io.NopCloser(bytes.NewReader(data))
	}
	return release, data, true, err
}

// trackUnread counts the body of a request of another node as unread until it is
// read or end is called.
func (b *bodyBuffers) trackUnread(req *core.Request) (end func()) {
	if req.ReceivedAt.IsZero() {
		return func() {} // the body does not cross the VM's link
	}
	body := &unreadBody{ReadCloser: req.Body, total: &b.unread}
	body.left.Store(req.Length)
	b.unread.Add(req.Length)
	req.Body = body
	return func() { body.countRead(req.Length) }
}

// unreadBody subtracts what is read of a body from the sum of all unread bodies.
// The body may still be read after its request has ended.
type unreadBody struct {
	io.ReadCloser
	left  atomic.Int64
	total *atomic.Int64
}

// Read implements io.Reader.
func (u *unreadBody) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	u.countRead(int64(n))
	return n, err
}

func (u *unreadBody) countRead(n int64) {
	for {
		left := u.left.Load()
		counted := min(n, left)
		if u.left.CompareAndSwap(left, left-counted) {
			u.total.Add(-counted)
			return
		}
	}
}
