package slopes

import (
	"container/heap"
	"encoding/json"
	"strconv"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/groupwire"
	"marjoramshore.example/ownership"
)

const (
	// datagramOverhead is the size added to each encoded message:
	// 28 bytes of IPv4 and UDP headers, and 22 of the datagram's header and
	// tag (datagram.Overhead).
	datagramOverhead = 28 + 22
	// messageDelay is the virtual time that a message takes, and storeCallDelay
	// the virtual time of a store call.
	messageDelay   = time.Millisecond
	storeCallDelay = 3 * time.Millisecond
)

// cost counts the messages and bytes that one process sent and received, and
// the processor time that it used.
type cost struct {
	messages, bytes int
	cpu             time.Duration
}

// process is one node of a simulated group. Its node is nil before the start
// and after a loss.
type process struct {
	self     core.Member
	node     *ownership.Node
	snapshot *ownership.Snapshot
	decoder  groupwire.Decoder
	cost     cost
	// stepCount is the number of steps so far. A scheduled tick is outdated when
	// it has changed since.
	stepCount int
}

// scheduledEvent is an action at a point of virtual time. Events at the same
// time run in the order of seq.
type scheduledEvent struct {
	at     clock.Instant
	seq    int
	action func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulatedGroup runs real ownership nodes on virtual time, with a simulated
// network and store.
type simulatedGroup struct {
	id core.GroupID
	// now is the present virtual time.
	now clock.Instant
	// seq is the number of events scheduled so far.
	seq       int
	queue     eventQueue
	processes []*process
	// recordValue is the group's record in the store, as JSON, and recordVersion
	// its version, or 0 while there is none.
	recordValue   []byte
	recordVersion uint64
	storeDown     bool
	// storeReads and storeWrites count the calls to the store.
	storeReads, storeWrites int
	// writesBySecond counts store writes by the second of virtual time.
	writesBySecond map[int64]int
	// err is an error of the simulation itself. It ends advance.
	err error
}

// newSimulatedGroup schedules the start of size nodes, startInterval apart, and
// spreads them over the three data centres of a region.
func newSimulatedGroup(size int, startInterval time.Duration) *simulatedGroup {
	g := &simulatedGroup{id: core.GroupID{Service: "hintapalvelu", Number: 300}, now: clock.Instant(time.Hour), writesBySecond: map[int64]int{}}
	for i := range size {
		p := &process{self: core.Member{
			Node: core.NodeID("hinta-" + strconv.Itoa(3000+i)), DataCentre: core.DataCentre("fi-south-" + strconv.Itoa(i%3)),
			Address: "10.101.102." + strconv.Itoa(100+i) + ":17001", CallerAddress: "10.101.102." + strconv.Itoa(100+i) + ":17000",
		}}
		g.processes = append(g.processes, p)
		g.schedule(time.Duration(i)*startInterval, func() { g.startProcess(p) })
	}
	return g
}

// schedule runs action after delay, or never if delay is more than a day.
func (g *simulatedGroup) schedule(delay time.Duration, action func()) {
	if delay > 24*time.Hour {
		return
	}
	g.seq++
	heap.Push(&g.queue, scheduledEvent{g.now.Add(delay), g.seq, action})
}

// advance runs the events of the given duration of virtual time. It stops at
// the first error.
func (g *simulatedGroup) advance(duration time.Duration) {
	end := g.now.Add(duration)
	for g.err == nil && len(g.queue) > 0 && g.queue[0].at <= end {
		e := heap.Pop(&g.queue).(scheduledEvent)
		g.now = e.at
		e.action()
	}
	g.now = end
}

// startProcess starts p with a new incarnation. All bytes of the incarnation
// are set, as in a random one, because the encoded size depends on the value.
func (g *simulatedGroup) startProcess(p *process) {
	p.self.Incarnation += 0x9e3779b97f4a7c15
	p.decoder = groupwire.Decoder{Group: g.id, Self: ownership.RunOf(p.self)}
	p.node, g.err = ownership.New(ownership.Config{Group: g.id, Self: p.self, Timing: ownership.DefaultTiming()}, g.now)
	if g.err == nil {
		g.step(p, ownership.SetRevision{Revision: 100_000})
	}
}

// step passes an input to the process, applies the effects and schedules the
// next tick. A later step replaces the scheduled tick.
func (g *simulatedGroup) step(p *process, input ownership.Input) {
	if p.node == nil {
		return
	}
	begin := time.Now()
	effects := p.node.Step(g.now, input)
	p.cost.cpu += time.Since(begin)
	for _, e := range effects {
		g.applyEffect(p, p.self.Incarnation, e)
	}
	p.stepCount++
	stepCount := p.stepCount
	// The extra microsecond puts the tick after the wake time, so that
	// comparisons with the wake time see it as passed.
	g.schedule(max(0, p.node.NextWake().Sub(g.now))+time.Microsecond, func() {
		if p.stepCount == stepCount {
			g.step(p, ownership.Tick{})
		}
	})
}

// deliver passes a result to p after delay, unless p has been restarted since
// it asked for the result.
func (g *simulatedGroup) deliver(p *process, incarnation core.Incarnation, delay time.Duration, result func() ownership.Input) {
	g.schedule(delay, func() {
		if p.self.Incarnation == incarnation {
			g.step(p, result())
		}
	})
}

func (g *simulatedGroup) applyEffect(p *process, incarnation core.Incarnation, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.PublishSnapshot:
		p.snapshot = e.Snapshot
	case ownership.SendMessage:
		g.sendMessage(p, e)
	case ownership.GetGroupRecord:
		g.storeReads++
		g.deliver(p, incarnation, storeCallDelay, func() ownership.Input { return g.readRecord(e.ID) })
	case ownership.PutGroupRecord:
		g.storeWrites++
		g.writesBySecond[int64(g.now)/int64(time.Second)]++
		g.deliver(p, incarnation, storeCallDelay, func() ownership.Input { return g.writeRecord(e) })
	case ownership.HandOver:
		g.deliver(p, incarnation, messageDelay, func() ownership.Input { return ownership.HandOverDone{Move: e.Move} })
	}
}

