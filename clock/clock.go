// Package clock provides monotonic time behind an interface, so that tests of
// time-dependent code can control it.
package clock

import (
	"sync/atomic"
	"time"
)

// Instant is the reading of a monotonic clock, in nanoseconds since a zero that
// the clock chooses. Instants of two processes are not comparable.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-o.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// After reports whether i is later than o.
func (i Instant) After(o Instant) bool { return i > o }

// Clock returns the current instant.
type Clock interface{ Now() Instant }

// Real is a Clock that reads the operating system's monotonic clock.
type Real struct{ zero time.Time }

// NewReal returns a Real clock whose Instant 0 is one hour in the past. Instant
// 0 stands for "never", which must be longer ago than any timeout.
func NewReal() *Real { return &Real{zero: time.Now().Add(-time.Hour)} }

// Now implements Clock.
func (r *Real) Now() Instant { return Instant(time.Since(r.zero)) }

// InstantAt converts a wall-clock time to an Instant.
func (r *Real) InstantAt(t time.Time) Instant { return r.Now().Add(time.Until(t)) }

// Manual is a Clock for tests that moves only by Advance. Its zero value reads
// 0. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// Now implements Clock.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }

// MaxDriftPPM is the largest difference between the rates of two clocks that is
// tolerated, in parts per million. Quartz clocks stay within 100 ppm; 5,000
// allows for clocks that the time service is slewing.
const MaxDriftPPM = 5000

// AddMaxDrift lengthens d so that d has also passed on a clock that is slower
// by MaxDriftPPM.
func AddMaxDrift(d time.Duration) time.Duration {
	return d + d*MaxDriftPPM/1_000_000 + 1
}
