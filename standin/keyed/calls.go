package keyed

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marjoramshore.example/standin/garble"
	"marjoramshore.example/standin/wire"
)

// calledKeys is what a server holds by calls. The lock of the server guards it.
type calledKeys struct {
	// ranges do not overlap.
	ranges []KeyRange
	// seen are all ranges that were granted, with the greatest fences.
	seen []KeyRange
	// running counts the requests at work by key. idle is closed and replaced
	// when one ends.
	running map[int]int
	idle    chan struct{}
	calls   int
	faults  CallFaults
}

// CallFaults says how a server misbehaves towards calls that concern keys.
type CallFaults struct {
	// Every is the number of calls of which one is not answered; 0 answers all.
	Every int
	// Late is the time after which a call without an answer is carried out.
	Late time.Duration
	// Twice sends each answer twice.
	Twice bool
}

// GrantCalls returns the number of calls that concerned keys.
func (s *Server) GrantCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.called.calls
}

// SetCallFaults sets the faults of calls from now on.
func (s *Server) SetCallFaults(f CallFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.called.faults = f
}

// begin counts a request for a key that begins to run, and returns the function
// that counts its end.
func (c *calledKeys) begin(key int) func() {
	if c.running == nil {
		c.running, c.idle = make(map[int]int), make(chan struct{})
	}
	c.running[key]++
	return func() {
		c.running[key]--
		close(c.idle)
		c.idle = make(chan struct{})
	}
}

// isRunning reports whether a request for a key of a range runs.
func (c *calledKeys) isRunning(r KeyRange) bool {
	for key, n := range c.running {
		if n > 0 && r.From <= key && key <= r.To {
			return true
		}
	}
	return false
}

// keyCall is a call that concerns keys.
type keyCall struct {
	From     int    `json:"from"`
	To       int    `json:"target-version"`
	Fence    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// serveKeyCall answers a call that grants keys or takes them back.
func (s *Server) serveKeyCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Del(wire.HeaderAttemptID) // answers to calls name no call
	var c keyCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.From > c.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if i := r.Header.Get(wire.HeaderInstance); i != "" && i != s.cfg.Instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.called.calls++
	f := s.called.faults
	lost := f.Every > 0 && s.called.calls%f.Every == 0
	s.mu.Unlock()
	if lost {
		time.AfterFunc(f.Late, func() { s.carryOut(r.URL.Path, c) })
		<-r.Context().Done()
		return
	}
	if f.Twice {
		garble.FromContext(r.Context()).Arm(garble.Twice, int(s.faultVariant.Add(1)))
	}
	if !s.carryOut(r.URL.Path, c) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if r.URL.Path == wire.ReleasePath {
		if !s.awaitWork(r, KeyRange{From: c.From, To: c.To}) {
			return
		}
		w.Header().Set(wire.HeaderHandover, "state-"+strconv.Itoa(c.From))
	}
}

// awaitWork waits until no request for a key of a range runs. It reports false if
// the caller has left before.
func (s *Server) awaitWork(r *http.Request, keys KeyRange) bool {
	for {
		s.mu.Lock()
		running, idle := s.called.isRunning(keys), s.called.idle
		s.mu.Unlock()
		if !running {
			return true
		}
		select {
		case <-idle:
		case <-r.Context().Done():
			return false
		}
	}
}

// carryOut applies a call. It reports false if a greater fence was seen on one of
// the keys of a grant.
func (s *Server) carryOut(path string, c keyCall) bool {
	select {
	case <-s.stop:
		return false // a late call for a run that has ended
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := KeyRange{From: c.From, To: c.To, Fence: c.Fence}
	if path == wire.GrantPath {
		for _, r := range s.called.seen {
			if r.From <= c.To && c.From <= r.To && r.Fence > c.Fence {
				return false
			}
		}
		hold, err := time.ParseDuration(c.HoldTime)
		if err != nil {
			return false
		}
		granted.until = time.Now().Add(hold)
		s.called.seen = append(without(s.called.seen, granted), granted)
	}
	s.called.ranges = without(s.called.ranges, granted)
	if path == wire.GrantPath {
		s.called.ranges = append(s.called.ranges, granted)
	}
	s.observeCalledKeys()
	return true
}

// observeCalledKeys tells the observer what the server holds by calls. The last end
// of a hold stands for all: a node renews its grants under one lease, so that none
// of the keys has another holder before it.
func (s *Server) observeCalledKeys() {
	if s.cfg.Observer == nil || s.ended {
		return
	}
	var held []KeyRange
	var until time.Time
	for _, r := range s.called.ranges {
		if time.Now().Before(r.until) {
			held = append(held, r)
		}
		if r.until.After(until) {
			until = r.until
		}
	}
	s.cfg.Observer.KeysGranted(s.cfg.Instance, held, until)
}

// without returns the parts of ranges outside of one.
func without(ranges []KeyRange, r KeyRange) []KeyRange {
	var out []KeyRange
	for _, x := range ranges {
		if x.To < r.From || r.To < x.From {
			out = append(out, x)
			continue
		}
		if x.From < r.From {
			left := x
			left.To = r.From - 1
			out = append(out, left)
		}
		if x.To > r.To {
			right := x
			right.From = r.To + 1
			out = append(out, right)
		}
	}
	return out
}
