package admission

import (
	"math"
	"time"

	"marjoramshore.example/clock"
)

// demand is a moving average of the slots that one kind of work uses. It
// follows a rise within a second and a fall within ten seconds, so that a
// short pause does not give the slots to other work.
type demand struct {
	meanSlots   float64
	slotSeconds float64
	updatedAt   clock.Instant
	windowStart clock.Instant
}

// record adds the time since the last call, with n slots in demand.
func (d *demand) record(now clock.Instant, n int) {
	d.slotSeconds += float64(n) * now.Sub(d.updatedAt).Seconds()
	d.updatedAt = now
	age := now.Sub(d.windowStart).Seconds()
	if age < limitWindow.Seconds() {
		return
	}
	mean := d.slotSeconds / age
	gain := 1 - math.Exp(-age/10)
	if mean > d.meanSlots {
		gain = 1 - math.Exp(-age/0.3)
	}
	d.meanSlots += gain * (mean - d.meanSlots)
	d.slotSeconds, d.windowStart = 0, now
}

// neededSlots returns the number of slots to reserve. If a slots are busy on
// average, a + 1.5*sqrt(a) slots make about one request in ten wait, for a
// fraction of a service time.
func (d *demand) neededSlots() int { return int(math.Ceil(d.meanSlots + 1.5*math.Sqrt(d.meanSlots))) }

// reservedForKnownShort returns the number of slots that only work known to be
// short may use.
func (c *Controller) reservedForKnownShort() int { return max(2, c.knownShortDemand.neededSlots()) }

// reservedForShort returns the number of slots that long work may not use. It
// exceeds reservedForKnownShort, so that work on unknown paths can run beside
// long work.
func (c *Controller) reservedForShort() int {
	return max(c.shortDemand.neededSlots(), c.reservedForKnownShort()+1, c.currentLimit()/4)
}

// minLongSlots returns the number of slots that long work gets even if short
// work could use all slots.
func minLongSlots(slots int) int { return max(1, slots/8) }

// currentLimit returns the number of exchanges that may run at once.
func (c *Controller) currentLimit() int {
	return max(1, int(float64(c.limiter.limit())*c.warmupShare))
}

func (c *Controller) minLongSlots() int { return minLongSlots(int(c.limiter.max)) }

func (c *Controller) maxLongSlots() int {
	return max(c.currentLimit()-c.reservedForShort(), c.minLongSlots())
}

// hasSlotForPossiblyLong reports whether work that may turn out to be long may
// use one more slot. That is long work and work on paths that are unknown or
// sometimes run long. Some slots remain for work that is known to be short.
func (c *Controller) hasSlotForPossiblyLong() bool {
	return c.runningTentative+c.running[long] < max(c.currentLimit()-c.reservedForKnownShort(), c.minLongSlots())
}

// shortStartLimit returns the number of running exchanges below which short
// work may start. It exceeds the current limit if long work fills a limit that
// was lowered, because that work may run for minutes.
func (c *Controller) shortStartLimit() int {
	limit := c.currentLimit()
	minimum := c.running[long] + min(c.reservedForKnownShort(), max(1, limit/4))
	return min(max(limit, minimum), int(c.limiter.max))
}

// hasSlot reports whether one more exchange of a class may start.
func (c *Controller) hasSlot(k class) bool {
	runningTotal, limit := c.running[short]+c.running[long], c.currentLimit()
	if k == short {
		limit = c.shortStartLimit()
	}
	if runningTotal >= limit || runningTotal+c.flushing >= c.cfg.Connections {
		return false
	}
	return k == short || c.running[long] < c.maxLongSlots() && c.hasSlotForPossiblyLong()
}

// longStarved reports whether queued long work has waited so long that it must
// start before short work.
func (c *Controller) longStarved(now clock.Instant) bool {
	if c.queues[long].length == 0 || c.running[long] >= c.minLongSlots() {
		return false
	}
	return now.Sub(max(c.lastLongStart, c.longQueuedSince)) >= c.cfg.MaxLongStarvation
}

// dispatch starts queued entries while slots are free.
func (c *Controller) dispatch(now clock.Instant) {
	for {
		switch {
		case c.queues[long].length > 0 && c.hasSlot(long) && (c.queues[short].length == 0 || c.longStarved(now)):
			c.startNext(now, long)
		case c.queues[short].length > 0 && c.hasSlot(short):
			c.startNext(now, short)
		default:
			return
		}
	}
}

// startNext removes the next entry of a class from its queue. It starts the
// entry unless it has waited too long or, in the short queue, is now long.
func (c *Controller) startNext(now clock.Instant, k class) {
	q := c.queues[k]
	i := q.peek()
	e := &c.pool.entries[i]
	if e.startBy.Before(now) {
		// Expire refuses it. Running it would use a slot for a late response.
		c.markOverdue(i)
		return
	}
	if k == short && e.tentative && c.reclassifyQueued(e) {
		q.remove(c.pool, i)
		c.requeue(now, i)
		return
	}
	q.pop(c.pool)
	c.start(now, i)
	c.starts = append(c.starts, Start{c.pool.id(i), e.ref, e.knownShort()})
}

