// Package sidecar assembles the node that runs beside a backend server on the
// users' platform. It starts the duties and joins them; each decides nothing
// beyond its own state.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/dispatch"
	"marjoramshore.example/fleet"
	"marjoramshore.example/frontend"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/routes"
	"marjoramshore.example/sidecar/backend"
	"marjoramshore.example/sidecar/keys"
	"marjoramshore.example/sidecar/nodes"
	"marjoramshore.example/sidecar/router"
	"marjoramshore.example/sidecar/watch"
	"marjoramshore.example/telemetry"
)

const (
	// workers bounds the calls of all duties that run at once.
	workers = 16
	// keepAlive is how long callers are told to keep an unused connection, and
	// idleConn when the node ends it. Many callers open a connection for each
	// request and leave it; each costs about 20 KB and a descriptor.
	keepAlive = 3 * time.Second
	idleConn  = 5 * time.Second
	// idleLink is how long the other nodes may; above linkIdle of peers.
	idleLink = 10 * time.Second
	// maxHead and maxBody bound requests; above the limits that operators set,
	// which callers keep.
	maxHead = 64 << 10
	maxBody = 256 << 20
	// headerTime bounds the time of a head; above the sites' 3 s.
	headerTime = 10 * time.Second
)

// Node is one process beside a backend server.
type Node struct {
	cfg   Config
	log   log.Interface
	clock clock.Clock
	self  fleet.Entry
	pool  *ants.Pool
	store *platform.StoreClient

	routes  routes.CurrentTable
	config  atomic.Pointer[platform.Object]
	budget  *dispatch.RetryBudget
	nodes   *nodes.Duty
	backend *backend.Server
	router  *router.Router
	links   links
	caller  *peers.Client
	beacons *peers.BeaconSocket
	delays  *peers.DelayEstimator
	keyMap  atomic.Pointer[map[core.Service]*keys.Duty]
	follows chan routes.Config // one element: the newest configuration to follow
	pending sync.Map           // of pendingTable by core.Service
	metrics *meters
	ready   atomic.Bool
	stopped atomic.Bool

	outbound, inbound *frontend.Frontend
	reports, status   *httpServer
	calls             *http.Server
	metricsServer     *telemetry.MetricsServer

	ctx    context.Context
	cancel context.CancelFunc
	duties sync.WaitGroup
}

// New opens the node's listeners. Start runs it.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, &Error{"worker pool", err}
	}
	self, err := entry(cfg, newIncarnation())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: cfg.Log, clock: NewBoot(), self: self, pool: pool,
		store: platform.NewStoreClient(s.StoreAddress), caller: peers.NewClient(), follows: make(chan routes.Config, 1),
		budget: dispatch.NewRetryBudget(dispatch.RetryBudgetConfig{
			Ratio: s.Bounds.RetryRatio, MinRetries: s.Bounds.MinRetries, Window: s.Bounds.RetryWindow,
		}),
		metrics: newMeters(metrics.NewRegistry()), ctx: ctx, cancel: cancel,
	}
	n.delays = peers.NewDelayEstimator(n.clock)
	n.keyMap.Store(&map[core.Service]*keys.Duty{})
	if n.beacons, err = peers.ListenBeacons(net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort))); err != nil {
		return nil, err
	}
	n.nodes = nodes.New(nodes.Config{
		Self: n.self, Clock: n.clock, Log: n.log, Socket: n.beacons, Own: n.own,
		Keys: n.keyDuties, Tick: n.tickBudget, Behind: n.catchUp,
	})
	if err := n.openBackend(s); err != nil {
		return nil, err
	}
	return n, n.listen(s)
}

func (n *Node) openBackend(s platform.Settings) error {
	var err error
	n.backend, err = backend.New(backend.Config{
		Node: s.Node, Service: s.Service, Address: s.BackendAddress, Drain: s.Bounds.DrainPeriod, ReportEvery: s.ReportInterval,
		Clock: n.clock, Log: n.log, Keys: func() *keys.Duty { return n.keysOf(s.Service) }, Changed: n.runChanged,
	})
	if err != nil {
		return err
	}
	n.links = newLinks(n)
	n.router = router.New(router.Config{
		Node: s.Node, DataCentre: s.DataCentre, Origin: s.Service, Clock: n.clock, Log: n.log, Routes: &n.routes,
		Fleet: n.nodes.Snapshot, Keys: n.keysOf, Budget: n.budget, Sender: &n.links, Ended: n.metrics.request,
	})
	return nil
}

