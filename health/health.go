package health

import (
	"time"

	"marjoramshore.example/clock"
)

// State is the state of a backend server.
type State uint8

// States of a backend server.
const (
	// Warming takes a growing share of its normal work after a start or a
	// return.
	Warming State = iota + 1
	// Serving takes all of its normal work.
	Serving
	// Suspect shows signs of a fault and takes half of its normal work.
	Suspect
	// Ejected takes no work.
	Ejected
)

var stateNames = [...]string{"", "warming", "serving", "suspect", "ejected"}

// String returns the name used in events and logs.
func (s State) String() string { return stateNames[s] }

// Reason is the cause of the current state.
type Reason uint8

// Reasons. Refusing and Frozen mean that the backend server is unresponsive;
// see Unresponsive.
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

// Unresponsive reports whether the backend server answers nothing. Keeping such
// a server would save no capacity, so the limit on ejections does not apply to
// it.
func (r Reason) Unresponsive() bool { return r == Refusing || r == Frozen }

// Result tells how a real request ended.
type Result uint8

// Results of a request.
const (
	// OK is a complete answer, whatever status it carries.
	OK Result = iota
	// Failed is a reset, a broken answer or a timeout.
	Failed
	// Refused is a refused connection.
	Refused
	// Abandoned is a request that its caller gave up before it was answered.
	Abandoned
)

const (
	// pauseThreshold is the time between two ticks from which on the process
	// itself is assumed to have been paused. Ticks come every 100 ms.
	pauseThreshold = 500 * time.Millisecond
	// answerValidity is the time for which a real answer outweighs failed
	// probes.
	answerValidity = 2 * time.Second
	// ejectionBackoffReset is the time without an ejection after which the
	// ejection time returns to MinEjection.
	ejectionBackoffReset = 10 * time.Minute
	maxEjectionBackoff   = 32
	suspectShare         = 0.5
)

// Monitor tracks the health of one backend server.
type Monitor struct {
	cfg        Config
	state      State
	reason     Reason
	stateSince clock.Instant
	lastTick   clock.Instant
	// ejectionPermitted is set while the service can spare this server if it is
	// suspect but not unresponsive. It is not set at first: if many servers
	// become faulty at once, none may be ejected before LimitEjections has seen
	// them.
	ejectionPermitted bool

	// shortInFlight counts unanswered requests that are known to be short.
	shortInFlight int
	// shortHung counts short requests that were given up after a long wait
	// since the last answer, the last of them at lastHungAt.
	shortHung  int
	lastHungAt clock.Instant
	// waitingSince is the instant from which the silence of the server counts:
	// its last answer, the first short request since none was unanswered, or
	// the end of a pause of this process.
	waitingSince  clock.Instant
	lastAnswer    clock.Instant
	refusalsInRow int

	window window
	// normalTime is the normal service time of short requests in nanoseconds,
	// or zero while it is not known.
	normalTime float64

	probeFailsInRow int
	returnSuccesses int
	// ejectionTime is the shortest duration of the last ejection.
	ejectionTime time.Duration
	lastEjection clock.Instant
}

// New returns the Monitor of a backend server that has just been announced. The
// server starts in state Warming.
func New(now clock.Instant, c Config) *Monitor {
	m := &Monitor{cfg: c.withDefaults(), lastTick: now}
	m.ejectionTime = m.cfg.MinEjection
	m.RecordRestart(now)
	return m
}

// RecordRestart reports that the backend server has announced a new run. It
// starts to warm up again.
func (m *Monitor) RecordRestart(now clock.Instant) {
	m.shortInFlight, m.shortHung, m.refusalsInRow, m.probeFailsInRow, m.returnSuccesses = 0, 0, 0, 0, 0
	m.window = window{start: now}
	m.setState(now, Warming, Starting)
}

// State returns the state and its reason.
func (m *Monitor) State() (State, Reason) { return m.state, m.reason }

// Since returns the instant of the last change of state or reason.
func (m *Monitor) Since() clock.Instant { return m.stateSince }

