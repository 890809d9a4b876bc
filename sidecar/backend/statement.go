package backend

import (
	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/platform"
	"marjoramshore.example/shards"
)

// statement is what an answer of the backend server says about the server itself.
// It is about the moment at which the answer was made.
type statement struct {
	// made is false if there was no answer.
	made bool
	// rateLimit is the number of requests that the backend server takes in a
	// second, or 0 if it names no limit.
	rateLimit float64
	// malformed is set if the answer names a limit that is no positive number.
	malformed bool
}

// readStatement returns the statement of an answer.
func readStatement(resp *core.Response) statement {
	s := statement{made: true}
	var ok bool
	s.rateLimit, ok = platform.ParseRateLimit(resp)
	s.malformed = !ok
	return s
}

// namedLimit is the limit in force of the present run.
type namedLimit struct {
	perSecond float64 // 0 for none
	// namedAt is the instant of the last answer that named a limit.
	namedAt clock.Instant
}

// applyStatement takes in what an answer says of the present run. Answers may
// arrive in another order than they were made: one without a limit lifts the limit
// only if its request was started after the last answer that named one.
func (st *state) applyStatement(r *slotRequest) {
	s := r.statement
	if !s.made || s.malformed || r.instance != st.run.Holder.Instance {
		return
	}
	switch {
	case s.rateLimit > 0:
		st.limit.namedAt = st.now()
		st.setRateLimit(s.rateLimit)
	case st.limit.perSecond > 0 && r.ticket.StartedAt().After(st.limit.namedAt):
		st.setRateLimit(0)
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
	st.queue.SetRate(st.now(), perSecond)
}

// forgetLimit lifts the limit because another run begins.
func (st *state) forgetLimit() {
	if st.run.Holder != shards.NoHolder {
		st.setRateLimit(0)
	}
	st.limit = namedLimit{}
}
