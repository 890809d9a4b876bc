package telemetry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"marjoramshore.example/ring"
)

// Error reports that a metric could not be registered, or that the metrics
// server could not run or be stopped.
type Error struct {
	Operation string
	Cause     error
}

func (e *Error) Error() string { return "telemetry: " + e.Operation + ": " + e.Cause.Error() }

func (e *Error) Unwrap() error { return e.Cause }

// RegisterRing registers the counters of a ring as gauges named ring_NAME_len,
// _cap, _high_water, _pushed, _popped, _refused and _dropped. The error is an *Error.
func RegisterRing(r metrics.Registry, name string, stats func() ring.Stats) error {
	for suffix, value := range map[string]func(ring.Stats) int64{
		"len":        func(s ring.Stats) int64 { return int64(s.Len) },
		"cap":        func(s ring.Stats) int64 { return int64(s.Cap) },
		"high_water": func(s ring.Stats) int64 { return int64(s.HighWater) },
		"pushed":     func(s ring.Stats) int64 { return int64(s.Pushed) },
		"popped":     func(s ring.Stats) int64 { return int64(s.Popped) },
		"refused":    func(s ring.Stats) int64 { return int64(s.Refused) },
		"dropped":    func(s ring.Stats) int64 { return int64(s.Dropped) },
	} {
		if err := RegisterGauge(r, "ring_"+name+"_"+suffix, func() int64 { return value(stats()) }); err != nil {
			return err
		}
	}
	return nil
}

// RegisterGauge registers a gauge. The function value is called each time that
// the metrics are written, and must be safe for concurrent use. The error is an
// *Error.
func RegisterGauge(r metrics.Registry, name string, value func() int64) error {
	if err := r.Register(name, metrics.NewFunctionalGauge(value)); err != nil {
		return &Error{Operation: "register " + name, Cause: err}
	}
	return nil
}

// quantiles are the quantiles that are written for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteMetrics writes every metric of r, ordered by name, in the Prometheus
// text format. Timers are written in seconds.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	byName := map[string]any{}
	var names []string
	r.Each(func(name string, m any) {
		byName[name] = m
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, metricName(name), byName[name])
	}
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", m.Count())
	case metrics.Gauge:
		writeValue(w, name, "gauge", m.Value())
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeValue(w, name, "counter", m.Count())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles), 1)
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", s.Count(), float64(s.Sum()), s.Percentiles(quantiles), float64(time.Second))
	}
}

func writeValue(w io.Writer, name, metricType string, v any) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, metricType, name, v)
}

// writeSummary writes a summary. sum and values are divided by divisor, which
// converts them to the unit of the metric.
func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64, divisor float64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, q, values[i]/divisor)
	}
	fmt.Fprintf(w, "%s_sum %v\n%s_count %d\n", name, sum/divisor, name, count)
}

// metricName replaces the characters that Prometheus does not allow in a name.
func metricName(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == ':' {
			return c
		}
		return '_'
	}, name)
}

// MetricsHandler returns a handler that responds with the metrics of r.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		var b bytes.Buffer
		WriteMetrics(&b, r)
		// A caller that left does not need the metrics.
		_, _ = w.Write(b.Bytes())
	})
}

// metricsTimeout bounds the time to read a request, and to write its response.
const metricsTimeout = 10 * time.Second

// MetricsServer is an HTTP server for GET /metrics.
type MetricsServer struct {
	server   *http.Server
	listener net.Listener
}

// NewMetricsServer returns a server for the metrics of r on ln, which it owns
// from then on.
func NewMetricsServer(ln net.Listener, r metrics.Registry) *MetricsServer {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", MetricsHandler(r))
	// net/http is used because hertz limits neither the trailers of a request
	// nor the time in which the first request of a connection arrives.
	return &MetricsServer{listener: ln, server: &http.Server{
		Handler: mux, MaxHeaderBytes: 8 << 10, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: time.Minute,
		// A request that cannot be read concerns only its sender.
		ErrorLog: log.New(io.Discard, "", 0),
	}}
}

// Serve serves requests until Shutdown or Close. The error is an *Error.
func (s *MetricsServer) Serve() error {
	if err := s.server.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Operation: "serve metrics", Cause: err}
	}
	return nil
}

// Shutdown stops the server. The error is an *Error.
func (s *MetricsServer) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return &Error{Operation: "stop serving metrics", Cause: err}
	}
	return nil
}

// Close ends the server, and requests that are being served. The listener is
// closed when it returns, even if Serve has not run yet.
func (s *MetricsServer) Close() {
	_ = s.server.Close()
	_ = s.listener.Close()
}
