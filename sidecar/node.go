// Package sidecar assembles the node that runs beside a backend server on the
// users' platform. It opens the node's listeners, starts its goroutines and
// connects them; decisions are made in the packages below it.
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
	"marjoramshore.example/quota"
	"marjoramshore.example/routes"
	"marjoramshore.example/sidecar/announce"
	"marjoramshore.example/sidecar/backend"
	"marjoramshore.example/sidecar/configs"
	"marjoramshore.example/sidecar/keys"
	"marjoramshore.example/sidecar/nodes"
	"marjoramshore.example/sidecar/router"
	"marjoramshore.example/sidecar/suspects"
	"marjoramshore.example/sidecar/watch"
	"marjoramshore.example/slotqueue"
	"marjoramshore.example/telemetry"
)

const (
	// maxConcurrentCalls bounds the calls to the store and to other nodes that
	// run on the node's pool at once.
	maxConcurrentCalls = 16
	// callerKeepAlive is how long callers are told to keep an unused
	// connection, callerIdleTimeout when the node closes it. Both are short
	// because many callers open a connection for each request and leave it open;
	// each costs about 20 KB and a file descriptor.
	callerKeepAlive   = 3 * time.Second
	callerIdleTimeout = 5 * time.Second
	// peerIdleTimeout is when the node closes an unused connection of another
	// node. It is above the time for which package peers keeps one.
	peerIdleTimeout = 10 * time.Second
	// maxHeaderBytes and maxBodyBytes bound requests. They are above the limits
	// that operators set and callers keep to.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 256 << 20
	// headerTimeout bounds the time to receive a request's header. It is above
	// the 3 s of the sites' configurations.
	headerTimeout = 10 * time.Second
)

// Node is the process beside a backend server. It routes the requests of callers
// on its VM to the backend servers of the fleet, and serves the requests that
// other nodes send for its own backend server.
type Node struct {
	cfg   Config
	log   log.Interface
	clock clock.Clock
	self  fleet.Entry
	pool  *ants.Pool
	store *platform.StoreClient
	// watchStore follows the configuration, which is large and must arrive over
	// a full link as well.
	watchStore *platform.StoreClient

	routes    routes.CurrentTable
	configs   *configs.Keeper
	budget    *dispatch.RetryBudget
	nodes     *nodes.Tracker
	announcer *announce.Announcer
	backend   *backend.Proxy
	// spreader, collector and quarantines pass on what the node knows of requests that crash backend
	// servers.
	spreader    *suspects.Spreader
	collector   *suspects.Collector
	quarantines *suspects.Archive
	keyCaller   *backend.KeyCaller
	router      *router.Router
	peerLinks   peerLinks
	peerClient  *peers.Client
	beacons     *peers.BeaconSocket
	delays      *peers.DelayEstimator
	linkMeter   core.ByteMeter // bytes between this node and others
	linkUsage   atomic.Pointer[linkUsage]
	// linkSchedule reserves the node's own link for large bodies of other nodes.
	linkSchedule *fleet.LinkSchedule
	evacuations  atomic.Pointer[evacuations]
	controllers  atomic.Pointer[map[core.Service]*keys.Controller]
	// tracked are the controllers as the tracker uses them.
	tracked       atomic.Pointer[map[core.Service]nodes.KeyController]
	pendingTables sync.Map // pendingTable by core.Service
	// documentFetches counts the calls in progress for key tables, as
	// *atomic.Int64 by core.Service, and for the configuration under the empty
	// name.
	documentFetches sync.Map
	metrics         *nodeMetrics
	limits          limits
	// quota bounds what is held of requests, callQuota what is held of the calls of
	// other nodes.
	quota, callQuota *quota.Quota
	ready            atomic.Bool
	stopping         atomic.Bool
	// hungDuties is the number of duties that the watchdog takes for hung.
	hungDuties atomic.Int64

	outbound, inbound         *frontend.Frontend
	reportServer, readyServer *httpServer
	peerServer                *http.Server
	metricsServer             *telemetry.MetricsServer

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a node with its listeners open, except that for the calls of other
// nodes. Start starts it.
func New(cfg Config) (*Node, error) {
	s := cfg.Settings
	pool, err := ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true))
	if err != nil {
		return nil, &Error{"create the worker pool", err}
	}
	self, err := newEntry(cfg, newIncarnation())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	eras := platform.NewEras()
	n := &Node{
		cfg: cfg, log: cfg.Log, clock: NewBootClock(), self: self, pool: pool,
		store: platform.NewStoreClient(s.StoreAddress, platform.BriskTimeouts(), eras), watchStore: platform.NewStoreClient(s.StoreAddress, platform.PatientTimeouts(), eras), peerClient: peers.NewClient(),
		budget: dispatch.NewRetryBudget(dispatch.RetryBudgetConfig{
			Ratio: s.Bounds.RetryRatio, MinRetries: s.Bounds.MinRetries, Window: s.Bounds.RetryWindow,
		}),
		metrics: newNodeMetrics(metrics.NewRegistry()), ctx: ctx, cancel: cancel,
	}
	n.limits = limitsFor(s)
	n.quota, n.callQuota = quota.New(n.limits.quotaBytes, n.clock), quota.New(n.limits.callQuotaBytes, n.clock)
	n.store.OnCall(n.logStoreCall)
	n.watchStore.OnCall(n.logStoreCall)
	n.delays = peers.NewDelayEstimator(n.clock)
	n.linkUsage.Store(&linkUsage{})
	n.linkSchedule = fleet.NewLinkSchedule(s.LinkMbps)
	n.evacuations.Store(&evacuations{})
	n.controllers.Store(&map[core.Service]*keys.Controller{})
	n.tracked.Store(&map[core.Service]nodes.KeyController{})
	if n.beacons, err = peers.ListenBeacons(net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort))); err != nil {
		return nil, err
	}
	n.configs = configs.New(configs.Config{Log: n.log, Routes: &n.routes, OnChange: n.handleNewConfig})
	n.nodes = nodes.New(nodes.Config{
		Self: n.self, Clock: n.clock, Log: n.log, Socket: n.beacons, LocalStatus: n.localStatus,
		KeyControllers: n.keyControllers, OnTick: n.advanceRetryBudget, OnNewerDocument: n.fetchDocument,
		OnForgottenLeave: func(d fleet.Departure) { n.backend.SetFormerDepartures([]fleet.Departure{d}) },
	})
	if err := n.openBackend(s); err != nil {
		return nil, err
	}
	return n, n.listen(s)
}

