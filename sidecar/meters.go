package sidecar

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/router"
	"marjoramshore.example/telemetry"
)

// nodeMetrics holds the node's counters and timers.
type nodeMetrics struct {
	registry      metrics.Registry
	answered      metrics.Counter
	retries       metrics.Counter
	statusReports metrics.Counter
	hangs         metrics.Counter
	latency       metrics.Timer
	ownerWait     metrics.Timer
}

func newNodeMetrics(r metrics.Registry) *nodeMetrics {
	return &nodeMetrics{
		registry:      r,
		answered:      metrics.GetOrRegisterCounter("requests_answered", r),
		retries:       metrics.GetOrRegisterCounter("requests_repeated", r),
		statusReports: metrics.GetOrRegisterCounter("status_reports", r),
		hangs:         metrics.GetOrRegisterCounter("duty_hangs", r),
		latency:       metrics.GetOrRegisterTimer("request", r),
		ownerWait:     metrics.GetOrRegisterTimer("request_held", r),
	}
}

// recordRequest records a caller's request that has ended.
func (m *nodeMetrics) recordRequest(s router.Summary) {
	m.latency.Update(s.Duration)
	if s.OwnerWait > 0 {
		m.ownerWait.Update(s.OwnerWait)
	}
	m.retries.Inc(int64(s.Retries))
	if s.Err == nil {
		m.answered.Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("requests_failed_"+s.Err.Code.String(), m.registry).Inc(1)
}

// recordReclaim counts the keys that a run loses in an assignment, by the reason.
func (m *nodeMetrics) recordReclaim(r shards.Reclaim) {
	metrics.GetOrRegisterCounter("keys_reclaimed_"+r.Reason.String(), m.registry).Inc(int64(r.Keys))
}

// recordWithheld counts the leases and keys that this node, as coordinator, begins to
// withhold from a run.
func (m *nodeMetrics) recordWithheld(w shards.Withheld) {
	if w.Lease {
		metrics.GetOrRegisterCounter("leases_withheld", m.registry).Inc(1)
	}
	metrics.GetOrRegisterCounter("keys_withheld", m.registry).Inc(int64(w.Keys))
}

// registerGauges registers the values that are read when metrics are served.
func (m *nodeMetrics) registerGauges(n *Node) error {
	gauges := map[string]func() int64{
		"config_version": func() int64 {
			if t := n.routes.Load(); t != nil {
				return int64(t.Version)
			}
			return 0
		},
		"config_behind_ms":      n.configBehind,
		"requests_pipelined":    func() int64 { return int64(n.outbound.Stats().AheadExchanges) },
		"backend_answers_stray": n.backend.StrayAnswers,
		"peer_answers_stray":    n.peerLinks.strayAnswers,
		"nodes_known":           func() int64 { return int64(len(n.nodes.Snapshot().Nodes)) },
		"backend_in_flight":     n.backend.InFlight,
		"hops_read_late":        n.delays.LateRequests,
		"callers_disconnected":  func() int64 { return int64(n.outbound.Stats().CallerDisconnects) },
		"nodes_disconnected":    func() int64 { return int64(n.inbound.Stats().CallerDisconnects) },
		"requests_unwatched": func() int64 {
			return int64(n.outbound.Stats().UnwatchedExchanges + n.inbound.Stats().UnwatchedExchanges)
		},
		"held_bytes":           func() int64 { return n.quota.Stats().Used },
		"held_limit_bytes":     func() int64 { return n.quota.Stats().Limit },
		"held_refused":         func() int64 { return n.quota.Stats().Refused },
		"held_ended":           func() int64 { return n.quota.Stats().Ended },
		"call_bytes_refused":   func() int64 { return n.callQuota.Stats().Refused },
		"connections_evicted":  func() int64 { return int64(n.outbound.Stats().EvictedConns + n.inbound.Stats().EvictedConns) },
		"connections_refused":  func() int64 { return int64(n.outbound.Stats().RefusedConns + n.inbound.Stats().RefusedConns) },
		"backend_cold":         n.backendCold,
		"backend_unreachable":  func() int64 { return n.backend.Counts().Unreachable },
		"backend_crashes":      func() int64 { return n.backend.Counts().Crashes },
		"requests_held":        func() int64 { return n.backend.Counts().Held },
		"requests_quarantined": func() int64 { return n.backend.Counts().Quarantined },
		"suspects_marked":      func() int64 { marked, _ := n.backend.Suspects(); return marked },
		"suspects_quarantined": func() int64 { _, quarantined := n.backend.Suspects(); return quarantined },
		"suspects_collected":   n.collector.Collected,
		"duties_hung":          n.hungDuties.Load,
		"evacuations":          func() int64 { return int64(len(*n.evacuations.Load())) },
		"store_era":            func() int64 { return int64(n.store.Eras().Current()) },
		"uptime_seconds":       newUptimeGauge(),
	}
	for name, f := range gauges {
		if err := telemetry.RegisterGauge(m.registry, name, f); err != nil {
			return err
		}
	}
	for _, w := range n.fixedRings() {
		if err := telemetry.RegisterRing(m.registry, w.Ring, w.Stats); err != nil {
			return err
		}
	}
	return nil
}

// backendCold returns 1 while the backend server is cold, else 0.
func (n *Node) backendCold() int64 {
	if n.backend.Cold() {
		return 1
	}
	return 0
}

// configBehind returns for how many milliseconds the node has known that it lacks
// a configuration, or 0.
func (n *Node) configBehind() int64 {
	newer, table := n.nodes.NewerConfig(), n.routes.Load()
	if newer == nil || table != nil && newer.Version <= table.Version {
		return 0
	}
	return n.clock.Now().Sub(newer.Since).Milliseconds()
}

func newUptimeGauge() func() int64 {
	start := time.Now()
	return func() int64 { return int64(time.Since(start).Seconds()) }
}
