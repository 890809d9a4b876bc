package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
)

const (
	// stopAfter is how long a stopping node takes requests at least: callers
	// leave after two missed questions a second apart, and other nodes learn
	// of the stop by a beacon.
	stopAfter = 2500 * time.Millisecond
	// stopQuiet is how long no request must be in flight before the end.
	stopQuiet = 200 * time.Millisecond
	// stopMargin is kept before the kill, for the last lines and the beacon.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
)

// Stop ends the node gracefully: callers are sent away first, requests in
// flight go on, and the process ends before the platform's grace does.
func (n *Node) Stop() {
	grace := n.cfg.Settings.Bounds.Grace - stopMargin
	n.log.WithFields(log.Fields{"grace_ms": grace.Milliseconds()}).Info("node stops")
	n.ready.Store(false)
	n.stopped.Store(true)
	n.nodes.Change(func(e *fleet.Entry) { e.Stopping = true })
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.awaitQuiet(ctx)
	n.withdraw(ctx)
	n.log.WithFields(log.Fields{"in_flight": n.inFlight()}).Info("node ends")
	n.cancel()
	_ = n.calls.Close()
	_ = n.beacons.Close()
}

func (n *Node) inFlight() int64 { return n.outbound.Stats().Running + n.inbound.Stats().Running }

// awaitQuiet returns once no request has been in flight for a while.
func (n *Node) awaitQuiet(ctx context.Context) {
	start := time.Now()
	quiet := start
	t := time.NewTicker(stopPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if n.inFlight() > 0 {
				quiet = now
			}
			if now.Sub(start) >= stopAfter && now.Sub(quiet) >= stopQuiet {
				return
			}
		}
	}
}

// withdraw removes the node's address when its backend server is gone as well,
// since then the VM is about to be removed.
func (n *Node) withdraw(ctx context.Context) {
	own := n.nodes.Snapshot().Nodes[n.self.Node]
	if own == nil || own.State == fleet.Ready {
		return
	}
	if err := n.store.Delete(ctx, objectKind, nodePrefix+string(n.self.Node)); err != nil {
		n.log.WithError(err).Warn("address not removed")
	}
}