// listen opens every listener, so that a port in use ends the start.
func (n *Node) listen(s platform.Settings) error {
	base := frontend.Config{
		MaxHeaderBytes: maxHead, MaxBodyBytes: maxBody, HeaderTimeout: headerTime, IdleTimeout: idleConn,
	}
	out, in := base, base
	out.Addr, out.Handler, out.Dialect = s.CallerAddress, n.router, platform.CallerDialect{}
	out.KeepAlive, in.IdleTimeout = keepAlive, idleLink
	in.Addr, in.Handler, in.Dialect = s.InboundAddress, n.backend, peers.InboundDialect{LoadSource: n.backend, DelayEstimator: n.delays}
	var err error
	if n.outbound, err = frontend.New(out); err != nil {
		return err
	}
	if n.inbound, err = frontend.New(in); err != nil {
		return err
	}
	if n.reports, err = newHTTPServer(s.ReportAddress, n.serveReport); err != nil {
		return err
	}
	if n.status, err = newHTTPServer(s.ReadyAddress, n.serveReady); err != nil {
		return err
	}
	n.calls = peers.NewServer(peerCalls{n})
	if n.cfg.MetricsAddr == "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.cfg.MetricsAddr)
	if err != nil {
		return &Error{"metrics listener", err}
	}
	n.metricsServer = telemetry.NewMetricsServer(ln, n.metrics.registry)
	return n.metrics.watch(n)
}

// run starts a duty on a goroutine of its own.
func (n *Node) run(f func(context.Context)) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		f(n.ctx)
	}()
}

// Start runs the node's duties and servers.
func (n *Node) Start() error {
	s := n.cfg.Settings
	ln, err := net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort)))
	if err != nil {
		return &Error{"peer listener", err}
	}
	n.log.WithFields(log.Fields{
		"node": s.Node, "incarnation": uint64(n.self.Incarnation), "service": s.Service, "data_centre": s.DataCentre,
		"backend": s.BackendAddress, "store": s.StoreAddress, "first_start": s.FirstStart,
	}).Info("node starts")
	n.run(n.nodes.Run)
	n.run(n.nodes.Receive)
	n.run(n.backend.Run)
	n.run(n.followConfigs)
	n.run(func(context.Context) {
		if err := n.calls.Serve(ln); err != http.ErrServerClosed {
			n.log.WithError(err).Error("calls between nodes end")
		}
	})
	n.run(n.reports.serve)
	n.run(n.status.serve)
	if n.metricsServer != nil {
		n.run(func(context.Context) {
			if err := n.metricsServer.Serve(); err != nil {
				n.log.WithError(err).Warn("metrics end")
			}
		})
	}
	n.inbound.Start()
	n.outbound.Start()
	config := &watch.Duty{Kind: platform.ConfigKind, Store: n.store, Handler: configObjects{n}, Log: n.log}
	n.run(config.Run)
	n.run(n.lookOut)
	n.run(n.followObjects)
	n.run(n.watchSettings)
	return nil
}

const (
	// lookouts is the number of nodes that ask for the configuration beside
	// their watch, which hears nothing for seconds while the store drops its
	// history. The second one covers the first while that is lost.
	lookouts = 2
	// lookEvery is the interval of a lookout. A change must be in force after
	// 2 s, and beacons take it to the other nodes within 700 ms.
	lookEvery = 700 * time.Millisecond
)

// lookOut asks for the configuration while this node is a lookout. Whether it
// is depends on which nodes live and reach the store, and is decided anew each
// time. A node that does not reach the store asks until it does.
func (n *Node) lookOut(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	cutOff := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !cutOff && !n.isLookout() {
			continue
		}
		o, err := n.store.Get(ctx, platform.ConfigKind, platform.ConfigName)
		if lost := err != nil && platform.FaultOf(err) != platform.FaultNotFound; lost != cutOff {
			cutOff = lost
			n.log.WithFields(log.Fields{"cut_off": lost, "error": err}).Info("lookout for configurations")
			n.nodes.Change(func(e *fleet.Entry) { e.StoreUnreachable = lost })
		}
		if old := n.config.Load(); err == nil && (old == nil || o.Revision > old.Revision) {
			n.offerConfig(o, "lookout")
		}
	}
}

