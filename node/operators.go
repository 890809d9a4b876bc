package node

import (
	"context"
	"net"
	"time"

	"marjoramshore.example/control"
	"marjoramshore.example/core"
	"marjoramshore.example/operator"
)

// openOperators prepares the operators' API. Without an address there is none.
func (n *Node) openOperators() (err error) {
	n.control = control.New(control.Config{
		Self: n.self, Region: n.cfg.Region, Service: n.cfg.Service, Group: n.group, Clock: n.clock,
		Lease: n.Lease, View: n.tables.View, Current: n.config.Current, Offer: n.config.Offer,
		Store: n.store, StoreStatus: n.storeStatus, Backend: n.backendStatus,
		Events: n.latestEvents, EventsOf: n.eventsOf,
		Burn:  n.gatherBurn,
		Peers: n.peers,
	})
	if n.cfg.OperatorListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.cfg.OperatorListen)
	if err != nil {
		return core.Wrap(core.CodeUnavailable, err, "operator listener")
	}
	n.operatorAddr = ln.Addr().String()
	n.operators, err = operator.NewServer(operator.Config{
		ReadToken: n.cfg.ReadToken, ChangeToken: n.cfg.ChangeToken, MaxBody: n.cfg.OperatorBytes,
		Timeout: operatorTimeout,
	}, ln, n.control)
	return err
}

// operatorTimeout leaves room for a change to be in force within 8 s.
const operatorTimeout = 12 * time.Second

// OperatorAddr returns the address on which operators are served, or nothing.
func (n *Node) OperatorAddr() string { return n.operatorAddr }

func (n *Node) storeStatus() operator.StoreStatus {
	s := n.store.Stats()
	return operator.StoreStatus{Failing: s.Failing, AgeMs: time.Since(s.LastSuccess).Milliseconds()}
}

func (n *Node) backendStatus(ctx context.Context) operator.BackendStatus {
	s, ok := n.owner.Stats(ctx)
	out := operator.BackendStatus{State: "unknown"}
	if !ok {
		return out
	}
	a := s.Admission
	out.InFlight, out.Limit, out.Queued = a.RunningShort+a.RunningLong, a.Limit, a.QueuedShort+a.QueuedLong
	out.State = s.Health.String()
	return out
}
