package router

import (
	"strconv"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/routes"
	"marjoramshore.example/shards"
)

// matchRoute finds the route and sets the fields of the request that follow from
// it.
func (q *request) matchRoute() *core.Error {
	q.routeTable = q.cfg.Routes.Load()
	if q.routeTable == nil {
		return &core.Error{Code: core.CodeStaleRevision, Detail: "the node has no configuration yet", RetryAfter: noConfigRetryAfter}
	}
	host := hostOf(q.req)
	route, ok := q.routeTable.Match(host, q.req.Path)
	if err := q.checkNewerConfig(host, ok); err != nil {
		return err
	}
	if !ok {
		return core.Fail(core.CodeNotFound, "no route matches the path on host "+host)
	}
	q.route = route
	q.req.Route, q.req.Priority = route.Name, route.Priority
	q.req.Idempotent = route.Kind == routes.Idempotent
	q.req.Service, q.req.Origin = route.PickService(), q.cfg.Origin
	q.req.TargetTime = q.started.Add(route.LatencyTarget)
	if timeoutAt := q.started.Add(route.Timeout); route.Timeout > 0 && (q.req.Deadline.IsZero() || timeoutAt.Before(q.req.Deadline)) {
		q.req.Deadline = timeoutAt
	}
	if q.req.Deadline.IsZero() {
		q.req.Deadline = q.started.Add(defaultTimeout)
	}
	q.adoptParent()
	return q.parseKey()
}

// adoptParent marks a call of the node's own backend server. A late answer to it still
// serves the parent, whose work is lost without one, so that only the deadline bounds the
// wait. It is as urgent as its parent, if that is more urgent than its own route.
func (q *request) adoptParent() {
	if q.cfg.FindParent == nil {
		return
	}
	parent, ok := q.cfg.FindParent(q.req.ID)
	if !ok {
		return
	}
	q.req.Call = true
	q.req.Priority = min(q.req.Priority, parent.Priority)
	if !parent.Deadline.IsZero() && parent.Deadline.Before(q.req.Deadline) {
		q.req.Deadline = parent.Deadline
	}
	q.req.TargetTime = q.req.Deadline
}

// target returns the time within which the request should be answered.
func (q *request) target() time.Duration {
	if q.req.Call {
		return q.req.Deadline.Sub(q.started)
	}
	return q.route.LatencyTarget
}

func hostOf(req *core.Request) string {
	host := ""
	for _, f := range req.Header {
		if f.Name == "Host" {
			host = f.Value
		}
	}
	return host
}

// MayRunAhead reports whether a request may be served before those that its
// caller sent before it are answered. If the connection then breaks, the caller
// sends it again.
func (r *Router) MayRunAhead(req *core.Request) bool {
	table := r.cfg.Routes.Load()
	if table == nil {
		return false
	}
	route, ok := table.Match(hostOf(req), req.Path)
	return ok && route.Kind == routes.Idempotent
}

// checkNewerConfig refuses a request that the node cannot decide, because other
// nodes have a configuration that it lacks and that differs in the routes of the
// host. A route that is missing may be new, so that 404 would be wrong; one that
// is found may have been removed or lead elsewhere.
//
// It decides by the present route for a part of the deadline, since it usually
// has the newer configuration within milliseconds. The rest is for beacons that
// wait at a full link.
func (q *request) checkNewerConfig(host string, found bool) *core.Error {
	newer := q.cfg.NewerConfig()
	if newer == nil || newer.Version <= q.routeTable.Version {
		return nil
	}
	digest, known := routes.DecodeDigest(newer.Digest)
	if known && q.routeTable.Digest.SameForHost(digest, host) || found && q.cfg.Clock.Now().Sub(newer.Since) < oldRouteGrace(q.cfg.ConfigDeadline) {
		return nil
	}
	return &core.Error{
		Code: core.CodeStaleRevision, RetryAfter: noConfigRetryAfter,
		Detail: "the node lacks version " + strconv.FormatUint(newer.Version, 10) + " of the configuration, which may have other routes of the host",
	}
}

// oldRouteGrace returns how long a node decides by a route that a newer
// configuration may have changed, from when it hears of that.
func oldRouteGrace(configDeadline time.Duration) time.Duration { return configDeadline * 2 / 5 }

// defaultTimeout bounds requests for which neither the caller nor the route sets
// a timeout.
const defaultTimeout = 30 * time.Second

// parseKey reads the key of a request to a sharded service.
func (q *request) parseKey() *core.Error {
	s, ok := q.routeTable.Service(q.req.Service)
	if !ok || !s.Sharded || q.req.Key == "" {
		return nil
	}
	key, err := strconv.Atoi(q.req.Key)
	if err != nil || key < 0 || key >= shards.KeyCount {
		return core.Fail(core.CodeInvalid, "malformed key: not an integer in the key range")
	}
	q.keyed, q.key = true, key
	return nil
}
