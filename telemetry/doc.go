// Package telemetry writes logs and serves metrics. An event is logged as one
// line of key=value pairs. Repeated events are rate-limited, and the number
// suppressed is logged. The metrics of a go-metrics registry are served in the
// Prometheus text format.
package telemetry
