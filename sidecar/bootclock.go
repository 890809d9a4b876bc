package sidecar

import (
	"time"

	"golang.org/x/sys/unix"

	"marjoramshore.example/clock"
)

// BootClock reads the operating system's clock that keeps counting while the VM
// is suspended. Leases are measured with it, because the monotonic clock stands
// still during a suspension and would leave an expired lease in use.
type BootClock struct{ zero int64 }

// NewBootClock returns a clock whose zero is one hour in the past, so that
// Instant 0, which stands for "never", is older than any timeout.
func NewBootClock() *BootClock { return &BootClock{zero: bootNow() - int64(time.Hour)} }

// Now implements clock.Clock.
func (c *BootClock) Now() clock.Instant { return clock.Instant(bootNow() - c.zero) }

// bootNow returns the nanoseconds since the VM was started. It panics on an
// error, because on Linux the call cannot fail for this clock.
func bootNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Nano()
}
