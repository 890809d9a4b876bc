package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// runEntry is one run of a request at a backend.
type runEntry struct {
	id, instance, service, caller, method, target string
	key                                           int
	at                                            time.Duration
	timeoutMs                                     string
	born                                          int64
}

// answerEntry is what a caller got.
type answerEntry struct {
	id, node, kind       string
	sentAt, at           time.Duration
	status               int // 0 without a complete answer
	err                  string
	signature, retry     string
	bodyOK, early        bool
	method, path, callID string
}

// holdEntry is a set of rows that a backend holds until a time.
type holdEntry struct {
	instance string
	b        *backend
	rows     []heldRow
	at       time.Duration
	until    time.Duration
}

// recorder writes what happens to a file and keeps it for the checks.
type recorder struct {
	mu      sync.Mutex
	started time.Time
	out     *bufio.Writer
	file    *os.File
	runs    []runEntry
	answers []answerEntry
	holds   []holdEntry
	sent    map[string]answerEntry
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), out: bufio.NewWriter(f), file: f, sent: map[string]answerEntry{}}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.started) }

// add writes a line of the form "seconds event name=value ...".
func (r *recorder) add(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(event, fields...)
}

func (r *recorder) line(event string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s", r.now().Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	_, _ = r.out.WriteString(b.String())
}

func (r *recorder) run(id string, b *backend, req *http.Request, key int, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, runEntry{id, b.cfg.instance, b.cfg.service, req.Header.Get(headerCaller), req.Method, req.RequestURI, key, r.now(), req.Header.Get(headerTimeout), b.cfg.born})
	r.line("run", "id", id, "instance", b.cfg.instance, "method", req.Method, "target", req.RequestURI, "key", key, "bytes", len(body))
}

func (r *recorder) hold(b *backend, rows []heldRow, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holds = append(r.holds, holdEntry{b.cfg.instance, b, rows, r.now(), until.Sub(r.started)})
	total := 0
	for _, x := range rows {
		total += x.to - x.from + 1
	}
	r.line("hold", "instance", b.cfg.instance, "rows", len(rows), "keys", total, "until", fmt.Sprintf("%.3f", until.Sub(r.started).Seconds()))
}

func (r *recorder) sending(a answerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[a.id] = a
	r.line("sent", "id", a.id, "node", a.node, "method", a.method, "path", a.path, "kind", a.kind)
}

func (r *recorder) answered(a answerEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.at = r.now()
	r.answers = append(r.answers, a)
	if a.status == 0 {
		r.line("no-answer", "id", a.id, "node", a.node, "error", strings.ReplaceAll(a.err, " ", "_"))
		return
	}
	r.line("answer", "id", a.id, "node", a.node, "status", a.status, "signature", a.signature, "whole", a.bodyOK, "retry_after", a.retry)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
