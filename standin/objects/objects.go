// Package objects is a small stand-in for the platform's object store. It keeps
// objects in memory, speaks the store's protocol over HTTP, and has injectable
// faults: it can be unavailable, lose the answers of writes, hold back events
// and drop its history.
package objects

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"marjoramshore.example/standin/garble"
)

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// Fault is a way in which the store sends bytes that are no responses.
type Fault int

// Faults. One in faultOneIn calls is affected.
const (
	NoFault Fault = iota
	// CutHead closes the connection in the middle of the head of a response.
	CutHead
	// EndlessHead and EndlessBody send bytes without end in the head or the body
	// of a response.
	EndlessHead
	EndlessBody
	// RepeatRefusal refuses a call, and sends that refusal again when it has
	// executed a later one of the connection, before or after its response.
	RepeatRefusal
	faultCount // number of faults
)

// FaultCount is the number of faults, with NoFault, which is 0.
const FaultCount = int(faultCount)

// String returns the name of the fault in plans.
func (f Fault) String() string {
	return [faultCount]string{"none", "cut-head", "endless-head", "endless-body", "repeat-refusal"}[f]
}

const faultOneIn = 3

// Store is the stand-in. Its methods are safe for concurrent use.
type Store struct {
	mu               sync.Mutex
	revision         uint64
	objects          map[string]map[string]object // by kind and name
	history          []event
	historyStart     uint64 // history holds all changes after this revision
	changed          chan struct{}
	down             bool
	eventsSuppressed bool
	answersToLose    int
	fault            Fault
	calls            int
	era              uint64 // 0 if responses tell none
	copies           []storeCopy

	server *http.Server
	ln     net.Listener
}

// storeCopy is a copy of the store at some time.
type storeCopy struct {
	at       time.Time
	revision uint64
	objects  map[string]map[string]object
}

// TellEra makes all responses tell the era of the store, which is 1, and the store
// keep copies of itself for GoBack.
func (s *Store) TellEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 1
	s.keepCopy()
}

// keepCopy keeps a copy of the store. The caller holds the lock.
func (s *Store) keepCopy() {
	if s.era == 0 {
		return
	}
	c := storeCopy{time.Now(), s.revision, make(map[string]map[string]object, len(s.objects))}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	s.copies = append(s.copies, c)
}

// GoBack replaces the contents of the store by those of some time ago, and begins the
// next era. Revisions since then are given out again. What operators have written
// must be written again by the caller.
func (s *Store) GoBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	then := time.Now().Add(-age)
	kept := slices.DeleteFunc(s.copies, func(c storeCopy) bool { return c.at.After(then) })
	last := storeCopy{revision: 1}
	if len(kept) > 0 {
		last = kept[len(kept)-1]
	}
	s.era++
	s.revision, s.objects = last.revision, make(map[string]map[string]object)
	for kind, byName := range last.objects {
		s.objects[kind] = maps.Clone(byName)
	}
	s.copies, s.history, s.historyStart = kept, nil, s.revision
	s.keepCopy()
	s.notifyWatches()
}

// New returns a store that serves on a loopback address.
func New() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), ln: ln}
	s.server = &http.Server{Handler: s, ConnContext: garble.ConnContext}
	go func() {
		// Serve returns when the listener is closed.
		_ = s.server.Serve(garble.Listener{Listener: ln})
	}()
	return s, nil
}

// Addr returns the store's host and port.
func (s *Store) Addr() string { return s.ln.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() { _ = s.server.Close() }

// SetDown makes every call fail without an answer, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SuppressEvents holds back events from watches, or ends that. The platform's
// store does so for a while before it drops its history.
func (s *Store) SuppressEvents(suppress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsSuppressed = suppress
	s.notifyWatches()
}

// LoseAnswers makes the next n successful writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SetFault makes the store send bytes that are no responses from now on;
// NoFault ends that.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the history, so that a watch from an earlier revision fails
// with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.revision
	s.notifyWatches()
}

// CallCount returns the number of calls since New.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

// Names returns the names of a kind that begin with prefix, sorted.
func (s *Store) Names(kind, prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.objects[kind] {
		if strings.HasPrefix(name, prefix) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Put writes an object as an operator does.
func (s *Store) Put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, spec)
}

// Delete removes an object as an operator does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyWrite(http.MethodDelete, kind, name, object{})
}

// put writes an object. The caller holds the lock.
func (s *Store) put(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Metadata: metadata{name, s.revision}, Spec: slices.Clone(spec)}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind})
	s.keepCopy()
	s.notifyWatches()
	return o
}

// notifyWatches wakes all watches. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	s.mu.Lock()
	s.calls++
	down, fault, calls := s.down, s.fault, s.calls
	s.setEra(w)
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if calls%faultOneIn == 0 && !injectFault(r, fault, calls/faultOneIn) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

// setEra sets the era of a response. The caller holds the lock.
func (s *Store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
}

// injectFault prepares a fault in the response of a call. It returns false if
// the call must be refused.
func injectFault(r *http.Request, f Fault, variant int) bool {
	c := garble.FromContext(r.Context())
	switch f {
	case CutHead:
		c.Arm(garble.CutHead, variant)
	case EndlessHead:
		c.Arm(garble.EndlessHead, variant)
	case EndlessBody:
		c.Arm(garble.EndlessBody, variant)
	case RepeatRefusal:
		switch refusal := c.Refusal(); {
		case refusal == nil:
			return false
		case variant%2 == 0:
			c.SendNow(refusal)
		default:
			c.SendAfter(refusal)
		}
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left does not need the answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "current-rev": revision})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	status, v := s.applyWrite(r.Method, kind, name, o)
	lost := s.answersToLose > 0 && status == http.StatusOK
	if lost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, v)
}

// applyWrite performs one write and returns the status and body of its answer.
// The caller holds the lock.
func (s *Store) applyWrite(method, kind, name string, o object) (int, any) {
	if method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.history = append(s.history, event{Object: object{Metadata: metadata{name, s.revision}}, Deleted: true, kind: kind})
		s.keepCopy()
		s.notifyWatches()
		return http.StatusOK, nil
	}
	return http.StatusOK, s.put(kind, name, o.Spec)
}

// watch answers once there are events after the revision in the query, or with
// none when the wait time is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		s.setEra(w)
		changed, revision, historyGone, down := s.changed, s.revision, from < s.historyStart || from > s.revision, s.down
		events := make([]event, 0)
		for _, e := range s.history {
			if !s.eventsSuppressed && e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			panic(http.ErrAbortHandler)
		case historyGone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
