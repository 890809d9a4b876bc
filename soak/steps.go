package soak

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"marjoramshore.example/standin/keyed"
	"marjoramshore.example/standin/wire"
)

const (
	hostName = "soak.example"
	// inForce is the time within which a configuration is in force; the bound
	// of the users' platform.
	inForce = 2 * time.Second
	// target is the latency objective of all routes.
	target = 500 * time.Millisecond
	// lostWrites is how many answers of the store are lost in a row.
	lostWrites = 3
)

// configure writes the next version of the configuration, with a route that
// names the version. Routes of earlier versions stay, so that a check may come
// after the next version.
func (r *run) configure() {
	r.version++
	routes := []wire.Route{
		{Name: "look", PathPrefix: "/look/", Kind: "idempotent", Service: keyedService, Priority: 2},
		{Name: "enter", PathPrefix: "/enter/", Kind: "non_idempotent", Service: keyedService, Priority: 1},
		{Name: "sheet", PathPrefix: "/sheet/", Kind: "upload", Service: plainService, Priority: 1},
		{Name: "list", PathPrefix: "/list/", Kind: "idempotent", Service: plainService, Priority: 2},
	}
	for i := range r.version {
		name := fmt.Sprintf("v%d", i+1)
		routes = append(routes, wire.Route{Name: name, PathPrefix: "/" + name + "/", Kind: "idempotent", Service: plainService, Priority: 2})
	}
	for i := range routes {
		routes[i].Timeout, routes[i].TargetLatency = callerTime, target
	}
	r.store.Put("config", "main", wire.EncodeConfig(r.version, hostName, routes, map[string]bool{keyedService: true, plainService: false}))
}

// begin starts a disturbance. Its end comes by itself.
func (r *run) begin(s Step) {
	v := r.vms[s.Node]
	if !s.Kind.Planned() {
		r.record(Disturbed{r.now(), r.now() + s.For})
	}
	switch s.Kind {
	case Restart:
		r.restart(v)
	case Reload:
		v.signal(syscall.SIGHUP)
	case Configure:
		r.configure()
		r.later(inForce, r.checkConfig(r.now(), r.version))
	case Leave:
		v.server.Leave()
		r.later(drain+reportEvery, func() { r.replace(v) })
	case Kill:
		v.signal(syscall.SIGKILL)
	case Pause:
		v.signal(syscall.SIGSTOP)
		r.later(s.For, func() { v.signal(syscall.SIGCONT) })
	case Crash:
		r.replace(v)
	case Misbehave:
		r.misbehave(v, s)
	case CutIn, CutBack, ResetIn, SlowIn:
		r.disturbLinks(v, s)
	case Mute:
		r.mute(v.addr(), true)
		r.later(s.For, func() { r.mute(v.addr(), false) })
	default:
		r.disturbStore(v, s)
	}
}

// later runs f after a time on a goroutine of its own.
func (r *run) later(d time.Duration, f func()) {
	r.effects.Go(func() {
		if r.wait(r.ctx, d) {
			f()
		}
	})
}

// restart stops a process gracefully, and kills it after the grace.
func (r *run) restart(v *vm) {
	p := v.proc.Load()
	if p == nil {
		return
	}
	v.signal(syscall.SIGTERM)
	r.later(grace, func() {
		if v.proc.Load() == p {
			v.signal(syscall.SIGKILL)
			r.record(Crashed{r.now(), v.name, "still running after the grace"})
		}
	})
}

// replace ends the backend server at once and starts its next run. Planned
// steps replace servers that have drained.
func (r *run) replace(v *vm) {
	if err := v.crash(); err != nil {
		r.fail(err)
	}
}

func (r *run) misbehave(v *vm, s Step) {
	faults := []keyed.Fault{keyed.NeverAnswer, keyed.CloseConnection, keyed.AnswerTwice, keyed.OmitSignature, keyed.TruncateAnswer, keyed.AnswerError}
	server := v.server
	server.SetFault(faults[s.Variant%len(faults)])
	r.later(s.For, func() { server.SetFault(keyed.NoFault) })
}

func (r *run) disturbLinks(v *vm, s Step) {
	mode := map[Kind]Mode{CutIn: Silent, CutBack: SilentBack, ResetIn: Reset, SlowIn: Slow}[s.Kind]
	v.inbound.set(mode)
	v.calls.set(mode)
	v.beacons.cut.Store(s.Kind == CutIn)
	r.later(s.For, func() {
		v.inbound.set(Pass)
		v.calls.set(Pass)
		v.beacons.cut.Store(false)
	})
}

func (r *run) mute(a netip.Addr, on bool) {
	for {
		old := r.muted.Load()
		next := maps.Clone(*old)
		next[a] = on
		if r.muted.CompareAndSwap(old, &next) {
			return
		}
	}
}

func (r *run) disturbStore(v *vm, s Step) {
	undo := func() {}
	switch s.Kind {
	case CutStore:
		mode := []Mode{Silent, Reset, SilentBack}[s.Variant%3]
		v.store.set(mode)
		undo = func() { v.store.set(Pass) }
	case StoreDown:
		r.store.SetDown(true)
		undo = func() { r.store.SetDown(false) }
	case StoreSlow:
		for _, x := range r.vms {
			x.store.set(Slow)
		}
		undo = func() {
			for _, x := range r.vms {
				x.store.set(Pass)
			}
		}
	case StoreLost:
		r.store.LoseAnswers(lostWrites)
	case StoreForget:
		r.store.DropHistory()
	case StoreDeaf:
		r.store.SuppressEvents(true)
		undo = func() { r.store.SuppressEvents(false) }
	}
	r.later(s.For, undo)
}

// checkConfig returns a check that a version is in force on every node that ran
// all the while.
func (r *run) checkConfig(sent time.Duration, version int) func() {
	return func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for _, v := range r.vms {
			if time.Duration(v.down.Load()) > sent-after || !v.ready() {
				continue
			}
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/v%d/", v.ip, wire.PortOutbound, version), nil)
			if err != nil {
				r.fail(fault("request", err))
				return
			}
			req.Host = hostName
			id := r.nextID(v, "c")
			req.Header.Set(wire.HeaderAttemptID, id)
			req.Header.Set(wire.HeaderTimeout, "900")
			at := r.now()
			r.record(Sent{At: at, ID: id, Service: plainService, Target: fmt.Sprintf("/v%d/", version)})
			resp, err := client.Do(req)
			if err != nil {
				continue // says nothing of the configuration
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNotFound {
				r.record(Late{sent, at, v.name, "404 for the new route"})
			}
		}
	}
}

// ready asks a node as the platform does.
func (v *vm) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", v.ip, wire.PortReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// callerOf returns the caller service that belongs to an attempt id.
func callerOf(id string) string {
	service, _, _ := strings.Cut(id, "-")
	return service
}
