package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Metadata storeMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind    string
	Deleted bool        `json:"deleted"`
	Object  storeObject `json:"object"`
}

// store is a stand-in for the platform's store. Each node reaches it by an address
// of its own, so that a test can turn one node away.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
	// resumed is closed when the store goes on after it has hung, and nil while it does
	// not hang. queued are the writes that have arrived meanwhile.
	resumed chan struct{}
	queued  []*queuedWrite
}

// queuedWrite is a write that waits for a store that hangs. It is executed when the
// store goes on, whether or not its caller still waits.
type queuedWrite struct {
	call   storeCall
	status int
	answer any
}

// storeCall is a call that writes.
type storeCall struct {
	method, kind, name, revision string
	body                         []byte
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
}

// storeDoor is the address by which one node reaches the store.
type storeDoor struct {
	store  *store
	server *http.Server
	addr   string
}

func (s *store) openDoor(ip string) *storeDoor {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(freePort(ip))))
	if err != nil {
		cannotRun("listen for the store: %v", err)
	}
	d := &storeDoor{store: s, addr: ln.Addr().String()}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(ln) }()
	return d
}

// hang makes the store accept calls and answer none until goOn is called.
func (s *store) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = make(chan struct{})
}

// goOn executes the writes that have arrived since the store hung, in their order, and
// then answers all calls that wait.
func (s *store) goOn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queued {
		q.status, q.answer = s.execute(q.call)
		note("store: %s %s/%s, which has waited, executed with status %d", q.call.method, q.call.kind, q.call.name, q.status)
	}
	s.queued = nil
	close(s.resumed)
	s.resumed = nil
}

// waitResumed waits while the store hangs. It returns false if the caller has left.
func (s *store) waitResumed(r *http.Request) bool {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed == nil {
		return true
	}
	select {
	case <-resumed:
		return true
	case <-r.Context().Done():
		return false
	}
}

// write executes a write, or queues it while the store hangs. It returns false if the
// caller has left.
func (s *store) write(r *http.Request, c storeCall) (int, any, bool) {
	s.mu.Lock()
	if s.resumed == nil {
		defer s.mu.Unlock()
		status, answer := s.execute(c)
		return status, answer, true
	}
	q := &queuedWrite{call: c}
	s.queued = append(s.queued, q)
	resumed := s.resumed
	s.mu.Unlock()
	select {
	case <-resumed:
		return q.status, q.answer, true
	case <-r.Context().Done():
		return 0, nil, false
	}
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	if r.Method != http.MethodGet {
		status, answer, ok := d.store.write(r, storeCall{r.Method, kind, name, r.URL.Query().Get("revision"), body})
		if ok {
			writeJSON(w, status, answer)
		}
		return
	}
	if !d.store.waitResumed(r) {
		return
	}
	switch {
	case r.URL.Query().Has("watch"):
		d.watch(w, r, kind)
	case name == "":
		writeJSON(w, http.StatusOK, d.store.list(kind, r.URL.Query().Get("after")))
	default:
		if o, ok := d.store.get(kind, name); ok {
			writeJSON(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(kind, name string) (storeObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *store) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeObject{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b storeObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"items": items, "more": false, "current-rev": s.revision}
}

// put writes an object as an operator does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		cannotRun("encode %s: %v", name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(kind, storeObject{Metadata: storeMetadata{Name: name}, Spec: data}, false)
}

// change records a change. The caller holds the lock.
func (s *store) change(kind string, o storeObject, deleted bool) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, storeEvent{kind, deleted, o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// execute executes a write. The caller holds the lock.
func (s *store) execute(c storeCall) (int, any) {
	var o storeObject
	if c.method != http.MethodDelete || len(c.body) > 0 {
		if err := json.Unmarshal(c.body, &o); err != nil {
			return http.StatusBadRequest, map[string]string{"error": err.Error()}
		}
	}
	if c.revision != "" {
		n, err := strconv.ParseUint(c.revision, 10, 64)
		if err != nil {
			return http.StatusBadRequest, map[string]string{"error": err.Error()}
		}
		o.Metadata.Revision = n
	}
	kind := c.kind
	name, onStatus := strings.CutSuffix(c.name, "/status")
	if c.method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	switch {
	case c.method == http.MethodPost && exists:
		return http.StatusConflict, old
	case c.method == http.MethodPost:
		o.Metadata = storeMetadata{Name: name, Finalizers: o.Metadata.Finalizers}
		return http.StatusOK, s.change(kind, o, false)
	case !exists:
		return http.StatusNotFound, map[string]string{}
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case c.method == http.MethodDelete:
		return http.StatusOK, s.change(kind, old, true)
	}
	next := old
	if onStatus {
		next.Status = o.Status
	} else {
		next.Spec, next.Metadata.Finalizers = o.Spec, o.Metadata.Finalizers
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.change(kind, next, false)
}

// watch answers once there is an event, or with none when its time is over.
func (d *storeDoor) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s := d.store
	for over := false; ; {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			if s.waitResumed(r) {
				writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			}
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// columns is the encoding of routes and services.
func columns(names []string, rows ...[]any) any {
	return map[string]any{"columns": names, "rows": rows}
}

func version(n int) string { return fmt.Sprintf("%08x", n) }
