package admission

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

// reserve sizes the part of the limit that long work may not use from the
// number of slots that short work needs. It follows a rise within a second and
// a fall within ten, so that a short lull does not give the slots away.
type reserve struct {
	slots int
	load  float64
	area  float64
	at    clock.Instant
	since clock.Instant
}

func newReserve(slots int) *reserve { return &reserve{slots: max(2, slots/4)} }

// note accounts for demand short exchanges, running or queued, since the last
// call.
func (r *reserve) note(now clock.Instant, demand, limit int) {
	r.area += float64(min(demand, limit)) * now.Sub(r.at).Seconds()
	r.at = now
	age := now.Sub(r.since)
	if age < limitWindow {
		return
	}
	mean := r.area / age.Seconds()
	gain := 1 - math.Exp(-age.Seconds()/10)
	if mean > r.load {
		gain = 1 - math.Exp(-age.Seconds()/0.3)
	}
	r.load += gain * (mean - r.load)
	r.area, r.since = 0, now
	// With a mean of a busy slots, a + 1.5*sqrt(a) slots let about one of ten
	// short requests wait, for a fraction of a service time.
	want := int(math.Ceil(r.load + 1.5*math.Sqrt(r.load)))
	r.slots = max(want, 2, limit/4)
}

// longFloor is the number of slots that long work gets even when short work
// could use them all.
func longFloor(slots int) int { return max(1, slots/8) }

// limitNow is the number of exchanges that may run.
func (c *Controller) limitNow() int {
	return max(1, int(float64(c.limit.limit())*c.share))
}

func (c *Controller) longFloor() int { return longFloor(int(c.limit.max)) }

func (c *Controller) longCeiling() int {
	return max(c.limitNow()-c.reserve.slots, c.longFloor())
}

// untried reports whether work that may turn out to be long, which is long
// work and work on paths without history, may use one more slot. Some slots
// remain for work that is known to be short.
func (c *Controller) untried() bool {
	kept := max(1, min(c.reserve.slots, c.limitNow()/4)/2)
	return c.unproven+c.running[long] < max(c.limitNow()-kept, c.longFloor())
}

// hasSlot reports whether one more exchange of a class may start.
func (c *Controller) hasSlot(k class) bool {
	total := c.running[short] + c.running[long]
	if total >= c.limitNow() || total+c.lingering >= c.cfg.Connections {
		return false
	}
	return k == short || c.running[long] < c.longCeiling() && c.untried()
}

// starved reports whether queued long work must start before short work.
func (c *Controller) starved(now clock.Instant) bool {
	head := c.queues[long].peek()
	if head == none || c.running[long] >= c.longFloor() {
		return false
	}
	since := max(c.lastLong, c.pool.entries[head].queuedAt)
	return now.Sub(since) >= c.cfg.StarveAfter
}

// dispatch starts queued entries while slots are free.
func (c *Controller) dispatch(now clock.Instant) {
	for {
		switch {
		case c.queues[long].n > 0 && c.hasSlot(long) && (c.queues[short].n == 0 || c.starved(now)):
			c.startHead(now, long)
		case c.queues[short].n > 0 && c.hasSlot(short):
			c.startHead(now, short)
		default:
			return
		}
	}
}

// startHead starts the next entry of a class unless it has waited too long or
// is now known to be long.
func (c *Controller) startHead(now clock.Instant, k class) {
	q := c.queues[k]
	i := q.peek()
	e := &c.pool.entries[i]
	if e.startBy.Before(now) {
		// Expire refuses it. Serving it would spend a slot on a late answer.
		c.park(i)
		return
	}
	if k == short && c.nowLong(e) {
		q.remove(c.pool, i)
		c.requeue(now, i)
		return
	}
	q.pop(c.pool)
	c.start(now, i)
	c.starts = append(c.starts, Start{c.pool.id(i), e.ref})
}

// nowLong predicts a waiting short entry again, because a path that was
// unknown when it was offered may have run long since.
func (c *Controller) nowLong(e *entry) bool {
	if !e.unproven {
		return false
	}
	c.classify.predict(e)
	return e.class == long
}

func (c *Controller) start(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	e.state, e.startedAt = running, now
	c.running[e.class]++
	c.stats.Admitted++
	c.admits++
	if e.class == long {
		c.lastLong = now
	} else {
		c.young.push(c.pool, i)
		if e.unproven {
			c.unproven++
		}
	}
	c.limit.use(c.running[short] + c.running[long])
}

// leaveSlot takes a running entry off its slot and learns from it.
func (c *Controller) leaveSlot(now clock.Instant, i int32, r Result) {
	e := &c.pool.entries[i]
	d := now.Sub(e.startedAt)
	if e.class == short {
		c.leaveYoung(i)
		if r == OK {
			c.limit.observe(d)
		}
	}
	c.running[e.class]--
	c.limit.result(r)
	if r == OK {
		c.classify.observe(e, d)
		if e.unproven && e.class == short {
			c.promote(now, e.path)
		}
	}
	c.queues[e.class].adjust(e.flow, e.customer, d-e.estimate)
}

// promote moves entries that waited as long work, because their path was not
// known, to the short queue. It runs only when a path without history has its
// first completions.
func (c *Controller) promote(now clock.Instant, path uint64) {
	c.scratch = c.scratch[:0]
	for _, f := range c.queues[long].heap {
		q := &c.queues[long].flows[f].queue
		for i := q.head; i != none; i = c.pool.entries[i].next {
			if e := &c.pool.entries[i]; e.unproven && e.path == path {
				c.scratch = append(c.scratch, i)
			}
		}
	}
	for _, i := range c.scratch {
		e := &c.pool.entries[i]
		if c.classify.predict(e); e.class == short {
			c.queues[long].remove(c.pool, i)
			c.requeue(now, i)
		}
	}
}

// requeue puts an entry whose class has changed into the queue of that class.
func (c *Controller) requeue(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	q := c.queues[e.class]
	e.flow = q.find(e.customer, e.weight)
	c.bound(now, e)
	q.push(c.pool, i)
}

func (c *Controller) leaveYoung(i int32) {
	c.young.remove(c.pool, i)
	if c.pool.entries[i].unproven {
		c.unproven--
	}
}

// advance brings everything that depends on time up to now.
func (c *Controller) advance(now clock.Instant) {
	c.reserve.note(now, c.running[short]+c.queues[short].n, c.limitNow())
	c.limit.roll(now)
	c.reclassify(now)
	if now.Sub(c.countedAt) >= time.Second {
		c.refusals, c.admits, c.countedAt = c.refusals/2, c.admits/2, now
	}
}

// reclassify counts short exchanges that have run long as long from now on.
// Their age is also an observation, so that the next request of the same path
// and key is long from the start.
func (c *Controller) reclassify(now clock.Instant) {
	for i := c.young.head; i != none; i = c.young.head {
		e := &c.pool.entries[i]
		age := now.Sub(e.startedAt)
		if age <= c.classify.threshold() {
			return
		}
		c.leaveYoung(i)
		c.classify.observe(e, age)
		c.queues[short].adjust(e.flow, e.customer, age-e.estimate)
		c.running[short]--
		c.running[long]++
		c.stats.Reclassified++
		e.class, e.estimate = long, age
		e.flow = c.queues[long].find(e.customer, e.weight)
	}
}
