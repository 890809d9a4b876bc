package admission

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

// demand follows the number of slots that a kind of work needs. It follows a
// rise within a second and a fall within ten, so that a short lull does not
// give the slots away.
type demand struct {
	load  float64
	area  float64
	at    clock.Instant
	since clock.Instant
}

// note accounts for n exchanges since the last call.
func (d *demand) note(now clock.Instant, n int) {
	d.area += float64(n) * now.Sub(d.at).Seconds()
	d.at = now
	age := now.Sub(d.since).Seconds()
	if age < limitWindow.Seconds() {
		return
	}
	mean := d.area / age
	gain := 1 - math.Exp(-age/10)
	if mean > d.load {
		gain = 1 - math.Exp(-age/0.3)
	}
	d.load += gain * (mean - d.load)
	d.area, d.since = 0, now
}

// slots is the number of slots to keep. With a mean of a busy slots,
// a + 1.5*sqrt(a) let about one of ten requests wait, for a fraction of a
// service time.
func (d *demand) slots() int { return int(math.Ceil(d.load + 1.5*math.Sqrt(d.load))) }

// kept is the number of slots that only work known to be short may use.
func (c *Controller) kept() int { return max(2, c.proven.slots()) }

// reserve is the number of slots that long work may not use. It exceeds kept,
// so that work on unknown paths runs beside long work.
func (c *Controller) reserve() int {
	return max(c.shorts.slots(), c.kept()+1, c.limitNow()/4)
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
	return max(c.limitNow()-c.reserve(), c.longFloor())
}

// untried reports whether work that may turn out to be long, which is long
// work and work on paths that are unknown or sometimes run long, may use one
// more slot. Some slots remain for work that is known to be short.
func (c *Controller) untried() bool {
	return c.unproven+c.running[long] < max(c.limitNow()-c.kept(), c.longFloor())
}

// shortCeiling is the number of exchanges up to which short work may start. It
// exceeds the limit when long work fills a limit that was lowered, because
// that work may run for minutes.
func (c *Controller) shortCeiling() int {
	limit := c.limitNow()
	least := c.running[long] + min(c.kept(), max(1, limit/4))
	return min(max(limit, least), int(c.limit.max))
}

// hasSlot reports whether one more exchange of a class may start.
func (c *Controller) hasSlot(k class) bool {
	total, limit := c.running[short]+c.running[long], c.limitNow()
	if k == short {
		limit = c.shortCeiling()
	}
	if total >= limit || total+c.lingering >= c.cfg.Connections {
		return false
	}
	return k == short || c.running[long] < c.longCeiling() && c.untried()
}

// starved reports whether queued long work must start before short work.
func (c *Controller) starved(now clock.Instant) bool {
	if c.queues[long].n == 0 || c.running[long] >= c.longFloor() {
		return false
	}
	return now.Sub(max(c.lastLong, c.longSince)) >= c.cfg.StarveAfter
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
	if k == short && e.unproven && c.nowLong(e) {
		q.remove(c.pool, i)
		c.requeue(now, i)
		return
	}
	q.pop(c.pool)
	c.start(now, i)
	c.starts = append(c.starts, Start{c.pool.id(i), e.ref, e.knownShort()})
}

// nowLong decides again about a waiting entry that was not known to be short,
// because its path may have run long since.
func (c *Controller) nowLong(e *entry) bool {
	c.classify.predict(e)
	if e.unproven && !c.untried() {
		e.class = long
	}
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
			c.limit.observe(now, d)
		}
	}
	c.running[e.class]--
	c.limit.result(r)
	if r == OK {
		c.classify.observe(e, d)
		if e.unproven {
			c.promote(now, e.path)
		}
	}
	c.queues[e.class].adjust(e.flow, e.customer, d-e.estimate)
}

// promote moves entries that waited as long work, because their path was not
// known, to the short queue. It scans the queue only after the first
// completions of a path, when the path has become known to be short.
func (c *Controller) promote(now clock.Instant, path uint64) {
	if !c.classify.trusted(path) {
		return
	}
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
		if c.classify.predict(e); e.class == long || e.unproven {
			e.class = long
			continue
		}
		c.queues[long].remove(c.pool, i)
		c.requeue(now, i)
	}
}

// requeue puts an entry whose class has changed into the queue of that class.
func (c *Controller) requeue(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	e.flow = c.queues[e.class].find(e.customer, e.weight)
	c.bound(now, e)
	c.push(now, i)
}

func (c *Controller) push(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	if e.class == long && c.queues[long].n == 0 {
		c.longSince = now
	}
	c.queues[e.class].push(c.pool, i)
}

func (c *Controller) leaveYoung(i int32) {
	c.young.remove(c.pool, i)
	if c.pool.entries[i].unproven {
		c.unproven--
	}
}

// advance brings everything that depends on time up to now.
func (c *Controller) advance(now clock.Instant) {
	c.shorts.note(now, min(c.running[short]+c.queues[short].n, c.limitNow()))
	c.proven.note(now, c.running[short]-c.unproven)
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
