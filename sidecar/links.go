package sidecar

import (
	"context"
	"sync"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
)

// links sends requests to other nodes, and those for the backend server on this
// VM straight to it.
type links struct {
	n         *Node
	byAddress sync.Map // of *peers.Link by inbound address; one for each node ever met
}

func newLinks(n *Node) links { return links{n: n} }

// Send implements router.Sender.
func (l *links) Send(ctx context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error) {
	if p.Node == l.n.self.Node {
		return l.n.backend.Serve(ctx, req)
	}
	link, err := l.to(p.Inbound)
	if err != nil {
		return nil, core.Wrap(core.CodePeerUnreachable, err, "address of a node")
	}
	return link.Send(ctx, l.n.clock, req, p.Load)
}

func (l *links) to(address string) (*peers.Link, error) {
	if link, ok := l.byAddress.Load(address); ok {
		return link.(*peers.Link), nil
	}
	link, err := peers.NewLink(address)
	if err != nil {
		return nil, err
	}
	first, _ := l.byAddress.LoadOrStore(address, link)
	return first.(*peers.Link), nil
}

// close ends the links after their requests, or when ctx ends.
func (l *links) close(ctx context.Context) {
	l.byAddress.Range(func(_, link any) bool {
		if err := link.(*peers.Link).Close(ctx); err != nil {
			l.n.log.WithError(err).Warn("requests to another node cut")
		}
		return true
	})
}
