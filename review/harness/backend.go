package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID          = "X-Marjoramshore-Attempt-Id"
	headerTimeout     = "X-Marjoramshore-Timeout-Ms"
	headerKey         = "X-Marjoramshore-Shard-Key"
	headerCaller      = "X-Marjoramshore-Caller-Service"
	headerInstance    = "X-Marjoramshore-Expected-Instance"
	headerNotExecuted = "X-Marjoramshore-Not-Executed"
	headerSignature   = "X-Marjoramshore-Response-Signature"
	headerLoad        = "X-Marjoramshore-Backend-Load"
)

// backendConfig configures a stand-in for a backend server.
type backendConfig struct {
	service, instance, address, control string
	born                                int64
	sharded                             bool
	slots                               int
	work                                time.Duration
	heartbeat                           time.Duration
}

type heldRow struct {
	from, to int
	fence    int64
}

// backend is a stand-in for a backend server. It reports to the node beside it,
// holds the keys that it is granted, and runs requests.
type backend struct {
	cfg     backendConfig
	rec     *recorder
	ln      net.Listener
	http    *http.Server
	closed  atomic.Bool
	stop    chan struct{}
	done    sync.WaitGroup
	running atomic.Int64
	slots   chan struct{}

	mu        sync.Mutex
	seq       int
	state     string
	silent    bool // no status reports are sent
	held      []heldRow
	heldUntil time.Time
	freed     [][]any
	working   map[int]int // running requests by key
	// leaveAckedAt is when a report that it leaves, or its deregistration, was
	// acknowledged.
	leaveAckedAt time.Time
	exitedAt     atomic.Int64 // since the start of the case, or 0
	lateDone     chan struct{}
}

func startBackend(cfg backendConfig, rec *recorder) (*backend, error) {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", cfg.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	if cfg.born == 0 {
		cfg.born = time.Now().UnixMilli()
	}
	b := &backend{cfg: cfg, rec: rec, ln: ln, stop: make(chan struct{}), state: "ready", working: map[int]int{}, slots: make(chan struct{}, cfg.slots), lateDone: make(chan struct{}, 16)}
	b.http = &http.Server{Handler: b}
	b.done.Go(func() { _ = b.http.Serve(ln) })
	b.done.Go(b.reportLoop)
	rec.add("backend-start", "instance", cfg.instance, "service", cfg.service, "born", cfg.born)
	return b, nil
}

// exit ends the backend at once: its listener and its connections close.
func (b *backend) exit() {
	if b.closed.Swap(true) {
		return
	}
	b.exitedAt.Store(int64(b.rec.now()))
	close(b.stop)
	_ = b.http.Close()
	b.done.Wait()
	b.rec.add("backend-exit", "instance", b.cfg.instance)
}

func signature(instance, id string, body []byte) string {
	sum := sha256.Sum256(append([]byte(instance+" "+id+" "), body...))
	return instance + "." + hex.EncodeToString(sum[:8])
}

