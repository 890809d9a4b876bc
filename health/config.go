package health

import "time"

// Config sets up a Monitor. A field that is zero or less takes its default,
// which is given in parentheses.
type Config struct {
	// FrozenAfter is the time without any answer after which the server is
	// ejected as frozen (1 s). It applies when at least two short requests
	// hang, or one hangs and a probe has failed. For a single request the time
	// is three times as long, because the request itself may be slow. The
	// server becomes suspect after half the time. Long requests that hang are
	// not detected by this rule.
	FrozenAfter time.Duration
	// Window is the time over which answers are judged (1 s). It is extended up
	// to five times until it holds MinSamples answers.
	Window time.Duration
	// MinSamples is the number of answers needed to judge a window (10).
	MinSamples int
	// A window is bad when at least FailedShare of its requests failed (0.5),
	// or when its mean service time exceeds SlowFactor times the normal one
	// (5). One bad window makes the server suspect, two in a row eject it.
	FailedShare, SlowFactor float64
	// MinSlowTime is the mean service time up to which a server never counts as
	// slow (18 ms, the latency target).
	MinSlowTime time.Duration
	// ProbeFailures is the number of failed probes in a row that make a server
	// without recent real answers suspect (3). Twice as many eject it.
	ProbeFailures int
	// ReturnSuccesses is the number of successful probes or answers in a row
	// after which an ejected server may return (3).
	//
	// MinEjection is the shortest time of an ejection (2 s). It doubles with
	// each further ejection within ten minutes, up to 32 times its value.
	ReturnSuccesses int
	MinEjection     time.Duration
	// WarmupInitialShare is the share of its normal work that a warming server
	// takes at first (0.1). The share grows to 1 over WarmupDuration (20 s).
	WarmupInitialShare float64
	WarmupDuration     time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.FrozenAfter, time.Second)
	setDefault(&c.Window, time.Second)
	setDefault(&c.MinSamples, 10)
	setDefault(&c.FailedShare, 0.5)
	setDefault(&c.SlowFactor, 5)
	setDefault(&c.MinSlowTime, 18*time.Millisecond)
	setDefault(&c.ProbeFailures, 3)
	setDefault(&c.ReturnSuccesses, 3)
	setDefault(&c.MinEjection, 2*time.Second)
	setDefault(&c.WarmupInitialShare, 0.1)
	setDefault(&c.WarmupDuration, 20*time.Second)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
