package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
)

const (
	// stopAfter is how long a stopping node takes requests of callers at least:
	// they leave after two missed questions a second apart.
	stopAfter = 2500 * time.Millisecond
	// stopLatest is when it refuses new ones in any case. What was taken before
	// has the rest of the grace to end.
	stopLatest = 3 * time.Second
	// stopQuiet is how long no request must be in flight before the end.
	stopQuiet = 200 * time.Millisecond
	// stopMargin is kept before the kill, for the removal of the address, the
	// last lines and the beacon. On a slow VM 300 ms were too few: 5 of 16
	// stopped processes were killed on trouble-1 of dnts-lidar-grown. Requests
	// that still run in the last sixth of the grace may be cut.
	stopMargin = 700 * time.Millisecond
	// inboundLast is the part of the grace in which requests of other nodes
	// are no longer taken, so that those in flight end.
	inboundLast = 700 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
)

// Stop ends the node gracefully: callers are sent away first, then refused, and
// requests of other nodes go on until the own callers' have ended. The process
// ends before the platform's grace does.
func (n *Node) Stop() {
	grace := n.cfg.Settings.Bounds.StopGracePeriod - stopMargin
	n.log.WithFields(log.Fields{"grace_ms": grace.Milliseconds()}).Info("node stops")
	n.ready.Store(false)
	n.stopped.Store(true)
	n.nodes.Change(func(e *fleet.Entry) { e.Stopping = true })
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.awaitQuiet(ctx)
	n.end(ctx, n.outbound, grace-inboundLast)
	n.end(ctx, n.inbound, grace)
	n.links.close(ctx)
	n.withdraw()
	n.log.WithFields(log.Fields{"cut": n.inFlight()}).Info("node ends")
	n.cancel()
	_ = n.calls.Close()
	_ = n.beacons.Close()
}

// end refuses new requests of a frontend and waits for those in flight, for at
// most a time from the start of the stop.
func (n *Node) end(ctx context.Context, f *frontend.Frontend, latest time.Duration) {
	deadline, _ := ctx.Deadline()
	at := deadline.Add(latest - (n.cfg.Settings.Bounds.StopGracePeriod - stopMargin))
	ctx, cancel := context.WithDeadline(ctx, at)
	defer cancel()
	if err := f.Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("running", f.Stats().InFlight).Warn("requests not ended in time")
	}
}

func (n *Node) inFlight() int64 { return n.outbound.Stats().InFlight + n.inbound.Stats().InFlight }

// awaitQuiet returns once no caller's request has been in flight for a while,
// or when no more may be taken.
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
			if n.outbound.Stats().InFlight > 0 {
				quiet = now
			}
			since := now.Sub(start)
			if since >= stopLatest || since >= stopAfter && now.Sub(quiet) >= stopQuiet {
				return
			}
		}
	}
}

// withdrawWithin bounds the removal of the node's address.
const withdrawWithin = 200 * time.Millisecond

// withdraw removes the node's address when its backend server is gone as well,
// since then the VM is about to be removed.
func (n *Node) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawWithin)
	defer cancel()
	own := n.nodes.Snapshot().Nodes[n.self.Node]
	if own == nil || own.State == fleet.Ready {
		return
	}
	if err := n.store.Delete(ctx, objectKind, nodePrefix+string(n.self.Node)); err != nil {
		n.log.WithError(err).Warn("address not removed")
	}
}
