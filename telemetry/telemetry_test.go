package telemetry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"marjoramshore.example/ring"
)

// collectLogLines runs logEvents with a logger in virtual time and returns the
// lines that were written.
func collectLogLines(t *testing.T, cfg LogConfig, logEvents func(l *log.Logger)) (lines []string) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(cfg, &out)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { l.Run(ctx); close(done) }()
		logEvents(l.Logger("info"))
		cancel()
		<-done
		lines = strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	})
	return lines
}

// Guards against an event that spans several lines, loses a field, or injects
// one through a value.
func TestEventIsWrittenAsOneLine(t *testing.T) {
	lines := collectLogLines(t, LogConfig{}, func(l *log.Logger) {
		l.Debug("below the level")
		l.WithFields(log.Fields{
			"z": 1, "a": "plain", "empty": "", "b": "two\nlines level=error", "q": `say "x"`, "msg": "m", "k =": 2,
			"raw": "\xff", "p": (*panickingStringer)(nil),
		}).WithError(errors.New("lost")).Warn("lease expired")
		l.WithField("long", strings.Repeat("x", 5000)).Info("start")
	})
	must.Len(t, 2, lines)
	must.Eq(t, `time=2000-01-01T00:00:00.000Z level=warn msg="lease expired" a=plain b="two\nlines level=error" empty="" `+
		`error=lost k__=2 field_msg=m p=<nil> q="say \"x\"" raw="\xff" z=1`, lines[0])
	must.Less(t, 1200, len(lines[1]))
}

// panickingStringer has a String method that panics on a nil pointer.
type panickingStringer struct{ v int }

func (p *panickingStringer) String() string { return fmt.Sprint(p.v) }

// Guards against a repeated event that floods the log, and against suppressed
// events that are not reported.
func TestRepeatedEventsAreLimited(t *testing.T) {
	lines := collectLogLines(t, LogConfig{}, func(l *log.Logger) {
		for i := range 100 {
			l.WithField("i", i).Warn("probe failed")
			l.WithField("i", i).Error("probe failed")
			synctest.Wait()
		}
		time.Sleep(11 * time.Second)
		l.Warn("probe failed")
	})
	must.Len(t, 13, lines)
	var reports []string
	for _, line := range lines[10:12] {
		reports = append(reports, strings.SplitN(line, " ", 2)[1])
	}
	must.SliceContainsAll(t, []string{
		`level=error msg="probe failed" suppressed=95 window_ms=10000`,
		`level=warn msg="probe failed" suppressed=95 window_ms=10000`,
	}, reports)
}

// Guards against an event that is lost when Run ends, and against a window for
// each of an unlimited number of different messages.
func TestLogLimitsAndFinalFlush(t *testing.T) {
	lines := collectLogLines(t, LogConfig{MaxEventKinds: 10, QueueSize: 64}, func(l *log.Logger) {
		for i := range 50 {
			l.Info(fmt.Sprint("message ", i))
		}
	})
	must.Len(t, 16, lines) // ten kinds, five other events, one report of suppressed ones
	must.StrContains(t, lines[15], `msg="other events" suppressed=35`)

	var out bytes.Buffer
	l := NewLog(LogConfig{QueueSize: 4}, &out)
	for range 20 {
		l.Logger("info").Info("burst")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.Run(ctx)
	must.Eq(t, 4, strings.Count(out.String(), "msg=burst"))
	must.StrContains(t, out.String(), "dropped=16")
}

// Guards against output of a library that reaches the log in another format.
func TestWarnWriter(t *testing.T) {
	lines := collectLogLines(t, LogConfig{}, func(l *log.Logger) {
		_, _ = io.WriteString(WarnWriter(l, "http library"), "2026/01/01 x.go:1: [Error] HERTZ: broken\n")
	})
	must.Eq(t, `time=2000-01-01T00:00:00.000Z level=warn msg="http library" text="2026/01/01 x.go:1: [Error] HERTZ: broken"`, lines[0])
}

// Guards against a response that a Prometheus scraper cannot read.
func TestMetricsServerWritesPrometheusText(t *testing.T) {
	reg := metrics.NewRegistry()
	storeRing := ring.New[int]("store", 8, ring.Refuse)
	must.NoError(t, storeRing.Push(t.Context(), 1))
	must.NoError(t, RegisterRing(reg, "store", storeRing.Stats))
	must.Error(t, RegisterRing(reg, "store", storeRing.Stats))
	metrics.GetOrRegisterCounter("requests.refused", reg).Inc(3)
	h := metrics.NewHistogram(metrics.NewUniformSample(100))
	h.Update(7)
	must.NoError(t, reg.Register("hops", h))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := NewMetricsServer(ln, reg)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	resp, err := http.Get("http://" + ln.Addr().String() + "/metrics")
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, `# TYPE hops summary
hops{quantile="0.5"} 7
hops{quantile="0.9"} 7
hops{quantile="0.99"} 7
hops{quantile="0.999"} 7
hops_sum 7
hops_count 1
# TYPE requests_refused counter
requests_refused 3
# TYPE ring_store_cap gauge
ring_store_cap 8
# TYPE ring_store_dropped gauge
ring_store_dropped 0
# TYPE ring_store_high_water gauge
ring_store_high_water 1
# TYPE ring_store_len gauge
ring_store_len 1
# TYPE ring_store_popped gauge
ring_store_popped 0
# TYPE ring_store_pushed gauge
ring_store_pushed 1
# TYPE ring_store_refused gauge
ring_store_refused 0
`, string(body))
	http.DefaultClient.CloseIdleConnections()
	must.NoError(t, s.Shutdown(context.Background()))
	must.NoError(t, <-done)
}

// BenchmarkHandleLog measures the cost of an event to the goroutine that logs
// it.
func BenchmarkHandleLog(b *testing.B) {
	l := NewLog(LogConfig{}, io.Discard)
	go l.Run(b.Context())
	logger := l.Logger("info")
	b.ReportAllocs()
	for b.Loop() {
		logger.WithFields(log.Fields{"service": "hintapalvelu", "term": 7}).Info("lease renewed")
	}
}
