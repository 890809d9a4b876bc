package dispatch

import (
	"math/rand/v2"
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

// RequestInfo describes the request for which a backend server is chosen.
type RequestInfo struct {
	Service    core.Service
	DataCentre core.DataCentre
	// BodyBytes is the length of the body, or core.UnknownLength.
	BodyBytes int64
	// Tried are the nodes that refused or failed.
	Tried []core.NodeID
}

// ChoosePeer returns the backend server that should answer soonest among a sample,
// or nil when none is usable. The sample keeps many nodes with reports of the
// same age from choosing the same one. roll is a random number.
func ChoosePeer(now clock.Instant, s *fleet.Snapshot, w RequestInfo, roll uint64) *fleet.Peer {
	list := make([]candidate, 0, len(s.PeersByService[w.Service]))
	total := 0.0
	for _, p := range s.PeersByService[w.Service] {
		if p.Usable() && !tried(w.Tried, p.Node) {
			c := candidate{p, weight(p, w)}
			list = append(list, c)
			total += c.weight
		}
	}
	var best *fleet.Peer
	var least time.Duration
	r := rand.New(rand.NewPCG(roll, roll))
	for range min(samples, len(list)) {
		at := draw(list, r.Float64()*total)
		p := list[at].peer
		total -= list[at].weight
		list[at].weight = 0
		if c := cost(now, p, w); best == nil || c < least {
			best, least = p, c
		}
	}
	return best
}

// samples is the number of backend servers that are compared. With three, a
// fleet of four is nearly always seen whole, and the best of many gets at most
// three times its share before its next report.
const samples = 3

type candidate struct {
	peer   *fleet.Peer
	weight float64
}

// nearby is how much more often backend servers of the own data centre are
// compared.
const nearby = 3

// weight is the rate at which a backend server can work.
func weight(p *fleet.Peer, w RequestInfo) float64 {
	rate := float64(max(1, p.Slots)) / p.Load.MeanServiceTime().Seconds()
	if p.DataCentre == w.DataCentre {
		rate *= nearby
	}
	return rate
}

// draw returns the index of the candidate at a point of the summed weights. Those
// that were drawn weigh nothing.
func draw(list []candidate, point float64) int {
	last := 0
	for i, c := range list {
		if c.weight == 0 {
			continue
		}
		last = i
		if point -= c.weight; point < 0 {
			break
		}
	}
	return last
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
func cost(now clock.Instant, p *fleet.Peer, w RequestInfo) time.Duration {
	running, waiting := p.Load.RequestCounts()
	busy := max(running+waiting, p.Load.InFlight.Load())
	slots := float64(max(1, p.Slots))
	fill := float64(busy+1) / slots
	service := float64(p.Load.MeanServiceTime())
	c := time.Duration(service * (1 + fill*fill/2))
	if over := fill - 1; over > 0 {
		c += time.Duration(service * over)
	}
	if p.DataCentre != w.DataCentre {
		c += min(crossing+time.Duration(max(0, w.BodyBytes)/1024)*crossingPerKB, maxCrossing)
	}
	c += time.Duration(float64(faultCost) * p.Load.FailedShare())
	if p.Load.RecentlyUnreachable(now) {
		c += unreachable
	}
	if p.Stopping {
		c += unreachable
	}
	return c
}
