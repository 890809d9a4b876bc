package dispatch

import (
	"math/rand/v2"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

const (
	// crossDataCentreCost is the cost of sending a small request to another
	// data centre: two crossings of about 1.4 ms, and the price of its bytes.
	crossDataCentreCost = 12 * time.Millisecond
	// crossDataCentreCostPerKB is added for each KB of a request's body, since
	// bytes between data centres are charged.
	crossDataCentreCostPerKB = time.Millisecond
	// maxCrossDataCentreCost bounds the cost, so that a full backend server in
	// the own data centre does not keep uploads while others are idle.
	maxCrossDataCentreCost = 80 * time.Millisecond
	// failureCost is added for a backend server that fails every request, and a
	// share of it for one that fails that share. It is about what a failed
	// request costs its caller, who comes back after a second.
	failureCost = 2 * time.Second
	// unknownBodyBytes is assumed for a body of unknown length.
	unknownBodyBytes = 64 << 10
	// maxLinkShare bounds the share of a link in use for which the transfer of
	// a body is estimated, because shares are averages of the last second.
	maxLinkShare = 0.9
	// unreadCostFactor is the cost of a peer's unread bodies in terms of the time
	// of their transfer.
	unreadCostFactor = 2
	// unreachableCost is added for a peer that recently could not be reached,
	// and for one that is stopping.
	unreachableCost = time.Second
)

// RequestInfo describes the request for which a backend server is chosen.
type RequestInfo struct {
	// Node is the node that chooses. A request to its own backend server uses no
	// link.
	Node       core.NodeID
	Service    core.Service
	DataCentre core.DataCentre
	// BodyBytes is the length of the body, or core.UnknownLength.
	BodyBytes int64
	// TargetLeft is the time until the request should be answered. It is 0 if
	// there is no such time or it has passed.
	TargetLeft time.Duration
	// Evacuated reports whether a data centre is evacuated, so that its backend
	// servers take no new requests. It may be nil, for none.
	Evacuated func(core.DataCentre) bool
	// Tried are the nodes that refused or failed the request.
	Tried []core.NodeID
}

// ChoosePeer returns the peer whose backend server should answer soonest among
// a random sample and the own one, or nil if none is usable. Sampling keeps many nodes with
// reports of the same age from choosing the same peer. seed is a random number.
func ChoosePeer(now clock.Instant, snapshot *fleet.Snapshot, req RequestInfo, seed uint64) *fleet.Peer {
	candidates := make([]candidate, 0, len(snapshot.ByService[req.Service]))
	totalWeight := 0.0
	for _, p := range snapshot.ByService[req.Service] {
		if p.Usable() && !wasTried(req.Tried, p.Node) && !(req.Evacuated != nil && req.Evacuated(p.DataCentre)) {
			c := candidate{p, samplingWeight(p, req)}
			candidates = append(candidates, c)
			totalWeight += c.weight
		}
	}
	var best *fleet.Peer
	var lowestCost time.Duration
	var assumed linkState
	if req.BodyBytes != 0 {
		assumed = assumeLink(snapshot, req)
	}
	compare := func(p *fleet.Peer) {
		if c := estimateCost(now, p, req, assumed); best == nil || c < lowestCost {
			best, lowestCost = p, c
		}
	}
	for i, c := range candidates {
		if c.peer.Node == req.Node {
			compare(c.peer)
			totalWeight -= c.weight
			candidates[i].weight = 0
		}
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	for range min(sampleSizeFor(req), len(candidates)) {
		index := drawCandidate(candidates, rnd.Float64()*totalWeight)
		totalWeight -= candidates[index].weight
		candidates[index].weight = 0
		compare(candidates[index].peer)
	}
	return best
}

// sampleSize is the number of backend servers that are compared. With three, a
// fleet of four is nearly always compared whole, and the best of many gets at
// most three times its share before its next report.
const sampleSize = 3

// bodySampleSize is the number of backend servers that are compared for a large
// body. A link's share is an average of the last second; more comparisons send
// so many bodies to the emptiest link that it is full before its next report.
const bodySampleSize = 2

// largeBodyBytes is the size from which a body counts as large: with 10 Mbit/s
// its transfer takes 7 ms.
const largeBodyBytes = 8 << 10

func (r RequestInfo) hasLargeBody() bool { return r.BodyBytes < 0 || r.BodyBytes >= largeBodyBytes }

func sampleSizeFor(req RequestInfo) int {
	if req.hasLargeBody() {
		return bodySampleSize
	}
	return sampleSize
}

// A large body is sent if the unread bodies before it pass the link within the
// time to its target, divided by linkWaitDivisor. The link carries them at the
// same time and takes further ones, so that the body itself takes two to three
// times as long.
const linkWaitDivisor = 4

// LinkWait returns how long the peer's link carries the bodies that are not read
// yet, and whether the request should be refused because of them: it has a large
// body, which would be late and delay the small requests of others.
func LinkWait(p *fleet.Peer, req RequestInfo) (wait time.Duration, refuse bool) {
	if !req.hasLargeBody() || p.Node == req.Node || p.LinkMbps <= 0 {
		return 0, false
	}
	wait = transferTime(p.LinkMbps, p.Load.UnreadBodyBytes())
	return wait, req.TargetLeft > 0 && wait > req.TargetLeft/linkWaitDivisor
}

// minReservedTransfer is the time that a body takes on a link from which the link is
// reserved for it. A shorter one delays no other request by much.
const minReservedTransfer = 10 * time.Millisecond

// NeedsReservation reports whether the peer's link is to be reserved for the body of a
// request.
func NeedsReservation(p *fleet.Peer, req RequestInfo) bool {
	return req.BodyBytes > 0 && p.Node != req.Node && p.LinkMbps > 0 && transferTime(p.LinkMbps, req.BodyBytes) >= minReservedTransfer
}

// transferTime returns how long a link takes for that many bytes. Its capacity
// must be known.
func transferTime(mbps float64, bytes int64) time.Duration {
	const bytesPerMegabit = 1e6 / 8
	return time.Duration(float64(bytes) / (mbps * bytesPerMegabit) * float64(time.Second))
}

// linkState is what is known or assumed of a peer's link.
type linkState struct {
	mbps   float64
	share  float64 // in use
	unread int64   // bytes of bodies
}

// assumeLink returns the state that is assumed of links that are not reported:
// the capacity of the own link, or of the widest reported one if that is not
// known, and the use of the busiest reported one of the service. Nodes of
// versions that report no link would otherwise look idle and get all bodies. A
// mean use does not suffice, since no report shows when such a link is full.
func assumeLink(snapshot *fleet.Snapshot, req RequestInfo) linkState {
	var assumed linkState
	for _, p := range snapshot.ByService[req.Service] {
		if p.Usable() && p.LinkMbps > 0 {
			assumed.mbps = max(assumed.mbps, p.LinkMbps)
			assumed.share = max(assumed.share, p.Load.LinkShare())
			assumed.unread = max(assumed.unread, p.Load.UnreadBodyBytes())
		}
	}
	if own := snapshot.Nodes[req.Node]; own != nil && own.LinkMbps > 0 {
		assumed.mbps = own.LinkMbps
	}
	return assumed
}

// linkOf returns the state of a peer's link, and the assumed one if the peer
// does not report its own.
func linkOf(p *fleet.Peer, assumed linkState) linkState {
	if p.LinkMbps <= 0 {
		return assumed
	}
	return linkState{p.LinkMbps, p.Load.LinkShare(), p.Load.UnreadBodyBytes()}
}

type candidate struct {
	peer   *fleet.Peer
	weight float64
}

// localWeightFactor is how much more often backend servers of the own data
// centre are drawn.
const localWeightFactor = 3

// samplingWeight returns the rate at which a backend server can work, raised
// for the own data centre.
func samplingWeight(p *fleet.Peer, req RequestInfo) float64 {
	rate := float64(max(1, p.Slots)) / p.Load.MeanServiceTime().Seconds()
	if p.DataCentre == req.DataCentre {
		rate *= localWeightFactor
	}
	return rate
}

// drawCandidate returns the index of the candidate at a point of the summed
// weights. Candidates that were drawn before have weight 0.
func drawCandidate(candidates []candidate, point float64) int {
	last := 0
	for i, c := range candidates {
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

func wasTried(nodes []core.NodeID, id core.NodeID) bool {
	for _, t := range nodes {
		if t == id {
			return true
		}
	}
	return false
}

// estimateCost estimates the time until a peer answers, and adds the costs of
// distance, failures and unreachability. A partly busy backend server costs
// more than an idle one, because its report is some time old.
func estimateCost(now clock.Instant, p *fleet.Peer, req RequestInfo, assumed linkState) time.Duration {
	running, waiting := p.Load.RequestCounts()
	busy := max(running+waiting, p.Load.InFlight.Load())
	slots := float64(max(1, p.Slots))
	occupancy := float64(busy+1) / slots
	serviceNanos := float64(p.Load.MeanServiceTime())
	cost := time.Duration(serviceNanos * (1 + occupancy*occupancy/2))
	if excess := occupancy - 1; excess > 0 {
		cost += time.Duration(serviceNanos * excess)
	}
	if p.DataCentre != req.DataCentre {
		cost += min(crossDataCentreCost+time.Duration(max(0, req.BodyBytes)/1024)*crossDataCentreCostPerKB, maxCrossDataCentreCost)
	}
	if p.Node != req.Node {
		cost += linkCost(p, req, assumed)
	}
	cost += time.Duration(float64(failureCost) * p.Load.FailedShare())
	if p.Load.RecentlyUnreachable(now) {
		cost += unreachableCost
	}
	if p.Stopping {
		cost += unreachableCost
	}
	return cost
}

// linkCost returns the delay before the peer's node reads a request, and the
// time in which its link carries the body. Unread bodies count twice, once for
// the requests that wait behind this body and those, so that bodies keep off a
// link long before it is full.
func linkCost(p *fleet.Peer, req RequestInfo, assumed linkState) time.Duration {
	cost := p.Load.ReadDelay()
	link := linkOf(p, assumed)
	if link.mbps <= 0 || req.BodyBytes == 0 {
		return cost
	}
	bytes := req.BodyBytes
	if bytes < 0 {
		bytes = unknownBodyBytes
	}
	free := 1 - min(link.share, maxLinkShare)
	return cost + time.Duration(float64(transferTime(link.mbps, bytes))/free) + unreadCostFactor*transferTime(link.mbps, link.unread)
}