// openBackend creates the proxy of the backend server and the router.
func (n *Node) openBackend(s platform.Settings) error {
	n.announcer = announce.New(announce.Config{
		Kind: objectKind, Name: nodePrefix + string(s.Node), Entry: n.self, FirstStart: s.FirstStart, Store: n.store, Eras: n.store.Eras(), Log: n.log,
		OnLoad: func(d []fleet.Departure) { n.backend.SetFormerDepartures(d) },
	})
	n.openSuspects()
	var err error
	n.backend, err = backend.New(backend.Config{
		Node: s.Node, Service: s.Service, Address: s.BackendAddress, DrainPeriod: s.Bounds.DrainPeriod, ReportInterval: s.ReportInterval,
		Clock: n.clock, Log: n.log, KeyController: func() *keys.Controller { return n.keyController(s.Service) }, OnRunChange: n.publishRun,
		Departures: n.announcer, ColdBound: n.coldBound, EvacuationPeriod: s.Bounds.EvacuationPeriod, Suspects: suspectLog{n},
	})
	if err != nil {
		return err
	}
	if n.keyCaller, err = backend.NewKeyCaller(s.BackendAddress); err != nil {
		return err
	}
	n.peerLinks = newPeerLinks(n)
	n.router = router.New(router.Config{
		Node: s.Node, DataCentre: s.DataCentre, Origin: s.Service, Clock: n.clock, Log: n.log, Routes: &n.routes,
		NewerConfig: n.nodes.NewerConfig, ConfigDeadline: s.Bounds.ConfigDeadline, FleetSnapshot: n.nodes.Snapshot, KeyController: n.keyController, FindParent: n.findParent, ReserveLink: n.reserveLink, EvacuatedSince: n.evacuatedSince, EvacuationPeriod: s.Bounds.EvacuationPeriod, Budget: n.budget, Sender: &n.peerLinks, OnRequestEnd: n.metrics.recordRequest,
	})
	return nil
}

// listen opens the listeners, so that New fails if a port is in use.
func (n *Node) listen(s platform.Settings) error {
	base := frontend.Config{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		MaxConns: n.limits.callerConns, MaxExchanges: n.limits.callerConns, Quota: n.quota,
	}
	out, in := base, base
	out.Limits = n.callerLimits
	in.MaxConns, in.MaxExchanges = n.limits.inboundConns, n.limits.inboundConns
	out.Addr, out.Handler, out.Dialect = s.CallerAddress, n.router, platform.CallerDialect{}
	out.MayRunAhead = n.router.MayRunAhead
	out.KeepAlive, in.IdleTimeout = callerKeepAlive, peerIdleTimeout
	out.OnDisconnect, in.OnDisconnect = n.logDisconnect("caller"), n.logDisconnect("node")
	in.Addr, in.Handler, in.Dialect = s.InboundAddress, n.backend, peers.InboundDialect{LoadSource: n, DelayEstimator: n.delays}
	in.Meter = &n.linkMeter
	var err error
	if n.outbound, err = frontend.New(out); err != nil {
		return err
	}
	if n.inbound, err = frontend.New(in); err != nil {
		return err
	}
	if n.reportServer, err = newHTTPServer(s.ReportAddress, n.limits.platformConns, n.log, n.serveReport); err != nil {
		return err
	}
	if n.readyServer, err = newHTTPServer(s.ReadyAddress, n.limits.platformConns, n.log, n.serveReady); err != nil {
		return err
	}
	n.peerServer = peers.NewServer(peerHandler{n})
	n.peerServer.Handler, n.peerServer.ConnState = limitCalls(n.callQuota, n.peerServer.Handler), followConnState
	if n.cfg.MetricsAddr == "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.cfg.MetricsAddr)
	if err != nil {
		return &Error{"listen for metrics requests", err}
	}
	n.metricsServer = telemetry.NewMetricsServer(ln, n.metrics.registry)
	return n.metrics.registerGauges(n)
}

