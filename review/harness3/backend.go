package main

import (
	"bytes"
	"context"
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
	headerID       = "X-Marjoramshore-Attempt-Id"
	headerKey      = "X-Marjoramshore-Shard-Key"
	headerTimeout  = "X-Marjoramshore-Timeout-Ms"
	headerCaller   = "X-Marjoramshore-Caller-Service"
	headerInstance = "X-Marjoramshore-Expected-Instance"
	headerSigned   = "X-Marjoramshore-Response-Signature"
	headerNotRun   = "X-Marjoramshore-Not-Executed"
	headerLoad     = "X-Marjoramshore-Backend-Load"
)

// keyRow is a range of keys that a backend server holds, From and To included.
type keyRow struct {
	From, To int
	Fence    int64
}

// backend is a stand-in for a backend server. It reports to the node beside it, holds
// the keys that it is granted, and answers requests.
type backend struct {
	instance string
	node     *node
	slots    int
	sharded  bool
	work     time.Duration
	phase    time.Duration // of its reports, after the start of a period
	born     int64
	board    *board
	// onRequest, if set, is called when the head of a request has arrived.
	onRequest func(b *backend, r *http.Request)

	// onRun, if set, is called when a request begins to run.
	onRun func(b *backend, r *http.Request)
	// answer, if set, may answer a request that has run. It returns true if it has.
	answer func(w http.ResponseWriter, r *http.Request) bool

	server *http.Server
	stop   context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	held    []keyRow
	until   time.Time
	working map[int]int // requests that run by key
	freed   [][]any
	// everFreed are the rows that were released in reports that were answered.
	everFreed []keyRow
	seq       int
	state     string
	answered  time.Time // when the last report was answered
	granted   time.Time // when rows were last granted
	running   int
}

// board knows all backend servers of the sharded service.
type board struct {
	mu    sync.Mutex
	all   []*backend
	began []runStart
	// longest is the longest time so far in which two of them held the same keys.
	longest atomic.Int64
}

// runStart is the beginning of a request for a key.
type runStart struct {
	at       time.Time
	instance string
	key      int
	id       string
}

func (b *backend) start() {
	ln, err := net.Listen("tcp", b.node.app)
	if err != nil {
		cannotRun("backend server %s: %v", b.instance, err)
	}
	b.born, b.state, b.working = time.Now().UnixMilli(), "ready", map[int]int{}
	b.ctx, b.stop = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(ln) }()
	if b.board != nil {
		b.board.mu.Lock()
		b.board.all = append(b.board.all, b)
		b.board.mu.Unlock()
	}
	go b.sendReports()
}

// setPhase sets when in a period the reports are sent.
func (b *backend) setPhase(phase time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.phase = phase % b.node.heartbeat
}

// crash ends the backend server at once.
func (b *backend) crash() {
	b.stop()
	_ = b.server.Close()
	b.mu.Lock()
	b.held = nil
	b.mu.Unlock()
}

