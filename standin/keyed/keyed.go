// Package keyed is a small stand-in for a backend server of the users'
// platform. It reports its state to the node beside it, holds the keys that it
// is granted, and answers requests for them.
package keyed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"marjoramshore.example/standin/garble"
	"marjoramshore.example/standin/wire"
)

// Config configures a Server.
type Config struct {
	// Instance identifies this run of the server of Service.
	Service, Instance string
	// ReportAddress is the host and port to which status reports are sent.
	ReportAddress string
	// Sharded servers answer only requests for keys that they hold.
	Sharded bool
	// GrantedByCall servers are granted their keys by calls, and tell nothing of
	// them in their status reports.
	GrantedByCall bool
	// Slots is the number of requests that may run at once.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ReportInterval is the time between two status reports.
	ReportInterval time.Duration
	// RateLimit is the number of requests a second that each answer names as the
	// server's limit, or 0.
	RateLimit float64
	// Observer is told what the server observes, when not nil.
	Observer Observer
	// CrashPath is the prefix of the paths of requests that crash the server, if it is
	// not empty. OnCrash is called then.
	CrashPath string
	OnCrash   func()
}

// Observer receives the events of a server in the order in which they happen.
// Its methods must not block.
type Observer interface {
	// RequestStarted is called when a request begins to run.
	RequestStarted(instance string, r Request)
	// SlotsExceeded is called when more requests run than there are slots.
	SlotsExceeded(instance string, running int64)
	// KeysGranted is called with the key ranges that the server holds until a
	// time, unless a later call replaces them.
	KeysGranted(instance string, rows []KeyRange, until time.Time)
	// LeaveAcknowledged is called when the node has acknowledged that the
	// server is leaving.
	LeaveAcknowledged(instance string)
	// Ended is called once the server has closed its listener and connections. It
	// holds no keys any more, and KeysGranted is not called after it.
	Ended(instance string)
}

// Request describes a request as the server received it.
type Request struct {
	ID, Method, Target, Caller string
	// Key is the shard key, or -1 when the request has none.
	Key int
}

// Fault is a way in which a server misbehaves towards requests.
type Fault int32

// Faults.
const (
	NoFault Fault = iota
	// NeverAnswer runs requests and never answers them.
	NeverAnswer
	// CloseConnection runs requests and closes the connection instead of
	// answering.
	CloseConnection
	// AnswerTwice sends a second, unsolicited answer after each one on a kept
	// connection.
	AnswerTwice
	// OmitSignature leaves the signature out of answers.
	OmitSignature
	// TruncateAnswer closes the connection before the end of each answer.
	TruncateAnswer
	// AnswerError answers with status 500.
	AnswerError
	// RepeatRefusal refuses the first request of a connection, and sends that
	// refusal again when it has begun to execute a later one, or after the
	// answer of that one.
	RepeatRefusal
	// RepeatRefusalWithoutID does the same, without the attempt ID in the copy.
	RepeatRefusalWithoutID
	// CutHead closes the connection in the middle of the head of each answer.
	CutHead
	// EndlessHead and EndlessBody send bytes without end in the head or the body
	// of each answer.
	EndlessHead
	EndlessBody
	// RefuseUnread refuses requests with a body before it reads the body, and reads
	// on after readOnDelay.
	RefuseUnread
	faultCount // number of faults
)

// FaultCount is the number of faults, with NoFault, which is 0.
const FaultCount = int(faultCount)

var faultNames = [faultCount]string{
	"none", "never-answer", "close-connection", "answer-twice", "omit-signature", "truncate-answer", "answer-error",
	"repeat-refusal", "repeat-refusal-without-id", "cut-head", "endless-head", "endless-body", "refuse-unread",
}

// String returns the name of the fault in plans.
func (f Fault) String() string { return faultNames[f] }

// KeyRange is a granted range of keys, From and To included, with its fence.
type KeyRange struct {
	From, To int
	Fence    int64
	// until is the end of the hold of a range that was granted by a call.
	until time.Time
}

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	cfg         Config
	ln          net.Listener
	http        *http.Server
	startedAtMs int64

	mu sync.Mutex
	// accepting is the open listener, unless refusals calls of RefuseConnections have
	// not ended.
	accepting net.Listener
	refusals  int
	held      []KeyRange
	heldUntil time.Time
	// released holds the key ranges given up since the last answered report, as
	// rows of first key, last key and handover.
	released  [][]any
	called    calledKeys
	leaving   bool
	ended     bool // the observer was told that the server has ended
	runCounts map[string]int

	stop    chan struct{}
	crashed sync.Once
	stopped sync.WaitGroup
	seq     int
	running atomic.Int64
	peak    atomic.Int64
	fault   atomic.Int32
	// faultVariant counts the uses of faults that have variants.
	faultVariant atomic.Int64
}

