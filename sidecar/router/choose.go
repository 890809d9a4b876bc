package router

import (
	"math/rand/v2"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/shards"
)

// choosePeer returns the peer for the next attempt and sets the expected
// instance.
func (q *request) choosePeer() (*fleet.Peer, *core.Error) {
	snapshot := q.cfg.FleetSnapshot()
	if q.keyed {
		return q.findOwner(snapshot)
	}
	if p := q.reserved; p != nil && snapshot.Nodes[p.Node] != nil && snapshot.Nodes[p.Node].Usable() {
		q.req.Instance = p.Instance
		return p, nil
	}
	info := dispatch.RequestInfo{
		Node: q.cfg.Node, Service: q.req.Service, DataCentre: q.cfg.DataCentre, BodyBytes: q.req.Length, Tried: q.triedNodes,
		TargetLeft: max(0, time.Until(q.req.TargetTime)), Evacuated: q.isEvacuated,
	}
	now := q.cfg.Clock.Now()
	p := dispatch.ChoosePeer(now, snapshot, info, rand.Uint64())
	if p == nil && len(q.triedNodes) > 0 {
		info.Tried = nil
		p = dispatch.ChoosePeer(now, snapshot, info, rand.Uint64())
	}
	if p == nil {
		return nil, core.Fail(core.CodeNoOwner, "no usable backend server of the service is known")
	}
	if q.cfg.ReserveLink != nil && dispatch.NeedsReservation(p, info) {
		q.req.Instance = p.Instance
		return p, nil
	}
	if wait, refuse := dispatch.LinkWait(p, info); refuse {
		q.linkFull = true
		return nil, &core.Error{Code: core.CodeQueueFull, Detail: "the link to the backend server has no room for the body", RetryAfter: min(wait, maxLinkRetryAfter)}
	}
	q.req.Instance = p.Instance
	return p, nil
}

// isEvacuated reports whether the node knows that a data centre is evacuated.
func (r *Router) isEvacuated(dc core.DataCentre) bool {
	if r.cfg.EvacuatedSince == nil {
		return false
	}
	_, on := r.cfg.EvacuatedSince(dc)
	return on
}

// evacuationOver reports whether a data centre must get no more requests. The node
// beside a backend server there ends them sooner, unless it has not heard of the
// evacuation.
func (r *Router) evacuationOver(dc core.DataCentre) bool {
	if r.cfg.EvacuatedSince == nil {
		return false
	}
	since, on := r.cfg.EvacuatedSince(dc)
	return on && r.cfg.Clock.Now().Sub(since) >= r.cfg.EvacuationPeriod*evacuationPercent/100
}

// evacuationPercent is the part of the period of an evacuation after which requests
// for keys are not sent to their former owners there.
const evacuationPercent = 70

// maxLinkRetryAfter bounds the Retry-After of a request for whose body no link
// has room. Bodies of other nodes may end before the time of their transfer.
const maxLinkRetryAfter = time.Second

// findOwner returns the peer whose backend server owns the key, and sets the
// expected instance.
func (q *request) findOwner(snapshot *fleet.Snapshot) (*fleet.Peer, *core.Error) {
	controller := q.cfg.KeyController(q.req.Service)
	if controller == nil {
		return nil, core.Fail(core.CodeNoOwner, "the node does not follow the key assignment of the service yet")
	}
	table := controller.Table()
	if table == nil || len(table.Rows) == 0 {
		return nil, core.Fail(core.CodeNoOwner, "the key table of the service is not known to the node or is empty")
	}
	q.keyTableRevision = table.Revision
	row := table.Find(q.key)
	if row.Holder == shards.NoHolder {
		return nil, core.Fail(core.CodeNoOwner, "the key has no owner in the key table")
	}
	p := snapshot.Nodes[row.Holder.Node]
	switch {
	case p == nil:
		return nil, core.Fail(core.CodeNoOwner, "the node of the key's owner is not known")
	case !p.Alive:
		return nil, core.Fail(core.CodePeerUnreachable, "the node of the key's owner sends no beacons")
	case q.evacuationOver(p.DataCentre):
		return nil, core.Fail(core.CodeNoOwner, "the data centre of the key's owner is evacuated")
	}
	q.req.Instance = row.Holder.Instance
	return p, nil
}
