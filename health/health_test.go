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
	step     = 10 * time.Millisecond
	tickRate = 100 * time.Millisecond
)

type call struct {
	began, ends clock.Instant
	fails       bool
}

// rig drives a Monitor with seeded requests, probes and ticks.
type rig struct {
	rnd     *rand.Rand
	now     clock.Instant
	m       *Monitor
	calls   []call
	rate    float64 // requests per second
	service time.Duration
	errors  float64
	frozen  bool
	// giveUp is the deadline of callers.
	giveUp           time.Duration
	probeOK, healthy bool
	ejections        int
}

func newRig(seed uint64) *rig {
	r := &rig{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), rate: 200, service: 5 * time.Millisecond,
		giveUp: time.Hour, probeOK: true, healthy: true,
	}
	r.m = New(r.now, Config{})
	r.m.PermitEjection(true)
	r.run(40*time.Second + time.Duration(r.rnd.Int64N(100))*step)
	return r
}

func (r *rig) send() {
	if r.rnd.Float64() > r.rate*step.Seconds()*r.m.Share(r.now) || len(r.calls) >= 17 {
		return
	}
	took := time.Duration(float64(r.service) * (0.5 + r.rnd.Float64()))
	r.calls = append(r.calls, call{r.now, r.now.Add(took), r.rnd.Float64() < r.errors})
	r.m.BeginRequest(r.now, true)
}

func (r *rig) end() {
	kept := r.calls[:0]
	for _, c := range r.calls {
		age := r.now.Sub(c.began)
		switch {
		case age >= r.giveUp:
			r.m.EndRequest(r.now, true, age, Abandoned)
		case r.frozen || r.now < c.ends:
			kept = append(kept, c)
		case c.fails:
			r.m.EndRequest(r.now, true, age, Failed)
		default:
			r.m.EndRequest(r.now, true, c.ends.Sub(c.began), OK)
		}
	}
	r.calls = kept
}

func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.now = r.now.Add(step)
		r.end()
		r.send()
		if time.Duration(r.now)%time.Second == 0 {
			r.m.RecordProbe(r.now, r.probeOK, r.healthy)
		}
		if time.Duration(r.now)%tickRate == 0 && r.m.Tick(r.now) {
			if s, _ := r.m.State(); s == Ejected {
				r.ejections++
			}
		}
	}
}

// until runs until the state is reached and returns how long that took.
func (r *rig) until(s State, limit time.Duration) time.Duration {
	from := r.now
	for r.now.Sub(from) < limit {
		if now, _ := r.m.State(); now == s {
			break
		}
		r.run(step)
	}
	return r.now.Sub(from)
}

// Guards against a frozen server that keeps its work because probes answer.
func TestFrozen(t *testing.T) {
	for _, giveUp := range []time.Duration{time.Hour, 100 * time.Millisecond} {
		worst := time.Duration(0)
		for seed := range uint64(20) {
			r := newRig(seed)
			must.EqOp(t, Serving, r.m.state)
			r.frozen, r.giveUp = true, giveUp
			worst = max(worst, r.until(Ejected, time.Minute))
			must.EqOp(t, Frozen, r.m.reason)
		}
		t.Logf("callers give up after %v: frozen server ejected after at most %v, probes answering", giveUp, worst)
		// A request is sent within 100 ms, and the tick adds as much.
		must.LessEq(t, time.Second+2*tickRate, worst)
	}
}

// Guards against ejection by probes or a health report while requests are
// answered.
func TestMisleadingReports(t *testing.T) {
	for _, endpoint := range []bool{true, false} {
		r := newRig(1)
		r.healthy, r.probeOK = false, endpoint
		for range 60 {
			r.run(time.Second)
			must.EqOp(t, Serving, r.m.state)
		}
	}
	r := newRig(1)
	r.rate, r.probeOK = 0, false
	r.run(5 * time.Second)
	must.EqOp(t, Suspect, r.m.state)
	r.run(5 * time.Second)
	must.EqOp(t, Ejected, r.m.state)
}

