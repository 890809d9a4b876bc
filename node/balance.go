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

// callLoad is the control method that carries a member's load export.
const callLoad = "load"

// loadTimeout bounds the sending of one export; the next one replaces it.
const loadTimeout = time.Second

type loadExport struct {
	Node core.NodeID `json:"node"`
	Load []byte      `json:"load"`
}

func (n *Node) openBalance() error {
	if n.cfg.Planner == (placement.Config{}) {
		n.cfg.Planner = placement.DefaultConfig()
	}
	n.balance = balance.New(balance.Config{
		Clock: n.clock, Self: n.cfg.Node, Lease: n.Lease, Planner: n.cfg.Planner,
		HashSpan:   func() core.Range { return membership.GroupRange(n.number.Load(), n.groups) },
		SendExport: n.sendLoad,
		RequestMove: func(ctx context.Context, r core.Range, to ownership.Run) error {
			return n.lease.Load().Submit(ctx, ownership.RequestMove{Range: r, To: to})
		},
		OnMoveRequested: func(r core.Range, to core.Member, why placement.Reason) {
			n.record(events.Event{Type: events.OwnershipChange, Range: &r, Node: to.Node,
				Revision: n.config.Current().Revision, Cause: "planned move for balance: " + string(why)})
		},
		OnOversizedHash: func(l placement.OversizedHash) {
			n.record(events.Event{Type: events.OwnershipChange, Range: &core.Range{Lo: l.Hash, Hi: l.Hash},
				Revision: n.config.Current().Revision, Cause: fmt.Sprintf("one key is hotter than an owner's share: load %.0f", l.Load)})
		},
	})
	return nil
}

func (n *Node) sendLoad(to core.Member, export []byte) {
	b, err := json.Marshal(loadExport{Node: n.cfg.Node, Load: export})
	if err != nil {
		return
	}
	_ = n.work.Submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		_, _ = n.peers.Call(ctx, to.Address, callLoad, b)
	})
}

func (n *Node) receiveLoad(_ context.Context, payload []byte) ([]byte, error) {
	var x loadExport
	if err := json.Unmarshal(payload, &x); err != nil || x.Node == "" {
		return nil, core.Fail(core.CodeInvalid, "load: malformed")
	}
	n.balance.ReceiveExport(x.Node, x.Load)
	return nil, nil
}
