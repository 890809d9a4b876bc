package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
)

// Guards against a full link or late reads that a report misses, and against
// ones that are still reported seconds after they ended.
func TestLinkMonitorFollowsUsage(t *testing.T) {
	now := clock.Instant(time.Hour)
	m := NewLinkMonitor(now, 8) // 1 MB/s
	var c LinkCounters
	advance := func(length time.Duration, bytes int64, delay time.Duration) {
		for range length / (100 * time.Millisecond) {
			now = now.Add(100 * time.Millisecond)
			c.BytesRead += bytes
			if delay > 0 {
				c.Hops, c.HopDelay = c.Hops+10, c.HopDelay+10*delay
			}
			m.Update(now, c)
		}
	}
	advance(2*time.Second, 90_000, 300*time.Millisecond)
	must.Between(t, 0.85, m.LinkShare(), 0.95)
	must.Between(t, 280*time.Millisecond, m.ReadDelay(), 310*time.Millisecond)
	advance(2*time.Second, 0, 0)
	must.Less(t, 0.05, m.LinkShare())
	must.Less(t, 10*time.Millisecond, m.ReadDelay())
	m = NewLinkMonitor(now, 0)
	m.Update(now.Add(time.Second), c)
	must.Eq(t, 0, m.LinkShare())
}
