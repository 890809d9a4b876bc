package admission

import (
	"math/rand/v2"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Controller is the admission policy of one backend server. It serves one
// service and is owned by one goroutine.
type Controller struct {
	cfg      Config
	pool     *pool
	queues   [classes]*fairQueue
	classify *classifier
	limit    *limiter
	// shorts is the demand of all short work, proven that of work on paths
	// that are known to be short.
	shorts, proven demand
	random         *rand.Rand
	// share is the part of the limit in use while the backend server warms up.
	share float64

	running   [classes]int
	unproven  int
	lingering int
	// young lists running short exchanges by start, for reclassification.
	young     list
	parked    list
	lastLong  clock.Instant // last start of long work
	longSince clock.Instant // since when long work has been queued
	draining  bool
	stats     Stats
	refusals  float64 // decayed counts for the retry-after
	admits    float64
	countedAt clock.Instant

	starts  []Start
	refused []Refusal
	scratch []int32
}

var _ Policy = (*Controller)(nil)

// New returns a Controller. All memory is allocated here.
func New(c Config) *Controller {
	c = c.withDefaults()
	size := c.QueueSize + c.Connections
	return &Controller{
		cfg:      c,
		pool:     newPool(size),
		queues:   [classes]*fairQueue{newFairQueue(mix(c.Seed+1), c.QueueSize), newFairQueue(mix(c.Seed+2), c.QueueSize)},
		classify: newClassifier(c),
		limit:    newLimiter(c.Slots),
		random:   rand.New(rand.NewPCG(c.Seed, 0x6d61726a)),
		share:    1,
		young:    list{none, none},
		parked:   list{none, none},
		starts:   make([]Start, 0, c.Connections),
		refused:  make([]Refusal, 0, size),
		scratch:  make([]int32, 0, size),
	}
}

// Offer implements Policy.
func (c *Controller) Offer(now clock.Instant, t Ticket) Decision {
	c.advance(now)
	if c.draining {
		return c.refuse(core.CodeDraining, 0)
	}
	i := c.pool.take()
	if i == none {
		return c.refuse(core.CodeQueueFull, c.cfg.MaxShortWait)
	}
	e := &c.pool.entries[i]
	c.prepare(now, e, &t)
	if t.Deadline != 0 && now.Add(e.estimate).After(t.Deadline) {
		c.pool.release(i)
		return c.refuse(core.CodeDeadlineNotRun, 0)
	}
	q := c.queues[e.class]
	if q.n == 0 && c.hasSlot(e.class) {
		q.charge(e.flow, e.estimate)
		c.start(now, i)
		return Decision{Verdict: Admit, ID: c.pool.id(i), KnownShort: e.knownShort()}
	}
	return c.enqueue(now, i, &t)
}

// prepare fills in an entry that was just taken.
func (c *Controller) prepare(now clock.Instant, e *entry, t *Ticket) {
	c.classify.classify(e, t)
	if e.unproven && !c.untried() {
		// It waits as long work until the first completion on its path shows
		// that it is short. See promote.
		e.class = long
	}
	e.ref, e.weight = t.Ref, t.Weight
	e.customer = uint64(core.HashKey(string(t.Customer)))
	e.flow = c.queues[e.class].find(e.customer, t.Weight)
	e.deadline = t.Deadline
	c.bound(now, e)
}

// bound sets the latest start of an entry of its class.
func (c *Controller) bound(now clock.Instant, e *entry) {
	wait := c.cfg.MaxShortWait
	if e.class == long {
		wait = c.cfg.LongWait
	}
	e.startBy = now.Add(wait)
	if e.deadline != 0 {
		e.startBy = min(e.startBy, e.deadline.Add(-e.estimate))
	}
}

// enqueue lets an entry wait when it can be expected to start in time.
func (c *Controller) enqueue(now clock.Instant, i int32, t *Ticket) Decision {
	e := &c.pool.entries[i]
	q := c.queues[e.class]
	full := c.queues[short].n+c.queues[long].n >= c.cfg.QueueSize ||
		q.n >= c.cfg.QueueSize*3/4 || q.flows[e.flow].n >= c.cfg.QueueSize/2
	wait := c.expectedWait(e)
	// The margin of one half keeps requests that wait and are then refused
	// below one of a hundred, because the estimate varies by a fifth.
	if !full && now.Add(wait*3/2).Before(e.startBy) {
		e.state = queued
		c.push(now, i)
		return Decision{Verdict: Queue, ID: c.pool.id(i)}
	}
	code := core.CodeOverloaded
	switch {
	case full:
		code = core.CodeQueueFull
	case t.Deadline != 0 && now.Add(wait+e.estimate).After(t.Deadline):
		code = core.CodeDeadlineNotRun
	}
	c.pool.release(i)
	return c.refuse(code, wait)
}

// expectedWait estimates when a new entry would start if it were queued.
func (c *Controller) expectedWait(e *entry) time.Duration {
	slots := c.shortCeiling() - c.running[long]
	if e.class == long {
		slots = c.longCeiling()
	}
	ahead := c.queues[e.class].ahead(e.flow) + 1
	return time.Duration(float64(ahead) * c.classify.mean[e.class] / float64(max(slots, 1)))
}

// Done implements Policy.
func (c *Controller) Done(now clock.Instant, id ID, r Result) []Start {
	c.starts = c.starts[:0]
	c.advance(now)
	i := c.pool.lookup(id)
	if i == none {
		return c.starts
	}
	switch c.pool.entries[i].state {
	case running:
		c.leaveSlot(now, i, r)
	case lingering:
		c.lingering--
	default:
		return c.starts
	}
	c.pool.release(i)
	c.dispatch(now)
	return c.starts
}

// Release frees the slot of a started exchange that the backend server has
// finished while its response still drains to a slow caller. The exchange
// holds a connection until Done.
func (c *Controller) Release(now clock.Instant, id ID) []Start {
	c.starts = c.starts[:0]
	c.advance(now)
	i := c.pool.lookup(id)
	if i == none || c.pool.entries[i].state != running {
		return c.starts
	}
	c.leaveSlot(now, i, OK)
	c.pool.entries[i].state = lingering
	c.lingering++
	c.dispatch(now)
	return c.starts
}

// Cancel implements Policy.
func (c *Controller) Cancel(now clock.Instant, id ID) []Start {
	i := c.pool.lookup(id)
	if i == none {
		return c.starts[:0]
	}
	switch e := &c.pool.entries[i]; e.state {
	case queued:
		c.queues[e.class].remove(c.pool, i)
	case parked:
		c.parked.remove(c.pool, i)
	default:
		return c.Done(now, id, Abandoned)
	}
	c.stats.Canceled++
	c.pool.release(i)
	return c.starts[:0]
}

// Expire implements Policy.
func (c *Controller) Expire(now clock.Instant) ([]Start, []Refusal) {
	c.starts, c.refused, c.scratch = c.starts[:0], c.refused[:0], c.scratch[:0]
	c.advance(now)
	for _, q := range c.queues {
		for _, f := range q.heap {
			for i := q.flows[f].queue.head; i != none; i = c.pool.entries[i].next {
				if c.pool.entries[i].startBy.Before(now) {
					c.scratch = append(c.scratch, i)
				}
			}
		}
	}
	for _, i := range c.scratch {
		c.park(i)
	}
	c.dispatch(now)
	c.refuseParked()
	return c.starts, c.refused
}

// Next implements Policy.
func (c *Controller) Next() time.Duration {
	switch {
	case c.queues[short].n > 0 || c.parked.head != none:
		return 2 * time.Millisecond
	case c.queues[long].n > 0:
		return 20 * time.Millisecond
	case c.running[short] > 0:
		return c.classify.threshold()
	default:
		return 0
	}
}

// Drain implements Policy.
func (c *Controller) Drain(now clock.Instant) []Refusal {
	c.refused, c.draining = c.refused[:0], true
	c.advance(now)
	c.refuseParked()
	for _, q := range c.queues {
		for i := q.peek(); i != none; i = q.peek() {
			q.remove(c.pool, i)
			c.drop(i, core.CodeDraining)
		}
	}
	return c.refused
}

// Undrain ends the effect of Drain.
func (c *Controller) Undrain() { c.draining = false }

// Resize takes new hard limits from the backend server's announcement, up to
// those in the Config. Running exchanges continue.
func (c *Controller) Resize(slots, connections int) {
	c.limit.resize(slots)
	c.cfg.Connections = min(connections, cap(c.starts))
}

// Warm limits the controller to a share of its limit, for a backend server
// that starts cold. One means no restriction; at least one slot remains.
func (c *Controller) Warm(share float64) { c.share = min(max(share, 0), 1) }

// Report passes on the backend server's load report. It is only a hint: it
// makes the controller react sooner to slow service times that it observes.
func (c *Controller) Report(now clock.Instant, busy bool) { c.limit.report(now, busy) }

// Stats implements Policy.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Limit, s.Reserve = c.limitNow(), c.reserve()
	s.RunningShort, s.RunningLong = c.running[short], c.running[long]
	s.QueuedShort, s.QueuedLong = c.queues[short].n, c.queues[long].n
	s.Lingering, s.Draining = c.lingering, c.draining
	s.MeanShort = time.Duration(c.classify.mean[short])
	s.MeanLong = time.Duration(c.classify.mean[long])
	s.Normal = time.Duration(c.limit.normal)
	return s
}

