package node

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"marjoramshore.example/core"
	"marjoramshore.example/owner"
	"marjoramshore.example/ring"
	"marjoramshore.example/telemetry"
)

// openMetricsServer registers the metrics of the node. If Config.MetricsListen
// is set, it also opens the listener of the metrics server.
func (n *Node) openMetricsServer() error {
	r := metrics.NewRegistry()
	if err := n.registerMetrics(r); err != nil {
		return err
	}
	if n.cfg.MetricsListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.cfg.MetricsListen)
	if err != nil {
		return core.Wrap(core.CodeUnavailable, err, "cannot listen on the metrics address")
	}
	n.metricsServer = telemetry.NewMetricsServer(ln, r)
	return nil
}

func (n *Node) registerMetrics(r metrics.Registry) error {
	rings := map[string]func() ring.Stats{
		"tables": n.routingTables.Stats, "configuration": n.configSync.RingStats, "store": n.store.RingStats,
		"journal": n.journal.queue.Stats, "burn": n.burn.queue.Stats, "group_messages": n.groupSender.queue.Stats,
		"datagrams": n.socket.Received().Stats, "offers": n.owner.OfferRing, "owner_control": n.owner.ControlRing,
		"health_changes": n.ejection.queue.Stats,
	}
	for name, stats := range rings {
		if err := telemetry.RegisterRing(r, name, stats); err != nil {
			return err
		}
	}
	gauges := map[string]func() int64{
		"caller_exchanges":           func() int64 { return int64(n.frontend.Stats().Exchanges) },
		"caller_exchanges_running":   func() int64 { return n.frontend.Stats().InFlight },
		"caller_connections":         func() int64 { return n.frontend.Stats().OpenConns },
		"caller_answers_cut":         func() int64 { return int64(n.frontend.Stats().TruncatedResponses) },
		"caller_answers_late":        func() int64 { return int64(n.frontend.Stats().DroppedResponses) },
		"router_requests":            func() int64 { return int64(n.router.Stats().Requests) },
		"router_attempts":            func() int64 { return int64(n.router.Stats().Attempts) },
		"router_waiting":             func() int64 { return n.router.Stats().Waiting },
		"backend_requests_sent":      func() int64 { return int64(n.gate.Stats().Sent) },
		"backend_answers_late":       func() int64 { return int64(n.gate.Stats().LateResponses) },
		"backend_answers_stray":      func() int64 { return int64(n.gate.Stats().StrayResponses) },
		"peer_exchanges":             func() int64 { return int64(n.peerServer.Stats().Exchanges) },
		"peer_unauthenticated":       func() int64 { return int64(n.peerServer.Stats().Unauthenticated) },
		"heartbeat_bytes_sent":       func() int64 { return int64(n.socket.Stats().SentBytes) },
		"heartbeat_bytes_received":   func() int64 { return int64(n.socket.Stats().ReceivedBytes) },
		"store_reads":                func() int64 { s := n.store.Stats(); return int64(s.Get + s.List + s.Watch) },
		"store_writes":               func() int64 { s := n.store.Stats(); return int64(s.Put + s.Delete) },
		"store_failed":               func() int64 { return int64(n.store.Stats().Failed) },
		"configuration_revision":     func() int64 { return int64(n.configSync.Current().Revision) },
		"lease_left_ms":              n.leaseLeftMs,
		"ranges":                     n.ownedRangeCount,
		"owner_refused":              n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Refused) }),
		"owner_duplicates":           n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Duplicates) }),
		"owner_outcome_unknown":      n.ownerGauge(func(s owner.Stats) int64 { return int64(s.UnknownOutcomes) }),
		"admission_limit":            n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Admission.Limit) }),
		"admission_running":          n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Admission.RunningShort + s.Admission.RunningLong) }),
		"admission_queued":           n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Admission.QueuedShort + s.Admission.QueuedLong) }),
		"at_most_once_records":       n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Once.Records) }),
		"at_most_once_evicted_early": n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Once.Evicted) }),
		"backend_state":              n.ownerGauge(func(s owner.Stats) int64 { return int64(s.Health) }),
	}
	for name, value := range gauges {
		if err := telemetry.RegisterGauge(r, name, value); err != nil {
			return err
		}
	}
	return nil
}

// ownerStatsTimeout bounds the wait for the owner's statistics.
const ownerStatsTimeout = 100 * time.Millisecond

// ownerGauge returns a gauge that reads a value from the owner's statistics.
// The value is computed from zero statistics when the owner does not answer in
// time.
func (n *Node) ownerGauge(value func(owner.Stats) int64) func() int64 {
	return func() int64 {
		ctx, cancel := context.WithTimeout(context.Background(), ownerStatsTimeout)
		defer cancel()
		s, _ := n.owner.Stats(ctx)
		return value(s)
	}
}

// leaseLeftMs returns the remaining time of the lease in milliseconds, or 0
// without a lease.
func (n *Node) leaseLeftMs() int64 {
	if s := n.Lease(); s != nil {
		return max(0, s.LeaseEnd.Sub(n.clock.Now()).Milliseconds())
	}
	return 0
}

func (n *Node) ownedRangeCount() int64 {
	if s := n.Lease(); s != nil {
		return int64(len(s.OwnRanges))
	}
	return 0
}
