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

// store is a stand-in for the platform's object store.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object // by kind and name
	events  []storeEvent
	changed chan struct{}
	ln      net.Listener
	// answer is called for each call; false leaves it without an answer.
	answer func(r *http.Request) bool
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{}), ln: ln}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

// put writes an object unconditionally, as operators do.
func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw, nil)
}

// write changes an object. The caller holds the lock.
func (s *store) write(kind, name string, spec, status json.RawMessage) *object {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.rev, Created: s.rev, Finalizers: []string{}}, Spec: spec, Status: status}
	if old := s.objects[kind][name]; old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.publish(storeEvent{kind: kind, rev: s.rev, Object: *o})
	return o
}

func (s *store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.answer != nil && !s.answer(r) {
		<-r.Context().Done()
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind := parts[0]
	switch {
	case r.Method == "GET" && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == "GET" && len(parts) == 1:
		s.list(w, r, kind)
	case r.Method == "GET":
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind][parts[1]]; o != nil {
			reply(w, 200, o)
		} else {
			reply(w, 404, map[string]any{})
		}
	default:
		s.change(w, r, kind, parts)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, 200, map[string]any{"items": items, "more": false, "current-rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > from {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": events, "current-rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind string, parts []string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil && r.Method != "DELETE" {
		reply(w, 400, map[string]any{})
		return
	}
	name := in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	wanted := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		wanted, _ = strconv.ParseInt(q, 10, 64)
	}
	switch {
	case r.Method == "POST" && old != nil, r.Method != "POST" && old != nil && wanted != 0 && wanted != old.Metadata.Revision:
		reply(w, 409, old)
	case r.Method == "POST":
		reply(w, 200, s.write(kind, name, in.Spec, nil))
	case old == nil:
		reply(w, 404, map[string]any{})
	case r.Method == "DELETE":
		s.rev++
		delete(s.objects[kind], name)
		s.publish(storeEvent{kind: kind, rev: s.rev, Object: *old, Deleted: true})
		reply(w, 200, old)
	case len(parts) > 2:
		reply(w, 200, s.write(kind, name, old.Spec, in.Status))
	default:
		reply(w, 200, s.write(kind, name, in.Spec, old.Status))
	}
}
