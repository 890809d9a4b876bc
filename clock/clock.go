// Package clock gives decision code a monotonic time that tests control.
package clock

import (
	"sync/atomic"
	"time"
)

// Instant is a point on a process-local monotonic clock, in nanoseconds. Two
// processes cannot compare their instants.
type Instant int64

// Add returns i moved by d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Before reports whether i is earlier than o.
func (i Instant) Before(o Instant) bool { return i < o }

// After reports whether i is later than o.
func (i Instant) After(o Instant) bool { return i > o }

// Clock tells the current instant.
type Clock interface{ Now() Instant }

// Real reads the operating system's monotonic clock.
type Real struct{ base time.Time }

// NewReal returns a Real clock whose zero is one hour in the past, so that
// "never" (Instant 0) is older than any timeout.
func NewReal() *Real { return &Real{base: time.Now().Add(-time.Hour)} }

// Now implements Clock.
func (r *Real) Now() Instant { return Instant(time.Since(r.base)) }

// InstantAt converts a wall time to an Instant.
func (r *Real) InstantAt(t time.Time) Instant { return r.Now().Add(time.Until(t)) }

// Manual is a clock that moves only when told. It is safe for concurrent use.
type Manual struct{ now atomic.Int64 }

// Now implements Clock.
func (m *Manual) Now() Instant { return Instant(m.now.Load()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) { m.now.Add(int64(d)) }

// MaxDriftPPM bounds how much the rates of two clocks may differ, in parts
// per million. Quartz clocks stay within 100 ppm; 5,000 leaves room for clocks
// that are being slewed by the time service.
const MaxDriftPPM = 5000

// AddMaxDrift lengthens d so that a peer whose clock runs slow by MaxDriftPPM has
// also counted d.
func AddMaxDrift(d time.Duration) time.Duration {
	return d + d*MaxDriftPPM/1_000_000 + 1
}
