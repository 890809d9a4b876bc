package sidecar

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
)

const (
	// minCallerDrain is the minimum time for which a stopping node still takes
	// requests of callers, because they go elsewhere only after two failed
	// readiness checks, which are a second apart.
	minCallerDrain = 2500 * time.Millisecond
	// maxCallerDrain is the time after which a stopping node refuses new requests
	// of callers in any case. Requests taken before that have the rest of the
	// grace period to end.
	maxCallerDrain = 3 * time.Second
	// The drain ends before maxCallerDrain once no request of a caller has been
	// in flight for quietPeriod.
	quietPeriod = 200 * time.Millisecond
	// killMargin is the last part of the grace period, before the platform kills
	// the process. It is left for the removal of the node's address, the last log
	// lines and the last beacon. With 300 ms, 5 of 16 stopped processes on slow
	// VMs were killed. Requests that still run in the last sixth of the grace
	// period may be cut off.
	killMargin       = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
	// answerTimeout bounds the time to answer the requests that a stop ends. It
	// is a part of killMargin.
	answerTimeout = 200 * time.Millisecond
)

// Stop stops the node gracefully. It first fails the readiness checks, so that
// callers go elsewhere, and then refuses their requests and those of other nodes.
// What has been taken until then has the rest of the grace period to end. Stop
// returns before the platform's grace period ends. The node's addresses are free
// then.
func (n *Node) Stop() {
	grace := n.cfg.Settings.Bounds.StopGracePeriod - killMargin
	n.log.WithFields(log.Fields{"grace_ms": grace.Milliseconds()}).Info("node is stopping")
	n.ready.Store(false)
	n.stopping.Store(true)
	n.outbound.AnnounceClose()
	n.nodes.UpdateSelf(func(e *fleet.Entry) { e.Stopping = true })
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.drainCallers(ctx)
	n.router.EndWaits()
	n.shutDownFrontends(ctx)
	n.endRequests()
	n.peerLinks.close(ctx)
	n.removeAddress()
	n.log.WithFields(log.Fields{"cut": n.countInFlight()}).Info("node has stopped; requests still in flight are cut off")
	n.cancel()
	_ = n.keyCaller.Close(ctx) // the calls have ended with the node's context
	n.closeListeners()
}

// closeListeners ends the servers that have no requests of callers, and frees
// their addresses for the node that starts next.
func (n *Node) closeListeners() {
	_ = n.peerServer.Close()
	_ = n.beacons.Close()
	n.reportServer.close()
	n.readyServer.close()
	if n.metricsServer != nil {
		n.metricsServer.Close()
	}
}

// shutDownFrontends refuses new requests of callers and of other nodes, and waits
// for those in flight until ctx ends. Both are refused at the same time: the calls
// that a request of another node makes of its backend server come from a caller.
func (n *Node) shutDownFrontends(ctx context.Context) {
	var running sync.WaitGroup
	for _, f := range []*frontend.Frontend{n.outbound, n.inbound} {
		running.Go(func() {
			if err := f.Shutdown(ctx); err != nil {
				n.log.WithError(err).WithField("running", f.Stats().InFlight).Warn("requests in flight did not end within the time that the stop allows for them")
			}
		})
	}
	running.Wait()
}

// endRequests answers the callers' requests that are still in flight at the end
// of a stop, and the requests of other nodes that wait for a slot.
func (n *Node) endRequests() {
	n.router.EndRequests()
	n.backend.EndWaits()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for _, f := range []*frontend.Frontend{n.outbound, n.inbound} {
		if err := f.Shutdown(ctx); err != nil {
			n.log.WithError(err).WithField("running", f.Stats().InFlight).Warn("requests at the end of the stop not answered in time")
		}
	}
}

// countInFlight returns the number of requests of callers and other nodes in
// flight.
func (n *Node) countInFlight() int64 { return n.outbound.Stats().InFlight + n.inbound.Stats().InFlight }

// drainCallers waits until callers send their requests elsewhere, which is when
// none was in flight for quietPeriod, or until maxCallerDrain.
func (n *Node) drainCallers(ctx context.Context) {
	start := time.Now()
	lastBusy := start
	t := time.NewTicker(stopPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if n.outbound.Stats().InFlight > 0 {
				lastBusy = now
			}
			elapsed := now.Sub(start)
			if elapsed >= maxCallerDrain || elapsed >= minCallerDrain && now.Sub(lastBusy) >= quietPeriod {
				return
			}
		}
	}
}

// removeAddressTimeout bounds the time to remove the node's address from the store,
// and before that to find out whether the backend server has ended.
const removeAddressTimeout = 200 * time.Millisecond

// maxLateReports is the number of missing status reports from which a backend server
// that also refuses connections is taken for gone by a node that stops. One that lives
// reports to the node until its last moments.
const maxLateReports = 2

// removeAddress removes the node's address from the store if its backend server is
// gone, because then the VM is about to be removed. While a leaving one still serves,
// the next process must find there that it has left. A refused connection alone does not
// show that it is gone: a full one refuses them too, and one that finishes its requests.
func (n *Node) removeAddress() {
	ctx, cancel := context.WithTimeout(context.Background(), removeAddressTimeout)
	defer cancel()
	self := n.nodes.Snapshot().Nodes[n.self.Node]
	silent := n.backend.SilentFor()
	if self == nil || self.State == fleet.Ready || silent < maxLateReports*n.cfg.Settings.ReportInterval || n.backendListens(ctx) {
		return
	}
	n.log.WithFields(log.Fields{"instance": self.Instance, "quiet_ms": silent.Milliseconds()}).Info("backend server is gone; the node's address is removed from the platform's store")
	if _, ok := n.announcer.Remove().Wait(ctx); !ok {
		n.log.Warn("removing this node's address from the platform's store took too long")
	}
}

// backendListens reports whether the backend server still accepts connections.
func (n *Node) backendListens(ctx context.Context) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", n.cfg.Settings.BackendAddress)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return true
}
