// Package keyed is a small stand-in for a backend server of the users'
// platform. It reports its state to the node beside it, holds the keys that it
// is granted, and answers requests on them.
package keyed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/standin/wire"
)

// Config sets up a Server.
type Config struct {
	Service, Instance string
	// ReportAddress is where status reports go.
	ReportAddress string
	Sharded       bool
	Slots         int
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration
	// ReportInterval is the interval of status reports.
	ReportInterval time.Duration
	// Observer hears of what the server sees, or is nil.
	Observer Observer
}

// Observer hears of what a server sees, in the order in which it happens. Its
// methods return at once.
type Observer interface {
	// RequestStarted tells that a request began to run.
	RequestStarted(instance string, r Request)
	// SlotsExceeded tells that more requests run than there are slots.
	SlotsExceeded(instance string, running int64)
	// KeysGranted tells what the run may work on from now until an instant.
	KeysGranted(instance string, rows []KeyRange, until time.Time)
	// LeaveAcknowledged tells that the node acknowledged that the run is leaving.
	LeaveAcknowledged(instance string)
}

// Request is a request as the server received it.
type Request struct {
	ID, Method, Target, Caller string
	// Key is the key, or -1.
	Key int
}

// Fault is how a server misbehaves towards requests.
type Fault int32

// Faults.
const (
	NoFault Fault = iota
	// NeverAnswer runs requests and never answers.
	NeverAnswer
	// CloseConnection runs requests and closes the connection instead of answering.
	CloseConnection
	// AnswerTwice sends a second answer after each.
	AnswerTwice
	// OmitSignature leaves the signature out.
	OmitSignature
	// TruncateAnswer breaks answers off.
	TruncateAnswer
	// AnswerError answers 500.
	AnswerError
)

// KeyRange is a granted span of keys.
type KeyRange struct {
	From, To int
	Fence    int64
}

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	cfg  Config
	ln   net.Listener
	http *http.Server
	born int64

	mu      sync.Mutex
	rows    []KeyRange
	until   time.Time
	freed   [][]any
	leaving bool
	runs    map[string]int

	stop    chan struct{}
	stopped sync.WaitGroup
	seq     int
	running atomic.Int64
	peak    atomic.Int64
	fault   atomic.Int32
}

// SetFault makes the server misbehave from now on, or ends that.
func (s *Server) SetFault(f Fault) { s.fault.Store(int32(f)) }

// Start serves on an address.
func Start(address string, cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, ln: ln, born: time.Now().UnixMilli(), runs: make(map[string]int), stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	s.stopped.Go(func() {
		// Serve returns when the listener is closed.
		_ = s.http.Serve(ln)
	})
	s.stopped.Go(s.report)
	return s, nil
}

// Crash ends the server without a word.
func (s *Server) Crash() {
	close(s.stop)
	_ = s.http.Close()
	s.stopped.Wait()
}

// Leave reports from now on that the run is about to stop.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// KeyRanges returns the keys that the run holds now.
func (s *Server) KeyRanges() []KeyRange {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.until) {
		return nil
	}
	return append([]KeyRange(nil), s.rows...)
}

// RunCount returns how often a request ran.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// PeakRunning returns the greatest number of requests that ran at once.
func (s *Server) PeakRunning() int64 { return s.peak.Load() }

