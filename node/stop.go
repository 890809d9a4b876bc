package node

import (
	"context"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/ownership"
)

// idlePollInterval is how often a stopping node checks whether its exchanges
// have ended.
const idlePollInterval = 20 * time.Millisecond

// Stop shuts the node down gracefully: it moves the node's keys to other nodes,
// waits for every exchange in flight, leaves the group and closes. When ctx
// ends first, Stop aborts the remaining exchanges and returns an error.
func (n *Node) Stop(ctx context.Context) error {
	err := n.leaveGroup(ctx)
	for _, step := range []func(context.Context) error{n.frontend.Shutdown, n.peerServer.Shutdown, n.gate.Shutdown} {
		if stepErr := step(ctx); err == nil {
			err = stepErr
		}
	}
	n.Kill()
	return err
}

func (n *Node) leaveGroup(ctx context.Context) error {
	runner := n.leaseRunner.Load()
	if runner == nil {
		return nil
	}
	if err := runner.Submit(ctx, ownership.Drain{Stop: true}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "stop: begin the drain")
	}
	if err := n.awaitIdle(ctx); err != nil {
		return err
	}
	if err := runner.Submit(ctx, ownership.ExchangesDrained{}); err != nil {
		return core.Wrap(core.CodeUnavailable, err, "stop: report the end of the exchanges")
	}
	select {
	case <-n.leftGroup:
		return nil
	case <-ctx.Done():
		return core.Fail(core.CodeUnavailable, "stop: the group did not confirm that the node left")
	}
}

// awaitIdle returns once the node admits no requests and has no exchange in
// flight.
func (n *Node) awaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		if s := n.Lease(); s != nil && s.Reason != ownership.ReasonServing && n.owner.InFlight(ctx) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return core.Fail(core.CodeUnavailable, "stop: requests still admitted or exchanges still in flight")
		}
	}
}

// Kill closes the node without a drain, as the loss of its VM would.
func (n *Node) Kill() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if n.operatorServer != nil {
		_ = n.operatorServer.Shutdown(ctx)
	}
	if n.metricsServer != nil {
		_ = n.metricsServer.Shutdown(ctx)
	}
	_ = n.frontend.Close()
	_ = n.peerServer.Close()
	n.cancel()
	n.duties.Wait()
	_ = n.socket.Close()
	_ = n.peerClient.Close()
	n.controlPool.Release()
}
