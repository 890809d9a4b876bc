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

// logFields are the key=value pairs of one log line.
type logFields = log.Fields

// journalQueueSize bounds queued events and queries. The oldest are dropped,
// because telemetry must not delay requests.
const journalQueueSize = 512

// journalMessage is one event, or a query when isQuery is set.
type journalMessage struct {
	event   events.Event
	query   events.Query
	reply   ring.Reply[events.Result]
	isQuery bool
}

// journalDuty is the duty that owns the journal.
type journalDuty struct{ queue *ring.Ring[journalMessage] }

func newJournalDuty() *journalDuty {
	return &journalDuty{queue: ring.New[journalMessage]("journal", journalQueueSize, ring.DropOldest)}
}

func (d *journalDuty) run(ctx context.Context) {
	journal := events.New(events.DefaultLimits())
	ring.Consume(ctx, d.queue, 0, func(m journalMessage) {
		if m.isQuery {
			m.reply.Send(journal.Query(m.query))
			return
		}
		journal.Record(m.event)
	}, nil)
}

// recordEvent journals one event and logs it, except for refusals, which would
// flood the log. It sets the time and the service, and this node when e.Node is
// empty.
func (n *Node) recordEvent(e events.Event) {
	e.At, e.Service, e.Node = time.Now(), n.cfg.Service, firstNonEmptyNode(e.Node, n.cfg.Node)
	pairs := logFields{"cause": e.Cause, "node": e.Node, "term": e.Term, "revision": e.Revision}
	if e.Range != nil {
		pairs["range"] = formatRange(*e.Range)
	}
	if e.Type != events.RefusalBurst {
		n.log.WithFields(pairs).Info(string(e.Type))
	}
	_ = n.journal.queue.Push(context.Background(), journalMessage{event: e})
}

func firstNonEmptyNode(a, b core.NodeID) core.NodeID {
	if a != "" {
		return a
	}
	return b
}

func formatRange(r core.Range) string { return fmt.Sprintf("%016x-%016x", uint64(r.Lo), uint64(r.Hi)) }

// ownershipEventTypes gives the journal's type for each kind of ownership event.
// A kind that is not listed is an OwnershipChange.
var ownershipEventTypes = map[ownership.EventKind]events.Type{
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

// recordOwnershipEvent journals an event of the lease protocol. The loss of a
// member also counts towards the damping of flapping members.
func (n *Node) recordOwnershipEvent(e ownership.Event) {
	eventType, ok := ownershipEventTypes[e.Kind]
	if !ok {
		eventType = events.OwnershipChange
	}
	if e.Kind == ownership.EventMemberLost {
		n.damper.RecordLoss(core.Member{Node: e.Subject.Node, Incarnation: e.Subject.Incarnation}, n.clock.Now())
	}
	event := events.Event{Type: eventType, Group: n.groupNumber.Load(), Node: e.Subject.Node, Term: e.Term, Revision: e.Revision,
		Cause: string(e.Kind) + " at table " + formatToken(e.Table)}
	if e.Range != (core.Range{}) {
		event.Range = &e.Range
	}
	n.recordEvent(event)
}

func formatToken(t core.Token) string { return fmt.Sprintf("%d.%d", t.Term, t.Sequence) }

func (n *Node) recordHealthChange(state health.State, reason health.Reason) {
	n.recordEvent(events.Event{Type: events.BackendHealth, Revision: n.configSync.Current().Revision, Cause: state.String() + ": " + reason.String()})
}

func (n *Node) recordQuarantine(fingerprint suspect.Fingerprint) {
	n.recordEvent(events.Event{Type: events.Quarantine, Revision: n.configSync.Current().Revision,
		Cause: fmt.Sprintf("request with fingerprint %016x was in flight when backend servers died", uint64(fingerprint))})
}

// recordRefusal journals a refusal. The journal merges equal refusals into one
// event.
func (n *Node) recordRefusal(req *core.Request, code core.Code) {
	h := req.Hash()
	n.recordEvent(events.Event{Type: events.RefusalBurst, Customer: req.Customer, Code: code, Reason: code.String(),
		Range: &core.Range{Lo: h, Hi: h}, Revision: n.configSync.Current().Revision, Cause: "refused: " + code.String()})
}

// queryJournal returns the result of a query. It is empty when the journal duty
// does not answer before ctx ends.
func (n *Node) queryJournal(ctx context.Context, q events.Query) []operator.Event {
	reply := ring.NewReply[events.Result]()
	if n.journal.queue.Push(ctx, journalMessage{query: q, reply: reply, isQuery: true}) != nil {
		return nil
	}
	result, _ := reply.Wait(ctx)
	list := make([]operator.Event, len(result.Events))
	for i, e := range result.Events {
		list[i] = toOperatorEvent(e)
	}
	return list
}

func (n *Node) latestEvents(ctx context.Context, limit int) []operator.Event {
	return n.queryJournal(ctx, events.Query{Limit: limit, NewestFirst: true})
}

// eventsOfKey returns the latest events about the hash of one key, oldest first.
func (n *Node) eventsOfKey(ctx context.Context, h core.Hash) []operator.Event {
	const maxEvents = 20
	list := n.queryJournal(ctx, events.Query{Range: &core.Range{Lo: h, Hi: h}, Limit: maxEvents, NewestFirst: true})
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	return list
}

func toOperatorEvent(e events.Event) operator.Event {
	converted := operator.Event{AtMs: e.At.UnixMilli(), Kind: string(e.Type), Service: e.Service, Cause: e.Cause,
		Revision: e.Revision, Term: e.Term, Detail: map[string]string{"node": string(e.Node)}}
	if e.Range != nil {
		converted.Detail["range"] = formatRange(*e.Range)
	}
	if e.Count > 1 {
		converted.Detail["count"] = fmt.Sprint(e.Count)
	}
	if e.Customer != "" {
		converted.Detail["customer"] = string(e.Customer)
	}
	return converted
}
