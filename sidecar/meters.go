package sidecar

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"marjoramshore.example/ring"
	"marjoramshore.example/sidecar/router"
	"marjoramshore.example/telemetry"
)

// meters are the node's counters and histograms.
type meters struct {
	registry metrics.Registry
	answered metrics.Counter
	repeats  metrics.Counter
	grants   metrics.Counter
	latency  metrics.Timer
	held     metrics.Timer
}

func newMeters(r metrics.Registry) *meters {
	return &meters{
		registry: r,
		answered: metrics.GetOrRegisterCounter("requests_answered", r),
		repeats:  metrics.GetOrRegisterCounter("requests_repeated", r),
		grants:   metrics.GetOrRegisterCounter("status_reports", r),
		latency:  metrics.GetOrRegisterTimer("request", r),
		held:     metrics.GetOrRegisterTimer("request_held", r),
	}
}

// request records the end of a request.
func (m *meters) request(s router.Summary) {
	m.latency.Update(s.Took)
	if s.Held > 0 {
		m.held.Update(s.Held)
	}
	m.repeats.Inc(int64(s.Repeats))
	if s.Err == nil {
		m.answered.Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("requests_failed_"+s.Err.Code.String(), m.registry).Inc(1)
}

// watch registers what is read when metrics are served.
func (m *meters) watch(n *Node) error {
	gauges := map[string]func() int64{
		"config_version": func() int64 {
			if t := n.routes.Load(); t != nil {
				return int64(t.Version)
			}
			return 0
		},
		"nodes_known":       func() int64 { return int64(len(n.nodes.Snapshot().Nodes)) },
		"backend_in_flight": n.backend.InFlight,
		"hops_read_late":    n.delays.LateRequests,
		"uptime_seconds":    uptime(),
	}
	for name, f := range gauges {
		if err := telemetry.RegisterGauge(m.registry, name, f); err != nil {
			return err
		}
	}
	rings := map[string]func() ring.Stats{
		"fleet":          n.nodes.Ring,
		"backend_offers": func() ring.Stats { s, _ := n.backend.Rings(); return s },
		"backend_events": func() ring.Stats { _, s := n.backend.Rings(); return s },
	}
	for name, f := range rings {
		if err := telemetry.RegisterRing(m.registry, name, f); err != nil {
			return err
		}
	}
	return nil
}

func uptime() func() int64 {
	start := time.Now()
	return func() int64 { return int64(time.Since(start).Seconds()) }
}
