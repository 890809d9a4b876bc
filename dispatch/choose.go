package dispatch

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

const (
	// crossing is the cost of another data centre for a small request: two
	// crossings of about 1.4 ms, and the price of its bytes.
	crossing = 12 * time.Millisecond
	// crossingPerKB is added for each KB of a request's body, since bytes
	// between data centres are priced.
	crossingPerKB = time.Millisecond
	// maxCrossing bounds the cost, so that a full backend server nearby does
	// not keep uploads while others are idle.
	maxCrossing = 80 * time.Millisecond
	// faultCost is added for a backend server that fails every request, and a
	// part of it for one that fails some: about what a failed request costs its
	// caller, who comes back after a second.
	faultCost = 2 * time.Second
	// unreachable is added for a peer that could not be reached lately.
	unreachable = time.Second
)

// Wish describes the request for which a backend server is chosen.
type Wish struct {
	Service    core.Service
	DataCentre core.DataCentre
	// BodyBytes is the length of the body, or core.UnknownLength.
	BodyBytes int64
	// Tried are the nodes that refused or failed.
	Tried []core.NodeID
}

// Choose returns the backend server that should answer soonest, or nil when
// none is usable. start varies the order among equals.
func Choose(now clock.Instant, s *fleet.Snapshot, w Wish, start uint32) *fleet.Peer {
	list := s.Services[w.Service]
	var best *fleet.Peer
	var least time.Duration
	for i := range list {
		p := list[(i+int(start%uint32(len(list))))%len(list)]
		if !p.Usable() || tried(w.Tried, p.Node) {
			continue
		}
		if c := cost(now, p, w); best == nil || c < least {
			best, least = p, c
		}
	}
	return best
}

func tried(list []core.NodeID, id core.NodeID) bool {
	for _, t := range list {
		if t == id {
			return true
		}
	}
	return false
}

// cost estimates the time until a peer answers. A backend server that is partly
// busy is dearer than an idle one, because its report is some time old.
func cost(now clock.Instant, p *fleet.Peer, w Wish) time.Duration {
	running, waiting := p.Load.Running()
	busy := max(running+waiting, p.Load.Sent.Load())
	slots := float64(max(1, p.Slots))
	fill := float64(busy+1) / slots
	service := float64(p.Load.Service())
	c := time.Duration(service * (1 + fill*fill/2))
	if over := fill - 1; over > 0 {
		c += time.Duration(service * over)
	}
	if p.DataCentre != w.DataCentre {
		c += min(crossing+time.Duration(max(0, w.BodyBytes)/1024)*crossingPerKB, maxCrossing)
	}
	c += time.Duration(float64(faultCost) * p.Load.Faults())
	if p.Load.Avoid(now) {
		c += unreachable
	}
	if p.Stopping {
		c += unreachable
	}
	return c
}
