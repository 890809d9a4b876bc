package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"marjoramshore.example/balance"
	"marjoramshore.example/core"
	"marjoramshore.example/events"
	"marjoramshore.example/membership"
	"marjoramshore.example/ownership"
	"marjoramshore.example/placement"
)

// methodLoad is the control method by which a member sends its load export.
const methodLoad = "load"

// loadTimeout bounds the sending of one load export, which the next one
// replaces.
const loadTimeout = time.Second

// loadExport is the JSON body of methodLoad.
type loadExport struct {
	Node core.NodeID `json:"node"`
	Load []byte      `json:"load"`
}

func (n *Node) openBalancer() error {
	if n.cfg.Planner == (placement.Config{}) {
		n.cfg.Planner = placement.DefaultConfig()
	}
	n.balancer = balance.New(balance.Config{
		Clock: n.clock, Self: n.cfg.Node, Lease: n.Lease, Planner: n.cfg.Planner,
		HashSpan:   func() core.Range { return membership.GroupRange(n.groupNumber.Load(), n.groupCount) },
		SendExport: n.sendLoad,
		RequestMove: func(ctx context.Context, r core.Range, to ownership.Run) error {
			return n.leaseRunner.Load().Submit(ctx, ownership.RequestMove{Range: r, To: to})
		},
		OnMoveRequested: func(r core.Range, to core.Member, reason placement.Reason) {
			n.recordEvent(events.Event{Type: events.OwnershipChange, Range: &r, Node: to.Node,
				Revision: n.configSync.Current().Revision, Cause: "planned move to balance the load: " + string(reason)})
		},
		OnOversizedHash: func(hash placement.OversizedHash) {
			n.recordEvent(events.Event{Type: events.OwnershipChange, Range: &core.Range{Lo: hash.Hash, Hi: hash.Hash},
				Revision: n.configSync.Current().Revision, Cause: fmt.Sprintf("load %.0f of one key exceeds the share of an owner", hash.Load)})
		},
	})
	return nil
}

func (n *Node) sendLoad(to core.Member, export []byte) {
	body, err := json.Marshal(loadExport{Node: n.cfg.Node, Load: export})
	if err != nil {
		return
	}
	_ = n.controlPool.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		_, _ = n.peerClient.Call(ctx, to.Address, methodLoad, body)
	})
}

func (n *Node) handleLoad(_ context.Context, payload []byte) ([]byte, error) {
	var export loadExport
	if err := json.Unmarshal(payload, &export); err != nil || export.Node == "" {
		return nil, core.Fail(core.CodeInvalid, "load export: malformed")
	}
	n.balancer.ReceiveExport(export.Node, export.Load)
	return nil, nil
}
