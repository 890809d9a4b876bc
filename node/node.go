package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/balance"
	"marjoramshore.example/clock"
	"marjoramshore.example/configsync"
	"marjoramshore.example/control"
	"marjoramshore.example/core"
	"marjoramshore.example/entrance"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
	"marjoramshore.example/lease"
	"marjoramshore.example/membership"
	"marjoramshore.example/operator"
	"marjoramshore.example/owner"
	"marjoramshore.example/ownership"
	"marjoramshore.example/routing"
	"marjoramshore.example/store"
	"marjoramshore.example/telemetry"
	"marjoramshore.example/transport"
	"marjoramshore.example/transport/datagram"
)

// Node is one process. It routes callers' requests to the owners of their
// keys, and owns keys itself on behalf of the backend server beside it.
type Node struct {
	cfg   Config
	clock *clock.Real
	self  core.Member

	store           *store.Client
	authenticator   *transport.Authenticator
	peerClient      *transport.Client
	peerServer      *transport.Server
	groupSender     *groupSender
	socket          *datagram.Socket
	routingTables   *entrance.Tables
	router          *entrance.Router
	owner           *owner.Owner
	gate            *gate.Gate
	frontend        *frontend.Frontend
	configSync      *configsync.Syncer
	control         *control.Control
	customerWeights atomic.Pointer[customerWeights]
	journal         *journalDuty
	burn            *burnDuty
	balancer        *balance.Balancer
	damper          *membership.Damper // used only by the lease duty
	// stopLease stops the running lease duty. The prober sets it before that
	// duty starts, and only the lease duty calls it.
	stopLease context.CancelFunc
	// fullGroups holds the numbers of the groups that had no room for the node.
	// The lease duty writes it before it ends; the prober uses it afterwards.
	fullGroups  map[uint32]bool
	groupNumber atomic.Uint32 // of the node's group; set before the lease duty starts
	groupCount  uint32        // of the service; set before the lease duty starts
	ejection    *ejectionDuty
	log         log.Interface
	// controlPool runs short control calls to other nodes. A call is dropped
	// when all workers are busy.
	controlPool *ants.Pool
	// probeRequests holds at most one request for a probe without delay.
	probeRequests chan struct{}
	// operatorDrain is set while the configuration drains this node.
	operatorDrain atomic.Bool
	// operatorServer is nil when Config.OperatorListen is empty.
	operatorServer *operator.Server
	// metricsServer is nil when Config.MetricsListen is empty.
	metricsServer *telemetry.MetricsServer
	operatorAddr  string
	// leaseRunner is nil until the backend server has announced itself and the
	// node has chosen a group, and again after that group was found full.
	leaseRunner atomic.Pointer[lease.Runner]

	cancel context.CancelFunc
	duties sync.WaitGroup
	// leftGroup is closed once the group has confirmed that the node left it.
	leftGroup     chan struct{}
	leftGroupOnce sync.Once
}

