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

// methodEject is the control method by which a node whose backend server is
// suspect or ejected asks its coordinator whether the service can do without
// it.
const methodEject = "eject"

const (
	// ejectionQueueSize bounds queued messages. The oldest are dropped, since
	// only the newest health state matters.
	ejectionQueueSize = 16
	// ejectionRequestInterval is how often a node asks while its backend server
	// is suspect or ejected. Other nodes do not ask.
	ejectionRequestInterval = time.Second
	// ejectionRequestTTL is how long a coordinator keeps the last request of a
	// node.
	ejectionRequestTTL = 5 * time.Second
	// maxEjectedShare is the largest share of a group whose backend servers may
	// be ejected at a time. Unresponsive ones count but are not limited.
	maxEjectedShare = 0.2
)

// ejectionMessage is one message to the ejection duty: a new health state of
// this node's backend server, or, when requester is set, a request for the
// permission to eject that node's backend server.
type ejectionMessage struct {
	state     health.State
	reason    health.Reason
	requester core.NodeID
	reply     ring.Reply[bool]
}

// ejectionRequest is the JSON body of methodEject.
type ejectionRequest struct {
	Node   core.NodeID   `json:"node"`
	State  health.State  `json:"state"`
	Reason health.Reason `json:"reason"`
}

// ejectionDuty is the duty that drains the node while its backend server is
// ejected. On a coordinator it also limits how many backend servers of the
// group are ejected at a time.
type ejectionDuty struct {
	node  *Node
	queue *ring.Ring[ejectionMessage]

	// The fields down to lastRequestAt belong to the goroutine of run.
	state    health.State
	reason   health.Reason
	draining bool // the lease duty was told to drain
	// candidates holds the last request of each node. It is bounded by the size
	// of a group.
	candidates    map[core.NodeID]health.Candidate
	lastRequestAt map[core.NodeID]time.Time
	// unresponsive holds the nodes whose backend servers answer nothing. The
	// lease duty reads it on a coordinator.
	unresponsive atomic.Pointer[map[core.NodeID]bool]
}

func newEjectionDuty(n *Node) *ejectionDuty {
	return &ejectionDuty{node: n, queue: ring.New[ejectionMessage]("health changes", ejectionQueueSize, ring.DropOldest),
		state: health.Warming, candidates: map[core.NodeID]health.Candidate{}, lastRequestAt: map[core.NodeID]time.Time{}}
}

func (e *ejectionDuty) run(ctx context.Context) {
	ring.Consume(ctx, e.queue, ejectionRequestInterval, func(m ejectionMessage) { e.handle(ctx, m) }, func() { e.update(ctx) })
}

func (e *ejectionDuty) handle(ctx context.Context, m ejectionMessage) {
	if m.requester != "" {
		m.reply.Send(e.mayEject(m))
		return
	}
	e.state, e.reason = m.state, m.reason
	e.node.log.WithFields(logFields{"state": m.state, "reason": m.reason}).Info("backend server health changed")
	e.node.recordHealthChange(m.state, m.reason)
	e.update(ctx)
}

// update starts or ends the drain of the node. While the backend server is
// suspect or ejected, it also asks for the permission to eject it.
func (e *ejectionDuty) update(ctx context.Context) {
	e.expireRequests()
	e.syncDrain(ctx)
	if e.state != health.Suspect && e.state != health.Ejected {
		return
	}
	request := ejectionRequest{Node: e.node.cfg.Node, State: e.state, Reason: e.reason}
	lease := e.node.Lease()
	if lease == nil || lease.IsCoordinator {
		e.node.owner.PermitEjection(e.mayEject(ejectionMessage{state: request.State, reason: request.Reason, requester: request.Node}))
		return
	}
	body, err := json.Marshal(request)
	if err != nil || lease.Coordinator.Address == "" {
		return
	}
	_ = e.node.controlPool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, ejectionRequestInterval)
		defer cancel()
		answer, err := e.node.peerClient.Call(ctx, lease.Coordinator.Address, methodEject, body)
		e.node.owner.PermitEjection(err == nil && string(answer) == "true")
	})
}

// syncDrain drains the node exactly while its backend server is ejected. A
// drain by operators is left alone.
func (e *ejectionDuty) syncDrain(ctx context.Context) {
	wantDrain := e.state == health.Ejected
	runner := e.node.leaseRunner.Load()
	if runner == nil || wantDrain == e.draining || e.node.operatorDrain.Load() {
		return
	}
	var input ownership.Input = ownership.Undrain{}
	if wantDrain {
		input = ownership.Drain{}
	}
	if runner.Submit(ctx, input) == nil {
		e.draining = wantDrain
	}
}

// mayEject records a request and reports whether the requester may eject its
// backend server although it still answers.
func (e *ejectionDuty) mayEject(m ejectionMessage) bool {
	lease := e.node.Lease()
	if lease == nil || lease.Table == nil {
		return false
	}
	now := time.Now()
	previous, known := e.candidates[m.requester]
	since := previous.Since
	if !known || previous.State != m.state {
		since = e.node.clock.Now()
	}
	e.candidates[m.requester] = health.Candidate{Node: m.requester, State: m.state, Reason: m.reason, Since: since}
	e.lastRequestAt[m.requester] = now
	e.publishUnresponsive()
	group := make([]health.Candidate, 0, len(lease.Table.Members))
	for _, member := range lease.Table.Members {
		if candidate, ok := e.candidates[member.Node]; ok {
			group = append(group, candidate)
		} else {
			group = append(group, health.Candidate{Node: member.Node, State: health.Serving})
		}
	}
	for _, node := range health.LimitEjections(group, maxEjectedShare) {
		if node == m.requester {
			return true
		}
	}
	return false
}

// expireRequests forgets the nodes that stopped asking.
func (e *ejectionDuty) expireRequests() {
	for node, at := range e.lastRequestAt {
		if time.Since(at) > ejectionRequestTTL {
			delete(e.lastRequestAt, node)
			delete(e.candidates, node)
			e.publishUnresponsive()
		}
	}
}

func (e *ejectionDuty) publishUnresponsive() {
	unresponsive := map[core.NodeID]bool{}
	for node, candidate := range e.candidates {
		if candidate.State == health.Ejected && candidate.Reason.Unresponsive() {
			unresponsive[node] = true
		}
	}
	e.unresponsive.Store(&unresponsive)
}

// mayDrain implements ownership.Config.MayDrain. A node whose backend server
// answers nothing is exempt from the limit on drains, because its keys are
// unavailable until they move.
func (e *ejectionDuty) mayDrain(draining []core.Member, candidate core.Member, total int) bool {
	if unresponsive := e.unresponsive.Load(); unresponsive != nil && (*unresponsive)[candidate.Node] {
		return true
	}
	return membership.MayDrain(draining, candidate, total)
}

// handleEject decides on the request of another node, as the coordinator of its
// group.
func (n *Node) handleEject(ctx context.Context, payload []byte) ([]byte, error) {
	var request ejectionRequest
	if err := json.Unmarshal(payload, &request); err != nil || request.Node == "" {
		return nil, core.Fail(core.CodeInvalid, "ejection request: malformed")
	}
	reply := ring.NewReply[bool]()
	if err := n.ejection.queue.Push(ctx, ejectionMessage{state: request.State, reason: request.Reason, requester: request.Node, reply: reply}); err != nil {
		return nil, core.Wrap(core.CodeOverloaded, err, "ejection request: queue")
	}
	if ok, _ := reply.Wait(ctx); ok {
		return []byte("true"), nil
	}
	return []byte("false"), nil
}
