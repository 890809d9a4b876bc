package routes

import (
	"strings"
	"sync/atomic"

	"marjoramshore.example/core"
)

// Table is an immutable Config, indexed for lookups. It is safe for concurrent
// use.
type Table struct {
	Version uint64
	Limits  Limits
	// Digest describes the routes.
	Digest   Digest
	byPrefix map[hostPrefix]*MatchedRoute
	services map[core.Service]Service
}

type hostPrefix struct{ host, prefix string }

// MatchedRoute is a route of a Table, with the state for distributing its
// requests. All requests that match the route share it.
type MatchedRoute struct {
	Route
	totalWeight int
	position    atomic.Uint32 // of the last pick on the 32-bit circle; see goldenRatioStep
}

// Compile returns the Table of a Config. Of several routes with the same host
// and prefix, only the first is used.
func Compile(c Config) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits,
		byPrefix: make(map[hostPrefix]*MatchedRoute, len(c.Routes)),
		services: make(map[core.Service]Service, len(c.Services)),
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, r := range c.Routes {
		key := hostPrefix{r.Host, r.Prefix}
		if _, duplicate := t.byPrefix[key]; duplicate {
			continue
		}
		matched := &MatchedRoute{Route: r}
		for _, destination := range r.Destinations {
			matched.totalWeight += max(0, destination.Weight)
		}
		t.byPrefix[key] = matched
		t.Digest.add(r)
	}
	return t
}

// Match returns the route of a host with the longest prefix of a request
// target's path, or false if no route matches. Only prefixes that end with a
// slash can match. The query is ignored.
func (t *Table) Match(host, target string) (*MatchedRoute, bool) {
	path, _, _ := strings.Cut(target, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := t.byPrefix[hostPrefix{host, path[:end+1]}]; ok {
			return route, true
		}
	}
	return nil, false
}

// Service returns the configuration of a service, or false if there is none.
func (t *Table) Service(name core.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ForEachService calls f for each service, in no particular order.
func (t *Table) ForEachService(f func(Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// goldenRatioStep is 2^32 divided by the golden ratio. Steps of this size
// around a circle of 2^32 positions spread any number of consecutive picks
// evenly.
const goldenRatioStep = 0x9E3779B9

// PickService returns the service for the next request. Over a few dozen
// requests, each destination receives a share proportional to its weight.
func (m *MatchedRoute) PickService() core.Service {
	if len(m.Destinations) == 1 || m.totalWeight == 0 {
		return m.Destinations[0].Service
	}
	remainder := int(uint64(m.position.Add(goldenRatioStep)) * uint64(m.totalWeight) >> 32)
	for _, destination := range m.Destinations {
		if remainder -= max(0, destination.Weight); remainder < 0 {
			return destination.Service
		}
	}
	return m.Destinations[len(m.Destinations)-1].Service
}

// CurrentTable holds the Table with the highest version given to
// ReplaceIfNewer. Its zero value holds none. It is safe for concurrent use.
type CurrentTable struct{ table atomic.Pointer[Table] }

// Load returns the current table, or nil if there is none yet.
func (f *CurrentTable) Load() *Table { return f.table.Load() }

// ReplaceIfNewer makes t the current table and returns true, or returns false
// if the version of the current table is at least as high.
func (f *CurrentTable) ReplaceIfNewer(t *Table) bool {
	for {
		old := f.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if f.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
