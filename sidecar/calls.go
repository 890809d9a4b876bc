package sidecar

import (
	"context"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
	"marjoramshore.example/shards/record"
	"marjoramshore.example/sidecar/nodes"
)

// peerHandler answers the calls of other nodes.
type peerHandler struct{ node *Node }

// Report implements peers.Handler.
func (h peerHandler) Report(ctx context.Context, r shards.LeaseRequest) shards.LeaseAnswer {
	c := h.node.keyController(r.Service)
	if c == nil {
		return shards.LeaseAnswer{Term: r.Term}
	}
	a, ok := c.HandleLeaseRequest(ctx, r)
	if !ok {
		return shards.LeaseAnswer{Term: r.Term}
	}
	return a
}

// StepDown implements peers.Handler. A node without a key controller of the
// service has never issued a lease for it.
func (h peerHandler) StepDown(ctx context.Context, r peers.StepDownRequest) peers.StepDownAnswer {
	c := h.node.keyController(r.Service)
	return peers.StepDownAnswer{Done: c == nil || c.StepDown(ctx, r.Term)}
}

// Document implements peers.Handler.
func (h peerHandler) Document(_ context.Context, r peers.DocumentRequest) peers.DocumentAnswer {
	switch r.Kind {
	case platform.ConfigKind:
		if o := h.node.configObject.Load(); o != nil {
			return peers.DocumentAnswer{Revision: o.Revision, Spec: o.Spec}
		}
	case objectKind:
		return h.keyTable(core.Service(r.Name))
	}
	return peers.DocumentAnswer{}
}

// Withdraw implements peers.Handler.
func (h peerHandler) Withdraw(ctx context.Context, r peers.WithdrawRequest) peers.WithdrawAnswer {
	if r.Receiver != h.node.self.Incarnation {
		return peers.WithdrawAnswer{}
	}
	return peers.WithdrawAnswer{NotRun: h.node.backend.Withdraw(ctx, r.SendID)}
}

// keyTable returns the node's key table of a service, or an empty answer.
func (h peerHandler) keyTable(s core.Service) peers.DocumentAnswer {
	c := h.node.keyController(s)
	if c == nil || c.Table() == nil {
		return peers.DocumentAnswer{}
	}
	t := c.Table()
	spec, err := record.Encode(t.Assignment)
	if err != nil {
		h.node.log.WithError(err).Error("encoding a key table for another node failed")
		return peers.DocumentAnswer{}
	}
	return peers.DocumentAnswer{Revision: t.Revision, Spec: spec}
}

// fetchDocument fetches a document of which another node has a newer version.
func (n *Node) fetchDocument(newer nodes.NewerDocument) {
	request := peers.DocumentRequest{Kind: platform.ConfigKind, Name: platform.ConfigName}
	if newer.Service != "" {
		request = peers.DocumentRequest{Kind: objectKind, Name: string(newer.Service)}
	}
	err := n.pool.Submit(func() {
		a, err := n.peerClient.Document(n.ctx, newer.Address, request)
		if err != nil || len(a.Spec) == 0 {
			n.log.WithFields(log.Fields{"peer": newer.Address, "kind": request.Kind, "error": err}).Debug("fetching a newer document from another node failed")
			return
		}
		o := platform.Object{Name: request.Name, Revision: a.Revision, Spec: a.Spec}
		if newer.Service == "" {
			n.applyConfig(o, "peer")
		} else {
			n.applyTable(newer.Service, o)
		}
	})
	if err != nil {
		n.log.WithError(err).Warn("newer document of another node not fetched: no pool worker is free")
	}
}
