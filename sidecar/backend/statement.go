package backend

import (
	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/shards"
)

// namedLimit is the limit in force of the present run.
type namedLimit struct {
	perSecond float64 // 0 for none
	// heard is set once the run has answered a request of this process.
	heard bool
	// namedAt is the instant of the last answer that named a limit.
	namedAt clock.Instant
}

// applyStatement takes in what an answer says of the present run. Answers may
// arrive in another order than they were made: one without a limit lifts the limit
// only if its request was started after the last answer that named one.
func (st *state) applyStatement(r *slotRequest) {
	s := r.statement
	if s == nil || r.instance != st.run.Holder.Instance {
		return
	}
	if s.Leaving && !st.run.Leaving {
		st.beginDrain("it says so in its answers")
		st.recordDeparture()
	}
	if s.Malformed {
		return
	}
	st.limit.heard = true
	switch {
	case s.RateLimit > 0:
		st.limit.namedAt = st.now()
		st.setRateLimit(s.RateLimit)
	case st.limit.perSecond > 0 && r.ticket.StartedAt().After(st.limit.namedAt):
		st.setRateLimit(0)
	}
}

// adoptLimit takes over the limit that another node knows of, until the run has
// answered a request of this process: a process that starts beside a run in need
// knows of no limit, and the other nodes keep sending.
func (st *state) adoptLimit(r *slotRequest) {
	if r.rateLimit > 0 && !st.limit.heard && st.limit.perSecond == 0 && r.instance == st.run.Holder.Instance {
		st.limit.namedAt = st.now()
		st.setRateLimit(r.rateLimit)
	}
}

// setRateLimit bounds the requests that the present run gets in a second. 0 lifts
// the limit.
func (st *state) setRateLimit(perSecond float64) {
	if perSecond == st.limit.perSecond {
		return
	}
	st.cfg.Log.WithFields(log.Fields{
		"instance": st.run.Holder.Instance, "limit": perSecond, "former": st.limit.perSecond, "waiting": st.queue.Stats().Waiting,
	}).Info("limit of requests a second that the backend server names changed; 0 is none")
	st.limit.perSecond = perSecond
	st.applyRate()
}

// forgetLimit lifts the limit because another run begins.
func (st *state) forgetLimit() {
	if st.run.Holder != shards.NoHolder {
		st.setRateLimit(0)
	}
	st.limit = namedLimit{}
}