// SetFault makes the server misbehave from now on; NoFault ends that.
func (s *Server) SetFault(f Fault) { s.fault.Store(int32(f)) }

// Start returns a server that listens on address and sends status reports.
func Start(address string, cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, ln: ln, accepting: ln, startedAtMs: time.Now().UnixMilli(), runCounts: make(map[string]int), stop: make(chan struct{})}
	s.http = &http.Server{Handler: s, ConnContext: garble.ConnContext}
	s.serve(ln)
	s.stopped.Go(s.sendReports)
	return s, nil
}

// Leave makes the server report from now on that it is draining.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// KeyRanges returns the key ranges that the server holds now.
func (s *Server) KeyRanges() []KeyRange { return KeyRangesOf(s)[0] }

// KeyRangesOf returns the key ranges that each of the servers holds at one
// instant, so that a key which moves meanwhile is not seen twice.
func KeyRangesOf(servers ...*Server) [][]KeyRange {
	for _, s := range servers {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	now := time.Now()
	out := make([][]KeyRange, len(servers))
	for i, s := range servers {
		if now.Before(s.heldUntil) {
			out[i] = append([]KeyRange(nil), s.held...)
		}
		for _, r := range s.called.ranges {
			if now.Before(r.until) {
				out[i] = append(without(out[i], r), r)
			}
		}
	}
	return out
}

// RunCount returns how often the request with an attempt id ran.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[id]
}

// PeakRunning returns the greatest number of requests that ran at once.
func (s *Server) PeakRunning() int64 { return s.peak.Load() }