// Guards against a server that answers slowly or with errors and keeps its
// work because its report is good.
func TestHalfDead(t *testing.T) {
	faults := map[string]func(*rig){
		"ten times slower": func(r *rig) { r.service *= 10 },
		"60% errors":       func(r *rig) { r.errors = 0.6 },
	}
	for name, fault := range faults {
		noticed, gone := time.Duration(0), time.Duration(0)
		for seed := range uint64(20) {
			r := newRig(seed)
			fault(r)
			a := r.until(Suspect, time.Minute)
			noticed, gone = max(noticed, a), max(gone, a+r.until(Ejected, time.Minute))
		}
		t.Logf("%s: noticed after at most %v, ejected after at most %v", name, noticed, gone)
		// The first window may have begun before the fault.
		must.LessEq(t, 2*time.Second+tickRate, noticed)
		must.LessEq(t, 3*time.Second+2*tickRate, gone)
	}
	r := newRig(1)
	r.errors = 0.1
	r.run(time.Minute)
	must.EqOp(t, Serving, r.m.state)
}

// Guards against a returning server that is given its full work while cold,
// and against one that returns again and again while frozen.
func TestReturn(t *testing.T) {
	var r *rig
	for _, giveUp := range []time.Duration{time.Hour, time.Second} {
		r = newRig(1)
		r.frozen, r.giveUp = true, giveUp
		r.until(Ejected, time.Minute)
		r.run(10 * time.Minute)
		t.Logf("frozen for 10 minutes with probes answering: ejected %d times", r.ejections)
		must.Between(t, 2, r.ejections, 15) // the time away doubles from 2 s to 64 s
	}
	r.frozen, r.calls = false, nil
	r.until(Warming, 2*time.Minute)
	last := 0.0
	for r.m.state == Warming {
		share := r.m.Share(r.now)
		must.GreaterEq(t, last, share)
		must.LessEq(t, last+0.1, share-0.1)
		last = share
		r.run(time.Second)
	}
	must.EqOp(t, Serving, r.m.state)
	must.EqOp(t, 1, r.m.Share(r.now))
	r.m.RecordRestart(r.now)
	must.EqOp(t, Warming, r.m.state)
	for range 3 {
		r.m.EndRequest(r.now, true, 0, Refused)
	}
	must.EqOp(t, Refusing, r.m.reason)
}

// Guards against blaming the server for a pause of this process or for one
// slow request.
func TestInnocentSilence(t *testing.T) {
	r := newRig(1)
	r.m.BeginRequest(r.now, true)
	r.m.BeginRequest(r.now, true)
	r.now = r.now.Add(10 * time.Second)
	must.False(t, r.m.Tick(r.now))
	r.m.EndRequest(r.now, true, 10*time.Second, OK)
	r.m.EndRequest(r.now, true, 10*time.Second, OK)

	r = newRig(1)
	r.rate = 0
	r.run(time.Second)
	r.m.BeginRequest(r.now, true)
	r.run(2 * time.Second)
	must.EqOp(t, Suspect, r.m.state)
	r.m.EndRequest(r.now, true, 2*time.Second, OK)
	r.run(time.Second)
	must.EqOp(t, Serving, r.m.state)
}

// Guards against ejecting a whole service for a fault that all share.
func TestCap(t *testing.T) {
	var rigs []*rig
	for seed := range uint64(8) {
		r := newRig(seed)
		r.service *= 10
		r.m.PermitEjection(false)
		rigs = append(rigs, r)
	}
	worst := 0
	for range 600 {
		var all []Candidate
		away := 0
		for i, r := range rigs {
			r.run(tickRate)
			s, why := r.m.State()
			all = append(all, Candidate{core.NodeID(fmt.Sprint(i)), s, why, r.m.Since()})
			if s == Ejected {
				away++
			}
		}
		worst = max(worst, away)
		may := map[core.NodeID]bool{}
		for _, n := range LimitEjections(all, 0.2) {
			may[n] = true
		}
		for i, r := range rigs {
			r.m.PermitEjection(may[core.NodeID(fmt.Sprint(i))])
		}
	}
	t.Logf("8 servers slow at once, cap 20%%: at most %d ejected", worst)
	must.EqOp(t, 1, worst)
	dead := []Candidate{{"a", Ejected, Frozen, 1}, {"b", Ejected, Refusing, 1}, {"c", Suspect, Slow, 1}}
	must.SliceEmpty(t, LimitEjections(dead, 0.2))
}

// Guards against a frozen backend server that keeps its keys until it is warm:
// a node asks for the permission to eject only while its server is suspect.
func TestProbesFailWhileWarming(t *testing.T) {
	m := New(0, Config{})
	for now := clock.Instant(0); now < clock.Instant(5*time.Second); now = now.Add(tickRate) {
		m.RecordProbe(now, false, false)
		m.Tick(now)
		m.PermitEjection(m.state == Suspect)
	}
	must.EqOp(t, Ejected, m.state)
}
