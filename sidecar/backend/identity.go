package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"sync/atomic"

	"marjoramshore.example/core"
	"marjoramshore.example/suspect"
)

// streamedIdentity is how much of a streamed body tells its request from others.
const streamedIdentity = 4 << 10

// identity is what makes two requests equal for a backend server: what is asked for, the
// body and the service of the caller.
type identity struct {
	req *core.Request
	// body is the body if it was read before the request was sent. Otherwise first are
	// the first bytes of it.
	body  []byte
	first *firstBytes
}

// fingerprints returns the fingerprints of a request: one of what it asks for, and one
// of that and the service of its caller. A backend server may crash for one caller only,
// and the answer to another one does not clear the second fingerprint. There are none
// while too little of a streamed body is known, which is before the request is sent.
func (i identity) fingerprints() []suspect.Fingerprint {
	body := i.body
	if i.first != nil {
		seen := i.first.seen.Load()
		if seen == nil {
			return nil
		}
		body = *seen
	}
	hash := sha256.New()
	_, _ = hash.Write(binary.AppendVarint(nil, i.req.Length)) // a hash takes all bytes
	_, _ = hash.Write(body)
	digest := hash.Sum(nil)
	return []suspect.Fingerprint{
		suspect.NewFingerprint(i.req.Service, "", i.req.Method, i.req.Path, digest),
		suspect.NewFingerprint(i.req.Service, "caller "+string(i.req.Origin), i.req.Method, i.req.Path, digest),
	}
}

// firstBytes keeps the first bytes of a streamed body as they are read. The goroutine
// that sends the body writes them, and others see them once there are enough.
type firstBytes struct {
	io.ReadCloser
	data []byte
	seen atomic.Pointer[[]byte]
}

// Read implements io.Reader.
func (b *firstBytes) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.seen.Load() == nil {
		b.data = append(b.data, p[:min(n, streamedIdentity-len(b.data))]...)
		if len(b.data) == streamedIdentity || err == io.EOF {
			data := b.data
			b.seen.Store(&data)
		}
	}
	return n, err
}

// identifyStream returns the identity of a request whose body is streamed. If the node
// has to tell it from requests that may crash the backend server, its first bytes are
// awaited.
func (p *Proxy) identifyStream(ctx context.Context, req *core.Request) (identity, error) {
	id := identity{req: req, first: &firstBytes{ReadCloser: req.Body}}
	req.Body = id.first
	if !p.hasSuspects() {
		return id, nil
	}
	return id, id.awaitFirst(ctx)
}

// awaitFirst reads the first bytes of a streamed body, unless that was done, and puts
// them back. Without them a backend server could crash before the request can be told
// from others.
func (i identity) awaitFirst(ctx context.Context) error {
	if i.first == nil || i.first.seen.Load() != nil {
		return nil
	}
	data, _, err := core.ReadBodyUpTo(ctx, i.req.Body, streamedIdentity-1)
	if err == nil {
		i.req.Body = newPrefixedBody(data, i.req.Body)
	}
	return err
}

// prefixedBody is a body of which the first bytes have been read and are read again.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func newPrefixedBody(first []byte, rest io.ReadCloser) io.ReadCloser {
	return prefixedBody{io.MultiReader(bytes.NewReader(first), rest), rest}
}