// New opens the node's listeners. Requests are served after Start.
func New(cfg Config) (*Node, error) {
	if cfg.Timing == (ownership.Timing{}) {
		cfg.Timing = ownership.DefaultTiming()
	}
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = 250 * time.Millisecond
	}
	n := &Node{cfg: cfg, clock: clock.NewReal(), leftGroup: make(chan struct{}), probeRequests: make(chan struct{}, 1), log: cfg.Log, fullGroups: map[uint32]bool{}}
	if n.log == nil {
		n.log = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	}
	n.log = n.log.WithField("self", cfg.Node)
	n.journal, n.ejection, n.burn = newJournalDuty(), newEjectionDuty(n), newBurnDuty(n.clock)
	n.damper = membership.NewDamper(membership.DefaultDampingConfig())
	steps := []func() error{n.openStore, n.openPeers, n.openBalancer, n.openOwner, n.openEntrance, n.openConfig, n.openOperatorServer, n.openMetricsServer}
	for _, step := range steps {
		if err := step(); err != nil {
			n.closePeerServer()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) openStore() (err error) {
	n.store, err = store.NewClient(n.cfg.StoreLimits, n.cfg.Store)
	return err
}

func (n *Node) openPeers() (err error) {
	if n.authenticator, err = transport.NewAuthenticator(0, n.cfg.PeerKey); err != nil {
		return err
	}
	if n.peerClient, err = transport.NewClient(transport.ClientConfig{Auth: n.authenticator, MaxUploads: n.cfg.MaxPeerUploads}); err != nil {
		return err
	}
	n.peerServer, err = transport.NewServer(transport.ServerConfig{
		Addr: n.cfg.PeerListen, Auth: n.authenticator,
		Handler: core.HandlerFunc(n.serveAsOwner),
		Calls:   n.controlHandlers(),
	})
	if err != nil {
		return err
	}
	n.self = core.Member{
		Node: n.cfg.Node, Incarnation: newIncarnation(), DataCentre: n.cfg.DataCentre,
		Address: firstNonEmpty(n.cfg.PeerAddress, n.peerServer.Addr()), CallerAddress: n.cfg.CallerAddress,
	}
	if n.controlPool, err = ants.NewPool(maxControlCalls, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return core.Wrap(core.CodeInternal, err, "create the pool for control calls")
	}
	n.socket, err = datagram.Open(datagram.Config{
		Addr: n.peerServer.Addr(), Advertise: n.self.Address, Keys: [][]byte{n.cfg.PeerKey},
	})
	if err != nil {
		return err
	}
	n.groupSender, err = newGroupSender(n.peerClient, n.socket)
	return err
}

// maxControlCalls bounds the concurrent control calls to other nodes.
const maxControlCalls = 16

func newIncarnation() core.Incarnation {
	for {
		if i := core.Incarnation(rand.Uint64()); i != 0 {
			return i
		}
	}
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (n *Node) openOwner() (err error) {
	n.gate, err = gate.New(gate.Config{
		BackendAddr: n.cfg.BackendAddress, Permit: n.permitRequest, MaxConns: n.cfg.Admission.Connections,
	})
	return err
}

func (n *Node) openEntrance() (err error) {
	if n.routingTables, err = entrance.NewTables(&tableFetcher{node: n}); err != nil {
		return err
	}
	n.frontend, err = frontend.New(frontend.Config{
		Addr: n.cfg.CallerListen, MaxConns: n.cfg.MaxConns, MaxHeaderBytes: n.cfg.MaxHeaderBytes,
		Handler: core.HandlerFunc(n.serveCaller),
	})
	if err != nil {
		return err
	}
	n.self.CallerAddress = firstNonEmpty(n.self.CallerAddress, n.frontend.Addr())
	n.owner = owner.New(owner.Config{
		Self: n.self, Clock: n.clock, Lease: n.Lease, Backend: n.gate,
		Admission: n.cfg.Admission, Once: n.cfg.AtMostOnce, Weight: n.customerWeight,
		OnQuarantine: n.reportQuarantine, OnMarks: n.sendMarks, OnHealthChange: n.queueHealthChange, RequestProbe: n.requestProbe,
	})
	n.router = entrance.NewRouter(entrance.Config{
		Self: n.self, Tables: n.routingTables, Peers: n.peerClient, LocalHandler: core.HandlerFunc(n.serveAsOwner),
		Clock: n.clock, MaxWaitingRequests: n.cfg.MaxWaitingRequests,
	})
	return nil
}

func (n *Node) openConfig() (err error) {
	n.configSync, err = configsync.New(configsync.Config{Store: n.store, Pull: n.fetchConfig, Apply: n.applyConfig})
	return err
}

// closePeerServer closes the peers' listener after a failure of New.
func (n *Node) closePeerServer() {
	if n.peerServer != nil {
		n.peerServer.Start()
		_ = n.peerServer.Close()
	}
}

// Start starts the duties of the node and begins to serve. The node joins a
// group once the backend server beside it has announced itself.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.startDuty(func() { n.store.Run(ctx) })
	n.startDuty(func() { n.groupSender.run(ctx) })
	n.startDuty(func() { n.receiveDatagrams(ctx) })
	n.startDuty(func() { n.burn.run(ctx) })
	n.startDuty(func() { n.balancer.Run(ctx) })
	n.startDuty(func() { n.routingTables.Run(ctx) })
	n.startDuty(func() { n.owner.Run(ctx) })
	n.startDuty(func() { n.configSync.Run(ctx) })
	n.startDuty(func() { n.control.Run(ctx) })
	n.startDuty(func() { n.journal.run(ctx) })
	n.startDuty(func() { n.ejection.run(ctx) })
	n.routingTables.SetGroupRanges(n.cfg.Service, splitKeySpace(1))
	for service, groups := range n.cfg.GroupCounts {
		n.routingTables.SetGroupRanges(service, splitKeySpace(groups))
	}
	n.peerServer.Start()
	n.frontend.Start()
	if n.operatorServer != nil {
		n.startDuty(func() { _ = n.operatorServer.Serve() })
	}
	if n.metricsServer != nil {
		n.startDuty(func() { _ = n.metricsServer.Serve() })
	}
	n.startDuty(func() { n.monitorBackend(ctx) })
}

func (n *Node) startDuty(f func()) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		f()
	}()
}

