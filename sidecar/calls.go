package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/peers"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/configs"
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
		if o := h.node.configs.Object(); o != nil {
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

// Reserve implements peers.Handler.
func (h peerHandler) Reserve(_ context.Context, r peers.ReserveRequest) peers.ReserveAnswer {
	return peers.ReserveAnswer{Reservation: h.node.linkSchedule.Reserve(h.node.clock.Now(), r.Bytes, r.MaxWait)}
}

// keyTable returns the node's key table of a service, or an empty answer.
func (h peerHandler) keyTable(s core.Service) peers.DocumentAnswer {
	c := h.node.keyController(s)
	if c == nil || c.Table() == nil {
		return peers.DocumentAnswer{}
	}
	t := c.Table()
	spec, err := t.Encoded()
	if err != nil {
		h.node.log.WithError(err).Error("encoding a key table for another node failed")
		return peers.DocumentAnswer{}
	}
	return peers.DocumentAnswer{Revision: t.Revision, Spec: spec}
}

// maxDocumentFetches bounds the calls for one document at the same time. Each
// may take seconds over a full link, and the pool has leases to renew as well.
const maxDocumentFetches = 3

// fetchDocument fetches a document of which another node has a newer version,
// unless enough calls for it are in progress.
func (n *Node) fetchDocument(newer nodes.NewerDocument) {
	slot, _ := n.documentFetches.LoadOrStore(newer.Service, &atomic.Int64{})
	inProgress := slot.(*atomic.Int64)
	if inProgress.Add(1) > maxDocumentFetches {
		inProgress.Add(-1)
		return
	}
	err := n.pool.Submit(func() {
		defer inProgress.Add(-1)
		n.requestDocument(newer)
	})
	if err != nil {
		inProgress.Add(-1)
		n.log.WithError(err).Warn("newer document of another node not fetched: no pool worker is free")
	}
}

// requestDocument asks another node for a document and passes it on.
func (n *Node) requestDocument(newer nodes.NewerDocument) {
	request := peers.DocumentRequest{Kind: platform.ConfigKind, Name: platform.ConfigName}
	if newer.Service != "" {
		request = peers.DocumentRequest{Kind: objectKind, Name: string(newer.Service)}
	}
	started := time.Now()
	a, err := n.peerClient.Document(n.ctx, newer.Address, request)
	took := time.Since(started)
	if err != nil || len(a.Spec) == 0 {
		n.log.WithFields(log.Fields{"peer": newer.Address, "kind": request.Kind, "took_ms": took.Milliseconds(), "error": err}).Info("fetching a newer document from another node failed")
		return
	}
	if took >= slowTransfer {
		n.log.WithFields(log.Fields{
			"peer": newer.Address, "kind": request.Kind, "revision": a.Revision, "bytes": len(a.Spec), "took_ms": took.Milliseconds(),
		}).Info("newer document of another node took long")
	}
	o := platform.Object{Name: request.Name, Revision: a.Revision, Spec: a.Spec}
	if newer.Service == "" {
		n.configs.Offer(n.ctx, configs.Offer{Object: o, Source: "peer"})
	} else {
		n.applyTable(newer.Service, o)
	}
}

// slowTransfer is the time from which a read of the store or of another node is
// logged. A full link shows as such reads, since they take milliseconds
// otherwise.
const slowTransfer = 250 * time.Millisecond

// logStoreCall logs a read of the store that took long after the head of its
// response had arrived, that broke off then, or that left entries out.
func (n *Node) logStoreCall(c platform.CallStats) {
	if c.Skipped > 0 {
		n.log.WithFields(log.Fields{"path": c.Path, "watch": c.IsWatch, "entries": c.Skipped}).Warn("entries in the platform's store ignored: they are no objects")
	}
	brokenOff := c.Err != nil && c.Status == http.StatusOK
	if c.Transfer < slowTransfer && !brokenOff {
		return
	}
	fields := log.Fields{
		"path": c.Path, "watch": c.IsWatch, "status": c.Status, "bytes": c.Bytes,
		"wait_ms": c.Wait.Milliseconds(), "transfer_ms": c.Transfer.Milliseconds(),
	}
	if c.Err != nil {
		fields["error"] = c.Err.Error()
	}
	n.log.WithFields(fields).Info("response of the platform's store took long or broke off")
}
