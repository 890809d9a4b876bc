package intent

import (
	"slices"

	"marjoramshore.example/core"
)

// Declaration is everything that operators declare.
type Declaration struct {
	Services []Service `json:"services"`
}

// Service declares one service.
type Service struct {
	Name   core.Service `json:"name"`
	Region core.Region  `json:"region"`
	// Groups is the number of ownership groups that divide the key space.
	Groups int `json:"groups"`
	// Slots and Connections are those of each backend server.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// DrainShare is the largest share of the nodes that drains at a time; one
	// node always may.
	DrainShare  float64       `json:"drain_share"`
	Objectives  []Objective   `json:"objectives,omitempty"`
	Customers   []Customer    `json:"customers,omitempty"`
	Constraints []Constraint  `json:"constraints,omitempty"`
	Drains      []core.NodeID `json:"drains,omitempty"`
	// Quarantines lists fingerprints of requests that operators refuse.
	Quarantines []string `json:"quarantines,omitempty"`
}

// Objective is the service level of one kind of work.
type Objective struct {
	Kind string `json:"kind"` // "short" or "long"
	// Availability is the share of requests that must be answered.
	Availability float64 `json:"availability"`
	// LatencyShare of the answers must take at most LatencyMs.
	LatencyMs    int     `json:"latency_ms"`
	LatencyShare float64 `json:"latency_share"`
}

// Customer gives a customer's weight in the fair queue; the default is 1.
type Customer struct {
	Name   core.Customer `json:"name"`
	Weight int           `json:"weight"`
}

// Constraint restricts where keys are owned.
type Constraint struct {
	Name string `json:"name"`
	// Keys are the keys concerned; none means every key of the service.
	Keys []string `json:"keys,omitempty"`
	// Node pins the keys to one node.
	Node core.NodeID `json:"node,omitempty"`
	// DataCentres keeps the keys in these data centres.
	DataCentres []core.DataCentre `json:"data_centres,omitempty"`
}

// Service returns the declaration of a service.
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

// with returns a copy of d in which change was applied to the service.
func (d Declaration) with(name core.Service, change func(*Service)) (Declaration, error) {
	i := d.index(name)
	if i < 0 {
		return d, Faults{{Field: "service", Limit: "must be a declared service"}}
	}
	out := Declaration{Services: slices.Clone(d.Services)}
	change(&out.Services[i])
	return out, nil
}

// WithDrain returns d with a drain of node switched on or off.
func (d Declaration) WithDrain(service core.Service, node core.NodeID, on bool) (Declaration, error) {
	return d.with(service, func(s *Service) { s.Drains = toggle(s.Drains, node, on) })
}

// WithQuarantine returns d with a quarantine of a fingerprint switched on or off.
func (d Declaration) WithQuarantine(service core.Service, fingerprint string, on bool) (Declaration, error) {
	return d.with(service, func(s *Service) { s.Quarantines = toggle(s.Quarantines, fingerprint, on) })
}

func toggle[T comparable](list []T, v T, on bool) []T {
	out := slices.DeleteFunc(slices.Clone(list), func(o T) bool { return o == v })
	if on {
		out = append(out, v)
	}
	return out
}