// splitKeySpace divides the key space evenly among groups; 0 counts as 1.
func splitKeySpace(groups uint32) []routing.GroupRange {
	groups = max(groups, 1)
	spans := make([]routing.GroupRange, groups)
	for i := range groups {
		spans[i] = routing.GroupRange{Group: i, Range: membership.GroupRange(i, groups)}
	}
	return spans
}

// CallerAddr returns the listening address for callers.
func (n *Node) CallerAddr() string { return n.frontend.Addr() }

// PeerAddr returns the listening address for other nodes.
func (n *Node) PeerAddr() string { return n.peerServer.Addr() }

// Lease returns the newest lease snapshot, or nil before the first one and while
// the node has no group.
func (n *Node) Lease() *ownership.Snapshot {
	if runner := n.leaseRunner.Load(); runner != nil {
		return runner.Snapshot()
	}
	return nil
}

// serveCaller routes a caller's request. It journals refusals and counts the
// outcome against the service's objectives.
func (n *Node) serveCaller(ctx context.Context, req *core.Request) (*core.Response, error) {
	start := time.Now()
	resp, err := n.router.Serve(ctx, req)
	if err != nil {
		code := core.CodeOf(err)
		if code.NotRun() {
			n.recordRefusal(req, code)
		}
		n.burn.recordFailure(req, code, time.Since(start))
		return nil, err
	}
	return n.burn.recordAtEnd(req, resp, start), nil
}

// serveAsOwner serves a request whose key this node owns, and counts the load
// of the key when there was an answer.
func (n *Node) serveAsOwner(ctx context.Context, req *core.Request) (*core.Response, error) {
	resp, err := n.owner.Serve(ctx, req)
	if err == nil {
		n.balancer.Record(req.Hash(), 1)
	}
	return resp, err
}

// permitRequest checks the lease again immediately before a request is sent to
// the backend server.
func (n *Node) permitRequest(req *core.Request) (gate.Permit, error) {
	lease := n.Lease()
	if lease == nil {
		return gate.Permit{}, core.Fail(core.CodeNotOwner, "this node has no lease")
	}
	now := n.clock.Now()
	token, code := lease.Check(now, req.Hash())
	if code != 0 {
		return gate.Permit{}, core.Fail(code, "lease no longer covers the key; request not sent to the backend server")
	}
	return gate.Permit{Token: token, LeaseLeft: lease.LeaseEnd.Sub(now)}, nil
}

// publishLease passes a new lease snapshot on to the routing tables, the owner
// and the configuration, and leaves a group that turned out to be full.
func (n *Node) publishLease(ctx context.Context, lease *ownership.Snapshot) {
	if lease.Table != nil {
		n.routingTables.LearnTable(lease.Table)
	}
	n.owner.UpdateLease(ctx, lease)
	n.configSync.SetSnapshot(lease)
	if lease.Reason == ownership.ReasonGroupFull {
		n.leaveFullGroup()
	}
	if lease.Reason == ownership.ReasonLeft {
		n.leftGroupOnce.Do(func() { close(n.leftGroup) })
	}
}