func (s *Server) holds(key int) bool {
	if !time.Now().Before(s.until) {
		return false
	}
	for _, r := range s.rows {
		if r.From <= key && key <= r.To {
			return true
		}
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.HeaderAttemptID)
	w.Header().Set(wire.HeaderAttemptID, id)
	want := r.Header.Get(wire.Instance)
	key, _ := strconv.Atoi(r.Header.Get(wire.HeaderKey))
	s.mu.Lock()
	misdirected := want != "" && want != s.cfg.Instance || s.cfg.Sharded && !s.holds(key)
	if !misdirected {
		s.runs[id]++
	}
	s.mu.Unlock()
	if misdirected {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := s.running.Add(1)
	defer s.running.Add(-1)
	for p := s.peak.Load(); n > p && !s.peak.CompareAndSwap(p, n); p = s.peak.Load() {
	}
	if o := s.cfg.Observer; o != nil {
		if r.Header.Get(wire.HeaderKey) == "" {
			key = -1
		}
		o.RequestStarted(s.cfg.Instance, Request{id, r.Method, r.RequestURI, r.Header.Get(wire.Caller), key})
		if n > int64(s.cfg.Slots) {
			time.AfterFunc(noticed, s.recount)
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(s.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	s.answer(w, r, fmt.Sprintf("%s %s %d %s", r.Method, r.RequestURI, len(body), r.Header.Get(wire.Caller)))
}

// noticed is how long the end of a connection takes to end its request here. A
// node that gives a request up closes its connection and uses the slot at once.
const noticed = 20 * time.Millisecond

// recount reports requests beyond the slots that are still there after the ends
// of connections were noticed.
func (s *Server) recount() {
	if n := s.running.Load(); n > int64(s.cfg.Slots) {
		s.cfg.Observer.SlotsExceeded(s.cfg.Instance, n)
	}
}

// answer sends the answer, as the present fault has it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body string) {
	f := Fault(s.fault.Load())
	if f != OmitSignature {
		w.Header().Set(wire.HeaderSignature, "signed-by-"+s.cfg.Instance)
	}
	switch f {
	case NeverAnswer:
		<-r.Context().Done()
		return
	case CloseConnection:
		panic(http.ErrAbortHandler)
	case TruncateAnswer:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		// The handler returns too early, so the connection is closed.
		_, _ = io.WriteString(w, body)
		return
	case AnswerError:
		w.WriteHeader(http.StatusInternalServerError)
	case AnswerTwice:
		s.twice(w, body)
		return
	}
	// A caller that left does not need the answer.
	_, _ = io.WriteString(w, body)
}

// twice writes an answer and a second one that belongs to no request.
func (s *Server) twice(w http.ResponseWriter, body string) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	for name, values := range w.Header() {
		head += name + ": " + values[0] + "\r\n"
	}
	c, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, _ = buf.WriteString(head + "\r\n" + body + head + "\r\n" + body)
	_ = buf.Flush()
}

// report sends status reports until the server ends.
func (s *Server) report() {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	t := time.NewTicker(s.cfg.ReportInterval)
	defer t.Stop()
	for {
		more := s.send(client)
		for more {
			more = s.send(client)
		}
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
	}
}

// send makes one report and takes the grant of its answer. It reports whether
// keys were released, so that another report follows at once.
func (s *Server) send(client *http.Client) bool {
	sent := time.Now()
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	doc := map[string]any{
		"address": s.ln.Addr().String(), "born": s.born,
		"info":   map[string]any{"service": s.cfg.Service, "version": "v1", "zone": "a", "slots": s.cfg.Slots},
		"status": map[string]any{"state": state, "seq": s.seq, "cold-remaining": "0ms"},
	}
	freed := len(s.freed)
	if s.cfg.Sharded {
		rows := make([][]any, 0, len(s.rows))
		if sent.Before(s.until) {
			for _, r := range s.rows {
				rows = append(rows, []any{r.From, r.To, r.Fence})
			}
		}
		doc["holds"], doc["freed"] = rows, append([][]any{}, s.freed...)
	}
	s.mu.Unlock()
	body, err := json.Marshal(doc)
	if err != nil {
		return false
	}
	resp, err := client.Post("http://"+s.cfg.ReportAddress+"/instances/"+s.cfg.Instance+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var grant struct {
		Holds [][]any `json:"holds"`
		Time  string  `json:"hold_time"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&grant) != nil {
		return false
	}
	if o := s.cfg.Observer; o != nil && state == "draining" {
		o.LeaveAcknowledged(s.cfg.Instance)
	}
	return s.take(sent, grant.Holds, grant.Time, freed)
}

func (s *Server) take(sent time.Time, holds [][]any, text string, acked int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = s.freed[acked:]
	hold, err := time.ParseDuration(text)
	if err != nil || holds == nil {
		return false
	}
	var rows []KeyRange
	for _, h := range holds {
		rows = append(rows, KeyRange{int(h[0].(float64)), int(h[1].(float64)), int64(h[2].(float64))})
	}
	released := false
	if time.Now().Before(s.until) {
		for _, old := range s.rows {
			if !covered(old, rows) {
				s.freed = append(s.freed, []any{old.From, old.To, "state-" + strconv.Itoa(old.From)})
				released = true
			}
		}
	}
	s.rows, s.until = rows, sent.Add(hold)
	if o := s.cfg.Observer; o != nil {
		o.KeysGranted(s.cfg.Instance, rows, s.until)
	}
	return released
}

func covered(r KeyRange, rows []KeyRange) bool {
	for _, x := range rows {
		if x.From <= r.From && r.To <= x.To {
			return true
		}
	}
	return false
}
