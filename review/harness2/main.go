// Command harness2 runs the cases of a review: processes of the project beside
// stand-ins of the platform's store, of backend servers and of clients.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// run is one run of a case.
type run struct {
	// trouble is false for a run without the disruption.
	trouble bool
	dir     string
	store   *store
	nodes   []*node
	mu      sync.Mutex
	record  io.Writer
	started time.Time
}

// logf adds a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(*run) int{"6": ownerCase, "7": quotaCase, "8": lostCase, "memory": pipelineCase, "9": crashCase, "10": pathCase}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(play func(*run) int, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: io.MultiWriter(record, os.Stdout), started: time.Now()}
	defer func() {
		for _, n := range r.nodes {
			n.kill()
		}
	}()
	if r.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	done := make(chan int, 1)
	go func() { done <- play(r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	code := notRun
	select {
	case code = <-done:
	case <-signals:
		r.logf("ended by a signal")
	case <-time.After(115 * time.Second):
		r.logf("not done in time")
	}
	r.logf("exit code %d (0 rule held, 1 rule broken, 2 not run)", code)
	return code
}

// startAll starts the nodes and their backend servers' reports, and waits until the
// nodes are ready and in touch.
func (r *run) startAll(backends ...*backend) bool {
	for i, n := range r.nodes {
		if err := n.start(); err != nil {
			r.logf("starting %s failed: %v", n.id, err)
			return false
		}
		backends[i].startReports(n.addr("control"))
	}
	for _, n := range r.nodes {
		for end := time.Now().Add(10 * time.Second); !n.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				r.logf("%s does not become ready", n.id)
				return false
			}
		}
	}
	time.Sleep(4 * time.Second) // stable-window is 3 s
	return true
}

// putConfig writes the configuration, as an operator does.
func (r *run) putConfig(routes, services [][]any) {
	r.store.put("config", "main", map[string]any{
		"version":  "00000007",
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "type", "timeout", "target-latency", "priority", "service", "attempts", "weighted-clusters"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-connections", "protocol", "tls", "sharded", "warmup", "grants"}, "rows": services},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
	})
}

// service returns the row of a service that is not divided by key.
func service(name string) []any { return []any{name, "/health", 130, "h1", false, nil, nil, nil} }

// requestHead returns the head of a request, without the empty line at its end.
func requestHead(method, target, id string, timeoutMs int, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Marjoramshore-Attempt-Id: %s\r\nX-Marjoramshore-Timeout-Ms: %d\r\n", method, target, id, timeoutMs)
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head
}

// exchange sends a request on a connection of its own and returns the status line of
// the answer, or "" without one within wait.
func exchange(addr, request string, wait time.Duration) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, request); err != nil {
		return ""
	}
	out, _ := io.ReadAll(c)
	line, _, _ := strings.Cut(string(out), "\r\n")
	return line
}
