package node

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/events"
	"marjoramshore.example/health"
	"marjoramshore.example/operator"
	"marjoramshore.example/ownership"
	"marjoramshore.example/ring"
	"marjoramshore.example/suspect"
)

// fields are the key=value pairs of one log line.
type fields = log.Fields

// eventQueue bounds queued events and queries; the oldest go, as telemetry must
// not delay anything.
const eventQueue = 512

// eventMessage is one event, or a query when reply is set.
type eventMessage struct {
	event events.Event
	query events.Query
	reply ring.Reply[events.Result]
	ask   bool
}

// eventDuty is the duty that owns the journal.
type eventDuty struct{ in *ring.Ring[eventMessage] }

func newEventDuty() *eventDuty {
	return &eventDuty{in: ring.New[eventMessage]("journal", eventQueue, ring.DropOldest)}
}

func (d *eventDuty) run(ctx context.Context) {
	j := events.New(events.DefaultLimits())
	ring.Consume(ctx, d.in, 0, func(m eventMessage) {
		if m.ask {
			m.reply.Send(j.Query(m.query))
			return
		}
		j.Record(m.event)
	}, nil)
}

// record journals and logs one event.
func (n *Node) record(e events.Event) {
	e.At, e.Service, e.Node = time.Now(), n.cfg.Service, or2(e.Node, n.cfg.Node)
	f := fields{"cause": e.Cause, "node": e.Node, "term": e.Term, "revision": e.Revision}
	if e.Range != nil {
		f["range"] = rangeText(*e.Range)
	}
	if e.Type != events.RefusalBurst {
		n.log.WithFields(f).Info(string(e.Type))
	}
	_ = n.journal.in.Push(context.Background(), eventMessage{event: e})
}

func or2(a, b core.NodeID) core.NodeID {
	if a != "" {
		return a
	}
	return b
}

func rangeText(r core.Range) string { return fmt.Sprintf("%016x-%016x", uint64(r.Lo), uint64(r.Hi)) }

var ownershipTypes = map[ownership.EventKind]events.Type{
	ownership.EventTakeover:          events.Takeover,
	ownership.EventSteppedDown:       events.Takeover,
	ownership.EventActingBegan:       events.Takeover,
	ownership.EventActingEnded:       events.Takeover,
	ownership.EventSuccessorsChanged: events.Takeover,
	ownership.EventMemberJoined:      events.NodeJoined,
	ownership.EventMemberLost:        events.NodeLeft,
	ownership.EventMemberLeft:        events.NodeLeft,
	ownership.EventDrainAccepted:     events.Drain,
}

// recordOwnership takes an event of the lease protocol.
func (n *Node) recordOwnership(e ownership.Event) {
	t, ok := ownershipTypes[e.Kind]
	if !ok {
		t = events.OwnershipChange
	}
	if e.Kind == ownership.EventMemberLost {
		n.damper.RecordLoss(core.Member{Node: e.Subject.Node, Incarnation: e.Subject.Incarnation}, n.clock.Now())
	}
	out := events.Event{Type: t, Group: n.number.Load(), Node: e.Subject.Node, Term: e.Term, Revision: e.Revision,
		Cause: string(e.Kind) + " at table " + tokenText(e.Table)}
	if e.Range != (core.Range{}) {
		out.Range = &e.Range
	}
	n.record(out)
}

func tokenText(t core.Token) string { return fmt.Sprintf("%d.%d", t.Term, t.Sequence) }

func (n *Node) recordHealth(s health.State, r health.Reason) {
	n.record(events.Event{Type: events.BackendHealth, Revision: n.config.Current().Revision, Cause: s.String() + ": " + r.String()})
}

func (n *Node) recordQuarantine(f suspect.Fingerprint) {
	n.record(events.Event{Type: events.Quarantine, Revision: n.config.Current().Revision,
		Cause: fmt.Sprintf("fingerprint %016x was in flight at deaths of backend servers", uint64(f))})
}

// recordRefusal journals a refusal; equal ones fold into one event.
func (n *Node) recordRefusal(req *core.Request, code core.Code) {
	h := req.Hash()
	n.record(events.Event{Type: events.RefusalBurst, Customer: req.Customer, Code: code, Reason: code.String(),
		Range: &core.Range{Lo: h, Hi: h}, Revision: n.config.Current().Revision, Cause: "refused: " + code.String()})
}

// askJournal runs a query on the journal duty.
func (n *Node) askJournal(ctx context.Context, q events.Query) []operator.Event {
	reply := ring.NewReply[events.Result]()
	if n.journal.in.Push(ctx, eventMessage{query: q, reply: reply, ask: true}) != nil {
		return nil
	}
	r, _ := reply.Wait(ctx)
	out := make([]operator.Event, len(r.Events))
	for i, e := range r.Events {
		out[i] = operatorEvent(e)
	}
	return out
}

func (n *Node) latestEvents(ctx context.Context, limit int) []operator.Event {
	return n.askJournal(ctx, events.Query{Limit: limit, Newest: true})
}

// eventsOf returns the latest events about one key, oldest first.
func (n *Node) eventsOf(ctx context.Context, h core.Hash) []operator.Event {
	const latest = 20
	list := n.askJournal(ctx, events.Query{Range: &core.Range{Lo: h, Hi: h}, Limit: latest, Newest: true})
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	return list
}

func operatorEvent(e events.Event) operator.Event {
	out := operator.Event{AtMs: e.At.UnixMilli(), Kind: string(e.Type), Service: e.Service, Cause: e.Cause,
		Revision: e.Revision, Term: e.Term, Detail: map[string]string{"node": string(e.Node)}}
	if e.Range != nil {
		out.Detail["range"] = rangeText(*e.Range)
	}
	if e.Count > 1 {
		out.Detail["count"] = fmt.Sprint(e.Count)
	}
	if e.Customer != "" {
		out.Detail["customer"] = string(e.Customer)
	}
	return out
}
