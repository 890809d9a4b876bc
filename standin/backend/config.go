// Package backend is a stand-in for a key-owning backend server over HTTP. It
// has slots and connections, a service time for each path, optional fencing
// checks, announce, health and load endpoints, and injectable faults. It
// records every run so that tests can count second runs.
package backend

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// LogNormal is a log-normal service time.
type LogNormal struct {
	// Median is the median service time.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; zero makes it constant.
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

// DefaultTimes are used when Config.Times is nil.
var DefaultTimes = []PathServiceTime{
	{Prefix: "/short", Time: LogNormal{Median: 2 * time.Millisecond, Sigma: 0.3}},
	{Prefix: "/long", Time: LogNormal{Median: 200 * time.Millisecond, Sigma: 0.5}},
	{Prefix: "/upload", Time: LogNormal{Median: 20 * time.Millisecond, Sigma: 0.3}},
}

// Config describes one backend server. The zero value of each field is usable.
type Config struct {
	// Service is the name in the announcement.
	Service string
	// Slots is the number of requests that run at once; default 17.
	Slots int
	// MaxConnections is the number of open connections; further ones are closed
	// at once. Default 130.
	MaxConnections int
	// Queue is the number of requests that wait inside for a slot; further
	// ones are shed with 503. Default 64.
	Queue int
	// ChecksTokens makes the server reject an outdated fencing token with 409.
	ChecksTokens bool
	// ServiceTimes lists service times; the longest matching prefix applies.
	ServiceTimes []PathServiceTime
	// ProbeDelay delays the health and load endpoints.
	ProbeDelay time.Duration
	// ColdFor and ColdFactor make a started server slow: the service time is
	// multiplied by ColdFactor at first, falling linearly to 1 over ColdFor.
	ColdFor    time.Duration
	ColdFactor float64
	// LoadReportMaxAge is the age that a load report may reach before it is refreshed.
	LoadReportMaxAge time.Duration
	// DistortLoad, when set, changes every load report before it is sent.
	DistortLoad func(Load) Load
	// HealthyWhileDraining keeps /healthz at 200 during a drain.
	HealthyWhileDraining bool
	// IgnoresCancel makes requests run to the end after the caller left.
	IgnoresCancel bool
	// PoisonPrefix is the path prefix that crashes the server; default /poison.
	PoisonPrefix string
	// Seed seeds the service times.
	Seed uint64
	// MaxRecords bounds the recorded request ids and idempotency keys, each;
	// default 1,000,000. Further ones are counted in Stats.Unrecorded.
	MaxRecords int
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 17)
	setDefault(&c.MaxConnections, 130)
	setDefault(&c.Queue, 64)
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
