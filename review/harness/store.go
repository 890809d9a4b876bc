package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object of the platform's store.
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
	Object  storeObject `json:"object"`
	Deleted bool        `json:"deleted"`
	kind    string
}

// store is a small stand-in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject
	history  []storeEvent
	changed  chan struct{}
	// intercept may answer a call in place of the store; it may be nil.
	intercept func(w http.ResponseWriter, r *http.Request) bool
	server    *http.Server
	address   string
}

func startStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{}), address: address}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) storeObject {
	s.revision++
	old, exists := s.objects[kind][name]
	created := s.revision
	if exists {
		created = old.Metadata.Created
	}
	o := storeObject{Metadata: storeMetadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: append(json.RawMessage(nil), spec...)}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][name] = o
	s.history = append(s.history, storeEvent{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f := s.intercept; f != nil && f(w, r) {
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.mu.Lock()
		items := []storeObject{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		revision := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current-rev": revision})
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storeObject
	if r.Method != http.MethodDelete {
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if q := r.URL.Query().Get("revision"); q != "" {
		o.Metadata.Revision, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	old, exists := s.objects[kind][name]
	status, body := http.StatusOK, any(nil)
	switch {
	case r.Method == http.MethodPost && exists:
		status, body = http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		status, body = http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		old.Metadata.Revision = s.revision
		s.history = append(s.history, storeEvent{Object: old, Deleted: true, kind: kind})
		close(s.changed)
		s.changed = make(chan struct{})
		body = old
	case exists && string(old.Spec) == string(o.Spec):
		body = old // a write that changes nothing
	default:
		body = s.putLocked(kind, name, o.Spec)
	}
	s.mu.Unlock()
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	reply(w, status, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
