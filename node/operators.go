package node

import (
	"context"
	"net"
	"time"

	"marjoramshore.example/control"
	"marjoramshore.example/core"
	"marjoramshore.example/operator"
)

// openOperatorServer prepares the operators' API, and listens for operators
// when Config.OperatorListen is set.
func (n *Node) openOperatorServer() (err error) {
	n.control = control.New(control.Config{
		Self: n.self, Region: n.cfg.Region, Service: n.cfg.Service, GroupID: n.groupID, Clock: n.clock,
		LeaseSnapshot: n.Lease, View: n.routingTables.View, CurrentConfig: n.configSync.Current, OfferConfig: n.configSync.Offer,
		Store: n.store, StoreStatus: n.storeStatus, BackendStatus: n.backendStatus,
		RecentEvents: n.latestEvents, KeyEvents: n.eventsOfKey,
		BurnReport: n.gatherBurn,
		Peers:      n.peerClient,
	})
	if n.cfg.OperatorListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", n.cfg.OperatorListen)
	if err != nil {
		return core.Wrap(core.CodeUnavailable, err, "listen for operators")
	}
	n.operatorAddr = ln.Addr().String()
	n.operatorServer, err = operator.NewServer(operator.Config{
		ReadToken: n.cfg.ReadToken, ChangeToken: n.cfg.ChangeToken, MaxBodyBytes: n.cfg.MaxOperatorBodyBytes,
		Timeout: operatorTimeout,
	}, ln, n.control)
	return err
}

// operatorTimeout bounds an operator's request. It is longer than the 8 s
// within which a change must be in force.
const operatorTimeout = 12 * time.Second

// OperatorAddr returns the listening address for operators, or "" when the
// operators' API is disabled.
func (n *Node) OperatorAddr() string { return n.operatorAddr }

func (n *Node) storeStatus() operator.StoreStatus {
	stats := n.store.Stats()
	return operator.StoreStatus{Failing: stats.Failing, AgeMs: time.Since(stats.LastSuccess).Milliseconds()}
}

func (n *Node) backendStatus(ctx context.Context) operator.BackendStatus {
	stats, ok := n.owner.Stats(ctx)
	status := operator.BackendStatus{State: "unknown"}
	if !ok {
		return status
	}
	admission := stats.Admission
	status.InFlight, status.Limit, status.Queued = admission.RunningShort+admission.RunningLong, admission.Limit, admission.QueuedShort+admission.QueuedLong
	status.State = stats.Health.String()
	return status
}