// runLoop runs loop on a goroutine of its own. The node's context tells it to
// stop.
func (n *Node) runLoop(loop func(context.Context)) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		loop(n.ctx)
	}()
}

// Start starts the node's goroutines and servers.
func (n *Node) Start() error {
	s := n.cfg.Settings
	ln, err := net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPeerPort)))
	if err != nil {
		return &Error{"listen for calls of other nodes", err}
	}
	n.log.WithFields(log.Fields{
		"node": s.Node, "incarnation": uint64(n.self.Incarnation), "service": s.Service, "data_centre": s.DataCentre,
		"backend": s.BackendAddress, "store": s.StoreAddress, "first_start": s.FirstStart,
	}).Info("node is starting")
	n.runLoop(n.nodes.Run)
	n.runLoop(n.nodes.Receive)
	n.runLoop(n.backend.Run)
	n.runLoop(n.announcer.Run)
	n.runLoop(n.spreader.Run)
	n.runLoop(n.collector.Run)
	n.runLoop(n.quarantines.Run)
	n.runLoop(n.configs.Run)
	n.runLoop(n.quota.Run)
	n.runLoop(n.callQuota.Run)
	n.runLoop(func(context.Context) {
		if err := n.peerServer.Serve(newBoundedListener(ln, n.limits.peerConns)); err != http.ErrServerClosed {
			n.log.WithError(err).Error("server for calls of other nodes failed")
		}
	})
	n.runLoop(n.reportServer.serve)
	n.runLoop(n.readyServer.serve)
	if n.metricsServer != nil {
		n.runLoop(func(context.Context) {
			if err := n.metricsServer.Serve(); err != nil {
				n.log.WithError(err).Warn("metrics server failed")
			}
		})
	}
	n.inbound.Start()
	n.outbound.Start()
	config := &watch.Watcher{Kind: platform.ConfigKind, Store: n.watchStore, Handler: configHandler{n}, Log: n.log}
	n.runLoop(config.Run)
	if s.Bounds.EvacuationPeriod > 0 {
		evacuations := &watch.Watcher{Kind: platform.EvacuationKind, Store: n.watchStore, Handler: newEvacuationHandler(n), Log: n.log, Wait: maxWatchWait}
		n.runLoop(evacuations.Run)
	}
	n.runLoop(n.pollConfig)
	n.runLoop(n.syncObjects)
	n.runLoop(n.watchSettings)
	n.runLoop(n.measureLoad)
	n.runLoop(n.watchRings)
	return nil
}

// handleNewConfig starts the key controllers that a new configuration needs,
// makes the node ready for callers and announces the version to the other nodes.
func (n *Node) handleNewConfig(c routes.Config) {
	n.startKeyControllers(c)
	n.ready.Store(!n.stopping.Load())
	n.nodes.SendBeacons()
}

