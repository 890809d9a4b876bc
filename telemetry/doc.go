// Package telemetry writes logs and serves metrics. Logs are one line of
// key=value pairs for each event, on standard error; repeated events are
// limited and their suppressed number is reported. Metrics are those of a
// go-metrics registry in the Prometheus text format.
package telemetry
