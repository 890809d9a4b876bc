package sidecar

import (
	"context"
	"sync"
	"sync/atomic"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
)

// links sends requests to other nodes, and those for the backend server on this
// VM straight to it.
type links struct {
	n         *Node
	byAddress sync.Map // of *nodeLink by inbound address; one for each node ever met
}

type nodeLink struct {
	*peers.Link
	// incarnation is the one to which the link's connections lead.
	incarnation atomic.Uint64
}

// follow closes connections to a former incarnation. After a loss of power they
// fall silent without a reset, and what is sent on one has an unknown outcome.
func (l *nodeLink) follow(i core.Incarnation) {
	if i == 0 {
		return // listed, and not heard yet
	}
	if former := l.incarnation.Swap(uint64(i)); former != 0 && former != uint64(i) {
		l.CloseIdle()
	}
}

func newLinks(n *Node) links { return links{n: n} }

// Send implements router.Sender.
func (l *links) Send(ctx context.Context, p *fleet.Peer, req *core.Request) (*core.Response, error) {
	if p.Node == l.n.self.Node {
		return l.n.backend.Serve(ctx, req)
	}
	link, err := l.to(p.InboundAddress)
	if err != nil {
		return nil, core.Wrap(core.CodePeerUnreachable, err, "address of a node")
	}
	link.follow(p.Incarnation)
	return link.Send(ctx, l.n.clock, req, p.Load)
}

func (l *links) to(address string) (*nodeLink, error) {
	if link, ok := l.byAddress.Load(address); ok {
		return link.(*nodeLink), nil
	}
	link, err := peers.NewLink(address, peers.Sender{Incarnation: l.n.self.Incarnation, Clock: l.n.clock})
	if err != nil {
		return nil, err
	}
	first, _ := l.byAddress.LoadOrStore(address, &nodeLink{Link: link})
	return first.(*nodeLink), nil
}

// close ends the links after their requests, or when ctx ends.
func (l *links) close(ctx context.Context) {
	l.byAddress.Range(func(_, link any) bool {
		if err := link.(*nodeLink).Close(ctx); err != nil {
			l.n.log.WithError(err).Warn("requests to another node cut")
		}
		return true
	})
}