func (c *Controller) refuse(code core.Code, wait time.Duration) Decision {
	c.stats.Refused++
	c.refusals++
	return Decision{Verdict: Refuse, Code: code, RetryAfter: c.retryAfter(wait)}
}

// park takes a queued entry that waited too long out of its queue.
func (c *Controller) park(i int32) {
	e := &c.pool.entries[i]
	c.queues[e.class].remove(c.pool, i)
	e.state = parked
	c.parked.push(c.pool, i)
}

func (c *Controller) refuseParked() {
	for i := c.parked.head; i != none; i = c.parked.head {
		c.parked.remove(c.pool, i)
		c.stats.Expired++
		code := core.CodeOverloaded
		if e := &c.pool.entries[i]; e.deadline != 0 && e.startBy == e.deadline.Add(-e.estimate) {
			code = core.CodeDeadlineNotRun
		}
		c.drop(i, code)
	}
}

// drop refuses an entry that is in no queue.
func (c *Controller) drop(i int32, code core.Code) {
	c.refusals++
	c.refused = append(c.refused, Refusal{c.pool.id(i), c.pool.entries[i].ref, code, c.retryAfter(0)})
	c.pool.release(i)
}

// retryAfter spreads returning callers over a time that grows with the ratio
// of refused to admitted requests, so that their return does not repeat the
// peak. The jitter is uniform between half and one and a half of the mean.
func (c *Controller) retryAfter(wait time.Duration) time.Duration {
	pressure := min(c.refusals/(c.admits+1), 9)
	mean := wait + time.Duration(float64(200*time.Millisecond)*(1+pressure))
	return time.Duration(float64(mean) * (0.5 + c.random.Float64()))
}
