package node

import (
	"context"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

// drainPoll is how often a stopping node looks whether its exchanges ended.
const drainPoll = 20 * time.Millisecond

// Stop is a graceful shutdown: the node moves its keys away, lets every
// exchange in flight end, leaves its group and closes. When ctx ends first,
// what is left is cut, and the error says so.
func (n *Node) Stop(ctx context.Context) error {
	err := n.leave(ctx)
	for _, step := range []func(context.Context) error{n.frontend.Shutdown, n.server.Shutdown, n.gate.Shutdown} {
		if e := step(ctx); err == nil {
			err = e
		}
	}
	n.Kill()
	return err
}

func (n *Node) leave(ctx context.Context) error {
	d := n.lease.Load()
	if d == nil {
		return nil
	}
	if err := d.Submit(ctx, ownership.Drain{Stop: true}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "stop")
	}
	if err := n.awaitIdle(ctx); err != nil {
		return err
	}
	if err := d.Submit(ctx, ownership.ExchangesDrained{}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "stop")
	}
	select {
	case <-n.left:
		return nil
	case <-ctx.Done():
		return core.Fail(core.CodeUnavailable, "stop: the group did not confirm that the node left")
	}
}

// awaitIdle returns once the node owns nothing that it admits and no exchange
// is in flight.
func (n *Node) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		if s := n.Lease(); s != nil && s.Reason != ownership.ReasonServing && n.owner.InFlight(ctx) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return core.Fail(core.CodeUnavailable, "stop: exchanges still in flight")
		}
	}
}

// Kill closes everything at once, as a lost VM does.
func (n *Node) Kill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if n.operators != nil {
		_ = n.operators.Shutdown(ctx)
	}
	if n.metrics != nil {
		_ = n.metrics.Shutdown(ctx)
	}
	_ = n.frontend.Close()
	_ = n.server.Close()
	n.cancel()
	n.duties.Wait()
	_ = n.socket.Close()
	_ = n.peers.Close()
	n.work.Release()
}
