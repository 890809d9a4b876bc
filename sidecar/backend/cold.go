package backend

import (
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/slotqueue"
)

const (
	// coldClockFactor and coldMargin lengthen the time for which a run says that it
	// stays cold. Its clock may be 2% slow, and the report was on its way.
	coldClockFactor = 1.02
	coldMargin      = 150 * time.Millisecond
	// unknownColdness is how long a run counts as cold that may have become cold
	// unnoticed, unless a report tells before.
	unknownColdness = time.Minute
	// reportTravel bounds how long a report is on its way. One that arrives sooner
	// after the run may have become cold can be from before that.
	reportTravel = 400 * time.Millisecond
)

// coldness is what is known of whether the present run is cold.
type coldness struct {
	until clock.Instant // 0 if the run is not cold
	// provenFrom is the instant from which a report proves that the run is warm.
	provenFrom clock.Instant
	// bound is that of the configuration in force, once it is known.
	bound      slotqueue.ColdBound
	boundKnown bool
}

// limited reports whether the run is cold and gets a bounded number of requests.
func (c *coldness) limited() bool { return c.until != 0 && c.bound.Limited() }

// countSend counts a request that is about to be sent. It refuses the request if the
// run is cold and has got what it may within the last second.
func (p *Proxy) countSend(now clock.Instant) *core.Error {
	for {
		sent := p.sent.Load()
		if sent == nil {
			return nil // the service has no bound
		}
		if now.Before(clock.Instant(p.coldUntil.Load())) && now.Before(sent.FreeAt()) {
			return &core.Error{
				Code: core.CodeOverloaded, Detail: "the backend server is cold and has got the requests that it may get within a second",
				RetryAfter: sent.FreeAt().Sub(now),
			}
		}
		if p.sent.CompareAndSwap(sent, sent.Add(now)) {
			return nil
		}
	}
}

// Cold reports whether the present run is cold and gets fewer requests than its slots
// can take.
func (p *Proxy) Cold() bool {
	return p.cfg.Clock.Now().Before(clock.Instant(p.coldUntil.Load()))
}

// followColdBound takes over the bound of the configuration in force. The first log of
// a process counts as full.
func (st *state) followColdBound() {
	former := st.cold
	if st.cfg.ColdBound != nil {
		st.cold.bound, st.cold.boundKnown = st.cfg.ColdBound()
	} else {
		st.cold.boundKnown = true
	}
	sent := st.sent.Load()
	switch {
	case !st.cold.bound.Limited():
		st.sent.Store(nil)
	case sent == nil:
		st.sent.Store(slotqueue.NewSendLog(st.now(), st.cold.bound))
	default:
		// A request that is counted at the same time goes on with the former bound.
		st.sent.CompareAndSwap(sent, sent.WithBound(st.cold.bound))
	}
	if st.cold.until != 0 && st.cold.bound != former.bound {
		st.applyRate()
	}
	if st.cold.boundKnown && !former.boundKnown {
		st.reopenRun()
	}
}

// forgetSent begins the log anew for another run, which has got no request yet.
func (st *state) forgetSent() {
	if st.cold.bound.Limited() {
		st.sent.Store((&slotqueue.SendLog{}).WithBound(st.cold.bound))
	}
}

// noteCold takes in how long the run stays cold, as its newest report says.
func (st *state) noteCold(remaining time.Duration) {
	until := clock.Instant(0)
	if remaining > 0 {
		until = st.now().Add(time.Duration(float64(remaining)*coldClockFactor) + coldMargin)
	} else if st.now().Before(st.cold.provenFrom) {
		return // the report may be from before the run became cold
	}
	st.cold.provenFrom = 0
	st.setCold(until)
}

// suspectCold treats the run as cold until a report says otherwise.
func (st *state) suspectCold() {
	st.cold.provenFrom = st.now().Add(reportTravel)
	st.setCold(st.now().Add(unknownColdness))
}

// setCold sets until when the run is cold, and the rate of its requests.
func (st *state) setCold(until clock.Instant) {
	wasCold, isCold := st.cold.until != 0, until != 0
	st.cold.until = until
	st.coldUntil.Store(int64(until))
	if wasCold == isCold {
		return
	}
	st.applyRate()
	if bound := st.cold.bound; bound.Limited() {
		st.cfg.Log.WithFields(log.Fields{
			"instance": st.run.Holder.Instance, "cold": isCold, "cold_ms": max(0, until.Sub(st.now())).Milliseconds(),
			"rate": bound.Pace().PerSecond, "waiting": st.queue.Stats().Waiting,
		}).Info("backend server became cold or warm; a cold one gets a bounded number of requests a second")
	}
}

// checkCold ends the coldness of the run when its time is over.
func (st *state) checkCold() {
	st.followColdBound()
	if st.cold.until != 0 && !st.now().Before(st.cold.until) {
		st.setCold(0)
	}
}

// applyRate sets the rate at which waiting requests start: the limit that the run
// names, and while it is cold the pace of its bound.
func (st *state) applyRate() {
	rate := slotqueue.Rate{PerSecond: st.limit.perSecond}
	if !st.cold.limited() {
		st.queue.SetRate(st.now(), rate)
		return
	}
	if pace := st.cold.bound.Pace(); rate.PerSecond == 0 || pace.PerSecond < rate.PerSecond {
		rate = pace
	}
	from := st.now()
	if sent := st.sent.Load(); sent != nil {
		from = max(from, sent.FreeAt())
	}
	st.queue.SetRate(st.now(), slotqueue.Rate{}) // permits of the warm run do not count
	st.queue.SetRate(from, rate)
}

// assignableSlots returns the slots by which keys are assigned to the run. A cold one
// gets keys for the work that it may do.
func (st *state) assignableSlots() int {
	if !st.cold.limited() {
		return st.run.Slots
	}
	busy := st.cold.bound.Pace().PerSecond * st.queue.Stats().MeanServiceTime.Seconds()
	return max(1, min(st.run.Slots, int(busy+0.5)))
}