// reclassifyQueued predicts the class of a queued tentative entry again,
// because requests on its path may have run long in the meantime. It reports
// whether the entry is now long.
func (c *Controller) reclassifyQueued(e *entry) bool {
	c.classifier.predict(e)
	if e.tentative && !c.hasSlotForPossiblyLong() {
		e.class = long
	}
	return e.class == long
}

// start gives a slot to an entry that is in no queue.
func (c *Controller) start(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	e.state, e.startedAt = running, now
	c.running[e.class]++
	c.stats.Admitted++
	c.recentAdmits++
	if e.class == long {
		c.lastLongStart = now
	} else {
		c.shortByStart.pushBack(c.pool, i)
		if e.tentative {
			c.runningTentative++
		}
	}
	c.limiter.recordRunning(c.running[short] + c.running[long])
}

// finishRun frees the slot of a running entry and records its service time and
// result.
func (c *Controller) finishRun(now clock.Instant, i int32, r Result) {
	e := &c.pool.entries[i]
	d := now.Sub(e.startedAt)
	if e.class == short {
		c.untrackShort(i)
		if r == OK {
			c.limiter.observe(now, d)
		}
	}
	c.running[e.class]--
	c.limiter.recordResult(r)
	if r == OK {
		c.classifier.observe(e, d)
		if e.tentative {
			c.promoteToShort(now, e.pathHash)
		}
	}
	c.queues[e.class].correctCharge(e.flow, e.customerHash, d-e.serviceEstimate)
}

// promoteToShort moves the queued entries of a path that is now known to be
// short from the long queue, where they waited because the path was unknown,
// to the short queue. The queue is scanned only after the first completions of
// a path, once they show that it is short.
func (c *Controller) promoteToShort(now clock.Instant, pathHash uint64) {
	if !c.classifier.pathKnownShort(pathHash) {
		return
	}
	c.scratch = c.scratch[:0]
	for _, f := range c.queues[long].heap {
		waiting := &c.queues[long].flows[f].queue
		for i := waiting.head; i != none; i = c.pool.entries[i].next {
			if e := &c.pool.entries[i]; e.tentative && e.pathHash == pathHash {
				c.scratch = append(c.scratch, i)
			}
		}
	}
	for _, i := range c.scratch {
		e := &c.pool.entries[i]
		if c.classifier.predict(e); e.class == long || e.tentative {
			e.class = long
			continue
		}
		c.queues[long].remove(c.pool, i)
		c.requeue(now, i)
	}
}

// requeue puts an entry whose class has changed into the queue of its new
// class.
func (c *Controller) requeue(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	e.flow = c.queues[e.class].findOrAssign(e.customerHash, e.weight)
	c.setStartBy(now, e)
	c.push(now, i)
}

func (c *Controller) push(now clock.Instant, i int32) {
	e := &c.pool.entries[i]
	if e.class == long && c.queues[long].length == 0 {
		c.longQueuedSince = now
	}
	c.queues[e.class].push(c.pool, i)
}

// untrackShort removes a running short entry from shortByStart.
func (c *Controller) untrackShort(i int32) {
	c.shortByStart.remove(c.pool, i)
	if c.pool.entries[i].tentative {
		c.runningTentative--
	}
}

// advance updates all state that depends on the passage of time.
func (c *Controller) advance(now clock.Instant) {
	c.shortDemand.record(now, min(c.running[short]+c.queues[short].length, c.currentLimit()))
	c.knownShortDemand.record(now, c.running[short]-c.runningTentative)
	c.limiter.advanceWindow(now)
	c.reclassifyRunning(now)
	if now.Sub(c.decayedAt) >= time.Second {
		c.recentRefusals, c.recentAdmits, c.decayedAt = c.recentRefusals/2, c.recentAdmits/2, now
	}
}

// reclassifyRunning makes short exchanges that exceed the threshold long. Their
// age is recorded as an observation, so that the next request with the same
// path and key is long from the start.
func (c *Controller) reclassifyRunning(now clock.Instant) {
	for i := c.shortByStart.head; i != none; i = c.shortByStart.head {
		e := &c.pool.entries[i]
		age := now.Sub(e.startedAt)
		if age <= c.classifier.longThreshold() {
			return
		}
		c.untrackShort(i)
		c.classifier.observe(e, age)
		c.queues[short].correctCharge(e.flow, e.customerHash, age-e.serviceEstimate)
		c.running[short]--
		c.running[long]++
		c.stats.Reclassified++
		e.class, e.serviceEstimate = long, age
		e.flow = c.queues[long].findOrAssign(e.customerHash, e.weight)
	}
}