func (s *Server) holdsKey(key int) bool {
	for _, r := range s.called.ranges {
		if r.From <= key && key <= r.To && time.Now().Before(r.until) {
			return true
		}
	}
	if !time.Now().Before(s.heldUntil) {
		return false
	}
	for _, r := range s.held {
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
	if s.cfg.RateLimit > 0 {
		w.Header().Set(wire.HeaderRateLimit, strconv.FormatFloat(s.cfg.RateLimit, 'f', -1, 64))
	}
	expectedInstance := r.Header.Get(wire.HeaderInstance)
	if r.URL.Path == wire.GrantPath || r.URL.Path == wire.ReleasePath {
		s.serveKeyCall(w, r)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get(wire.HeaderKey))
	if s.refusesFirst(r) {
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if Fault(s.fault.Load()) == RefuseUnread && r.ContentLength != 0 {
		refuseUnread(w, r)
		return
	}
	s.mu.Lock()
	misdirected := expectedInstance != "" && expectedInstance != s.cfg.Instance || s.cfg.Sharded && !s.holdsKey(key)
	if !misdirected {
		s.runCounts[id]++
		end := s.called.begin(key)
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			end()
		}()
	}
	s.mu.Unlock()
	if misdirected {
		w.Header().Set(wire.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for p := s.peak.Load(); running > p && !s.peak.CompareAndSwap(p, running); p = s.peak.Load() {
	}
	if o := s.cfg.Observer; o != nil {
		if r.Header.Get(wire.HeaderKey) == "" {
			key = -1
		}
		o.RequestStarted(s.cfg.Instance, Request{id, r.Method, r.RequestURI, r.Header.Get(wire.HeaderCaller), key})
		if running > int64(s.cfg.Slots) {
			time.AfterFunc(cancelDelay, s.checkSlots)
		}
	}
	if s.cfg.CrashPath != "" && strings.HasPrefix(r.URL.Path, s.cfg.CrashPath) {
		s.cfg.OnCrash()
		go s.Crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.repeatRefusal(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(s.cfg.ServiceTime):
	case <-r.Context().Done():
		return
	}
	s.answer(w, r, fmt.Sprintf("%s %s %d %s", r.Method, r.RequestURI, len(body), r.Header.Get(wire.HeaderCaller)))
}

// readOnDelay is how long a server with the fault RefuseUnread leaves a body unread.
const readOnDelay = time.Second

// refuseUnread refuses a request and reads its body later. The server reads nothing
// else from the connection before that.
func refuseUnread(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	if c.EnableFullDuplex() != nil {
		return // the server would read the body first
	}
	w.Header().Set(wire.HeaderNotExecuted, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = c.Flush() // the request ends with its connection if that failed
	select {
	case <-time.After(readOnDelay):
	case <-r.Context().Done():
	}
	_, _ = io.Copy(io.Discard, r.Body)
}

// cancelDelay is the time within which the handler of a request ends after its
// connection has closed. A node that gives up a request closes its connection
// and reuses the slot at once.
const cancelDelay = 20 * time.Millisecond

// checkSlots tells the observer if more requests run than there are slots. It is
// called cancelDelay after that was first seen, so that requests whose connection
// has closed are not counted.
func (s *Server) checkSlots() {
	if n := s.running.Load(); n > int64(s.cfg.Slots) {
		s.cfg.Observer.SlotsExceeded(s.cfg.Instance, n)
	}
}

// answer sends the answer, changed by the current fault.
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
	default:
		if g, ok := garbled[f]; ok {
			garble.FromContext(r.Context()).Arm(g, int(s.faultVariant.Add(1)))
		}
	}
	// A caller that left does not need the answer.
	_, _ = io.WriteString(w, body)
}

// garbled holds the faults that change the bytes of an answer.
var garbled = map[Fault]garble.Fault{
	AnswerTwice: garble.Twice, CutHead: garble.CutHead, EndlessHead: garble.EndlessHead, EndlessBody: garble.EndlessBody,
}

func (s *Server) repeatsRefusals() (repeats, withID bool) {
	f := Fault(s.fault.Load())
	return f == RepeatRefusal || f == RepeatRefusalWithoutID, f == RepeatRefusal
}

// refusesFirst reports whether a request must be refused, so that a later one of
// its connection can get the refusal again.
func (s *Server) refusesFirst(r *http.Request) bool {
	repeats, _ := s.repeatsRefusals()
	return repeats && garble.FromContext(r.Context()).Refusal() == nil
}

// repeatRefusal sends an earlier refusal of the connection again, by turns at
// once and after the answer of the request that is executed.
func (s *Server) repeatRefusal(r *http.Request) {
	repeats, withID := s.repeatsRefusals()
	c := garble.FromContext(r.Context())
	if !repeats || c.Refusal() == nil {
		return
	}
	refusal := c.Refusal()
	if !withID {
		refusal = garble.WithoutField(refusal, wire.HeaderAttemptID)
	}
	if s.faultVariant.Add(1)%2 == 1 {
		c.SendNow(refusal)
	} else {
		c.SendAfter(refusal)
	}
}

// sendReports sends status reports until the server crashes.
func (s *Server) sendReports() {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	t := time.NewTicker(s.cfg.ReportInterval)
	defer t.Stop()
	for {
		released := s.sendReport(client)
		for released {
			released = s.sendReport(client)
		}
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
	}
}

// sendReport sends one status report and applies the grant in the answer. It
// returns true when keys were released, so that another report follows at once.
func (s *Server) sendReport(client *http.Client) bool {
	sentAt := time.Now()
	s.mu.Lock()
	s.seq++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	report := map[string]any{
		"address": s.ln.Addr().String(), "born": s.startedAtMs,
		"info":   map[string]any{"service": s.cfg.Service, "version": "v1", "zone": "a", "slots": s.cfg.Slots},
		"status": map[string]any{"state": state, "seq": s.seq, "cold-remaining": "0ms"},
	}
	reportedReleases := len(s.released)
	if s.cfg.Sharded && !s.cfg.GrantedByCall {
		rows := make([][]any, 0, len(s.held))
		if sentAt.Before(s.heldUntil) {
			for _, r := range s.held {
				rows = append(rows, []any{r.From, r.To, r.Fence})
			}
		}
		report["holds"], report["freed"] = rows, append([][]any{}, s.released...)
	}
	s.mu.Unlock()
	body, err := json.Marshal(report)
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
	return s.applyGrant(sentAt, grant.Holds, grant.Time, reportedReleases)
}

// applyGrant replaces the held key ranges by the granted ones for holdTime from
// sentAt. It forgets the first reportedReleases releases, which the answered
// report contained, and returns true if the grant made the server release keys.
func (s *Server) applyGrant(sentAt time.Time, granted [][]any, holdTime string, reportedReleases int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = s.released[reportedReleases:]
	holdDuration, err := time.ParseDuration(holdTime)
	if err != nil || granted == nil {
		return false
	}
	var rows []KeyRange
	for _, h := range granted {
		rows = append(rows, KeyRange{int(h[0].(float64)), int(h[1].(float64)), int64(h[2].(float64)), time.Time{}})
	}
	released := false
	if time.Now().Before(s.heldUntil) {
		for _, old := range s.held {
			if !isCovered(old, rows) {
				s.released = append(s.released, []any{old.From, old.To, "state-" + strconv.Itoa(old.From)})
				released = true
			}
		}
	}
	s.held, s.heldUntil = rows, sentAt.Add(holdDuration)
	if o := s.cfg.Observer; o != nil && !s.ended {
		o.KeysGranted(s.cfg.Instance, rows, s.heldUntil)
	}
	return released
}

func isCovered(r KeyRange, rows []KeyRange) bool {
	for _, x := range rows {
		if x.From <= r.From && r.To <= x.To {
			return true
		}
	}
	return false
}
