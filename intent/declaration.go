package intent

import (
	"slices"

	"marjoramshore.example/core"
)

// Declaration is the whole configuration that operators declare.
type Declaration struct {
	Services []Service `json:"services"`
}

// Service declares one service.
type Service struct {
	Name   core.Service `json:"name"`
	Region core.Region  `json:"region"`
	// Groups is the number of ownership groups that divide the key space.
	Groups int `json:"groups"`
	// Slots is the number of requests that each backend server runs at once, and
	// Connections the number of connections to each backend server.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// DrainShare is the largest share of the nodes that may drain at a time;
	// one node always may.
	DrainShare  float64       `json:"drain_share"`
	Objectives  []Objective   `json:"objectives,omitempty"`
	Customers   []Customer    `json:"customers,omitempty"`
	Constraints []Constraint  `json:"constraints,omitempty"`
	Drains      []core.NodeID `json:"drains,omitempty"`
	// Quarantines lists the fingerprints of requests that operators block.
	Quarantines []string `json:"quarantines,omitempty"`
}

// Objective is the service level objective of one kind of work.
type Objective struct {
	Kind string `json:"kind"` // "short" or "long"
	// Availability is the share of requests that must be answered.
	Availability float64 `json:"availability"`
	// LatencyShare is the share of answers that must take at most LatencyMs.
	LatencyMs    int     `json:"latency_ms"`
	LatencyShare float64 `json:"latency_share"`
}

// Customer sets a customer's weight in the fair queue; the default is 1.
type Customer struct {
	Name   core.Customer `json:"name"`
	Weight int           `json:"weight"`
}

// Constraint restricts which nodes may own keys. Either Node or DataCentres is
// set.
type Constraint struct {
	Name string `json:"name"`
	// Keys lists the keys that the constraint covers; if it is empty, the
	// constraint covers every key of the service.
	Keys []string `json:"keys,omitempty"`
	// Node pins the keys to one node.
	Node core.NodeID `json:"node,omitempty"`
	// DataCentres lists the data centres whose nodes may own the keys.
	DataCentres []core.DataCentre `json:"data_centres,omitempty"`
}

// Service returns the declaration of a service, and false if there is none.
func (d Declaration) Service(name core.Service) (Service, bool) {
	i := d.index(name)
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

func (d Declaration) index(name core.Service) int {
	return slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// with returns a copy of d in which change was applied to the service. The
// error is Faults if the service is not declared.
func (d Declaration) with(name core.Service, change func(*Service)) (Declaration, error) {
	i := d.index(name)
	if i < 0 {
		return d, Faults{{Field: "service", Limit: "must be a declared service"}}
	}
	out := Declaration{Services: slices.Clone(d.Services)}
	change(&out.Services[i])
	return out, nil
}

// WithDrain returns a copy of d with the drain of node set or removed. The
// error is Faults if the service is not declared.
func (d Declaration) WithDrain(service core.Service, node core.NodeID, on bool) (Declaration, error) {
	return d.with(service, func(s *Service) { s.Drains = toggle(s.Drains, node, on) })
}

// WithQuarantine returns a copy of d with the quarantine of a fingerprint set
// or removed. The error is Faults if the service is not declared.
func (d Declaration) WithQuarantine(service core.Service, fingerprint string, on bool) (Declaration, error) {
	return d.with(service, func(s *Service) { s.Quarantines = toggle(s.Quarantines, fingerprint, on) })
}

// toggle returns a copy of list that contains v once if on is set, and not at
// all otherwise.
func toggle[T comparable](list []T, v T, on bool) []T {
	out := slices.DeleteFunc(slices.Clone(list), func(o T) bool { return o == v })
	if on {
		out = append(out, v)
	}
	return out
}
