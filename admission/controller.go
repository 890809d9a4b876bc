package admission

import (
	"math/rand/v2"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Controller is the admission policy for one backend server of one service.
// Only one goroutine may use it.
type Controller struct {
	cfg        Config
	pool       *pool
	queues     [classCount]*fairQueue
	classifier *classifier
	limiter    *limiter
	// shortDemand counts all short work, knownShortDemand only work on paths
	// that are known to be short.
	shortDemand, knownShortDemand demand
	random                        *rand.Rand
	// warmupShare, between 0 and 1, scales the limit while the backend server
	// warms up.
	warmupShare float64

	running          [classCount]int
	runningTentative int
	flushing         int
	// shortByStart lists running short exchanges in order of their start, so
	// that reclassifyRunning finds the oldest first.
	shortByStart    entryList
	overdue         entryList
	lastLongStart   clock.Instant
	longQueuedSince clock.Instant // when the queue of long work last became non-empty
	draining        bool
	stats           Stats
	recentRefusals  float64 // halved each second, as is recentAdmits; see retryAfter
	recentAdmits    float64
	decayedAt       clock.Instant

	starts   []Start
	refusals []Refusal
	scratch  []int32
}

var _ Policy = (*Controller)(nil)

// New returns a Controller. It allocates all memory that the Controller uses.
func New(c Config) *Controller {
	c = c.withDefaults()
	size := c.QueueSize + c.Connections
	return &Controller{
		cfg:          c,
		pool:         newPool(size),
		queues:       [classCount]*fairQueue{newFairQueue(mix64(c.Seed+1), c.QueueSize), newFairQueue(mix64(c.Seed+2), c.QueueSize)},
		classifier:   newClassifier(c),
		limiter:      newLimiter(c.Slots),
		random:       rand.New(rand.NewPCG(c.Seed, 0x6d61726a)),
		warmupShare:  1,
		shortByStart: entryList{none, none},
		overdue:      entryList{none, none},
		starts:       make([]Start, 0, c.Connections),
		refusals:     make([]Refusal, 0, size),
		scratch:      make([]int32, 0, size),
	}
}

// Offer implements Policy.
func (c *Controller) Offer(now clock.Instant, t Ticket) Decision {
	c.advance(now)
	if c.draining {
		return c.refuse(core.CodeDraining, 0)
	}
	i := c.pool.acquire()
	if i == none {
		return c.refuse(core.CodeQueueFull, c.cfg.MaxShortWait)
	}
	e := &c.pool.entries[i]
	c.initEntry(now, e, &t)
	if t.Deadline != 0 && now.Add(e.serviceEstimate).After(t.Deadline) {
		c.pool.release(i)
		return c.refuse(core.CodeDeadlineNotRun, 0)
	}
	q := c.queues[e.class]
	if q.length == 0 && c.hasSlot(e.class) {
		q.charge(e.flow, e.serviceEstimate)
		c.start(now, i)
		return Decision{Verdict: Admit, ID: c.pool.id(i), KnownShort: e.knownShort()}
	}
	return c.enqueueOrRefuse(now, i, &t)
}

// initEntry initializes a newly acquired entry from its ticket.
func (c *Controller) initEntry(now clock.Instant, e *entry, t *Ticket) {
	c.classifier.classify(e, t)
	if e.tentative && !c.hasSlotForPossiblyLong() {
		// It waits with the long work until the first completion on its path
		// shows that it is short. See promoteToShort.
		e.class = long
	}
	e.ref, e.weight = t.Ref, t.Weight
	e.customerHash = uint64(core.HashKey(string(t.Customer)))
	e.flow = c.queues[e.class].findOrAssign(e.customerHash, t.Weight)
	e.deadline = t.Deadline
	c.setStartBy(now, e)
}

// setStartBy sets the latest time at which an entry may start, from the wait
// limit of its class and its deadline.
func (c *Controller) setStartBy(now clock.Instant, e *entry) {
	wait := c.cfg.MaxShortWait
	if e.class == long {
		wait = c.cfg.MaxLongWait
	}
	e.startBy = now.Add(wait)
	if e.deadline != 0 {
		e.startBy = min(e.startBy, e.deadline.Add(-e.serviceEstimate))
	}
}

// enqueueOrRefuse queues an entry that is expected to start in time and
// refuses it otherwise.
func (c *Controller) enqueueOrRefuse(now clock.Instant, i int32, t *Ticket) Decision {
	e := &c.pool.entries[i]
	q := c.queues[e.class]
	full := c.queues[short].length+c.queues[long].length >= c.cfg.QueueSize ||
		q.length >= c.cfg.QueueSize*3/4 || q.flows[e.flow].length >= c.cfg.QueueSize/2
	wait := c.expectedWait(e)
	// The estimated wait varies by a fifth. A margin of one half keeps the
	// requests that wait and are refused afterwards below 1%.
	if !full && now.Add(wait*3/2).Before(e.startBy) {
		e.state = queued
		c.push(now, i)
		return Decision{Verdict: Queue, ID: c.pool.id(i)}
	}
	code := core.CodeOverloaded
	switch {
	case full:
		code = core.CodeQueueFull
	case t.Deadline != 0 && now.Add(wait+e.serviceEstimate).After(t.Deadline):
		code = core.CodeDeadlineNotRun
	}
	c.pool.release(i)
	return c.refuse(code, wait)
}

// expectedWait estimates how long a new entry would wait if it were queued.
func (c *Controller) expectedWait(e *entry) time.Duration {
	slots := c.shortStartLimit() - c.running[long]
	if e.class == long {
		slots = c.maxLongSlots()
	}
	ahead := c.queues[e.class].estimateAhead(e.flow) + 1
	return time.Duration(float64(ahead) * c.classifier.meanNanos[e.class] / float64(max(slots, 1)))
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
		c.finishRun(now, i, r)
	case flushing:
		c.flushing--
	default:
		return c.starts
	}
	c.pool.release(i)
	c.dispatch(now)
	return c.starts
}

