package sidecar

import (
	"context"

	"marjoramshore.example/ring"
	"marjoramshore.example/sidecar/watchdog"
)

// fixedRings returns the rings that the node has all the time, with their readers. The
// ring of log lines is not among them: a node whose output nobody reads serves on.
func (n *Node) fixedRings() []watchdog.Watched {
	offers := func() ring.Stats { s, _ := n.backend.RingStats(); return s }
	events := func() ring.Stats { _, s := n.backend.RingStats(); return s }
	return []watchdog.Watched{
		{Duty: "declared configuration", Ring: "configuration", Stats: n.configs.RingStats, Bound: watchdog.Bound},
		{Duty: "nodes", Ring: "fleet", Stats: n.nodes.RingStats, Bound: watchdog.Bound},
		{Duty: "announce", Ring: "announce", Stats: n.announcer.RingStats, Bound: watchdog.CallBound},
		{Duty: "reclaimer", Ring: "quota", Stats: n.quota.RingStats, Bound: watchdog.Bound},
		{Duty: "reclaimer of calls", Ring: "call_quota", Stats: n.callQuota.RingStats, Bound: watchdog.Bound},
		{Duty: "marks", Ring: "suspect_marks", Stats: n.spreader.RingStats, Bound: watchdog.Bound},
		{Duty: "marks", Ring: "suspect_results", Stats: n.spreader.ResultRingStats, Bound: watchdog.Bound},
		{Duty: "collected marks", Ring: "suspect_collected", Stats: n.collector.RingStats, Bound: watchdog.Bound},
		{Duty: "quarantines", Ring: "quarantines", Stats: n.quarantines.RingStats, Bound: watchdog.CallBound},
		{Duty: "backend", Ring: "backend_offers", Stats: offers, Bound: watchdog.Bound},
		{Duty: "backend", Ring: "backend_events", Stats: events, Bound: watchdog.Bound},
	}
}

// rings returns all rings, with those of the services' key controllers.
func (n *Node) rings() []watchdog.Watched {
	rings := n.fixedRings()
	for s, c := range *n.controllers.Load() {
		rings = append(rings, watchdog.Watched{Duty: "keys", Ring: "keys_" + string(s), Stats: c.RingStats, Bound: watchdog.Bound})
		if s == n.self.Service {
			rings = append(rings, watchdog.Watched{Duty: "key calls", Ring: "key_calls_" + string(s), Stats: c.CallRingStats, Bound: watchdog.Bound})
		}
	}
	return rings
}

// watchRings makes the node unready while one of its duties hangs.
func (n *Node) watchRings(ctx context.Context) {
	watchdog.Run(ctx, watchdog.Config{
		Clock: n.clock, Log: n.log, Rings: n.rings,
		OnChange: func(hung int) { n.hungDuties.Store(int64(hung)) },
		OnHang:   func() { n.metrics.hangs.Inc(1) },
	})
}
