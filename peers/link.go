package peers

import (
	"context"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/gate"
)

// Limits of the connections to one other node.
const (
	// linkMaxConns bounds the requests in flight to one node. It covers the
	// node's slots, its queue and some requests that it refuses.
	linkMaxConns = 200
	// linkConnWait is how long a request waits while all connections are in
	// use.
	linkConnWait = 20 * time.Millisecond
	// linkDialTimeout is 100 round-trip times within a region.
	linkDialTimeout = 300 * time.Millisecond
	// linkIdleTimeout is shorter than the idle timeout of the inbound listener,
	// so that the listener does not close a connection that is about to be
	// used.
	linkIdleTimeout = 5 * time.Second
	// linkUnackedTimeout is how long sent bytes may stay unacknowledged before
	// the connection counts as lost.
	linkUnackedTimeout = 800 * time.Millisecond
	// linkBufferBytes holds the head of a usual request or response. It is
	// small because a node has links to all others, and idle connections keep
	// their buffers.
	linkBufferBytes = 4 << 10
)

// Link sends requests to one other node over a pool of connections.
type Link struct {
	address string
	gate    *gate.Gate
}

// NewLink returns a link from the sender to the node at its inbound address,
// host:port. The meter counts its bytes and may be nil.
func NewLink(address string, sender Sender, meter *core.ByteMeter) (*Link, error) {
	g, err := gate.New(gate.Config{
		BackendAddr: address, Dialect: outboundDialect{sender}, TCPUserTimeout: linkUnackedTimeout, BufferSize: linkBufferBytes,
		MaxConns: linkMaxConns, ConnWait: linkConnWait, DialTimeout: linkDialTimeout, IdleTimeout: linkIdleTimeout, Meter: meter,
	})
	if err != nil {
		return nil, err
	}
	return &Link{address: address, gate: g}, nil
}

// Address returns the inbound address of the other node.
func (l *Link) Address() string { return l.address }

// Send sends a request to the node and returns the backend server's response,
// whose body the caller must close. The usage that the response reports is
// recorded in load, as is a failure to reach the node.
func (l *Link) Send(ctx context.Context, clk clock.Clock, req *core.Request, load *fleet.Load) (*core.Response, error) {
	load.InFlight.Add(1)
	defer load.InFlight.Add(-1)
	resp, err := l.gate.Serve(ctx, req)
	if err != nil {
		e := core.AsError(err)
		if e.Code == core.CodeBackendDown {
			load.MarkUnreachable(clk.Now())
			return nil, core.Wrap(core.CodePeerUnreachable, err, "no connection to the node of the backend server")
		}
		return nil, err
	}
	failure, usage := splitResponse(resp)
	if usage != nil {
		load.SetUsage(*usage)
	}
	if failure != nil {
		_ = resp.Body.Close()
		return nil, failure
	}
	return resp, nil
}

// StrayAnswers returns the number of responses so far that did not belong to the
// request in flight on their connection.
func (l *Link) StrayAnswers() int64 { return int64(l.gate.Stats().StrayResponses) }

// CloseIdle closes the idle connections.
func (l *Link) CloseIdle() { l.gate.CloseIdleConnections() }

// Close refuses new requests and waits for those in flight until ctx ends.
func (l *Link) Close(ctx context.Context) error { return l.gate.Shutdown(ctx) }