// sendMessage encodes a message, counts its bytes and delivers it after
// messageDelay.
func (g *simulatedGroup) sendMessage(from *process, e ownership.SendMessage) {
	begin := time.Now()
	encoded, err := groupwire.Encode(ownership.RunOf(e.To), e.Message)
	from.cost.cpu += time.Since(begin)
	if err != nil {
		g.err = err
		return
	}
	from.cost.addMessage(encoded)
	g.schedule(messageDelay, func() {
		for _, to := range g.processes {
			if to.self.Node == e.To.Node && to.node != nil {
				g.receiveMessage(to, encoded)
			}
		}
	})
}

func (g *simulatedGroup) receiveMessage(to *process, encoded []byte) {
	to.cost.addMessage(encoded)
	begin := time.Now()
	message, err := to.decoder.Decode(encoded)
	to.cost.cpu += time.Since(begin)
	if err == nil {
		g.step(to, ownership.MessageReceived{Message: message})
	}
}

func (c *cost) addMessage(encoded []byte) {
	c.messages++
	c.bytes += len(encoded) + datagramOverhead
}

func (g *simulatedGroup) readRecord(id uint64) ownership.Input {
	if g.storeDown {
		return ownership.ReadResult{ID: id, Status: ownership.ReadUnavailable}
	}
	if g.recordVersion == 0 {
		return ownership.ReadResult{ID: id, Status: ownership.ReadMissing}
	}
	record := new(ownership.GroupRecord)
	g.err = json.Unmarshal(g.recordValue, record)
	return ownership.ReadResult{ID: id, Status: ownership.ReadFound, Record: record, Version: g.recordVersion}
}

func (g *simulatedGroup) writeRecord(e ownership.PutGroupRecord) ownership.Input {
	switch {
	case g.storeDown:
		return ownership.PutResult{ID: e.ID, Status: ownership.PutOutcomeUnknown}
	case e.IfVersion != g.recordVersion:
		return ownership.PutResult{ID: e.ID, Status: ownership.PutConflict}
	}
	g.recordValue, g.err = json.Marshal(e.Record)
	g.recordVersion++
	return ownership.PutResult{ID: e.ID, Status: ownership.PutOK, Version: g.recordVersion}
}

// coordinator returns the process that coordinates the group, or nil.
func (g *simulatedGroup) coordinator() *process {
	for _, p := range g.processes {
		if p.node != nil && p.snapshot != nil && p.snapshot.IsCoordinator {
			return p
		}
	}
	return nil
}

// resetCounts clears the counts of store calls and the costs of all processes.
func (g *simulatedGroup) resetCounts() {
	g.storeReads, g.storeWrites, g.writesBySecond = 0, 0, map[int64]int{}
	for _, p := range g.processes {
		p.cost = cost{}
	}
}
