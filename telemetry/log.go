package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/ring"
)

// LogConfig holds the limits of a Log. Zero means the default stated with the
// field.
type LogConfig struct {
	// Window and PerWindow limit repeated events: of the events with the same
	// level and message, at most PerWindow are written in each Window. Defaults
	// 10 s and 5.
	Window    time.Duration
	PerWindow int
	// MaxEventKinds is the number of combinations of level and message that
	// have a limit of their own; default 512. All others share one limit.
	MaxEventKinds int
	// QueueSize is the number of events that wait to be written; default 512.
	// When the queue is full the oldest event is dropped, because telemetry
	// must not delay the router.
	QueueSize int
}

func (c LogConfig) withDefaults() LogConfig {
	if c.Window <= 0 {
		c.Window = 10 * time.Second
	}
	if c.PerWindow <= 0 {
		c.PerWindow = 5
	}
	if c.MaxEventKinds <= 0 {
		c.MaxEventKinds = 512
	}
	if c.QueueSize <= 0 {
		c.QueueSize = 512
	}
	return c
}

// Log is an apex/log handler that queues events. The goroutine of Run writes
// them. Loggers must not use Fatal, which exits before the queue has been
// written.
type Log struct {
	cfg          LogConfig
	out          io.Writer
	queue        *ring.Ring[queuedEvent]
	lostAfterRun atomic.Uint64 // events logged after Run ended
}

// queuedEvent is an event with its formatted line.
type queuedEvent struct {
	level     log.Level
	message   string
	timestamp time.Time
	line      []byte // ends in a newline
}

// eventKind identifies the events that share a limit.
type eventKind struct {
	level   log.Level
	message string
}

var _ log.Handler = (*Log)(nil)

// NewLog returns a Log that writes to out, usually os.Stderr. Nothing is
// written before Run.
func NewLog(cfg LogConfig, out io.Writer) *Log {
	cfg = cfg.withDefaults()
	return &Log{cfg: cfg, out: out, queue: ring.New[queuedEvent]("log", cfg.QueueSize, ring.DropOldest)}
}

// Logger returns a logger that passes events of the named level or a more
// severe one to l. The names are those of the settings file; an unknown name
// means info.
func (l *Log) Logger(level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return &log.Logger{Handler: l, Level: parsed}
}

// HandleLog implements log.Handler. It does not wait, and always returns nil,
// because apex/log would print an error in another format.
func (l *Log) HandleLog(e *log.Entry) error {
	timestamp := e.Timestamp
	if timestamp.IsZero() {
		timestamp = time.Now()
	}
	if l.queue.Push(context.Background(), queuedEvent{e.Level, e.Message, timestamp, formatEvent(timestamp, e)}) != nil {
		l.lostAfterRun.Add(1)
	}
	return nil
}

// QueueStats returns the counters of the queue of events.
func (l *Log) QueueStats() ring.Stats { return l.queue.Stats() }

// Run writes queued events until ctx ends, and then those that are still
// queued. It also reports suppressed and dropped events.
func (l *Log) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, l.queue.Close)()
	w := &logWriter{Log: l, windows: map[eventKind]*eventWindow{}}
	ring.Consume(context.WithoutCancel(ctx), l.queue, time.Second, w.writeLimited, func() { w.closeWindows(time.Now(), false) })
	w.closeWindows(time.Now(), true)
}

// logWriter limits and writes events. Only the goroutine of Run uses it.
type logWriter struct {
	*Log
	windows         map[eventKind]*eventWindow
	reportedDropped uint64 // dropped events that have been reported
}

// eventWindow counts the events of one kind in the current window.
type eventWindow struct {
	startedAt  time.Time
	written    int
	suppressed int
}

// writeLimited writes e unless the limit of its kind has been reached in the
// current window.
func (w *logWriter) writeLimited(e queuedEvent) {
	now := time.Now()
	kind := eventKind{e.level, e.message}
	window := w.windows[kind]
	if window == nil && len(w.windows) >= w.cfg.MaxEventKinds {
		kind = eventKind{log.WarnLevel, "other events"}
		window = w.windows[kind]
	}
	if window == nil {
		window = &eventWindow{startedAt: now}
		w.windows[kind] = window
	}
	if now.Sub(window.startedAt) >= w.cfg.Window {
		w.reportSuppressed(kind, window, now)
		*window = eventWindow{startedAt: now}
	}
	if window.written >= w.cfg.PerWindow {
		window.suppressed++
		return
	}
	window.written++
	w.write(e.line)
}

// closeWindows removes the windows that have passed, or all of them, and
// reports their suppressed events. It also reports the events that the queue
// has dropped since the last report.
func (w *logWriter) closeWindows(now time.Time, closeAll bool) {
	for kind, window := range w.windows {
		if closeAll || now.Sub(window.startedAt) >= w.cfg.Window {
			w.reportSuppressed(kind, window, now)
			delete(w.windows, kind)
		}
	}
	if dropped := w.queue.Stats().Dropped; dropped > w.reportedDropped {
		w.writeEvent(log.WarnLevel, "log queue full, oldest events dropped", now, log.Fields{"dropped": dropped - w.reportedDropped})
		w.reportedDropped = dropped
	}
}

// reportSuppressed logs how many events of a kind were suppressed, if any,
// under the level and message of that kind.
func (w *logWriter) reportSuppressed(kind eventKind, window *eventWindow, now time.Time) {
	if window.suppressed > 0 {
		w.writeEvent(kind.level, kind.message, now, log.Fields{
			"suppressed": window.suppressed, "window_ms": now.Sub(window.startedAt).Milliseconds(),
		})
	}
}

// writeEvent writes an event of the log itself, without a limit.
func (w *logWriter) writeEvent(level log.Level, message string, timestamp time.Time, fields log.Fields) {
	w.write(formatEvent(timestamp, &log.Entry{Level: level, Message: message, Fields: fields}))
}

// write ignores an error, because the output itself is the only place to report
// it.
func (w *logWriter) write(line []byte) { _, _ = w.out.Write(line) }
