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

// peerCalls answers the calls of other nodes.
type peerCalls struct{ n *Node }

// Report implements peers.Handler.
func (p peerCalls) Report(ctx context.Context, r shards.LeaseRequest) shards.LeaseAnswer {
	d := p.n.keysOf(r.Service)
	if d == nil {
		return shards.LeaseAnswer{Term: r.Term}
	}
	a, ok := d.HandleLeaseRequest(ctx, r)
	if !ok {
		return shards.LeaseAnswer{Term: r.Term}
	}
	return a
}

// StepDown implements peers.Handler. A node without a duty of the service never
// gave a lease.
func (p peerCalls) StepDown(ctx context.Context, r peers.StepDownRequest) peers.StepDownAnswer {
	d := p.n.keysOf(r.Service)
	return peers.StepDownAnswer{Done: d == nil || d.StepDown(ctx, r.Term)}
}

// Document implements peers.Handler.
func (p peerCalls) Document(_ context.Context, r peers.DocumentRequest) peers.DocumentAnswer {
	switch r.Kind {
	case platform.ConfigKind:
		if o := p.n.config.Load(); o != nil {
			return peers.DocumentAnswer{Revision: o.Revision, Spec: o.Spec}
		}
	case objectKind:
		return p.table(core.Service(r.Name))
	}
	return peers.DocumentAnswer{}
}

func (p peerCalls) table(s core.Service) peers.DocumentAnswer {
	d := p.n.keysOf(s)
	if d == nil || d.Table() == nil {
		return peers.DocumentAnswer{}
	}
	t := d.Table()
	spec, err := record.Encode(t.Assignment)
	if err != nil {
		p.n.log.WithError(err).Error("table not encoded")
		return peers.DocumentAnswer{}
	}
	return peers.DocumentAnswer{Revision: t.Revision, Spec: spec}
}

// catchUp asks another node for what it has in a newer version.
func (n *Node) catchUp(b nodes.NewerDocument) {
	request := peers.DocumentRequest{Kind: platform.ConfigKind, Name: platform.ConfigName}
	if b.Service != "" {
		request = peers.DocumentRequest{Kind: objectKind, Name: string(b.Service)}
	}
	err := n.pool.Submit(func() {
		a, err := n.caller.Document(n.ctx, b.Address, request)
		if err != nil || len(a.Spec) == 0 {
			n.log.WithFields(log.Fields{"peer": b.Address, "kind": request.Kind, "error": err}).Debug("document not fetched")
			return
		}
		o := platform.Object{Name: request.Name, Revision: a.Revision, Spec: a.Spec}
		if b.Service == "" {
			n.offerConfig(o, "peer")
		} else {
			n.offerTable(b.Service, o)
		}
	})
	if err != nil {
		n.log.WithError(err).Warn("no worker to catch up")
	}
}
