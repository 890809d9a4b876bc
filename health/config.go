package health

import "time"

// Config sets up a Monitor. Zero fields take the defaults stated here.
type Config struct {
	// FrozenAfter is the time without any answer after which the server is
	// ejected as frozen (1 s) if at least two requests that are known to be
	// short hang, or one and a probe failed. For one request alone the time is
	// three times as long, because it may be the request that is slow. The
	// server is suspect after half the time. Long work that hangs is not
	// noticed by this rule.
	FrozenAfter time.Duration
	// Window is the time over which answers are judged (1 s). A window is
	// extended up to five times until it has MinSamples.
	Window     time.Duration
	MinSamples int // 10
	// FailedShare and SlowFactor are the shares of failures and the factor
	// over the normal service time that make a window bad (0.5, 5). One bad
	// window makes the server suspect, two in a row eject it.
	FailedShare, SlowFactor float64
	// SlowFloor is a service time that is never slow (18 ms, the target).
	SlowFloor time.Duration
	// ProbeFailures is the number of failed probes in a row that make a server
	// suspect when it has no real answers; twice as many eject it (3).
	ProbeFailures int
	// Return is the number of successful probes or answers in a row that an
	// ejected server needs (3), and Away the least time of an ejection (2 s).
	// Away doubles up to 32 times with each ejection within ten minutes.
	Return int
	Away   time.Duration
	// WarmFrom is the first share and WarmFor the time to the full share
	// (0.1, 20 s).
	WarmFrom float64
	WarmFor  time.Duration
}

func (c Config) withDefaults() Config {
	set(&c.FrozenAfter, time.Second)
	set(&c.Window, time.Second)
	set(&c.MinSamples, 10)
	set(&c.FailedShare, 0.5)
	set(&c.SlowFactor, 5)
	set(&c.SlowFloor, 18*time.Millisecond)
	set(&c.ProbeFailures, 3)
	set(&c.Return, 3)
	set(&c.Away, 2*time.Second)
	set(&c.WarmFrom, 0.1)
	set(&c.WarmFor, 20*time.Second)
	return c
}

func set[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
