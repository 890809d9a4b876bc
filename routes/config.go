package routes

import (
	"time"

	"marjoramshore.example/core"
)

// Kind tells how often requests of a route may run.
type Kind uint8

// Kinds.
const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and are not idempotent.
	Upload
)

// Destination is one share of a route's requests.
type Destination struct {
	Service core.Service
	Weight  int
}

// Route tells where requests go and how long they may take.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full worth.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Destinations holds at least one service.
	Destinations []Destination
}

// Service is what the configuration says of a set of backend servers.
type Service struct {
	Name core.Service
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int
	// Sharded services divide their keys among their backend servers.
	Sharded bool
	// Warmup is how long a key is slow on a backend server that received it
	// without the state of its last holder.
	Warmup time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}
