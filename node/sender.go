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
	// groupQueueSize bounds queued group messages. The protocol repeats them,
	// so a full queue drops the oldest.
	groupQueueSize = 256
	// groupDatagramKind is the kind of a datagram that holds a group message.
	groupDatagramKind = 1
	// maxStreamCalls bounds the group messages in flight over streams.
	maxStreamCalls = 16
	// streamTimeout bounds one group message over a stream. It is twice the
	// default heartbeat interval.
	streamTimeout = 1200 * time.Millisecond
)

// outgoingMessage is a group message with its receiver.
type outgoingMessage struct {
	to  core.Member
	msg ownership.Message
}

// groupSender is the duty that encodes and sends group messages. A message that
// does not fit into a datagram, because it holds a table or a record, goes over
// a stream.
type groupSender struct {
	queue      *ring.Ring[outgoingMessage]
	peers      *transport.Client
	socket     *datagram.Socket
	streamPool *ants.Pool
}

func newGroupSender(peers *transport.Client, socket *datagram.Socket) (*groupSender, error) {
	pool, err := ants.NewPool(maxStreamCalls, ants.WithNonblocking(true), ants.WithDisablePurge(true))
	if err != nil {
		return nil, core.Wrap(core.CodeInternal, err, "create the pool for group messages over streams")
	}
	return &groupSender{queue: ring.New[outgoingMessage]("group messages", groupQueueSize, ring.DropOldest), peers: peers, socket: socket, streamPool: pool}, nil
}

// Send implements lease.Sender.
func (s *groupSender) Send(to core.Member, m ownership.Message) {
	_ = s.queue.Push(context.Background(), outgoingMessage{to, m})
}

func (s *groupSender) run(ctx context.Context) {
	defer s.streamPool.Release()
	ring.Consume(ctx, s.queue, 0, func(m outgoingMessage) { s.send(ctx, m) }, nil)
}

func (s *groupSender) send(ctx context.Context, m outgoingMessage) {
	payload, err := groupwire.Encode(ownership.RunOf(m.to), m.msg)
	if err != nil {
		return
	}
	if len(payload) <= datagram.MaxPayload {
		_ = s.socket.Send(m.to.Address, groupDatagramKind, payload)
		return
	}
	// The message is dropped when all workers are busy; the protocol repeats it.
	_ = s.streamPool.Submit(func() {
		callCtx, cancel := context.WithTimeout(ctx, streamTimeout)
		defer cancel()
		_, _ = s.peers.Call(callCtx, m.to.Address, methodGroup, payload)
	})
}

// receiveDatagrams is the duty that passes received group messages on to the
// lease duty.
func (n *Node) receiveDatagrams(ctx context.Context) {
	ring.Consume(ctx, n.socket.Received(), 0, func(d datagram.Datagram) {
		if d.Kind == groupDatagramKind {
			// An error is ignored: a message for another run of the node, or
			// one that the full queue of the lease duty refuses, counts as a
			// lost datagram.
			_, _ = n.handleGroupMessage(ctx, d.Payload)
		}
	}, nil)
}
