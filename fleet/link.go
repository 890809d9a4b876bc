package fleet

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

// linkAveragingTime is the time constant of the averages of a LinkMonitor. It
// is shorter than the time in which the choices of all nodes follow a report,
// so that a full link is noticed before much more is sent to it.
const linkAveragingTime = 500 * time.Millisecond

// LinkCounters are totals since the start of a process.
type LinkCounters struct {
	// BytesRead and BytesWritten are those of the VM's link.
	BytesRead, BytesWritten int64
	// Hops counts the requests of other nodes that were read, and HopDelay is
	// the sum of the times that they waited before that.
	Hops     int64
	HopDelay time.Duration
}

// LinkMonitor averages how busy the VM's link is, and how late the requests of
// other nodes are read. Only one goroutine may use it.
type LinkMonitor struct {
	bytesPerSecond float64
	last           LinkCounters
	lastAt         clock.Instant
	inShare        float64
	outShare       float64
	readDelay      float64 // nanoseconds
}

// NewLinkMonitor returns a monitor of a link. A capacity of 0 Mbit/s means that
// it is not known; LinkShare is then 0.
func NewLinkMonitor(now clock.Instant, mbps float64) *LinkMonitor {
	const bytesPerMegabit = 1e6 / 8
	return &LinkMonitor{bytesPerSecond: mbps * bytesPerMegabit, lastAt: now}
}

// Update takes in the present totals.
func (m *LinkMonitor) Update(now clock.Instant, c LinkCounters) {
	elapsed := now.Sub(m.lastAt)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(linkAveragingTime))
	if m.bytesPerSecond > 0 {
		capacity := m.bytesPerSecond * elapsed.Seconds()
		m.inShare += weight * (float64(c.BytesRead-m.last.BytesRead)/capacity - m.inShare)
		m.outShare += weight * (float64(c.BytesWritten-m.last.BytesWritten)/capacity - m.outShare)
	}
	delay := 0.0 // without a request, the delay is taken to pass
	if hops := c.Hops - m.last.Hops; hops > 0 {
		delay = float64(c.HopDelay-m.last.HopDelay) / float64(hops)
	}
	m.readDelay += weight * (delay - m.readDelay)
	m.last, m.lastAt = c, now
}

// LinkShare returns the share of the link's capacity in use, in the busier
// direction.
func (m *LinkMonitor) LinkShare() float64 { return max(m.inShare, m.outShare) }

// ReadDelay returns the mean delay of requests before they are read.
func (m *LinkMonitor) ReadDelay() time.Duration { return time.Duration(m.readDelay) }
