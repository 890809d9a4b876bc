package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/health"
	"marjoramshore.example/membership"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
)

// callEject is the control method by which a node whose backend server is in
// doubt asks its coordinator whether the service may lose it.
const callEject = "eject"

const (
	// healthChanges bounds queued changes of state; only the newest matters.
	healthChanges = 16
	// ejectInterval is how often a node in doubt asks; healthy nodes never do.
	ejectInterval = time.Second
	// ejectForget is when a coordinator forgets a node that stopped asking.
	ejectForget = 5 * time.Second
	// ejectShare is the largest share of a group that is ejected for a soft
	// reason at a time.
	ejectShare = 0.2
)

// healthChange is one message to the ejection duty: a change of the state of
// the own backend server, or the question of another node.
type healthChange struct {
	state  health.State
	reason health.Reason
	asker  core.NodeID
	reply  ring.Reply[bool]
}

// doubt is the JSON body of callEject.
type doubt struct {
	Node   core.NodeID   `json:"node"`
	State  health.State  `json:"state"`
	Reason health.Reason `json:"reason"`
}

// ejection is the duty that moves keys away from a node whose backend server is
// ejected, and on a coordinator decides how many may be ejected at once.
type ejection struct {
	n  *Node
	in *ring.Ring[healthChange]

	// Owned by run's goroutine. doubts is bounded by the size of a group.
	state    health.State
	reason   health.Reason
	drained  bool
	doubts   map[core.NodeID]health.Candidate
	lastSeen map[core.NodeID]time.Time
	// dead holds the nodes whose backend servers answer nothing. The lease
	// duty of a coordinator reads it.
	dead atomic.Pointer[map[core.NodeID]bool]
}

func newEjection(n *Node) *ejection {
	return &ejection{n: n, in: ring.New[healthChange]("health changes", healthChanges, ring.DropOldest),
		state: health.Warming, doubts: map[core.NodeID]health.Candidate{}, lastSeen: map[core.NodeID]time.Time{}}
}

func (e *ejection) run(ctx context.Context) {
	ring.Consume(ctx, e.in, ejectInterval, func(c healthChange) { e.handle(ctx, c) }, func() { e.tick(ctx) })
}

func (e *ejection) handle(ctx context.Context, c healthChange) {
	if c.asker != "" {
		c.reply.Send(e.judge(c))
		return
	}
	e.state, e.reason = c.state, c.reason
	e.n.log.WithFields(fields{"state": c.state, "reason": c.reason}).Info("backend server health")
	e.n.recordHealth(c.state, c.reason)
	e.tick(ctx)
}

// tick drains or returns the node, and asks for permission while in doubt.
func (e *ejection) tick(ctx context.Context) {
	e.forget()
	e.follow(ctx)
	if e.state != health.Suspect && e.state != health.Ejected {
		return
	}
	d := doubt{Node: e.n.cfg.Node, State: e.state, Reason: e.reason}
	s := e.n.Lease()
	if s == nil || s.IsCoordinator {
		e.n.owner.PermitEjection(e.judge(healthChange{state: d.State, reason: d.Reason, asker: d.Node}))
		return
	}
	body, err := json.Marshal(d)
	if err != nil || s.Coordinator.Address == "" {
		return
	}
	_ = e.n.work.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, ejectInterval)
		defer cancel()
		answer, err := e.n.peers.Call(ctx, s.Coordinator.Address, callEject, body)
		e.n.owner.PermitEjection(err == nil && string(answer) == "true")
	})
}

// follow keeps the drain in step with the state. An operator's drain stays.
func (e *ejection) follow(ctx context.Context) {
	want := e.state == health.Ejected
	d := e.n.lease.Load()
	if d == nil || want == e.drained || e.n.declaredDrain.Load() {
		return
	}
	var in ownership.Input = ownership.Undrain{}
	if want {
		in = ownership.Drain{}
	}
	if d.Submit(ctx, in) == nil {
		e.drained = want
	}
}

// judge answers whether a node may eject its backend server for a soft reason.
func (e *ejection) judge(c healthChange) bool {
	s := e.n.Lease()
	if s == nil || s.Table == nil {
		return false
	}
	now := time.Now()
	before, known := e.doubts[c.asker]
	since := before.Since
	if !known || before.State != c.state {
		since = e.n.clock.Now()
	}
	e.doubts[c.asker] = health.Candidate{Node: c.asker, State: c.state, Reason: c.reason, Since: since}
	e.lastSeen[c.asker] = now
	e.publishDead()
	all := make([]health.Candidate, 0, len(s.Table.Members))
	for _, m := range s.Table.Members {
		if d, ok := e.doubts[m.Node]; ok {
			all = append(all, d)
		} else {
			all = append(all, health.Candidate{Node: m.Node, State: health.Serving})
		}
	}
	for _, node := range health.LimitEjections(all, ejectShare) {
		if node == c.asker {
			return true
		}
	}
	return false
}

func (e *ejection) forget() {
	for node, at := range e.lastSeen {
		if time.Since(at) > ejectForget {
			delete(e.lastSeen, node)
			delete(e.doubts, node)
			e.publishDead()
		}
	}
}

func (e *ejection) publishDead() {
	dead := map[core.NodeID]bool{}
	for node, d := range e.doubts {
		if d.State == health.Ejected && d.Reason.Unresponsive() {
			dead[node] = true
		}
	}
	e.dead.Store(&dead)
}

// mayDrain is asked by the coordinator. A backend server that answers nothing
// waits for no drain cap: its keys are unavailable until they move.
func (e *ejection) mayDrain(draining []core.Member, candidate core.Member, total int) bool {
	if dead := e.dead.Load(); dead != nil && (*dead)[candidate.Node] {
		return true
	}
	return membership.MayDrain(draining, candidate, total)
}

// answerEject answers callEject on a coordinator.
func (n *Node) answerEject(ctx context.Context, payload []byte) ([]byte, error) {
	var d doubt
	if err := json.Unmarshal(payload, &d); err != nil || d.Node == "" {
		return nil, core.Fail(core.CodeInvalid, "eject: malformed")
	}
	reply := ring.NewReply[bool]()
	if err := n.ejection.in.Push(ctx, healthChange{state: d.State, reason: d.Reason, asker: d.Node, reply: reply}); err != nil {
		return nil, core.Wrap(core.CodeOverloaded, err, "eject")
	}
	if ok, _ := reply.Wait(ctx); ok {
		return []byte("true"), nil
	}
	return []byte("false"), nil
}
