package routes

import (
	"time"

	"marjoramshore.example/core"
)

// Kind classifies the requests of a route by how often they may run.
type Kind uint8

const (
	// NonIdempotent requests may run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests are not idempotent and have large bodies.
	Upload
)

// Destination is a service that receives a share of a route's requests,
// proportional to its Weight.
type Destination struct {
	Service core.Service
	Weight  int
}

// Route tells which requests it applies to, where they go and how long they may
// take.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the requests. It begins and ends with a
	// slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// LatencyTarget is the time within which requests should be answered. Later
	// responses are still useful up to Timeout.
	LatencyTarget time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of backend servers that one request may
	// be sent to.
	MaxAttempts int
	// Destinations holds at least one element.
	Destinations []Destination
}

// Service is the configuration of a set of backend servers.
type Service struct {
	Name core.Service
	// MaxConnections is the number of connections that one backend server
	// accepts from all callers together.
	MaxConnections int
	// Sharded reports whether the service divides its keys among its backend
	// servers.
	Sharded bool
	// Warmup is how long requests for a key are slow on a backend server that
	// was assigned the key without the state of its former holder.
	Warmup time.Duration
	// ColdRate is the number of requests a second that a cold backend server
	// tolerates, or 0 if it is not told.
	ColdRate float64
	// Grants is how the keys of a sharded service are granted.
	Grants GrantMode
}

// GrantMode is how backend servers are granted keys.
type GrantMode uint8

const (
	// GrantUnspecified leaves the choice to the settings of the node.
	GrantUnspecified GrantMode = iota
	// GrantByReport grants keys in the answers to status reports.
	GrantByReport
	// GrantByCall grants keys and takes them back by calls to the backend
	// server.
	GrantByCall
)

// Limits bounds the requests and connections of callers.
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
