package datagram

import (
	"net/netip"
	"time"
)

// replayGuard rejects datagrams that are outdated or were received before. It
// holds the newest timestamp of each sender, in microseconds. Only the
// goroutine of receive uses it.
type replayGuard struct {
	maxSkew        time.Duration
	maxSenders     int
	lastTimestamps map[netip.AddrPort]uint64
}

func newReplayGuard(maxSkew time.Duration, maxSenders int) *replayGuard {
	return &replayGuard{maxSkew: maxSkew, maxSenders: maxSenders, lastTimestamps: make(map[netip.AddrPort]uint64)}
}

// check returns NotDropped and records the timestamp if the datagram is
// acceptable, or the reason for dropping it. timestamp is in microseconds since
// the Unix epoch.
func (g *replayGuard) check(from netip.AddrPort, timestamp uint64, now time.Time) DropReason {
	nowMicros, skewMicros := uint64(now.UnixMicro()), uint64(g.maxSkew.Microseconds())
	if timestamp > nowMicros+skewMicros || timestamp < nowMicros-min(nowMicros, skewMicros) {
		return DropClockSkew
	}
	lastTimestamp, known := g.lastTimestamps[from]
	switch {
	case known && timestamp <= lastTimestamp:
		return DropReplayed
	case !known && len(g.lastTimestamps) >= g.maxSenders && !g.evictExpired(nowMicros-min(nowMicros, skewMicros)):
		return DropTooManySenders
	}
	g.lastTimestamps[from] = timestamp
	return NotDropped
}

// evictExpired removes senders whose last timestamp is before oldest, and
// reports whether there is room for another one. The datagrams of those senders
// up to that timestamp are rejected by the clock skew, so none can be replayed.
func (g *replayGuard) evictExpired(oldest uint64) bool {
	for from, timestamp := range g.lastTimestamps {
		if timestamp < oldest {
			delete(g.lastTimestamps, from)
		}
	}
	return len(g.lastTimestamps) < g.maxSenders
}