// isLookout reports whether this node is one of the first that live and reach
// the store.
func (n *Node) isLookout() bool {
	before := 0
	for id, p := range n.nodes.Snapshot().Nodes {
		if p.Alive && !p.Stopping && !p.StoreUnreachable && id < n.self.Node {
			before++
		}
	}
	return before < lookouts
}

// follow hands a configuration to the duty that starts key duties.
func (n *Node) follow(c routes.Config) {
	for {
		select {
		case n.follows <- c:
			return
		default:
		}
		select {
		case <-n.follows:
		default:
		}
	}
}

// followConfigs starts a key duty for each service that divides its keys. A
// duty of a service that is no longer configured stays: the service may return,
// and its leases must not be forgotten.
func (n *Node) followConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-n.follows:
			n.startKeys(c)
			n.ready.Store(!n.stopped.Load())
		}
	}
}

func (n *Node) startKeys(c routes.Config) {
	old := *n.keyMap.Load()
	next := make(map[core.Service]*keys.Duty, len(old))
	for s, d := range old {
		next[s] = d
	}
	for _, s := range c.Services {
		if !s.Sharded || next[s.Name] != nil {
			continue
		}
		d := keys.New(keys.Config{
			Service: s.Name, Node: n.self.Node, Incarnation: n.self.Incarnation, Member: s.Name == n.self.Service,
			MaxHold: n.cfg.Settings.Bounds.MaxHoldTime, Clock: n.clock, Log: n.log, Pool: n.pool,
			Records: records{n.store}, Calls: n.caller, Written: n.nodes.Beat,
		})
		next[s.Name] = d
		n.run(d.Run)
		n.log.WithField("service", s.Name).Info("keys followed")
	}
	n.keyMap.Store(&next)
	for s, d := range next {
		if p, ok := n.pending.LoadAndDelete(s); ok {
			t := p.(pendingTable)
			d.Observe(t.record, t.revision, 0)
		}
	}
}

func (n *Node) keysOf(s core.Service) *keys.Duty { return (*n.keyMap.Load())[s] }

func (n *Node) keyDuties() map[core.Service]nodes.KeyDuty {
	duties := *n.keyMap.Load()
	out := make(map[core.Service]nodes.KeyDuty, len(duties))
	for s, d := range duties {
		out[s] = d
	}
	return out
}

// runChanged tells the fleet of a change of the backend server's run.
func (n *Node) runChanged(r backend.Run) {
	n.nodes.Change(func(e *fleet.Entry) {
		e.Instance, e.BornUnixMs, e.Slots = r.Holder.Instance, r.Holder.Born, r.Slots
		switch {
		case r.Gone:
			e.State = fleet.Ended
		case r.Leaving:
			e.State = fleet.Leaving
		case r.Ready:
			e.State = fleet.Ready
		}
	})
}

// own is what the node's beacons say beside its entry.
func (n *Node) own() nodes.Own {
	o := nodes.Own{Usage: n.backend.Load()}
	if t := n.routes.Load(); t != nil {
		o.Config = t.Version
	}
	for s, d := range *n.keyMap.Load() {
		st := d.Status()
		if o.Tables == nil {
			o.Tables = make(map[core.Service]uint64)
		}
		o.Tables[s] = st.Revision
		if st.Leading {
			if o.Unconfirmed == nil {
				o.Unconfirmed = make(map[core.Service]int64)
			}
			o.Unconfirmed[s] = st.Unconfirmed.Milliseconds()
		}
	}
	return o
}

func (n *Node) tickBudget(now clock.Instant, size int) {
	t := n.routes.Load()
	if t == nil {
		return
	}
	var services []core.Service
	t.ForEachService(func(s routes.Service) { services = append(services, s.Name) })
	n.budget.Advance(now, services, size)
}
