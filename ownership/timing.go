package ownership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// DefaultTiming returns the durations of the design page.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 600 * time.Millisecond,
		PromiseDuration:   1500 * time.Millisecond,
		MemberLease:       2700 * time.Millisecond,
		TermLease:         1500 * time.Millisecond,
		DriftPPM:          clock.MaxDriftPPM,
		StoreSlowAfter:    500 * time.Millisecond,
		MaxActing:         time.Hour,
		MaxUnconfirmed:    3 * time.Hour,
		DrainGrace:        2 * time.Second,
		HandOverTimeout:   time.Second,
	}
}

// Validate returns a CodeInvalid error for durations with which leases would
// lapse in normal operation, or with which two members could own a range at the
// same time.
func (t Timing) Validate() error {
	switch {
	case t.HeartbeatInterval <= 0 || t.StoreSlowAfter <= 0 || t.HandOverTimeout <= 0 || t.DrainGrace <= 0:
		return core.Fail(core.CodeInvalid, "timing: durations must be positive")
	case t.PromiseDuration < 2*t.HeartbeatInterval || t.TermLease < 2*t.HeartbeatInterval:
		return core.Fail(core.CodeInvalid, "timing: promise and term lease must last two heartbeat intervals, to survive one lost heartbeat")
	case t.MemberLease < t.PromiseDuration+t.HeartbeatInterval:
		return core.Fail(core.CodeInvalid, "timing: member lease must outlast a takeover: at least promise plus heartbeat interval")
	case t.DriftPPM < 0 || t.DriftPPM > 100_000:
		return core.Fail(core.CodeInvalid, "timing: clock drift bound must be between 0 and 100000 ppm")
	case t.MaxActing < t.MemberLease || t.MaxUnconfirmed < 2*t.MaxActing:
		return core.Fail(core.CodeInvalid, "timing: acting limit must cover a member lease, and unconfirmed limit twice the acting limit")
	}
	return nil
}

// withDrift lengthens d so that a peer with the slowest permitted clock has
// also counted d. The added nanosecond covers integer rounding.
func (t Timing) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)*t.DriftPPM/1_000_000) + 1
}