// holdsKey reports whether the key is held. The caller holds the lock.
func (b *backend) holdsKey(key int) bool {
	if !time.Now().Before(b.heldUntil) {
		return false
	}
	for _, r := range b.held {
		if r.from <= key && key <= r.to {
			return true
		}
	}
	return false
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", b.running.Load(), b.cfg.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("X-Marjoramshore-Backend-Id", b.cfg.instance)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	key := -1
	if k := r.Header.Get(headerKey); k != "" {
		key, _ = strconv.Atoi(k)
	}
	expected := r.Header.Get(headerInstance)
	b.mu.Lock()
	misdirected := expected != "" && expected != b.cfg.instance || b.cfg.sharded && key >= 0 && !b.holdsKey(key)
	if !misdirected {
		b.working[key]++
	}
	b.mu.Unlock()
	if misdirected {
		b.rec.add("misdirected", "id", id, "instance", b.cfg.instance, "expected", expected, "key", key)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.rec.run(id, b, r, key, body)
	b.running.Add(1)
	defer func() {
		b.running.Add(-1)
		b.mu.Lock()
		b.working[key]--
		b.mu.Unlock()
	}()
	work := b.cfg.work
	if ms, err := strconv.Atoi(r.Header.Get("X-Work-Ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		b.rec.add("run-cut", "id", id, "instance", b.cfg.instance)
		return
	case <-b.stop:
		b.rec.add("run-lost", "id", id, "instance", b.cfg.instance)
		panic(http.ErrAbortHandler)
	}
	answer := []byte(fmt.Sprintf("%s %s %s %x", id, r.Method, r.RequestURI, sha256.Sum256(body)))
	w.Header().Set(headerSignature, signature(b.cfg.instance, id, answer))
	_, _ = w.Write(answer)
}

func (b *backend) reportLoop() {
	t := time.NewTicker(b.cfg.heartbeat)
	defer t.Stop()
	for {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		for n := 0; !silent && n < 5 && b.report(); n++ {
			time.Sleep(50 * time.Millisecond)
		}
		select {
		case <-b.stop:
			return
		case <-t.C:
		}
	}
}

// setSilent ends or resumes the status reports.
func (b *backend) setSilent(v bool) {
	b.mu.Lock()
	b.silent = v
	b.mu.Unlock()
}

// reportBody builds the next status report.
func (b *backend) reportBody() ([]byte, int, string, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	holds := [][]any{}
	if time.Now().Before(b.heldUntil) {
		for _, r := range b.held {
			holds = append(holds, []any{r.from, r.to, r.fence})
		}
	}
	doc := map[string]any{
		"address": b.cfg.address, "born": b.cfg.born,
		"info":   map[string]any{"service": b.cfg.service, "version": "v1", "zone": "z-a", "slots": b.cfg.slots},
		"status": map[string]any{"state": b.state, "seq": b.seq, "cold-remaining": "0ms"},
	}
	if b.cfg.sharded {
		doc["holds"], doc["freed"] = holds, append([][]any{}, b.freed...)
	}
	data, _ := json.Marshal(doc)
	return data, b.seq, b.state, len(b.freed)
}

// report sends a status report and applies the grant. It returns true if another
// report is due at once, because keys were released.
func (b *backend) report() bool {
	sentAt := time.Now()
	data, seq, state, freedCount := b.reportBody()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.cfg.control+"/instances/"+b.cfg.instance+"/heartbeat", "application/json", bytes.NewReader(data))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var grant struct {
		Holds [][]json.RawMessage `json:"holds"`
		Time  string              `json:"hold_time"`
	}
	if resp.StatusCode/100 != 2 || json.NewDecoder(resp.Body).Decode(&grant) != nil || b.closed.Load() {
		return false
	}
	if state == "draining" {
		b.noteLeaveAck("draining", seq)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freed = b.freed[freedCount:]
	return b.applyGrant(sentAt, grant.Holds, grant.Time)
}

func (b *backend) noteLeaveAck(how string, seq int) {
	b.mu.Lock()
	first := b.leaveAckedAt.IsZero()
	if first {
		b.leaveAckedAt = time.Now()
	}
	b.mu.Unlock()
	if first {
		b.rec.add("leave-acknowledged", "instance", b.cfg.instance, "how", how, "seq", seq)
	}
}

// applyGrant replaces the held rows. The caller holds the lock.
func (b *backend) applyGrant(sentAt time.Time, rows [][]json.RawMessage, holdTime string) bool {
	d, err := time.ParseDuration(holdTime)
	if err != nil || rows == nil {
		return false
	}
	var next []heldRow
	for _, columns := range rows {
		var r heldRow
		_ = json.Unmarshal(columns[0], &r.from)
		_ = json.Unmarshal(columns[1], &r.to)
		_ = json.Unmarshal(columns[2], &r.fence)
		next = append(next, r)
	}
	released := false
	if time.Now().Before(b.heldUntil) {
		for _, old := range b.held {
			covered := false
			for _, n := range next {
				covered = covered || n.from <= old.from && old.to <= n.to
			}
			if !covered {
				b.freed = append(b.freed, []any{old.from, old.to, fmt.Sprintf("%016x", old.from)})
				released = true
			}
		}
	}
	b.held, b.heldUntil = next, sentAt.Add(d)
	b.rec.hold(b, next, b.heldUntil)
	return released
}

// sendLateReport builds a status report now and delivers it to the node after a
// delay, as a network that holds it up would. Nobody waits for its answer.
func (b *backend) sendLateReport(delay time.Duration) {
	data, seq, state, _ := b.reportBody()
	b.rec.add("report-sent-late", "instance", b.cfg.instance, "seq", seq, "state", state, "arrives_in_ms", delay.Milliseconds())
	go func() {
		time.Sleep(delay)
		client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Post("http://"+b.cfg.control+"/instances/"+b.cfg.instance+"/heartbeat", "application/json", bytes.NewReader(data))
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		b.rec.add("late-report-arrived", "instance", b.cfg.instance, "seq", seq, "state", state, "status", status)
		b.lateDone <- struct{}{}
	}()
}

// deregister tells the node that the backend is leaving. It returns whether the
// node acknowledged it.
func (b *backend) deregister() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.cfg.control+"/instances/"+b.cfg.instance+"/deregister", "application/json", nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return false
	}
	b.noteLeaveAck("deregister", 0)
	return true
}
