package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	step         = 10 * time.Millisecond
	tickInterval = 100 * time.Millisecond
)

// call is a request that has not ended yet.
type call struct {
	began, ends clock.Instant
	fails       bool
}

// simulation sends requests, probes and ticks to a Monitor, from a random
// source with a seed.
type simulation struct {
	rng         *rand.Rand
	now         clock.Instant
	monitor     *Monitor
	calls       []call
	rate        float64 // requests per second
	serviceTime time.Duration
	errorShare  float64
	frozen      bool
	// callerTimeout is the time after which a caller gives up its request.
	callerTimeout    time.Duration
	probeOK, healthy bool
	ejections        int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), rate: 200, serviceTime: 5 * time.Millisecond,
		callerTimeout: time.Hour, probeOK: true, healthy: true,
	}
	sim.monitor = New(sim.now, Config{})
	sim.monitor.PermitEjection(true)
	sim.run(40*time.Second + time.Duration(sim.rng.Int64N(100))*step)
	return sim
}

func (sim *simulation) send() {
	if sim.rng.Float64() > sim.rate*step.Seconds()*sim.monitor.WorkShare(sim.now) || len(sim.calls) >= 17 {
		return
	}
	took := time.Duration(float64(sim.serviceTime) * (0.5 + sim.rng.Float64()))
	sim.calls = append(sim.calls, call{sim.now, sim.now.Add(took), sim.rng.Float64() < sim.errorShare})
	sim.monitor.BeginRequest(sim.now, true)
}

// endDue ends the calls that are answered, have failed or were given up.
func (sim *simulation) endDue() {
	kept := sim.calls[:0]
	for _, c := range sim.calls {
		age := sim.now.Sub(c.began)
		switch {
		case age >= sim.callerTimeout:
			sim.monitor.EndRequest(sim.now, true, age, Abandoned)
		case sim.frozen || sim.now < c.ends:
			kept = append(kept, c)
		case c.fails:
			sim.monitor.EndRequest(sim.now, true, age, Failed)
		default:
			sim.monitor.EndRequest(sim.now, true, c.ends.Sub(c.began), OK)
		}
	}
	sim.calls = kept
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now < end; {
		sim.now = sim.now.Add(step)
		sim.endDue()
		sim.send()
		if time.Duration(sim.now)%time.Second == 0 {
			sim.monitor.RecordProbe(sim.now, sim.probeOK, sim.healthy)
		}
		if time.Duration(sim.now)%tickInterval == 0 && sim.monitor.Tick(sim.now) {
			if s, _ := sim.monitor.State(); s == Ejected {
				sim.ejections++
			}
		}
	}
}

// runUntil runs until the state is reached or the limit has passed and returns
// the time that took.
func (sim *simulation) runUntil(s State, limit time.Duration) time.Duration {
	from := sim.now
	for sim.now.Sub(from) < limit {
		if state, _ := sim.monitor.State(); state == s {
			break
		}
		sim.run(step)
	}
	return sim.now.Sub(from)
}

// Guards against a frozen server that keeps its work because it still answers
// probes.
func TestFrozenServerIsEjected(t *testing.T) {
	for _, callerTimeout := range []time.Duration{time.Hour, 100 * time.Millisecond} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			sim := newSimulation(seed)
			must.EqOp(t, Serving, sim.monitor.state)
			sim.frozen, sim.callerTimeout = true, callerTimeout
			worst = max(worst, sim.runUntil(Ejected, time.Minute))
			must.EqOp(t, Frozen, sim.monitor.reason)
		}
		t.Logf("callers give up after %v: frozen server ejected after at most %v, probes answering", callerTimeout, worst)
		// The next request is sent within 100 ms, and the tick adds up to 100 ms.
		must.LessEq(t, time.Second+2*tickInterval, worst)
	}
}

// Guards against ejection because of probes or a health report while requests
// are answered.
func TestAnswersOutweighProbes(t *testing.T) {
	for _, probeOK := range []bool{true, false} {
		sim := newSimulation(1)
		sim.healthy, sim.probeOK = false, probeOK
		for range 60 {
			sim.run(time.Second)
			must.EqOp(t, Serving, sim.monitor.state)
		}
	}
	sim := newSimulation(1)
	sim.rate, sim.probeOK = 0, false
	sim.run(5 * time.Second)
	must.EqOp(t, Suspect, sim.monitor.state)
	sim.run(5 * time.Second)
	must.EqOp(t, Ejected, sim.monitor.state)
}

