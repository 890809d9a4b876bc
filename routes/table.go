package routes

import (
	"strings"
	"sync/atomic"

	"marjoramshore.example/core"
)

// Table is a Config prepared for lookups. It is safe for concurrent use.
type Table struct {
	Version  uint64
	Limits   Limits
	byPrefix map[hostPrefix]*MatchedRoute
	services map[core.Service]Service
}

type hostPrefix struct{ host, prefix string }

// MatchedRoute is a route that requests matched.
type MatchedRoute struct {
	Route
	total int
	next  atomic.Uint32
}

// Compile prepares a Config. Of two routes with one host and prefix the first
// is used.
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
		at := hostPrefix{r.Host, r.Prefix}
		if _, twice := t.byPrefix[at]; twice {
			continue
		}
		ch := &MatchedRoute{Route: r}
		for _, p := range r.Destinations {
			ch.total += max(0, p.Weight)
		}
		t.byPrefix[at] = ch
	}
	return t
}

// Match returns the route with the longest prefix of a path on a host.
func (t *Table) Match(host, target string) (*MatchedRoute, bool) {
	path, _, _ := strings.Cut(target, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if c, ok := t.byPrefix[hostPrefix{host, path[:end+1]}]; ok {
			return c, true
		}
	}
	return nil, false
}

// Service returns what is known of a service.
func (t *Table) Service(name core.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services calls f for each service.
func (t *Table) Services(f func(Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// step walks a 32-bit circle by the golden ratio, which spreads any number of
// consecutive picks evenly over the circle.
const step = 0x9E3779B9

// PickService returns the service for the next request. Over some dozens of requests
// each part gets its weight's share.
func (c *MatchedRoute) PickService() core.Service {
	if len(c.Destinations) == 1 || c.total == 0 {
		return c.Destinations[0].Service
	}
	at := int(uint64(c.next.Add(step)) * uint64(c.total) >> 32)
	for _, p := range c.Destinations {
		if at -= max(0, p.Weight); at < 0 {
			return p.Service
		}
	}
	return c.Destinations[len(c.Destinations)-1].Service
}

// CurrentTable publishes the newest configuration and never goes back.
type CurrentTable struct{ at atomic.Pointer[Table] }

// Load returns the table in force, or nil while none is known.
func (f *CurrentTable) Load() *Table { return f.at.Load() }

// ReplaceIfNewer puts t in force unless a version at least as new already is.
func (f *CurrentTable) ReplaceIfNewer(t *Table) bool {
	for {
		old := f.at.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if f.at.CompareAndSwap(old, t) {
			return true
		}
	}
}
