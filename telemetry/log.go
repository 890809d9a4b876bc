package telemetry

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/ring"
)

// LogConfig sets the limits of a Log. Zero fields take the defaults.
type LogConfig struct {
	// Window and PerWindow limit repeated events: of the events with one level
	// and message, PerWindow are written in each Window. Defaults 10 s and 5.
	Window    time.Duration
	PerWindow int
	// Kinds bounds the levels and messages that are told apart; default 512.
	// Further ones share one limit.
	Kinds int
	// Queue is the size of the ring; default 512. The oldest line is dropped
	// when it is full, because telemetry must not delay the router.
	Queue int
}

func (c LogConfig) withDefaults() LogConfig {
	if c.Window <= 0 {
		c.Window = 10 * time.Second
	}
	if c.PerWindow <= 0 {
		c.PerWindow = 5
	}
	if c.Kinds <= 0 {
		c.Kinds = 512
	}
	if c.Queue <= 0 {
		c.Queue = 512
	}
	return c
}

// Log is an apex/log handler. Its goroutine, Run, is the only writer. Fatal
// must not be used with it, because it exits before the queue is written.
type Log struct {
	cfg  LogConfig
	out  io.Writer
	in   *ring.Ring[line]
	lost atomic.Uint64
}

type line struct {
	level   log.Level
	message string
	at      time.Time
	text    []byte // complete, with the line end
}

// kind tells repeated events apart.
type kind struct {
	level   log.Level
	message string
}

var _ log.Handler = (*Log)(nil)

// NewLog returns a Log that writes to out, usually os.Stderr.
func NewLog(cfg LogConfig, out io.Writer) *Log {
	cfg = cfg.withDefaults()
	return &Log{cfg: cfg, out: out, in: ring.New[line]("log", cfg.Queue, ring.DropOldest)}
}

// Logger returns a logger for a level name of the settings file; an unknown
// name means info.
func (l *Log) Logger(level string) *log.Logger {
	v, err := log.ParseLevel(level)
	if err != nil {
		v = log.InfoLevel
	}
	return &log.Logger{Handler: l, Level: v}
}

// HandleLog implements log.Handler. It never fails and never waits: apex/log
// would print an error in another format.
func (l *Log) HandleLog(e *log.Entry) error {
	at := e.Timestamp
	if at.IsZero() {
		at = time.Now()
	}
	if l.in.Push(context.Background(), line{e.Level, e.Message, at, format(at, e)}) != nil {
		l.lost.Add(1) // logged after Run ended
	}
	return nil
}

// Ring returns the counters of the queue.
func (l *Log) Ring() ring.Stats { return l.in.Stats() }

// Run writes the queued lines until ctx ends, and then those still queued.
func (l *Log) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, l.in.Close)()
	w := &writer{Log: l, seen: map[kind]*repeat{}}
	ring.Consume(context.WithoutCancel(ctx), l.in, time.Second, w.line, func() { w.sweep(time.Now(), false) })
	w.sweep(time.Now(), true)
}

// writer is owned by the goroutine of Run.
type writer struct {
	*Log
	seen    map[kind]*repeat
	dropped uint64
}

// repeat counts the events of one kind in the current window.
type repeat struct {
	start      time.Time
	written    int
	suppressed int
}

func (w *writer) line(v line) {
	now := time.Now()
	k := kind{v.level, v.message}
	r := w.seen[k]
	if r == nil && len(w.seen) >= w.cfg.Kinds {
		k = kind{log.WarnLevel, "other events"}
		r = w.seen[k]
	}
	if r == nil {
		r = &repeat{start: now}
		w.seen[k] = r
	}
	if now.Sub(r.start) >= w.cfg.Window {
		w.report(k, r, now)
		*r = repeat{start: now}
	}
	if r.written >= w.cfg.PerWindow {
		r.suppressed++
		return
	}
	r.written++
	w.write(v.text)
}

// sweep reports suppressed and dropped events, and forgets the kinds whose
// window has passed.
func (w *writer) sweep(now time.Time, all bool) {
	for k, r := range w.seen {
		if all || now.Sub(r.start) >= w.cfg.Window {
			w.report(k, r, now)
			delete(w.seen, k)
		}
	}
	if d := w.in.Stats().Dropped; d > w.dropped {
		w.event(log.WarnLevel, "log queue full", now, log.Fields{"dropped": d - w.dropped})
		w.dropped = d
	}
}

func (w *writer) report(k kind, r *repeat, now time.Time) {
	if r.suppressed > 0 {
		w.event(k.level, k.message, now, log.Fields{
			"suppressed": r.suppressed, "window_ms": now.Sub(r.start).Milliseconds(),
		})
	}
}

func (w *writer) event(level log.Level, message string, at time.Time, fields log.Fields) {
	w.write(format(at, &log.Entry{Level: level, Message: message, Fields: fields}))
}

// write ignores a failure: standard error is the only place to report it.
func (w *writer) write(text []byte) { _, _ = w.out.Write(text) }