// ReleaseSlot frees the slot of a started exchange that the backend server has
// finished but whose response is still being sent to a slow caller. The
// exchange holds a connection until Done. It returns the queued requests that
// start in its place.
func (c *Controller) ReleaseSlot(now clock.Instant, id ID) []Start {
	c.starts = c.starts[:0]
	c.advance(now)
	i := c.pool.lookup(id)
	if i == none || c.pool.entries[i].state != running {
		return c.starts
	}
	c.finishRun(now, i, OK)
	c.pool.entries[i].state = flushing
	c.flushing++
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
	case overdue:
		c.overdue.remove(c.pool, i)
	default:
		return c.Done(now, id, Abandoned)
	}
	c.stats.Canceled++
	c.pool.release(i)
	return c.starts[:0]
}

// Expire implements Policy.
func (c *Controller) Expire(now clock.Instant) ([]Start, []Refusal) {
	c.starts, c.refusals, c.scratch = c.starts[:0], c.refusals[:0], c.scratch[:0]
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
		c.markOverdue(i)
	}
	c.dispatch(now)
	c.refuseOverdue()
	return c.starts, c.refusals
}

// ExpireInterval implements Policy.
func (c *Controller) ExpireInterval() time.Duration {
	switch {
	case c.queues[short].length > 0 || c.overdue.head != none:
		return 2 * time.Millisecond
	case c.queues[long].length > 0:
		return 20 * time.Millisecond
	case c.running[short] > 0:
		return c.classifier.longThreshold()
	default:
		return 0
	}
}

// Drain implements Policy.
func (c *Controller) Drain(now clock.Instant) []Refusal {
	c.refusals, c.draining = c.refusals[:0], true
	c.advance(now)
	c.refuseOverdue()
	for _, q := range c.queues {
		for i := q.peek(); i != none; i = q.peek() {
			q.remove(c.pool, i)
			c.refuseEntry(i, core.CodeDraining)
		}
	}
	return c.refusals
}

// Undrain makes the controller accept requests again after Drain.
func (c *Controller) Undrain() { c.draining = false }

// Resize applies the hard limits that the backend server announced. Connections
// are capped at the value in Config. Running exchanges continue.
func (c *Controller) Resize(slots, connections int) {
	c.limiter.setMax(slots)
	c.cfg.Connections = min(connections, cap(c.starts))
}

// SetWarmupShare restricts a backend server that starts cold to a share of the
// limit, between 0 and 1. One means no restriction; at least one slot remains.
func (c *Controller) SetWarmupShare(share float64) { c.warmupShare = min(max(share, 0), 1) }

// ReportLoad takes the backend server's load report as a hint. It makes the
// controller react sooner to slow service times that it observes itself.
func (c *Controller) ReportLoad(now clock.Instant, busy bool) { c.limiter.reportLoad(now, busy) }

// Stats implements Policy.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Limit, s.ReservedForShort = c.currentLimit(), c.reservedForShort()
	s.RunningShort, s.RunningLong = c.running[short], c.running[long]
	s.QueuedShort, s.QueuedLong = c.queues[short].length, c.queues[long].length
	s.Flushing, s.Draining = c.flushing, c.draining
	s.ServiceTimeShort = time.Duration(c.classifier.meanNanos[short])
	s.ServiceTimeLong = time.Duration(c.classifier.meanNanos[long])
	s.ReferenceServiceTime = time.Duration(c.limiter.referenceMean)
	return s
}

func (c *Controller) refuse(code core.Code, wait time.Duration) Decision {
	c.stats.Refused++
	c.recentRefusals++
	return Decision{Verdict: Refuse, Code: code, RetryAfter: c.retryAfter(wait)}
}

// markOverdue removes an entry that waited too long from its queue. The next
// Expire or Drain refuses it.
func (c *Controller) markOverdue(i int32) {
	e := &c.pool.entries[i]
	c.queues[e.class].remove(c.pool, i)
	e.state = overdue
	c.overdue.pushBack(c.pool, i)
}

func (c *Controller) refuseOverdue() {
	for i := c.overdue.head; i != none; i = c.overdue.head {
		c.overdue.remove(c.pool, i)
		c.stats.Expired++
		code := core.CodeOverloaded
		if e := &c.pool.entries[i]; e.deadline != 0 && e.startBy == e.deadline.Add(-e.serviceEstimate) {
			code = core.CodeDeadlineNotRun
		}
		c.refuseEntry(i, code)
	}
}

// refuseEntry refuses and releases an entry that is in no queue.
func (c *Controller) refuseEntry(i int32, code core.Code) {
	c.recentRefusals++
	c.refusals = append(c.refusals, Refusal{c.pool.id(i), c.pool.entries[i].ref, code, c.retryAfter(0)})
	c.pool.release(i)
}

// retryAfter returns the delay after which a refused caller may retry. It grows
// with the ratio of refused to admitted requests and has a jitter of half its
// mean in both directions, so that retries do not repeat the load peak.
func (c *Controller) retryAfter(wait time.Duration) time.Duration {
	pressure := min(c.recentRefusals/(c.recentAdmits+1), 9)
	mean := wait + time.Duration(float64(200*time.Millisecond)*(1+pressure))
	return time.Duration(float64(mean) * (0.5 + c.random.Float64()))
}
