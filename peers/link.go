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
	// linkConns bounds the requests in flight to one node: its slots, its queue
	// and some that it refuses.
	linkConns = 200
	// linkWait is how long a request waits when all are in use.
	linkWait = 20 * time.Millisecond
	// linkDial bounds a new connection; 100 round trips within a region.
	linkDial = 300 * time.Millisecond
	// linkIdle is shorter than the idle timeout of the inbound listener.
	linkIdle = 5 * time.Second
	// linkSilent is how long sent bytes stay unacknowledged before the
	// connection counts as lost.
	linkSilent = 800 * time.Millisecond
	// linkBuffer holds a usual request or answer head. A node has links to all
	// others, so the buffers of idle connections count.
	linkBuffer = 4 << 10
)

// Link sends requests to one other node.
type Link struct {
	address string
	gate    *gate.Gate
}

// NewLink returns a link of a process to the inbound address of a node.
func NewLink(address string, from Origin) (*Link, error) {
	g, err := gate.New(gate.Config{
		BackendAddr: address, Dialect: outbound{from}, UserTimeout: linkSilent, BufferSize: linkBuffer,
		MaxConns: linkConns, ConnWait: linkWait, DialTimeout: linkDial, IdleTimeout: linkIdle,
	})
	if err != nil {
		return nil, err
	}
	return &Link{address: address, gate: g}, nil
}

// Address returns the address that the link leads to.
func (l *Link) Address() string { return l.address }

// Send passes a request to the node and returns the backend server's response.
// The load that the answer reports is recorded in load.
func (l *Link) Send(ctx context.Context, clk clock.Clock, req *core.Request, load *fleet.Load) (*core.Response, error) {
	load.InFlight.Add(1)
	defer load.InFlight.Add(-1)
	resp, err := l.gate.Serve(ctx, req)
	if err != nil {
		e := core.AsError(err)
		if e.Code == core.CodeBackendDown {
			load.MarkUnreachable(clk.Now())
			return nil, core.Wrap(core.CodePeerUnreachable, err, "node beside the backend server")
		}
		return nil, err
	}
	failure, report := unpack(resp)
	if report != nil {
		load.SetUsage(*report)
	}
	if failure != nil {
		_ = resp.Body.Close()
		return nil, failure
	}
	return resp, nil
}

// Drop closes the connections that are not in use.
func (l *Link) Drop() { l.gate.DropIdle() }

// Close waits for the requests in flight until ctx ends.
func (l *Link) Close(ctx context.Context) error { return l.gate.Shutdown(ctx) }