// holds reports whether the server holds a key. The caller holds the lock.
func (b *backend) holds(key int) bool {
	if !time.Now().Before(b.until) {
		return false
	}
	for _, r := range b.held {
		if r.From <= key && key <= r.To {
			return true
		}
	}
	return false
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Marjoramshore-Backend-Id", b.instance)
		return
	}
	if b.onRequest != nil {
		b.onRequest(b, r)
	}
	key := -1
	if text := r.Header.Get(headerKey); text != "" {
		key, _ = strconv.Atoi(text)
	}
	b.mu.Lock()
	other := r.Header.Get(headerInstance) != "" && r.Header.Get(headerInstance) != b.instance
	if other || b.sharded && key >= 0 && !b.holds(key) {
		b.mu.Unlock()
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.running >= b.slots {
		b.mu.Unlock()
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	b.working[key]++
	work := b.work
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		if b.working[key]--; b.working[key] == 0 {
			delete(b.working, key)
		}
		b.mu.Unlock()
	}()
	if b.board != nil {
		b.board.mu.Lock()
		b.board.began = append(b.board.began, runStart{time.Now(), b.instance, key, id})
		b.board.mu.Unlock()
	}
	if b.onRun != nil {
		b.onRun(b, r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerSigned, "signed-by-"+b.instance)
	if b.answer != nil && b.answer(w, r) {
		return
	}
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", b.running, b.slots))
	_, _ = fmt.Fprintf(w, "%s %s %d %s", r.Method, r.RequestURI, len(body), r.Header.Get(headerCaller))
}

// sendReports sends a report each period, and again at once after keys were released.
func (b *backend) sendReports() {
	client := &http.Client{Timeout: time.Second}
	for {
		period := b.node.heartbeat
		now := time.Since(began)
		b.mu.Lock()
		next := now.Truncate(period) + b.phase
		b.mu.Unlock()
		for next <= now {
			next += period
		}
		select {
		case <-time.After(next - now):
		case <-b.ctx.Done():
			return
		}
		for b.sendReport(client) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendReport sends one report and applies the grant in its answer. It returns true if
// keys were released.
func (b *backend) sendReport(client *http.Client) bool {
	sentAt := time.Now()
	b.mu.Lock()
	b.seq++
	report := map[string]any{
		"address": b.node.app, "born": b.born,
		"info":   map[string]any{"service": b.node.service, "version": "v1", "zone": b.node.zone, "slots": b.slots},
		"status": map[string]any{"state": b.state, "seq": b.seq, "cold-remaining": "0ms"},
	}
	freed := len(b.freed)
	if b.sharded {
		rows := [][]any{}
		if sentAt.Before(b.until) {
			for _, r := range b.held {
				rows = append(rows, []any{r.From, r.To, r.Fence})
			}
		}
		report["holds"], report["freed"] = rows, append([][]any{}, b.freed...)
	}
	b.mu.Unlock()
	body, _ := json.Marshal(report)
	resp, err := client.Post("http://"+b.node.control+"/instances/"+b.instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode/100 != 2 || len(data) > 4<<10 {
		return false
	}
	var grant struct {
		Holds *[][]any `json:"holds"`
		Time  string   `json:"hold_time"`
	}
	if json.Unmarshal(data, &grant) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = time.Now()
	for _, f := range b.freed[:freed] {
		b.everFreed = append(b.everFreed, keyRow{From: f[0].(int), To: f[1].(int)})
	}
	b.freed = b.freed[freed:]
	hold, err := time.ParseDuration(grant.Time)
	if grant.Holds == nil || err != nil {
		return false
	}
	rows := []keyRow{}
	for _, h := range *grant.Holds {
		rows = append(rows, keyRow{int(h[0].(float64)), int(h[1].(float64)), int64(h[2].(float64))})
	}
	released := false
	if sentAt.Before(b.until) {
		for _, old := range b.held {
			for _, part := range without(old, rows) {
				b.freed = append(b.freed, []any{part.From, part.To, fmt.Sprintf("%016x", part.From)})
				released = true
			}
		}
	}
	if changed := !sameRows(b.held, rows); changed {
		note("%s: is granted %d rows, %d keys, for %v; released %t", b.instance, len(rows), countKeys(rows), hold, released)
	}
	b.held, b.until = rows, sentAt.Add(hold)
	if len(rows) > 0 {
		b.granted = b.answered
	}
	return released
}

func sameRows(a, b []keyRow) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func countKeys(rows []keyRow) int {
	n := 0
	for _, r := range rows {
		n += r.To - r.From + 1
	}
	return n
}

// without returns the parts of a row that none of the others covers.
func without(r keyRow, others []keyRow) []keyRow {
	parts := []keyRow{r}
	for _, o := range others {
		var next []keyRow
		for _, p := range parts {
			if o.To < p.From || p.To < o.From {
				next = append(next, p)
				continue
			}
			if p.From < o.From {
				next = append(next, keyRow{p.From, o.From - 1, p.Fence})
			}
			if o.To < p.To {
				next = append(next, keyRow{o.To + 1, p.To, p.Fence})
			}
		}
		parts = next
	}
	return parts
}

// current returns the rows that the server holds now.
func (b *backend) current() []keyRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !time.Now().Before(b.until) {
		return nil
	}
	return append([]keyRow(nil), b.held...)
}

// covers reports whether rows cover a key.
func covers(rows []keyRow, key int) bool {
	for _, r := range rows {
		if r.From <= key && key <= r.To {
			return true
		}
	}
	return false
}

// overlap is a time in which two servers held the same keys.
type overlap struct {
	a, b       string
	from, to   time.Time
	keys       []keyRow
	stillGoing bool
}

// watchHolders samples what all servers hold at the same instant, each 2 ms, until ctx
// ends, and returns the times in which two of them held the same keys.
func (bd *board) watchHolders(ctx context.Context) []*overlap {
	var all []*overlap
	for ctx.Err() == nil {
		bd.mu.Lock()
		servers := append([]*backend(nil), bd.all...)
		bd.mu.Unlock()
		for _, s := range servers {
			s.mu.Lock()
		}
		now := time.Now()
		held := make([][]keyRow, len(servers))
		for i, s := range servers {
			if now.Before(s.until) {
				held[i] = append([]keyRow(nil), s.held...)
			}
			for key := range s.working {
				if key >= 0 && !covers(held[i], key) {
					held[i] = append(held[i], keyRow{key, key, 0})
				}
			}
		}
		for _, s := range servers {
			s.mu.Unlock()
		}
		for i := range servers {
			for j := i + 1; j < len(servers); j++ {
				var common []keyRow
				for _, x := range held[i] {
					for _, y := range held[j] {
						if x.From <= y.To && y.From <= x.To {
							common = append(common, keyRow{max(x.From, y.From), min(x.To, y.To), max(x.Fence, y.Fence)})
						}
					}
				}
				var going *overlap
				for _, o := range all {
					if o.stillGoing && o.a == servers[i].instance && o.b == servers[j].instance {
						going = o
					}
				}
				switch {
				case len(common) > 0 && going == nil:
					all = append(all, &overlap{a: servers[i].instance, b: servers[j].instance, from: now, to: now, keys: common, stillGoing: true})
					note("%s and %s both hold %d keys from now on, in %d rows, first %v", servers[i].instance, servers[j].instance, countKeys(common), len(common), common[0])
				case len(common) > 0:
					going.to = now
					bd.longest.Store(max(bd.longest.Load(), int64(now.Sub(going.from))))
				case going != nil:
					going.stillGoing = false
					note("%s and %s no longer hold the same keys, after %v", going.a, going.b, going.to.Sub(going.from))
				}
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	return all
}
