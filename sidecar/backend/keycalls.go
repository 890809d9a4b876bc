package backend

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/gate"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

const (
	// maxKeyCallConns bounds the connections for calls that concern keys. It has
	// room for the grants and the releases that a member makes at once.
	maxKeyCallConns = 2 * MaxKeyCalls
	// MaxKeyCalls is the number of grants, and that of releases, that may be made
	// at once.
	MaxKeyCalls = 8
	// maxKeyCallResponse bounds the body of a response, which has none that
	// matters.
	maxKeyCallResponse = 4 << 10
)

// KeyCaller calls the node's own backend server to grant keys and to take them
// back. It is safe for concurrent use.
type KeyCaller struct{ gate *gate.Gate }

// NewKeyCaller returns a caller of the backend server at address.
func NewKeyCaller(address string) (*KeyCaller, error) {
	g, err := gate.New(gate.Config{
		BackendAddr: address, Dialect: platform.KeyCallDialect{}, TCPUserTimeout: tcpUserTimeout, BufferSize: connBufferSize,
		MaxConns: maxKeyCallConns, ConnWait: 20 * time.Millisecond, DialTimeout: dialTimeout, IdleTimeout: idleTimeout,
	})
	if err != nil {
		return nil, err
	}
	return &KeyCaller{g}, nil
}

// Call makes a call and waits for its answer until its timeout.
func (k *KeyCaller) Call(ctx context.Context, c shards.Call) shards.CallResult {
	req, err := platform.NewKeyCall(c)
	if err != nil {
		return shards.CallResult{Outcome: shards.CallNotSent}
	}
	resp, err := k.gate.Serve(ctx, req)
	if err != nil {
		return failedKeyCall(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxKeyCallResponse)); err != nil {
		return shards.CallResult{}
	}
	return platform.ParseKeyCallResponse(c.Kind, resp)
}

// failedKeyCall returns the outcome of a call without a response.
func failedKeyCall(err error) shards.CallResult {
	result := shards.CallResult{Outcome: shards.CallUnanswered}
	if core.CodeOf(err).NotRun() {
		result.Outcome = shards.CallNotSent
	}
	result.Disconnected = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return result
}

// Close closes the connections after the calls in progress, or when ctx ends.
func (k *KeyCaller) Close(ctx context.Context) error { return k.gate.Shutdown(ctx) }
