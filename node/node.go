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

// Node is one process: an entrance for callers, and the owner's side beside
// one backend server.
type Node struct {
	cfg   Config
	clock *clock.Real
	self  core.Member

	store    *store.Duty
	auth     *transport.Authenticator
	peers    *transport.Client
	server   *transport.Server
	sender   *sender
	socket   *datagram.Socket
	tables   *entrance.Tables
	router   *entrance.Router
	owner    *owner.Owner
	gate     *gate.Gate
	frontend *frontend.Frontend
	config   *configsync.Duty
	control  *control.Control
	weights  atomic.Pointer[weights]
	journal  *eventDuty
	burn     *burnDuty
	balance  *balance.Balancer
	damper   *membership.Damper // owned by the lease duty
	// stopLease ends the running lease duty. The prober sets it before that
	// duty starts, and only that duty calls it.
	stopLease context.CancelFunc
	// foundFull holds the groups without room. It is written by the lease duty
	// before it ends, and read by the prober afterwards.
	foundFull map[uint32]bool
	number    atomic.Uint32 // of the group, set before the lease duty starts
	groups    uint32        // of the service, likewise
	ejection  *ejection
	log       log.Interface
	// work runs short control calls to other nodes.
	work     *ants.Pool
	probeNow chan struct{}
	// declaredDrain is set while operators drain this node.
	declaredDrain atomic.Bool
	// operators is nil when the node has no operator address.
	operators *operator.Server
	// metrics is nil when the node has no metrics address.
	metrics      *telemetry.MetricsServer
	operatorAddr string
	// lease is nil until the backend server has announced itself.
	lease atomic.Pointer[lease.Runner]

	cancel context.CancelFunc
	duties sync.WaitGroup
	// left is closed when the node has left its group.
	left     chan struct{}
	leftOnce sync.Once
}

