package health

import (
	"time"

	"marjoramshore.example/clock"
)

// State is the state of a backend server.
type State uint8

// States.
const (
	// Warming takes a growing share of its work after a start or a return.
	Warming State = iota + 1
	// Serving takes all of its work.
	Serving
	// Suspect shows signs of a fault and takes half of its work.
	Suspect
	// Ejected takes no work.
	Ejected
)

var stateNames = [...]string{"", "warming", "serving", "suspect", "ejected"}

// String returns the name used in events and logs.
func (s State) String() string { return stateNames[s] }

// Reason is the cause of the current state.
type Reason uint8

// Reasons. Refusing and Frozen are hard: the backend server answers nothing,
// so keeping it would save no capacity, and the cap on ejections does not
// apply to them.
const (
	None Reason = iota
	Starting
	Refusing
	Frozen
	Failing
	Slow
	ProbesFail
)

var reasonNames = [...]string{"none", "starting", "refusing", "frozen", "failing", "slow", "probes-fail"}

// String returns the name used in events and logs.
func (r Reason) String() string { return reasonNames[r] }

// Unresponsive reports whether the backend server answers nothing.
func (r Reason) Unresponsive() bool { return r == Refusing || r == Frozen }

// Result is the end of one real request.
type Result uint8

// Results.
const (
	// OK is a complete answer, whatever its status says about the request.
	OK Result = iota
	// Failed is a reset, a broken answer or a timeout.
	Failed
	// Refused is a refused connection.
	Refused
	// Abandoned is a request that its caller gave up.
	Abandoned
)

const (
	// pauseGap is the time between two ticks from which on the process itself
	// is taken to have been paused. Ticks come every 100 ms.
	pauseGap = 500 * time.Millisecond
	// answerValid is how long a real answer outvotes probes and reports.
	answerValid = 2 * time.Second
	// calm is the time without an ejection after which Away starts anew.
	calm     = 10 * time.Minute
	maxAway  = 32
	suspectS = 0.5
)

// Monitor is the health of one backend server.
type Monitor struct {
	cfg    Config
	state  State
	reason Reason
	since  clock.Instant
	ticked clock.Instant
	// permitted is set while the service may lose this server for a soft
	// reason. It is not set at first: if many servers turn bad at once, none
	// may go before the cap has counted them.
	permitted bool

	// outstanding counts requests that are known to be short and unanswered.
	outstanding int
	// hung counts short requests that were given up after a long wait since
	// the last answer.
	hung      int
	hungAt    clock.Instant
	busySince clock.Instant
	answered  clock.Instant
	refusals  int

	window window
	normal float64

	probeFails int
	successes  int
	away       time.Duration
	ejected    clock.Instant
}

// New returns the Monitor of a backend server that has just been announced.
func New(now clock.Instant, c Config) *Monitor {
	m := &Monitor{cfg: c.withDefaults(), ticked: now}
	m.away = m.cfg.Away
	m.RecordRestart(now)
	return m
}

// RecordRestart tells that the backend server has announced a new run of itself.
// It starts cold.
func (m *Monitor) RecordRestart(now clock.Instant) {
	m.outstanding, m.hung, m.refusals, m.probeFails, m.successes = 0, 0, 0, 0, 0
	m.window = window{since: now}
	m.set(now, Warming, Starting)
}

// State returns the state and its reason.
func (m *Monitor) State() (State, Reason) { return m.state, m.reason }

// Since returns the instant of the last change of state.
func (m *Monitor) Since() clock.Instant { return m.since }

// Share returns the part of its normal work that the server may take.
func (m *Monitor) Share(now clock.Instant) float64 {
	switch m.state {
	case Serving:
		return 1
	case Suspect:
		return suspectS
	case Warming:
		grown := float64(now.Sub(m.since)) / float64(m.cfg.WarmFor)
		return min(1, m.cfg.WarmFrom+(1-m.cfg.WarmFrom)*grown)
	default:
		return 0
	}
}

// PermitEjection passes on the decision of Cap: whether the service may lose this
// server for a soft reason.
func (m *Monitor) PermitEjection(ok bool) { m.permitted = ok }

// BeginRequest tells that a real request was forwarded. short means that requests of
// its kind are known to be answered quickly.
func (m *Monitor) BeginRequest(now clock.Instant, short bool) {
	if !short {
		return
	}
	if m.outstanding+m.hung == 0 {
		m.busySince = now
	}
	m.outstanding++
}

// EndRequest tells how a real request ended. short has the value given to Begin.
func (m *Monitor) EndRequest(now clock.Instant, short bool, took time.Duration, r Result) {
	if short {
		m.outstanding = max(0, m.outstanding-1)
	}
	switch r {
	case OK:
		m.answered, m.busySince = now, now
		m.refusals, m.hung = 0, 0
		m.success()
		m.window.add(true, short, took)
	case Abandoned:
		m.gaveUp(now, short, took)
	case Failed:
		m.gaveUp(now, short, took)
		m.successes = 0
		m.window.add(false, short, took)
	case Refused:
		m.successes = 0
		if m.refusals++; m.refusals >= 3 {
			m.eject(now, Refusing)
		}
	}
}

// gaveUp notes a short request that ended without an answer after a wait far
// above the normal service time.
func (m *Monitor) gaveUp(now clock.Instant, short bool, took time.Duration) {
	slow := max(m.cfg.SlowFloor, time.Duration(m.cfg.SlowFactor*m.normal))
	if short && took >= slow {
		m.hung, m.hungAt = m.hung+1, now
	}
}