// WorkShare returns the share of its normal work that the server may take, from
// 0 to 1.
func (m *Monitor) WorkShare(now clock.Instant) float64 {
	switch m.state {
	case Serving:
		return 1
	case Suspect:
		return suspectShare
	case Warming:
		grown := float64(now.Sub(m.stateSince)) / float64(m.cfg.WarmupDuration)
		return min(1, m.cfg.WarmupInitialShare+(1-m.cfg.WarmupInitialShare)*grown)
	default:
		return 0
	}
}

// PermitEjection sets whether the service can spare this server if it is
// suspect but not unresponsive, as decided by LimitEjections.
func (m *Monitor) PermitEjection(permitted bool) { m.ejectionPermitted = permitted }

// BeginRequest reports that a real request was forwarded. short means that
// requests of its kind are known to be answered quickly.
func (m *Monitor) BeginRequest(now clock.Instant, short bool) {
	if !short {
		return
	}
	if m.shortInFlight+m.shortHung == 0 {
		m.waitingSince = now
	}
	m.shortInFlight++
}

// EndRequest reports how a real request ended and how long it took. short is
// the value given to BeginRequest.
func (m *Monitor) EndRequest(now clock.Instant, short bool, took time.Duration, r Result) {
	if short {
		m.shortInFlight = max(0, m.shortInFlight-1)
	}
	switch r {
	case OK:
		m.lastAnswer, m.waitingSince = now, now
		m.refusalsInRow, m.shortHung = 0, 0
		m.recordSuccess()
		m.window.add(true, short, took)
	case Abandoned:
		m.recordUnanswered(now, short, took)
	case Failed:
		m.recordUnanswered(now, short, took)
		m.returnSuccesses = 0
		m.window.add(false, short, took)
	case Refused:
		m.returnSuccesses = 0
		if m.refusalsInRow++; m.refusalsInRow >= 3 {
			m.eject(now, Refusing)
		}
	}
}

// recordUnanswered counts a short request as hung if it ended without an answer
// after a wait far above the normal service time.
func (m *Monitor) recordUnanswered(now clock.Instant, short bool, took time.Duration) {
	slow := max(m.cfg.MinSlowTime, time.Duration(m.cfg.SlowFactor*m.normalTime))
	if short && took >= slow {
		m.shortHung, m.lastHungAt = m.shortHung+1, now
	}
}

// RecordProbe reports the result of one probe. ok means that the server
// answered it, and healthy is what the answer claims. Failed probes alone do
// not make a server suspect while it has real answers of the last 2 s.
func (m *Monitor) RecordProbe(now clock.Instant, ok, healthy bool) {
	if !ok || !healthy {
		m.probeFailsInRow++
		m.returnSuccesses = 0
		return
	}
	m.probeFailsInRow = 0
	m.recordSuccess()
}

// recordSuccess counts a success towards the return of an ejected server.
func (m *Monitor) recordSuccess() {
	if m.state == Ejected {
		m.returnSuccesses++
	}
}

// Tick evaluates the reports since the last tick and returns whether the state
// changed. It must be called every 100 ms.
func (m *Monitor) Tick(now clock.Instant) bool {
	before := m.state
	if now.Sub(m.lastTick) > pauseThreshold {
		// After a pause of this process, answers may be waiting in its own
		// sockets.
		m.waitingSince, m.shortHung = now, 0
	}
	m.lastTick = now
	if m.state == Ejected {
		m.returnIfReady(now)
		return m.state != before
	}
	if !m.checkFrozen(now) && !m.checkProbes(now) {
		m.checkWindow(now)
	}
	if m.state == Warming && now.Sub(m.stateSince) >= m.cfg.WarmupDuration {
		m.setState(now, Serving, None)
	}
	return m.state != before
}

// checkFrozen reports whether short requests hang, and makes the server suspect
// or ejects it in that case.
func (m *Monitor) checkFrozen(now clock.Instant) bool {
	if m.shortInFlight+m.shortHung == 0 {
		return m.clearSuspicion(now, Frozen)
	}
	limit := m.cfg.FrozenAfter
	if m.shortInFlight+m.shortHung == 1 && m.probeFailsInRow == 0 {
		limit *= 3
	}
	until := now
	if m.shortInFlight == 0 {
		until = m.lastHungAt
	}
	unanswered := until.Sub(m.waitingSince)
	switch {
	case unanswered >= limit:
		m.eject(now, Frozen)
	case unanswered >= limit/2:
		m.markSuspect(now, Frozen)
	default:
		return m.clearSuspicion(now, Frozen)
	}
	return true
}

