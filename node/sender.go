package node

import (
	"context"
	"time"

	"github.com/panjf2000/ants/v2"

	"marjoramshore.example/core"
	"marjoramshore.example/groupwire"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
	"marjoramshore.example/transport"
	"marjoramshore.example/transport/datagram"
)

const (
	// outgoing bounds queued group messages. They repeat, so the oldest goes.
	outgoing = 256
	// groupKind marks datagrams that hold a group message.
	groupKind = 1
	// streamWorkers bounds group messages on their way over a stream.
	streamWorkers = 16
	// streamTimeout bounds one such message: two heartbeats.
	streamTimeout = 1200 * time.Millisecond
)

type addressed struct {
	to  core.Member
	msg ownership.Message
}

// sender is the duty that encodes group messages and sends them: as datagrams,
// or over a stream when they hold a table or a record.
type sender struct {
	out    *ring.Ring[addressed]
	peers  *transport.Client
	socket *datagram.Socket
	pool   *ants.Pool
}

func newSender(peers *transport.Client, socket *datagram.Socket) (*sender, error) {
	pool, err := ants.NewPool(streamWorkers, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "sender: worker pool")
	}
	return &sender{out: ring.New[addressed]("group messages", outgoing, ring.DropOldest), peers: peers, socket: socket, pool: pool}, nil
}

// Send implements lease.Sender.
func (s *sender) Send(to core.Member, m ownership.Message) {
	_ = s.out.Push(context.Background(), addressed{to, m})
}

func (s *sender) run(ctx context.Context) {
	defer s.pool.Release()
	ring.Consume(ctx, s.out, 0, func(a addressed) { s.send(ctx, a) }, nil)
}

func (s *sender) send(ctx context.Context, a addressed) {
	b, err := groupwire.Encode(ownership.RunOf(a.to), a.msg)
	if err != nil {
		return
	}
	if len(b) <= datagram.MaxPayload {
		_ = s.socket.Send(a.to.Address, groupKind, b)
		return
	}
	// A full pool drops the message; the protocol repeats it.
	_ = s.pool.Submit(func() {
		call, cancel := context.WithTimeout(ctx, streamTimeout)
		defer cancel()
		_, _ = s.peers.Call(call, a.to.Address, callGroup, b)
	})
}

// receive is the duty that hands received datagrams to the lease duty.
func (n *Node) receive(ctx context.Context) {
	ring.Consume(ctx, n.socket.In(), 0, func(d datagram.Datagram) {
		if d.Kind == groupKind {
			// A message that is not for this run, or that the lease duty has
			// no room for, is dropped like a lost datagram.
			_, _ = n.receiveGroup(ctx, d.Payload)
		}
	}, nil)
}
