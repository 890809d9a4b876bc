package ownership

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// DefaultTiming returns the durations of the design.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 600 * time.Millisecond,
		PromiseDuration:   1500 * time.Millisecond,
		MemberLease:       2700 * time.Millisecond,
		TermLease:         1500 * time.Millisecond,
		DriftPPM:          clock.MaxDriftPPM,
		StoreWait:         500 * time.Millisecond,
		Acting:            time.Hour,
		Orphan:            3 * time.Hour,
		Stop:              2 * time.Second,
		HandOver:          time.Second,
	}
}

// Validate reports durations with which leases would lapse in normal operation
// or with which the safety argument does not hold.
func (t Timing) Validate() error {
	switch {
	case t.HeartbeatInterval <= 0 || t.StoreWait <= 0 || t.HandOver <= 0 || t.Stop <= 0:
		return core.Fail(core.CodeInvalid, "timing: durations must be positive")
	case t.PromiseDuration < 2*t.HeartbeatInterval || t.TermLease < 2*t.HeartbeatInterval:
		return core.Fail(core.CodeInvalid, "timing: promise and term lease need room for one lost heartbeat")
	case t.MemberLease < t.PromiseDuration+t.HeartbeatInterval:
		return core.Fail(core.CodeInvalid, "timing: member lease must outlast a takeover")
	case t.DriftPPM < 0 || t.DriftPPM > 100_000:
		return core.Fail(core.CodeInvalid, "timing: drift bound out of range")
	case t.Acting < t.MemberLease || t.Orphan < 2*t.Acting:
		return core.Fail(core.CodeInvalid, "timing: acting and orphan limits too short")
	}
	return nil
}

// stretch lengthens d so that a peer with the slowest permitted clock has also
// counted d. The nanosecond covers integer rounding.
func (t Timing) stretch(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)*t.DriftPPM/1_000_000) + 1
}
