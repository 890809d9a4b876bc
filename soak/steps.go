package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"marjoramshore.example/standin/keyed"
	"marjoramshore.example/standin/objects"
	"marjoramshore.example/standin/wire"
)

const (
	// routeHost is the host of all routes.
	routeHost = "soak.example"
	// configApplyTime is the time within which nodes must apply a configuration,
	// as the users' platform requires.
	configApplyTime = 2 * time.Second
	// latencyTarget is the latency objective of all routes.
	latencyTarget = 500 * time.Millisecond
	// lostAnswers is how many consecutive writes the store leaves without a
	// response in a StoreLost step.
	lostAnswers = 3
)

// publishConfig writes the next version of the configuration to the store, with
// a route that is named after the version. Routes of earlier versions stay, so
// that the check of a version still works after the next one is published.
func (r *run) publishConfig() {
	r.configVersion++
	routes := []wire.Route{
		{Name: "look", PathPrefix: "/look/", Kind: "idempotent", Service: keyedService, Priority: 2},
		{Name: "enter", PathPrefix: "/enter/", Kind: "non_idempotent", Service: keyedService, Priority: 1},
		{Name: "sheet", PathPrefix: "/sheet/", Kind: "upload", Service: plainService, Priority: 1},
		{Name: "list", PathPrefix: "/list/", Kind: "idempotent", Service: plainService, Priority: 2},
	}
	for i := range r.configVersion {
		name := fmt.Sprintf("v%d", i+1)
		routes = append(routes, wire.Route{Name: name, PathPrefix: "/" + name + "/", Kind: "idempotent", Service: plainService, Priority: 2})
	}
	for i := range routes {
		routes[i].Timeout, routes[i].TargetLatency = requestTimeout, latencyTarget
	}
	r.store.Put("config", "main", wire.EncodeConfig(r.configVersion, routeHost, routes, map[string]bool{keyedService: true, plainService: false}))
}

// startStep starts a disturbance and schedules its end.
func (r *run) startStep(s Step) {
	v := r.vms[s.Node]
	if !s.Kind.Planned() {
		r.record(FaultPeriod{r.elapsed(), r.elapsed() + s.Duration, s.Kind})
	}
	switch s.Kind {
	case Restart:
		r.restartProcess(v)
	case Reload:
		v.signal(syscall.SIGHUP)
	case Configure:
		r.publishConfig()
		r.runAfter(configApplyTime, r.newConfigCheck(r.elapsed(), r.configVersion))
	case Leave:
		v.server.Load().Leave()
		r.runAfter(drainTime+reportInterval, func() { r.restartServer(v) })
	case Kill:
		v.signal(syscall.SIGKILL)
	case Pause:
		v.signal(syscall.SIGSTOP)
		r.runAfter(s.Duration, func() { v.signal(syscall.SIGCONT) })
	case Crash:
		r.restartServer(v)
	case Misbehave:
		r.injectServerFault(v, s)
	case Refuse:
		server := v.server.Load()
		server.RefuseConnections()
		r.runAfter(s.Duration, func() {
			if err := server.AcceptConnections(); err != nil {
				r.fail(err)
			}
		})
	case CutIn, CutBack, ResetIn, SlowIn:
		r.disturbLinks(v, s)
	case Mute:
		r.setMuted(v.addr(), true)
		r.runAfter(s.Duration, func() { r.setMuted(v.addr(), false) })
	case Throttle:
		ctx, cancel := context.WithTimeout(r.ctx, s.Duration)
		v.startThrottle(ctx)
		r.runAfter(s.Duration, cancel)
	default:
		r.disturbStore(v, s)
	}
}

// runAfter runs f on a new goroutine after delay, unless the run ends first.
func (r *run) runAfter(delay time.Duration, f func()) {
	r.scheduled.Go(func() {
		if r.sleep(r.ctx, delay) {
			f()
		}
	})
}

// restartProcess stops a node's process with SIGTERM, and kills it if it still
// runs after the grace period. The supervisor starts the next one.
func (r *run) restartProcess(v *vm) {
	process := v.process.Load()
	if process == nil {
		return
	}
	v.signal(syscall.SIGTERM)
	r.runAfter(gracePeriod, func() {
		if process.Signal(syscall.SIGKILL) == nil { // else it has exited
			r.record(ProcessFailure{r.elapsed(), v.name, "still running after the grace period"})
		}
	})
}

