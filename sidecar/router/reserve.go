package router

import (
	"context"
	"math/rand/v2"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
)

const (
	// reserveAttempts is the number of peers that are asked for the time of their links.
	reserveAttempts = 3
	// A body may wait for a link for the time to its target divided by linkWaitDivisor,
	// or for the time to its deadline divided by lateLinkWaitDivisor once the target
	// has passed. The rest is for its transfer and the work.
	linkWaitDivisor     = 2
	lateLinkWaitDivisor = 3
)

// reserveFirst reserves a link for a large body before the body is read, so that one for
// which there is no room is refused at once.
func (q *request) reserveFirst(ctx context.Context) *core.Error {
	if q.cfg.ReserveLink == nil || q.keyed || q.req.Length <= 0 {
		return nil
	}
	var refusal *core.Error
	for range reserveAttempts {
		p, err := q.choosePeer()
		if err != nil {
			return nil // decided when the request is sent
		}
		if refusal = q.reserveLink(ctx, p); refusal == nil {
			return nil
		}
		q.triedNodes = append(q.triedNodes, p.Node)
	}
	q.triedNodes = nil
	return refusal
}

// reserveLink reserves the link of a peer for the body, if it needs that.
func (q *request) reserveLink(ctx context.Context, p *fleet.Peer) *core.Error {
	q.reserved = nil
	if q.cfg.ReserveLink == nil || !dispatch.NeedsReservation(p, dispatch.RequestInfo{Node: q.cfg.Node, BodyBytes: q.req.Length}) {
		return nil
	}
	maxWait := time.Until(q.req.TargetTime) / linkWaitDivisor
	if maxWait <= 0 {
		maxWait = time.Until(q.req.Deadline) / lateLinkWaitDivisor
	}
	r, err := q.cfg.ReserveLink(ctx, p, q.req.Length, maxWait)
	switch {
	case err != nil:
		// A node of an earlier version does not know reservations.
		return nil
	case r.Refused:
		// Those who come back are spread over the time in which as much again is sent.
		wait := min(max(r.Wait, minRetryAfter), maxLinkRetryAfter)
		return &core.Error{
			Code: core.CodeQueueFull, Detail: "the link to the backend server has no time for the body",
			RetryAfter: wait + rand.N(wait),
		}
	}
	q.reserved, q.linkFreeAt = p, time.Now().Add(r.Wait)
	return nil
}

// waitForLink waits until the body may be sent to a peer.
func (q *request) waitForLink(ctx context.Context, p *fleet.Peer) *core.Error {
	if q.reserved == nil || q.reserved.Node != p.Node {
		if err := q.reserveLink(ctx, p); err != nil {
			return err
		}
	}
	if q.reserved == nil {
		return nil
	}
	q.reserved = nil // for this attempt only
	wait := time.NewTimer(time.Until(q.linkFreeAt))
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return core.ContextErrorBeforeSend(ctx)
	}
}