// New listens on the node's addresses. Start begins to serve.
func New(cfg Config) (*Node, error) {
	if cfg.Timing == (ownership.Timing{}) {
		cfg.Timing = ownership.DefaultTiming()
	}
	if cfg.ProbeInterval <= 0 {
		cfg.ProbeInterval = 250 * time.Millisecond
	}
	n := &Node{cfg: cfg, clock: clock.NewReal(), left: make(chan struct{}), probeNow: make(chan struct{}, 1), log: cfg.Log, foundFull: map[uint32]bool{}}
	if n.log == nil {
		n.log = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	}
	n.log = n.log.WithField("self", cfg.Node)
	n.journal, n.ejection, n.burn = newEventDuty(), newEjection(n), newBurnDuty(n.clock)
	n.damper = membership.NewDamper(membership.DefaultDampingConfig())
	steps := []func() error{n.openStore, n.openPeers, n.openBalance, n.openOwner, n.openEntrance, n.openConfig, n.openOperators, n.openMetrics}
	for _, step := range steps {
		if err := step(); err != nil {
			n.abort()
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) openStore() (err error) {
	n.store, err = store.NewDuty(n.cfg.StoreBudget, n.cfg.Store)
	return err
}

func (n *Node) openPeers() (err error) {
	if n.auth, err = transport.NewAuthenticator(0, n.cfg.PeerKey); err != nil {
		return err
	}
	if n.peers, err = transport.NewClient(transport.ClientConfig{Auth: n.auth, Uploads: n.cfg.Bodies}); err != nil {
		return err
	}
	n.server, err = transport.NewServer(transport.ServerConfig{
		Addr: n.cfg.PeerListen, Auth: n.auth,
		Handler: core.HandlerFunc(n.serveOwned),
		Calls:   n.calls(),
	})
	if err != nil {
		return err
	}
	n.self = core.Member{
		Node: n.cfg.Node, Incarnation: newIncarnation(), DataCentre: n.cfg.DataCentre,
		Address: or(n.cfg.PeerAddress, n.server.Addr()), CallerAddress: n.cfg.CallerAddress,
	}
	if n.work, err = ants.NewPool(controlCalls, ants.WithNonblocking(true), ants.WithDisablePurge(true)); err != nil {
		return core.Wrap(core.CodeInternal, err, "control pool")
	}
	n.socket, err = datagram.Open(datagram.Config{
		Addr: n.server.Addr(), Advertise: n.self.Address, Keys: [][]byte{n.cfg.PeerKey},
	})
	if err != nil {
		return err
	}
	n.sender, err = newSender(n.peers, n.socket)
	return err
}

// controlCalls bounds control calls to other nodes at once.
const controlCalls = 16

func newIncarnation() core.Incarnation {
	for {
		if i := core.Incarnation(rand.Uint64()); i != 0 {
			return i
		}
	}
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (n *Node) openOwner() (err error) {
	n.gate, err = gate.New(gate.Config{
		BackendAddr: n.cfg.BackendAddress, Permit: n.permit, MaxConns: n.cfg.Admission.Connections,
	})
	return err
}

func (n *Node) openEntrance() (err error) {
	if n.tables, err = entrance.NewTables(&fetcher{n: n}); err != nil {
		return err
	}
	n.frontend, err = frontend.New(frontend.Config{
		Addr: n.cfg.CallerListen, MaxConns: n.cfg.MaxConns, MaxHeaderBytes: n.cfg.HeaderBytes,
		Handler: core.HandlerFunc(n.serveCaller),
	})
	if err != nil {
		return err
	}
	n.self.CallerAddress = or(n.self.CallerAddress, n.frontend.Addr())
	n.owner = owner.New(owner.Config{
		Self: n.self, Clock: n.clock, Lease: n.Lease, Backend: n.gate,
		Admission: n.cfg.Admission, Once: n.cfg.Once, Weight: n.weight,
		OnQuarantine: n.quarantined, OnMarks: n.passMarks, OnHealthChange: n.healthChanged, RequestProbe: n.askProbe,
	})
	n.router = entrance.NewRouter(entrance.Config{
		Self: n.self, Tables: n.tables, Peers: n.peers, LocalHandler: core.HandlerFunc(n.serveOwned),
		Clock: n.clock, MaxWaitingRequests: n.cfg.MaxWaiting,
	})
	return nil
}

func (n *Node) openConfig() (err error) {
	n.config, err = configsync.New(configsync.Config{Store: n.store, Pull: n.pullConfig, Apply: n.applyConfig})
	return err
}

// abort closes what New opened before it failed.
func (n *Node) abort() {
	if n.server != nil {
		n.server.Start()
		_ = n.server.Close()
	}
}

// Start begins to serve. The node joins its group as soon as the backend
// server beside it has announced itself.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.run(func() { n.store.Run(ctx) })
	n.run(func() { n.sender.run(ctx) })
	n.run(func() { n.receive(ctx) })
	n.run(func() { n.burn.run(ctx) })
	n.run(func() { n.balance.Run(ctx) })
	n.run(func() { n.tables.Run(ctx) })
	n.run(func() { n.owner.Run(ctx) })
	n.run(func() { n.config.Run(ctx) })
	n.run(func() { n.control.Run(ctx) })
	n.run(func() { n.journal.run(ctx) })
	n.run(func() { n.ejection.run(ctx) })
	n.tables.SetGroupRanges(n.cfg.Service, spans(1))
	for s, groups := range n.cfg.Services {
		n.tables.SetGroupRanges(s, spans(groups))
	}
	n.server.Start()
	n.frontend.Start()
	if n.operators != nil {
		n.run(func() { _ = n.operators.Serve() })
	}
	if n.metrics != nil {
		n.run(func() { _ = n.metrics.Serve() })
	}
	n.run(func() { n.followBackend(ctx) })
}

func (n *Node) run(f func()) {
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		f()
	}()
}

// spans divides the key space evenly among groups.
func spans(groups uint32) []routing.GroupRange {
	groups = max(groups, 1)
	out := make([]routing.GroupRange, groups)
	for i := range groups {
		out[i] = routing.GroupRange{Group: i, Range: membership.GroupRange(i, groups)}
	}
	return out
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.frontend.Addr() }

// PeerAddr returns the address on which other nodes are served.
func (n *Node) PeerAddr() string { return n.server.Addr() }

// Lease returns the newest lease snapshot, or nil before the node has joined.
func (n *Node) Lease() *ownership.Snapshot {
	if d := n.lease.Load(); d != nil {
		return d.Snapshot()
	}
	return nil
}

// serveCaller serves a caller's request, journals refusals and counts the
// outcome against the service's objectives.
func (n *Node) serveCaller(ctx context.Context, req *core.Request) (*core.Response, error) {
	start := time.Now()
	resp, err := n.router.Serve(ctx, req)
	if err != nil {
		code := core.CodeOf(err)
		if code.NotRun() {
			n.recordRefusal(req, code)
		}
		n.burn.failed(req, code, time.Since(start))
		return nil, err
	}
	return n.burn.track(req, resp, start), nil
}

// serveOwned serves a request at the owner and counts the load of its key.
func (n *Node) serveOwned(ctx context.Context, req *core.Request) (*core.Response, error) {
	resp, err := n.owner.Serve(ctx, req)
	if err == nil {
		n.balance.Record(req.Hash(), 1)
	}
	return resp, err
}

// permit reads the lease at the last instant before the backend server is
// given a request.
func (n *Node) permit(req *core.Request) (gate.Permit, error) {
	s := n.Lease()
	if s == nil {
		return gate.Permit{}, core.Fail(core.CodeNotOwner, "no lease")
	}
	now := n.clock.Now()
	token, code := s.Check(now, req.Hash())
	if code != 0 {
		return gate.Permit{}, core.Fail(code, "lease changed before the request was sent")
	}
	return gate.Permit{Token: token, LeaseLeft: s.LeaseEnd.Sub(now)}, nil
}

// publish hands a new lease snapshot to the parts that follow it.
func (n *Node) publish(ctx context.Context, s *ownership.Snapshot) {
	if s.Table != nil {
		n.tables.LearnTable(s.Table)
	}
	n.owner.UpdateLease(ctx, s)
	n.config.Follow(s)
	if s.Reason == ownership.ReasonGroupFull {
		n.leaveFullGroup()
	}
	if s.Reason == ownership.ReasonLeft {
		n.leftOnce.Do(func() { close(n.left) })
	}
}