// RecordProbe tells the result of one probe. ok means that the server answered it,
// healthy is what the answer claims. A claim that contradicts real answers of
// the last 2 s is ignored.
func (m *Monitor) RecordProbe(now clock.Instant, ok, healthy bool) {
	if !ok || !healthy {
		m.probeFails++
		m.successes = 0
		return
	}
	m.probeFails = 0
	m.success()
}

func (m *Monitor) success() {
	if m.state == Ejected {
		m.successes++
	}
}

// Tick evaluates what has been observed and reports whether the state changed.
// It is due every 100 ms.
func (m *Monitor) Tick(now clock.Instant) bool {
	before := m.state
	if now.Sub(m.ticked) > pauseGap {
		// Answers wait in our own sockets after a pause of this process.
		m.busySince, m.hung = now, 0
	}
	m.ticked = now
	if m.state == Ejected {
		m.consider(now)
		return m.state != before
	}
	if !m.checkFrozen(now) && !m.checkProbes(now) {
		m.checkWindow(now)
	}
	if m.state == Warming && now.Sub(m.since) >= m.cfg.WarmFor {
		m.set(now, Serving, None)
	}
	return m.state != before
}

// checkFrozen reports whether requests hang.
func (m *Monitor) checkFrozen(now clock.Instant) bool {
	if m.outstanding+m.hung == 0 {
		return m.recovered(now, Frozen)
	}
	limit := m.cfg.FrozenAfter
	if m.outstanding+m.hung == 1 && m.probeFails == 0 {
		limit *= 3
	}
	until := now
	if m.outstanding == 0 {
		until = m.hungAt
	}
	silent := until.Sub(m.busySince)
	switch {
	case silent >= limit:
		m.eject(now, Frozen)
	case silent >= limit/2:
		m.suspect(now, Frozen)
	default:
		return m.recovered(now, Frozen)
	}
	return true
}

// checkProbes reports whether failed probes decide, which they do only for a
// server without recent real answers.
func (m *Monitor) checkProbes(now clock.Instant) bool {
	recent := m.answered != 0 && now.Sub(m.answered) < answerValid
	switch {
	case recent || m.probeFails < m.cfg.ProbeFailures:
		return m.recovered(now, ProbesFail)
	case m.probeFails >= 2*m.cfg.ProbeFailures:
		m.eject(now, ProbesFail)
	default:
		m.suspect(now, ProbesFail)
	}
	return true
}

// checkWindow judges failures and service times.
func (m *Monitor) checkWindow(now clock.Instant) {
	w := &m.window
	age := now.Sub(w.since)
	if age < m.cfg.Window || w.n < m.cfg.MinSamples && age < 5*m.cfg.Window {
		return
	}
	known := None
	if m.state == Suspect {
		known = m.reason
	}
	why := w.judge(m.cfg, m.normal, known)
	switch {
	case w.n < m.cfg.MinSamples:
	case why != None && m.state == Suspect && m.reason == why:
		m.eject(now, why)
	case why != None && m.state == Warming:
		m.eject(now, why)
	case why != None:
		m.suspect(now, why)
	default:
		m.learn(w)
		m.recovered(now, Failing)
		m.recovered(now, Slow)
	}
	m.window = window{since: now}
}

// learn follows the normal service time: quickly down, slowly up.
func (m *Monitor) learn(w *window) {
	if w.short < m.cfg.MinSamples {
		return
	}
	rate, mean := 0.02, w.mean()
	switch {
	case m.normal == 0:
		rate = 1
	case mean < m.normal:
		rate = 0.2
	case mean > 2*m.normal:
		// A fault that is just below the slow factor must not become normal
		// within minutes and hide a worse one.
		rate = 0.001
	}
	m.normal += rate * (mean - m.normal)
}

// suspect moves to Suspect, from Warming as well: only the node of a suspect
// server asks for the permission to eject it.
func (m *Monitor) suspect(now clock.Instant, r Reason) {
	if m.state == Serving || m.state == Warming {
		m.set(now, Suspect, r)
	}
}

// recovered ends suspicion for a reason that no longer holds. It returns false
// so that the caller goes on to the next check.
func (m *Monitor) recovered(now clock.Instant, r Reason) bool {
	if m.state == Suspect && m.reason == r {
		m.set(now, Serving, None)
	}
	return false
}

func (m *Monitor) eject(now clock.Instant, r Reason) {
	if m.state == Ejected {
		return
	}
	if !r.Unresponsive() && !m.permitted {
		m.suspect(now, r)
		return
	}
	m.away = min(2*m.away, maxAway*m.cfg.Away)
	if m.ejected == 0 || now.Sub(m.ejected) > calm {
		m.away = m.cfg.Away
	}
	m.ejected, m.successes = now, 0
	m.set(now, Ejected, r)
}

// consider lets an ejected server return through Warming.
func (m *Monitor) consider(now clock.Instant) {
	if now.Sub(m.since) < m.away || m.successes < m.cfg.Return {
		return
	}
	m.hung, m.refusals, m.busySince = 0, 0, now
	m.window = window{since: now}
	m.set(now, Warming, m.reason)
}

func (m *Monitor) set(now clock.Instant, s State, r Reason) {
	m.state, m.reason, m.since = s, r, now
}