// restartServer ends the backend server of a VM at once and starts its next
// instance. In a Leave step the server has drained before.
func (r *run) restartServer(v *vm) {
	if err := v.restartServer(); err != nil {
		r.fail(err)
	}
}

// injectServerFault makes the backend server of a VM fail in the way that the
// step's variant selects.
func (r *run) injectServerFault(v *vm, s Step) {
	server := v.server.Load()
	server.SetFault(s.serverFault())
	r.runAfter(s.Duration, func() { server.SetFault(keyed.NoFault) })
}

// disturbLinks injects a fault into the connections of other nodes to a VM.
func (r *run) disturbLinks(v *vm, s Step) {
	mode := map[Kind]LinkMode{CutIn: LinkBlocked, CutBack: LinkRepliesBlocked, ResetIn: LinkReset, SlowIn: LinkDelayed}[s.Kind]
	v.inboundLink.setMode(mode)
	v.peerLink.setMode(mode)
	v.beacons.blocked.Store(s.Kind == CutIn)
	r.runAfter(s.Duration, func() {
		v.inboundLink.setMode(LinkOpen)
		v.peerLink.setMode(LinkOpen)
		v.beacons.blocked.Store(false)
	})
}

// setMuted sets whether the beacons of a host are dropped.
func (r *run) setMuted(host netip.Addr, muted bool) {
	for {
		old := r.mutedHosts.Load()
		next := maps.Clone(*old)
		next[host] = muted
		if r.mutedHosts.CompareAndSwap(old, &next) {
			return
		}
	}
}

// disturbStore injects a fault into the store or the connections to it.
func (r *run) disturbStore(v *vm, s Step) {
	restore := func() {}
	switch s.Kind {
	case CutStore:
		mode := []LinkMode{LinkBlocked, LinkReset, LinkRepliesBlocked}[s.Variant%3]
		v.storeLink.setMode(mode)
		restore = func() { v.storeLink.setMode(LinkOpen) }
	case StoreDown:
		r.store.SetDown(true)
		restore = func() { r.store.SetDown(false) }
	case StoreSlow:
		for _, x := range r.vms {
			x.storeLink.setMode(LinkDelayed)
		}
		restore = func() {
			for _, x := range r.vms {
				x.storeLink.setMode(LinkOpen)
			}
		}
	case StoreLost:
		r.store.LoseAnswers(lostAnswers)
	case StoreForget:
		r.store.DropHistory()
	case StoreGarble:
		r.store.SetFault(s.storeFault())
		restore = func() { r.store.SetFault(objects.NoFault) }
	case StoreDeaf:
		r.store.SuppressEvents(true)
		restore = func() { r.store.SuppressEvents(false) }
	}
	r.runAfter(s.Duration, restore)
}

// newConfigCheck returns a check that a configuration version, published at
// changedAt, is applied on every ready node whose process has not exited since
// faultEffectTime before changedAt.
func (r *run) newConfigCheck(changedAt time.Duration, version int) func() {
	return func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for _, v := range r.vms {
			if time.Duration(v.lastExit.Load()) > changedAt-faultEffectTime || !v.isReady() {
				continue
			}
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/v%d/", v.ip, wire.PortOutbound, version), nil)
			if err != nil {
				r.fail(wrapError("build the request of a configuration check", err))
				return
			}
			req.Host = routeHost
			id := r.newAttemptID(v, "c")
			req.Header.Set(wire.HeaderAttemptID, id)
			req.Header.Set(wire.HeaderTimeout, "900")
			sentAt := r.elapsed()
			r.record(SentRequest{At: sentAt, ID: id, Service: plainService, Target: fmt.Sprintf("/v%d/", version)})
			resp, err := client.Do(req)
			if err != nil {
				continue // no response, so it does not show which configuration applies
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNotFound {
				r.record(StaleConfig{changedAt, sentAt, v.name, "404 for its new route"})
			}
		}
	}
}

// isReady asks the readiness endpoint of a node, as the platform does.
func (v *vm) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.ip, wire.PortReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// callerService returns the service of the caller that created an attempt ID,
// which is the part before the first hyphen.
func callerService(id string) string {
	service, _, _ := strings.Cut(id, "-")
	return service
}