// Guards against a server that answers slowly or with errors and keeps its work
// because its health report is good.
func TestSlowOrFailingServerIsEjected(t *testing.T) {
	faults := map[string]func(*simulation){
		"ten times slower": func(sim *simulation) { sim.serviceTime *= 10 },
		"60% errors":       func(sim *simulation) { sim.errorShare = 0.6 },
	}
	for name, fault := range faults {
		suspectAfter, ejectedAfter := time.Duration(0), time.Duration(0)
		for seed := range uint64(20) {
			sim := newSimulation(seed)
			fault(sim)
			toSuspect := sim.runUntil(Suspect, time.Minute)
			suspectAfter, ejectedAfter = max(suspectAfter, toSuspect), max(ejectedAfter, toSuspect+sim.runUntil(Ejected, time.Minute))
		}
		t.Logf("%s: suspect after at most %v, ejected after at most %v", name, suspectAfter, ejectedAfter)
		// The first window may have begun before the fault.
		must.LessEq(t, 2*time.Second+tickInterval, suspectAfter)
		must.LessEq(t, 3*time.Second+2*tickInterval, ejectedAfter)
	}
	sim := newSimulation(1)
	sim.errorShare = 0.1
	sim.run(time.Minute)
	must.EqOp(t, Serving, sim.monitor.state)
}

// Guards against a server that gets its full share of the work while it is cold
// after an ejection, and against a frozen server that returns again and again.
func TestEjectionBackoffAndWarmup(t *testing.T) {
	var sim *simulation
	for _, callerTimeout := range []time.Duration{time.Hour, time.Second} {
		sim = newSimulation(1)
		sim.frozen, sim.callerTimeout = true, callerTimeout
		sim.runUntil(Ejected, time.Minute)
		sim.run(10 * time.Minute)
		t.Logf("frozen for 10 minutes with probes answering: ejected %d times", sim.ejections)
		must.Between(t, 2, sim.ejections, 15) // the ejection time doubles from 2 s to 64 s
	}
	sim.frozen, sim.calls = false, nil
	sim.runUntil(Warming, 2*time.Minute)
	last := 0.0
	for sim.monitor.state == Warming {
		share := sim.monitor.WorkShare(sim.now)
		must.GreaterEq(t, last, share)
		must.LessEq(t, last+0.1, share-0.1) // rises by at most 0.2 in a second
		last = share
		sim.run(time.Second)
	}
	must.EqOp(t, Serving, sim.monitor.state)
	must.EqOp(t, 1, sim.monitor.WorkShare(sim.now))
	sim.monitor.RecordRestart(sim.now)
	must.EqOp(t, Warming, sim.monitor.state)
	for range 3 {
		sim.monitor.EndRequest(sim.now, true, 0, Refused)
	}
	must.EqOp(t, Refusing, sim.monitor.reason)
}

// Guards against blaming the server for a pause of this process or for a single
// slow request.
func TestPauseAndSlowRequestDoNotEject(t *testing.T) {
	sim := newSimulation(1)
	sim.monitor.BeginRequest(sim.now, true)
	sim.monitor.BeginRequest(sim.now, true)
	sim.now = sim.now.Add(10 * time.Second)
	must.False(t, sim.monitor.Tick(sim.now))
	sim.monitor.EndRequest(sim.now, true, 10*time.Second, OK)
	sim.monitor.EndRequest(sim.now, true, 10*time.Second, OK)

	sim = newSimulation(1)
	sim.rate = 0
	sim.run(time.Second)
	sim.monitor.BeginRequest(sim.now, true)
	sim.run(2 * time.Second)
	must.EqOp(t, Suspect, sim.monitor.state)
	sim.monitor.EndRequest(sim.now, true, 2*time.Second, OK)
	sim.run(time.Second)
	must.EqOp(t, Serving, sim.monitor.state)
}

// Guards against ejecting a whole service for a fault that all its servers
// share.
func TestCapOnEjections(t *testing.T) {
	var simulations []*simulation
	for seed := range uint64(8) {
		sim := newSimulation(seed)
		sim.serviceTime *= 10
		sim.monitor.PermitEjection(false)
		simulations = append(simulations, sim)
	}
	worst := 0
	for range 600 {
		var candidates []Candidate
		ejected := 0
		for i, sim := range simulations {
			sim.run(tickInterval)
			s, reason := sim.monitor.State()
			candidates = append(candidates, Candidate{core.NodeID(fmt.Sprint(i)), s, reason, sim.monitor.Since()})
			if s == Ejected {
				ejected++
			}
		}
		worst = max(worst, ejected)
		permitted := map[core.NodeID]bool{}
		for _, n := range LimitEjections(candidates, 0.2) {
			permitted[n] = true
		}
		for i, sim := range simulations {
			sim.monitor.PermitEjection(permitted[core.NodeID(fmt.Sprint(i))])
		}
	}
	t.Logf("8 servers slow at once, limit 20%%: at most %d ejected", worst)
	must.EqOp(t, 1, worst)
	unresponsive := []Candidate{{"a", Ejected, Frozen, 1}, {"b", Ejected, Refusing, 1}, {"c", Suspect, Slow, 1}}
	must.SliceEmpty(t, LimitEjections(unresponsive, 0.2))
}

// Guards against a frozen backend server that keeps its keys until it is warm.
// A node asks for permission to eject only while its server is suspect.
func TestWarmingServerIsEjectedByProbes(t *testing.T) {
	m := New(0, Config{})
	for now := clock.Instant(0); now < clock.Instant(5*time.Second); now = now.Add(tickInterval) {
		m.RecordProbe(now, false, false)
		m.Tick(now)
		m.PermitEjection(m.state == Suspect)
	}
	must.EqOp(t, Ejected, m.state)
}
