package datagram

import (
	"net/netip"
	"time"
)

// replayGuard remembers the newest stamp of each sender. The receiver owns it.
type replayGuard struct {
	skew time.Duration
	max  int
	last map[netip.AddrPort]uint64
}

func newReplayGuard(skew time.Duration, limit int) *replayGuard {
	return &replayGuard{skew: skew, max: limit, last: make(map[netip.AddrPort]uint64)}
}

func (g *replayGuard) check(from netip.AddrPort, stamp uint64, now time.Time) Fault {
	micros, skew := uint64(now.UnixMicro()), uint64(g.skew.Microseconds())
	if stamp > micros+skew || stamp < micros-min(micros, skew) {
		return FaultStale
	}
	last, known := g.last[from]
	switch {
	case known && stamp <= last:
		return FaultReplay
	case !known && len(g.last) >= g.max && !g.sweep(micros-min(micros, skew)):
		return FaultSenders
	}
	g.last[from] = stamp
	return FaultNone
}

// sweep forgets senders whose last stamp is too old to be accepted again, and
// reports whether there is room.
func (g *replayGuard) sweep(oldest uint64) bool {
	for from, stamp := range g.last {
		if stamp < oldest {
			delete(g.last, from)
		}
	}
	return len(g.last) < g.max
}
