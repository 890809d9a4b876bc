package sidecar

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/sidecar/backend"
)

// peerLinks sends requests to other nodes over one link for each, and requests
// for the node's own backend server straight to its proxy.
type peerLinks struct {
	node       *Node
	byAddress  sync.Map      // *peerLink by inbound address; links are never removed
	lastNumber atomic.Uint64 // of a core.SendID
}

// peerLink is the link to one inbound address.
type peerLink struct {
	*peers.Link
	// incarnation is the node's incarnation to which the connections lead, or 0
	// before it is known.
	incarnation atomic.Uint64
	// statement is what the backend server said of itself in the last answer that
	// came over the link. It outlives processes of the other node.
	statement atomic.Pointer[serverStatement]
}

// serverRun identifies a run of a backend server. One may start again under the
// instance that it had. bornUnixMs is 0 while the node beside it has just started
// and has had no status report.
type serverRun struct {
	instance   string
	bornUnixMs int64
}

// mayBe reports whether two runs are the same one, as far as is known.
func (r serverRun) mayBe(other serverRun) bool {
	return r.instance == other.instance && (r.bornUnixMs == other.bornUnixMs || r.bornUnixMs == 0 || other.bornUnixMs == 0)
}

// serverStatement is a statement of one run of a backend server.
type serverStatement struct {
	platform.Statement
	run serverRun
	// leavingSince is the instant of the first answer in which the run said that
	// it leaves.
	leavingSince clock.Instant
}

// knownStatement returns the last statement of a run.
func (l *peerLink) knownStatement(run serverRun) serverStatement {
	if s := l.statement.Load(); s != nil && s.run.mayBe(run) {
		return *s
	}
	return serverStatement{run: run}
}

// recordStatement notes what an answer of a run says, once the start of the run is
// known. A run that leaves does not return, so that an answer made before does not
// change that.
func (l *peerLink) recordStatement(now clock.Instant, run serverRun, resp *core.Response) {
	if run.bornUnixMs == 0 {
		return // it would count for all later runs of the instance as well
	}
	known := l.knownStatement(run)
	next, said := known, platform.ParseStatement(resp)
	if !said.Malformed {
		next.RateLimit = said.RateLimit
	}
	if said.Leaving && !known.Leaving {
		next.Leaving, next.leavingSince = true, now
	}
	if next != known {
		l.statement.Store(&next)
	}
}

// setIncarnation closes the connections to a former incarnation of the node.
// After a power failure they fall silent without a reset, and a request sent on
// one would have an unknown outcome.
func (l *peerLink) setIncarnation(i core.Incarnation) {
	if i == 0 {
		return // the node is listed in the store, but sent no beacon yet
	}
	if former := l.incarnation.Swap(uint64(i)); former != 0 && former != uint64(i) {
		l.CloseIdle()
	}
}

func newPeerLinks(n *Node) peerLinks { return peerLinks{node: n} }

// Send implements router.Sender.
func (l *peerLinks) Send(ctx context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error) {
	if p.Node == l.node.self.Node {
		return l.node.backend.Serve(ctx, req)
	}
	link, err := l.linkTo(p.InboundAddress)
	if err != nil {
		return nil, core.Wrap(core.CodePeerUnreachable, err, "invalid inbound address of a node")
	}
	link.setIncarnation(p.Incarnation)
	if !req.Idempotent {
		req.SendID = core.SendID{Sender: l.node.self.Incarnation, Number: l.lastNumber.Add(1)}
	}
	sentAt := l.node.clock.Now()
	run := serverRun{req.Instance, p.BornUnixMs}
	known := link.knownStatement(run)
	if known.Leaving && sentAt.Sub(known.leavingSince) >= backend.SendPeriod(l.node.cfg.Settings.Bounds.DrainPeriod) {
		return nil, core.Fail(core.CodeDraining, "the backend server has said that it leaves; its drain is over")
	}
	req.RateLimit = known.RateLimit
	resp, err := link.Send(ctx, l.node.clock, req, p.Load)
	if err != nil && l.withdraw(ctx, p, req, sentAt, core.AsError(err)) {
		return nil, core.Wrap(core.CodePeerUnreachable, err, "the connection to the node failed before the node passed the request on; the node will refuse it")
	}
	if err == nil {
		link.recordStatement(l.node.clock.Now(), run, resp)
	}
	return resp, err
}

// withdraw asks the node to which a request was sent, on a connection that then
// failed with e, not to pass it to its backend server. It reports whether the
// request has not run and never will.
//
// The answer is sound because the process that received the request gives it:
// that process remembers what it has passed on for longer than WithdrawWindow,
// and refuses the request whenever it still arrives. A process that has ended
// passes nothing on, but another one at its address does not know what the former
// did; it has another incarnation and confirms nothing.
func (l *peerLinks) withdraw(ctx context.Context, p *fleet.Peer, req *core.Request, sentAt clock.Instant, e *core.Error) bool {
	answered := e.PeerTime > 0
	if e.Code != core.CodeUnknown || answered || req.SendID.IsZero() || p.Incarnation == 0 || ctx.Err() != nil {
		return false
	}
	answer, err := l.node.peerClient.Withdraw(ctx, p.PeerAddress, peers.WithdrawRequest{
		Receiver: p.Incarnation, SendID: req.SendID,
	})
	age := l.node.clock.Now().Sub(sentAt)
	withdrawn := err == nil && answer.NotRun && age < peers.WithdrawWindow
	fields := log.Fields{"id": req.ID, "peer": p.Node, "withdrawn": withdrawn, "age_ms": age.Milliseconds()}
	if err != nil {
		fields["error"] = err
	}
	l.node.log.WithFields(fields).Info("request on a failed connection withdrawn from the other node, or not if it may run there")
	return withdrawn
}

// linkTo returns the link to an inbound address.
func (l *peerLinks) linkTo(address string) (*peerLink, error) {
	if link, ok := l.byAddress.Load(address); ok {
		return link.(*peerLink), nil
	}
	link, err := peers.NewLink(address, peers.Sender{Incarnation: l.node.self.Incarnation, Clock: l.node.clock}, &l.node.linkMeter)
	if err != nil {
		return nil, err
	}
	stored, _ := l.byAddress.LoadOrStore(address, &peerLink{Link: link})
	return stored.(*peerLink), nil
}

// strayAnswers returns the number of responses of other nodes so far that did not
// belong to the request in flight on their connection.
func (l *peerLinks) strayAnswers() int64 {
	sum := int64(0)
	l.byAddress.Range(func(_, link any) bool {
		sum += link.(*peerLink).StrayAnswers()
		return true
	})
	return sum
}

// close closes the links once their requests have ended, or when ctx ends.
func (l *peerLinks) close(ctx context.Context) {
	l.byAddress.Range(func(_, link any) bool {
		if err := link.(*peerLink).Close(ctx); err != nil {
			l.node.log.WithError(err).Warn("requests to another node did not end before the stop and are cut off")
		}
		return true
	})
}
