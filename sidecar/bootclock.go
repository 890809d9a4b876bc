package sidecar

import (
	"time"

	"golang.org/x/sys/unix"

	"marjoramshore.example/clock"
)

// Boot reads the operating system's clock that keeps counting while the VM is
// suspended. Leases are measured with it, because the steady clock stands still
// during a suspension and would leave an expired lease in use.
type Boot struct{ base int64 }

// NewBoot returns a Boot clock whose zero is one hour in the past, so that
// "never" (Instant 0) is older than any timeout.
func NewBoot() *Boot { return &Boot{base: bootNow() - int64(time.Hour)} }

// Now implements clock.Clock.
func (b *Boot) Now() clock.Instant { return clock.Instant(bootNow() - b.base) }

// bootNow returns nanoseconds since the VM was started. Linux cannot refuse
// the call for this clock, so a failure ends the process.
func bootNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Nano()
}
