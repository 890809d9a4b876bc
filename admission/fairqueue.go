package admission

import "time"

const (
	flowSets = 512
	flowWays = 4
)

// flow is the queue of one customer in one class.
type flow struct {
	customer uint64
	// tag is the virtual start time of the customer's next request.
	tag    float64
	weight float64
	order  uint64
	queue  list
	n      int
	// heap is the position in fairQueue.heap, or none.
	heap int32
}

// fairQueue is start-time fair queueing over customers. A customer's tag grows
// by service time divided by weight, and the smallest tag is served next, so a
// customer below its share is served before one above it.
//
// Flows live in a set-associative table. A customer that finds its set full of
// queued flows shares the first of them; the hash is perturbed by a seed so
// that customers cannot choose whom they share with.
type fairQueue struct {
	seed    uint64
	flows   []flow
	heap    []int32
	virtual float64
	// weights is the sum over flows with queued tickets.
	weights float64
	order   uint64
	n       int
}

func newFairQueue(seed uint64, size int) *fairQueue {
	q := &fairQueue{seed: seed, flows: make([]flow, flowSets*flowWays)}
	q.heap = make([]int32, 0, min(size, len(q.flows)))
	for i := range q.flows {
		q.flows[i].heap = none
		q.flows[i].queue = list{none, none}
	}
	return q
}

// find returns the flow of a customer. A new customer replaces the idle flow
// of its set that is owed the most, which loses at most that flow's advance.
func (q *fairQueue) find(customer uint64, weight float32) int32 {
	base := int32(mix(customer^q.seed)%flowSets) * flowWays
	victim := none
	for i := base; i < base+flowWays; i++ {
		f := &q.flows[i]
		if f.customer == customer {
			q.reweigh(f, weight)
			return i
		}
		if f.n == 0 && (victim == none || f.tag < q.flows[victim].tag) {
			victim = i
		}
	}
	if victim == none {
		return base
	}
	f := &q.flows[victim]
	f.customer, f.tag = customer, 0
	q.reweigh(f, weight)
	return victim
}

func (q *fairQueue) reweigh(f *flow, weight float32) {
	w := float64(weight)
	if w <= 0 {
		w = 1
	}
	if f.n > 0 {
		q.weights += w - f.weight
	}
	f.weight = w
}

// ahead estimates how many queued tickets are served before a new one of flow.
func (q *fairQueue) ahead(i int32) int {
	f := &q.flows[i]
	sum := q.weights
	if f.n == 0 {
		sum += f.weight
	}
	rounds := float64(f.n+1)*sum/f.weight - 1
	return min(q.n, int(rounds))
}

// charge accounts for service that flow i starts without queueing.
func (q *fairQueue) charge(i int32, cost time.Duration) {
	f := &q.flows[i]
	q.virtual = max(q.virtual, f.tag)
	f.tag = q.virtual + float64(cost)/f.weight
}

// adjust corrects an earlier charge once the service time is known.
func (q *fairQueue) adjust(i int32, customer uint64, diff time.Duration) {
	f := &q.flows[i]
	if f.customer != customer {
		return
	}
	f.tag += float64(diff) / f.weight
	if f.heap != none {
		q.fix(f.heap)
	}
}

func (q *fairQueue) push(p *pool, e int32) {
	i := p.entries[e].flow
	f := &q.flows[i]
	f.queue.push(p, e)
	f.n++
	q.n++
	if f.n > 1 {
		return
	}
	f.tag = max(f.tag, q.virtual)
	q.order++
	f.order = q.order
	q.weights += f.weight
	f.heap = int32(len(q.heap))
	q.heap = append(q.heap, i)
	q.fix(f.heap)
}

// peek returns the entry that is served next, or none.
func (q *fairQueue) peek() int32 {
	if len(q.heap) == 0 {
		return none
	}
	return q.flows[q.heap[0]].queue.head
}

// pop removes the entry that peek returned and charges its customer.
func (q *fairQueue) pop(p *pool) int32 {
	i := q.heap[0]
	f := &q.flows[i]
	e := f.queue.head
	q.charge(i, p.entries[e].estimate)
	q.order++
	f.order = q.order
	q.fix(f.heap)
	q.remove(p, e)
	return e
}

// remove takes a queued entry out without a charge.
func (q *fairQueue) remove(p *pool, e int32) {
	f := &q.flows[p.entries[e].flow]
	f.queue.remove(p, e)
	f.n--
	q.n--
	if f.n > 0 {
		return
	}
	q.weights -= f.weight
	h, last := f.heap, int32(len(q.heap)-1)
	q.swap(h, last)
	q.heap = q.heap[:last]
	f.heap = none
	if h < last {
		q.fix(h)
	}
	if last == 0 {
		q.weights = 0 // removes the rounding error of the sum
	}
}

func (q *fairQueue) less(a, b int32) bool {
	x, y := &q.flows[q.heap[a]], &q.flows[q.heap[b]]
	if x.tag != y.tag {
		return x.tag < y.tag
	}
	return x.order < y.order
}

func (q *fairQueue) swap(a, b int32) {
	q.heap[a], q.heap[b] = q.heap[b], q.heap[a]
	q.flows[q.heap[a]].heap, q.flows[q.heap[b]].heap = a, b
}

// fix restores the heap order around position h.
func (q *fairQueue) fix(h int32) {
	for h > 0 && q.less(h, (h-1)/2) {
		q.swap(h, (h-1)/2)
		h = (h - 1) / 2
	}
	for {
		c := 2*h + 1
		if c >= int32(len(q.heap)) {
			return
		}
		if c+1 < int32(len(q.heap)) && q.less(c+1, c) {
			c++
		}
		if !q.less(c, h) {
			return
		}
		q.swap(c, h)
		h = c
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
