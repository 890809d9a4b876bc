package admission

import "time"

// The table of flows is set-associative: flowSets sets of flowWays flows.
const (
	flowSets = 512
	flowWays = 4
)

// flow is the queue of one customer in one class.
type flow struct {
	customerHash uint64
	// startTag is the virtual start time of the customer's next request.
	startTag float64
	weight   float64
	sequence uint64 // orders flows with equal start tags, lowest first
	queue    entryList
	length   int
	// heapIndex is the position in fairQueue.heap, or none.
	heapIndex int32
}

// fairQueue implements start-time fair queueing over customers. A customer's
// start tag grows by service time divided by weight, and the flow with the
// smallest tag is served next, so a customer below its share is served before
// one above it.
//
// Flows are kept in a set-associative table. A customer whose set is full of
// flows with queued entries shares the first of them. The hash is perturbed by
// a seed, so that customers cannot choose with whom they share a flow.
type fairQueue struct {
	seed        uint64
	flows       []flow
	heap        []int32 // flows with queued entries, smallest start tag first
	virtualTime float64
	// activeWeight is the sum of the weights of flows with queued entries.
	activeWeight float64
	sequence     uint64 // the last one given to a flow
	length       int
}

func newFairQueue(seed uint64, size int) *fairQueue {
	q := &fairQueue{seed: seed, flows: make([]flow, flowSets*flowWays)}
	q.heap = make([]int32, 0, min(size, len(q.flows)))
	for i := range q.flows {
		q.flows[i].heapIndex = none
		q.flows[i].queue = entryList{none, none}
	}
	return q
}

// findOrAssign returns the flow of a customer. A new customer takes over the
// idle flow of its set with the smallest start tag. That flow's customer loses
// its tag, and with it the charges that put the tag ahead of the virtual time;
// the smallest tag makes this loss the least. If no flow of the set is idle, the
// new customer shares the first one.
func (q *fairQueue) findOrAssign(customerHash uint64, weight float32) int32 {
	base := int32(mix64(customerHash^q.seed)%flowSets) * flowWays
	victim := none
	for i := base; i < base+flowWays; i++ {
		f := &q.flows[i]
		if f.customerHash == customerHash {
			q.setWeight(f, weight)
			return i
		}
		if f.length == 0 && (victim == none || f.startTag < q.flows[victim].startTag) {
			victim = i
		}
	}
	if victim == none {
		return base
	}
	f := &q.flows[victim]
	f.customerHash, f.startTag = customerHash, 0
	q.setWeight(f, weight)
	return victim
}

func (q *fairQueue) setWeight(f *flow, weight float32) {
	w := float64(weight)
	if w <= 0 {
		w = 1
	}
	if f.length > 0 {
		q.activeWeight += w - f.weight
	}
	f.weight = w
}

// estimateAhead estimates how many queued entries are served before a new entry
// of flow i. Until flow i has been served length+1 times, all flows together are
// served that number times the sum of the weights over the flow's own weight.
func (q *fairQueue) estimateAhead(i int32) int {
	f := &q.flows[i]
	sum := q.activeWeight
	if f.length == 0 {
		sum += f.weight
	}
	rounds := float64(f.length+1)*sum/f.weight - 1
	return min(q.length, int(rounds))
}

// charge adds the estimated cost of an entry that starts to the start tag of
// flow i.
func (q *fairQueue) charge(i int32, cost time.Duration) {
	f := &q.flows[i]
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag = q.virtualTime + float64(cost)/f.weight
}

// correctCharge corrects an earlier charge once the service time is known. It
// does nothing if another customer now has flow i.
func (q *fairQueue) correctCharge(i int32, customerHash uint64, correction time.Duration) {
	f := &q.flows[i]
	if f.customerHash != customerHash {
		return
	}
	f.startTag += float64(correction) / f.weight
	if f.heapIndex != none {
		q.heapFix(f.heapIndex)
	}
}

func (q *fairQueue) push(p *pool, e int32) {
	i := p.entries[e].flow
	f := &q.flows[i]
	f.queue.pushBack(p, e)
	f.length++
	q.length++
	if f.length > 1 {
		return
	}
	f.startTag = max(f.startTag, q.virtualTime)
	q.sequence++
	f.sequence = q.sequence
	q.activeWeight += f.weight
	f.heapIndex = int32(len(q.heap))
	q.heap = append(q.heap, i)
	q.heapFix(f.heapIndex)
}

// peek returns the entry to serve next, or none.
func (q *fairQueue) peek() int32 {
	if len(q.heap) == 0 {
		return none
	}
	return q.flows[q.heap[0]].queue.head
}

// pop removes the entry that peek returns and charges its customer.
func (q *fairQueue) pop(p *pool) int32 {
	i := q.heap[0]
	f := &q.flows[i]
	e := f.queue.head
	q.charge(i, p.entries[e].serviceEstimate)
	q.sequence++
	f.sequence = q.sequence
	q.heapFix(f.heapIndex)
	q.remove(p, e)
	return e
}

// remove removes a queued entry without a charge.
func (q *fairQueue) remove(p *pool, e int32) {
	f := &q.flows[p.entries[e].flow]
	f.queue.remove(p, e)
	f.length--
	q.length--
	if f.length > 0 {
		return
	}
	q.activeWeight -= f.weight
	h, last := f.heapIndex, int32(len(q.heap)-1)
	q.heapSwap(h, last)
	q.heap = q.heap[:last]
	f.heapIndex = none
	if h < last {
		q.heapFix(h)
	}
	if last == 0 {
		q.activeWeight = 0 // clears accumulated rounding errors
	}
}

func (q *fairQueue) heapLess(a, b int32) bool {
	x, y := &q.flows[q.heap[a]], &q.flows[q.heap[b]]
	if x.startTag != y.startTag {
		return x.startTag < y.startTag
	}
	return x.sequence < y.sequence
}

func (q *fairQueue) heapSwap(a, b int32) {
	q.heap[a], q.heap[b] = q.heap[b], q.heap[a]
	q.flows[q.heap[a]].heapIndex, q.flows[q.heap[b]].heapIndex = a, b
}

// heapFix restores the heap order after the element at position h changed.
func (q *fairQueue) heapFix(h int32) {
	for h > 0 && q.heapLess(h, (h-1)/2) {
		q.heapSwap(h, (h-1)/2)
		h = (h - 1) / 2
	}
	for {
		c := 2*h + 1
		if c >= int32(len(q.heap)) {
			return
		}
		if c+1 < int32(len(q.heap)) && q.heapLess(c+1, c) {
			c++
		}
		if !q.heapLess(c, h) {
			return
		}
		q.heapSwap(c, h)
		h = c
	}
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
