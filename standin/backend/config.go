// Package backend is a stand-in for a key-owning backend server over HTTP. It
// has slots and connections, a service time for each path, optional fencing
// checks, announce, health and load endpoints, and injectable faults. It
// records every run so that tests can count duplicate runs.
package backend

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// LogNormal is the distribution of a service time.
type LogNormal struct {
	// Median is the median service time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; zero makes the time
	// constant.
	Sigma float64
}

func (d LogNormal) sample(r *rand.Rand) time.Duration {
	if d.Sigma == 0 {
		return d.Median
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*r.NormFloat64()))
}

// PathServiceTime sets the service time of all paths with a prefix.
type PathServiceTime struct {
	Prefix string
	Time   LogNormal
}

// DefaultTimes are used when Config.ServiceTimes is nil.
var DefaultTimes = []PathServiceTime{
	{Prefix: "/short", Time: LogNormal{Median: 2 * time.Millisecond, Sigma: 0.3}},
	{Prefix: "/long", Time: LogNormal{Median: 200 * time.Millisecond, Sigma: 0.5}},
	{Prefix: "/upload", Time: LogNormal{Median: 20 * time.Millisecond, Sigma: 0.3}},
}

// Config describes one backend server. The zero value of each field is usable.
type Config struct {
	// Service is the service name that the server announces.
	Service string
	// Slots is the number of requests that run at once. Default 17.
	Slots int
	// MaxConnections is the greatest number of open connections; further ones
	// are closed at once. Default 130.
	MaxConnections int
	// MaxQueued is the greatest number of requests that wait in the server for
	// a slot; further ones are rejected with 503. Default 64.
	MaxQueued int
	// ChecksTokens makes the server reject an outdated fencing token with 409.
	ChecksTokens bool
	// ServiceTimes lists service times; the longest matching prefix applies.
	ServiceTimes []PathServiceTime
	// ProbeDelay delays the answers of the health and load endpoints.
	ProbeDelay time.Duration
	// WarmUpTime and ColdStartFactor make a started server slow: the service
	// time is multiplied by ColdStartFactor at first, falling linearly to 1
	// over WarmUpTime.
	WarmUpTime      time.Duration
	ColdStartFactor float64
	// LoadReportMaxAge is the age at which a load report is refreshed; until
	// then the same report is sent again.
	LoadReportMaxAge time.Duration
	// DistortLoad, when set, changes every load report before it is sent.
	DistortLoad func(Load) Load
	// HealthyWhileDraining keeps /healthz at 200 during a drain.
	HealthyWhileDraining bool
	// IgnoreCancel makes requests run to their end after the caller has closed
	// the connection.
	IgnoreCancel bool
	// PoisonPrefix is the path prefix of requests that crash the server.
	// Default /poison.
	PoisonPrefix string
	// Seed seeds the service times.
	Seed uint64
	// MaxRecords bounds the recorded request ids and idempotency keys, each;
	// further ones are counted in Stats.Unrecorded. Default 1,000,000.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 17)
	setDefault(&c.MaxConnections, 130)
	setDefault(&c.MaxQueued, 64)
	setDefault(&c.MaxRecords, 1_000_000)
	if c.ServiceTimes == nil {
		c.ServiceTimes = DefaultTimes
	}
	if c.PoisonPrefix == "" {
		c.PoisonPrefix = "/poison"
	}
	return c
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func (c Config) timeOf(path string) LogNormal {
	best := PathServiceTime{Time: LogNormal{Median: time.Millisecond}}
	for _, p := range c.ServiceTimes {
		if strings.HasPrefix(path, p.Prefix) && len(p.Prefix) >= len(best.Prefix) {
			best = p
		}
	}
	return best.Time
}
