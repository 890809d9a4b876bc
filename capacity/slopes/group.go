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
	// overhead is added to each encoded message: 28 bytes of IPv4 and UDP
	// headers and 22 of the datagram's header and tag (datagram.Overhead).
	overhead = 28 + 22
	// hop and call are one message's and one store call's virtual time.
	hop  = time.Millisecond
	call = 3 * time.Millisecond
)

// cost is what one process of a group spent.
type cost struct {
	messages, bytes int
	cpu             time.Duration
}

// process is one node of a simulated group.
type process struct {
	self    core.Member
	node    *ownership.Node
	snap    *ownership.Snapshot
	decoder groupwire.Decoder
	cost    cost
	wakes   int
}

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// group drives real ownership nodes on virtual time.
type group struct {
	id        core.GroupID
	now       clock.Instant
	seq       int
	queue     eventQueue
	processes []*process
	value     []byte
	version   uint64
	storeDown bool
	// reads and writes count store calls.
	reads, writes int
	// bySecond counts writes by the second of virtual time.
	bySecond map[int64]int
	err      error
}

// newGroup starts size nodes, one after another, spread over the three data
// centres of a region.
func newGroup(size int, apart time.Duration) *group {
	g := &group{id: core.GroupID{Service: "hintapalvelu", Number: 300}, now: clock.Instant(time.Hour), bySecond: map[int64]int{}}
	for i := range size {
		p := &process{self: core.Member{
			Node: core.NodeID("hinta-" + strconv.Itoa(3000+i)), DataCentre: core.DataCentre("fi-south-" + strconv.Itoa(i%3)),
			Address: "10.101.102." + strconv.Itoa(100+i) + ":17001", CallerAddress: "10.101.102." + strconv.Itoa(100+i) + ":17000",
		}}
		g.processes = append(g.processes, p)
		g.after(time.Duration(i)*apart, func() { g.start(p) })
	}
	return g
}

// after runs a function once d has passed, or never if d is more than a day.
func (g *group) after(d time.Duration, run func()) {
	if d > 24*time.Hour {
		return
	}
	g.seq++
	heap.Push(&g.queue, event{g.now.Add(d), g.seq, run})
}

// run passes virtual time.
func (g *group) run(d time.Duration) {
	end := g.now.Add(d)
	for g.err == nil && len(g.queue) > 0 && g.queue[0].at <= end {
		e := heap.Pop(&g.queue).(event)
		g.now = e.at
		e.run()
	}
	g.now = end
}

// start begins a new run of a process. Incarnations have all their bytes set,
// as random ones do.
func (g *group) start(p *process) {
	p.self.Incarnation += 0x9e3779b97f4a7c15
	p.decoder = groupwire.Decoder{Group: g.id, Self: ownership.RunOf(p.self)}
	p.node, g.err = ownership.New(ownership.Config{Group: g.id, Self: p.self, Timing: ownership.DefaultTiming()}, g.now)
	if g.err == nil {
		g.step(p, ownership.SetRevision{Revision: 100_000})
	}
}

func (g *group) step(p *process, in ownership.Input) {
	if p.node == nil {
		return
	}
	begin := time.Now()
	effects := p.node.Step(g.now, in)
	p.cost.cpu += time.Since(begin)
	for _, e := range effects {
		g.carryOut(p, p.self.Incarnation, e)
	}
	p.wakes++
	wakes := p.wakes
	// A microsecond more makes comparisons with the wake time come out late.
	g.after(max(0, p.node.NextWake().Sub(g.now))+time.Microsecond, func() {
		if p.wakes == wakes {
			g.step(p, ownership.Tick{})
		}
	})
}

// feed gives a result to the run that asked for it.
func (g *group) feed(p *process, run core.Incarnation, d time.Duration, in func() ownership.Input) {
	g.after(d, func() {
		if p.self.Incarnation == run {
			g.step(p, in())
		}
	})
}

func (g *group) carryOut(p *process, run core.Incarnation, e ownership.Effect) {
	switch e := e.(type) {
	case ownership.PublishSnapshot:
		p.snap = e.Snapshot
	case ownership.SendMessage:
		g.send(p, e)
	case ownership.GetGroupRecord:
		g.reads++
		g.feed(p, run, call, func() ownership.Input { return g.read(e.ID) })
	case ownership.PutGroupRecord:
		g.writes++
		g.bySecond[int64(g.now)/int64(time.Second)]++
		g.feed(p, run, call, func() ownership.Input { return g.write(e) })
	case ownership.HandOver:
		g.feed(p, run, hop, func() ownership.Input { return ownership.HandOverDone{Move: e.Move} })
	}
}

// send encodes a message, counts its bytes on both sides and decodes it.
func (g *group) send(from *process, e ownership.SendMessage) {
	begin := time.Now()
	b, err := groupwire.Encode(ownership.RunOf(e.To), e.Message)
	from.cost.cpu += time.Since(begin)
	if err != nil {
		g.err = err
		return
	}
	from.cost.count(b)
	g.after(hop, func() {
		for _, to := range g.processes {
			if to.self.Node == e.To.Node && to.node != nil {
				g.receive(to, b)
			}
		}
	})
}

func (g *group) receive(to *process, b []byte) {
	to.cost.count(b)
	begin := time.Now()
	m, err := to.decoder.Decode(b)
	to.cost.cpu += time.Since(begin)
	if err == nil {
		g.step(to, ownership.MessageReceived{Message: m})
	}
}

func (c *cost) count(b []byte) {
	c.messages++
	c.bytes += len(b) + overhead
}

func (g *group) read(id uint64) ownership.Input {
	if g.storeDown {
		return ownership.ReadResult{ID: id, Status: ownership.ReadUnavailable}
	}
	if g.version == 0 {
		return ownership.ReadResult{ID: id, Status: ownership.ReadMissing}
	}
	rec := new(ownership.GroupRecord)
	g.err = json.Unmarshal(g.value, rec)
	return ownership.ReadResult{ID: id, Status: ownership.ReadFound, Record: rec, Version: g.version}
}

func (g *group) write(e ownership.PutGroupRecord) ownership.Input {
	switch {
	case g.storeDown:
		return ownership.PutResult{ID: e.ID, Status: ownership.PutOutcomeUnknown}
	case e.IfVersion != g.version:
		return ownership.PutResult{ID: e.ID, Status: ownership.PutConflict}
	}
	g.value, g.err = json.Marshal(e.Record)
	g.version++
	return ownership.PutResult{ID: e.ID, Status: ownership.PutOK, Version: g.version}
}

// coordinator returns the process that coordinates the group, or nil.
func (g *group) coordinator() *process {
	for _, p := range g.processes {
		if p.node != nil && p.snap != nil && p.snap.IsCoordinator {
			return p
		}
	}
	return nil
}

// reset sets all counts to zero.
func (g *group) reset() {
	g.reads, g.writes, g.bySecond = 0, 0, map[int64]int{}
	for _, p := range g.processes {
		p.cost = cost{}
	}
}