// startKeyControllers starts a key controller for each sharded service that has
// none. The controller of a service that is no longer configured keeps running,
// because the service may return and its leases must not be forgotten.
func (n *Node) startKeyControllers(c routes.Config) {
	old := *n.controllers.Load()
	next := make(map[core.Service]*keys.Controller, len(old))
	for s, controller := range old {
		next[s] = controller
	}
	for _, s := range c.Services {
		if !s.Sharded {
			continue
		}
		byCall := s.Grants == routes.GrantByCall || s.Grants == routes.GrantUnspecified && n.cfg.Settings.GrantMode == routes.GrantByCall
		if c := next[s.Name]; c != nil {
			if c.GrantsByCall() != byCall {
				c.GrantByCall(byCall)
			}
			continue
		}
		controller := keys.New(keys.Config{
			Service: s.Name, Node: n.self.Node, Incarnation: n.self.Incarnation, IsMember: s.Name == n.self.Service,
			FirstStart: n.cfg.Settings.FirstStart, MaxHold: n.cfg.Settings.Bounds.MaxHoldTime, Clock: n.clock, Log: n.log, Pool: n.pool,
			Records: recordStore{n.store}, Client: n.peerClient, OnRecordWritten: n.nodes.SendBeacons, OnReclaim: n.metrics.recordReclaim, OnWithhold: n.metrics.recordWithheld,
			Caller: n.keyCaller, MaxCalls: backend.MaxKeyCalls, Load: n.backend.KeyLoads,
		})
		if byCall {
			controller.GrantByCall(true)
		}
		next[s.Name] = controller
		n.runLoop(controller.Run)
		if s.Name == n.self.Service {
			n.runLoop(controller.RunCalls)
		}
		n.log.WithField("service", s.Name).Info("key controller of a sharded service started")
	}
	tracked := make(map[core.Service]nodes.KeyController, len(next))
	for s, c := range next {
		tracked[s] = c
	}
	n.controllers.Store(&next)
	n.tracked.Store(&tracked)
	for s, controller := range next {
		if pending, ok := n.pendingTables.LoadAndDelete(s); ok {
			t := pending.(pendingTable)
			controller.ObserveRecord(t.record, t.revision, 0)
		}
	}
}

// coldBound returns the bound of a cold backend server of the node's own service, or
// false before the first configuration. It has none unless the configuration and the
// settings tell it.
func (n *Node) coldBound() (slotqueue.ColdBound, bool) {
	bounds := n.cfg.Settings.Bounds
	if bounds.ColdOverage <= 0 {
		return slotqueue.ColdBound{}, true
	}
	t := n.routes.Load()
	if t == nil {
		return slotqueue.ColdBound{}, false
	}
	s, _ := t.Service(n.self.Service)
	return slotqueue.ColdBound{PerSecond: max(0, s.ColdRate), Overage: bounds.ColdOverage, Slack: bounds.ColdSlack}, true
}

// reserveTimeout bounds a reservation. A node that takes longer has no room on its link.
const reserveTimeout = 150 * time.Millisecond

// reserveLink asks a peer for the time of its link.
func (n *Node) reserveLink(ctx context.Context, p *fleet.Peer, bytes int64, maxWait time.Duration) (fleet.Reservation, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	a, err := n.peerClient.Reserve(ctx, p.PeerAddress, peers.ReserveRequest{Bytes: bytes, MaxWait: maxWait})
	return a.Reservation, err
}

// findParent returns the request at the node's own backend server that made a call.
func (n *Node) findParent(id string) (router.Parent, bool) {
	parent := platform.ParentAttempt(id)
	if parent == "" {
		return router.Parent{}, false
	}
	p, ok := n.backend.FindParent(parent)
	return router.Parent(p), ok
}

// keyController returns the key controller of a service, or nil.
func (n *Node) keyController(s core.Service) *keys.Controller { return (*n.controllers.Load())[s] }

// keyControllers returns the key controllers of all services. The map must not be
// changed.
func (n *Node) keyControllers() map[core.Service]nodes.KeyController { return *n.tracked.Load() }

// publishRun announces the state of the backend server's run to the other nodes.
func (n *Node) publishRun(r backend.Run) {
	n.nodes.UpdateSelf(func(e *fleet.Entry) {
		e.Instance, e.BornUnixMs, e.Slots = r.Holder.Instance, r.Holder.Born, r.Slots
		switch {
		case r.Leaving:
			e.State = fleet.Leaving
		case r.Unreachable:
			e.State = fleet.Unreachable
		case r.Evacuated:
			e.State = fleet.Evacuated
		case r.Ready:
			e.State = fleet.Ready
		}
	})
}

// localStatus returns what the node's beacons report in addition to its entry.
func (n *Node) localStatus() nodes.Status {
	status := nodes.Status{Usage: n.Load()}
	if t := n.routes.Load(); t != nil {
		status.ConfigVersion, status.ConfigDigest = t.Version, t.Digest.Encode()
	}
	for s, c := range *n.controllers.Load() {
		keyStatus := c.Status()
		if status.TableVersions == nil {
			status.TableVersions = make(map[core.Service]uint64)
		}
		status.TableVersions[s] = keyStatus.Revision
		if keyStatus.IsCoordinator {
			if status.UnconfirmedMs == nil {
				status.UnconfirmedMs = make(map[core.Service]int64)
			}
			status.UnconfirmedMs[s] = keyStatus.UnconfirmedFor.Milliseconds()
		}
	}
	return status
}

// advanceRetryBudget moves the window of the retry budget for the services in
// force.
func (n *Node) advanceRetryBudget(now clock.Instant, nodeCount int) {
	t := n.routes.Load()
	if t == nil {
		return
	}
	var services []core.Service
	t.ForEachService(func(s routes.Service) { services = append(services, s.Name) })
	n.budget.Advance(now, services, nodeCount)
}