// checkProbes reports whether probes show a fault, and makes the server suspect
// or ejects it in that case. Probes decide only for a server without recent
// real answers.
func (m *Monitor) checkProbes(now clock.Instant) bool {
	answersRecent := m.lastAnswer != 0 && now.Sub(m.lastAnswer) < answerValidity
	switch {
	case answersRecent || m.probeFailsInRow < m.cfg.ProbeFailures:
		return m.clearSuspicion(now, ProbesFail)
	case m.probeFailsInRow >= 2*m.cfg.ProbeFailures:
		m.eject(now, ProbesFail)
	default:
		m.markSuspect(now, ProbesFail)
	}
	return true
}

// checkWindow judges failures and service times when the window is complete.
func (m *Monitor) checkWindow(now clock.Instant) {
	w := &m.window
	age := now.Sub(w.start)
	if age < m.cfg.Window || w.requests < m.cfg.MinSamples && age < 5*m.cfg.Window {
		return
	}
	current := None
	if m.state == Suspect {
		current = m.reason
	}
	fault := w.findFault(m.cfg, m.normalTime, current)
	switch {
	case w.requests < m.cfg.MinSamples:
	case fault != None && m.state == Suspect && m.reason == fault:
		m.eject(now, fault)
	case fault != None && m.state == Warming:
		m.eject(now, fault)
	case fault != None:
		m.markSuspect(now, fault)
	default:
		m.updateNormalTime(w)
		m.clearSuspicion(now, Failing)
		m.clearSuspicion(now, Slow)
	}
	m.window = window{start: now}
}

// updateNormalTime moves the normal service time towards the mean of the
// window: quickly down, slowly up.
func (m *Monitor) updateNormalTime(w *window) {
	if w.shortOK < m.cfg.MinSamples {
		return
	}
	rate, mean := 0.02, w.meanShort()
	switch {
	case m.normalTime == 0:
		rate = 1
	case mean < m.normalTime:
		rate = 0.2
	case mean > 2*m.normalTime:
		// A fault that stays just below SlowFactor must not become normal
		// within minutes and hide a worse one.
		rate = 0.001
	}
	m.normalTime += rate * (mean - m.normalTime)
}

// markSuspect moves the server from Serving or Warming to Suspect. Warming is
// included because a node asks for permission to eject only while its server is
// suspect.
func (m *Monitor) markSuspect(now clock.Instant, r Reason) {
	if m.state == Serving || m.state == Warming {
		m.setState(now, Suspect, r)
	}
}

// clearSuspicion returns the server to Serving if it is suspect for reason r.
// It returns false so that the caller goes on to the next check.
func (m *Monitor) clearSuspicion(now clock.Instant, r Reason) bool {
	if m.state == Suspect && m.reason == r {
		m.setState(now, Serving, None)
	}
	return false
}

// eject moves the server to Ejected, or to Suspect while the ejection is not
// permitted. Unresponsive servers need no permission.
func (m *Monitor) eject(now clock.Instant, r Reason) {
	if m.state == Ejected {
		return
	}
	if !r.Unresponsive() && !m.ejectionPermitted {
		m.markSuspect(now, r)
		return
	}
	m.ejectionTime = min(2*m.ejectionTime, maxEjectionBackoff*m.cfg.MinEjection)
	if m.lastEjection == 0 || now.Sub(m.lastEjection) > ejectionBackoffReset {
		m.ejectionTime = m.cfg.MinEjection
	}
	m.lastEjection, m.returnSuccesses = now, 0
	m.setState(now, Ejected, r)
}

// returnIfReady moves an ejected server to Warming when its ejection time has
// passed and it has had enough successes.
func (m *Monitor) returnIfReady(now clock.Instant) {
	if now.Sub(m.stateSince) < m.ejectionTime || m.returnSuccesses < m.cfg.ReturnSuccesses {
		return
	}
	m.shortHung, m.refusalsInRow, m.waitingSince = 0, 0, now
	m.window = window{start: now}
	m.setState(now, Warming, m.reason)
}

func (m *Monitor) setState(now clock.Instant, s State, r Reason) {
	m.state, m.reason, m.stateSince = s, r, now
}
