package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

const start = clock.Instant(time.Hour)

func failed(c core.Code) Attempt {
	return Attempt{Err: core.Fail(c, ""), Arrivals: 1, Attempts: 2, Left: time.Second, MayHold: 100 * time.Millisecond}
}

// Guards against a second run of a request that is not idempotent, and against
// more arrivals than the route allows.
func TestRepeatOnlyWhatMayRunAgain(t *testing.T) {
	for c := core.CodeInvalid; c <= core.CodeDeadline; c++ {
		a := failed(c)
		if !c.NotRun() {
			must.Eq(t, Stop, After(a), must.Sprint(c))
		}
		a.Idempotent, a.Arrivals = true, 2
		must.NotEq(t, Repeat, After(a), must.Sprint(c))
		a.BodySpent = true
		must.Eq(t, Stop, After(a), must.Sprint(c))
	}
	a := failed(core.CodeUnknown)
	a.Idempotent = true
	must.Eq(t, Repeat, After(a))
	a = failed(core.CodeOverloaded)
	a.Err.ReachedBackend = true
	must.Eq(t, Repeat, After(a))
}

// Guards against a request for a key that is tried at a backend server which
// cannot hold it, and against one that waits for an owner for ever.
func TestKeyedRequestsHold(t *testing.T) {
	a := failed(core.CodeNotOwner)
	a.Keyed = true
	must.Eq(t, Hold, After(a))
	a.Held = a.MayHold
	must.Eq(t, Stop, After(a))
	a = failed(core.CodeQueueFull)
	a.Keyed = true
	must.Eq(t, Stop, After(a))
	a.Keyed = false
	must.Eq(t, Elsewhere, After(a))
}

// Guards against repeats of all nodes that exceed the bound of a window.
func TestBudgetOfAllNodes(t *testing.T) {
	const nodes = 12
	cfg := BudgetConfig{Ratio: 0.2, Floor: 62, Window: 10 * time.Second}
	services := []core.Service{"s"}
	var budgets [nodes]*Budget
	for i := range budgets {
		budgets[i] = NewBudget(cfg)
	}
	taken := make([]int, 0, 60)
	requests := 0
	for step := range 60 {
		now := start.Add(time.Duration(step) * cfg.Window / budgetSteps)
		n := 0
		for _, b := range budgets {
			b.Tick(now, services, nodes)
			for range 10 {
				b.Request("s")
				requests++
			}
			for b.Take("s") {
				n++
			}
		}
		taken = append(taken, n)
	}
	perWindow := float64(requests) / 60 * budgetSteps
	for from := range len(taken) - budgetSteps {
		sum := 0
		for _, n := range taken[from : from+budgetSteps] {
			sum += n
		}
		must.LessEq(t, cfg.Ratio*perWindow+float64(cfg.Floor), float64(sum))
	}
}

func peer(id string, dc core.DataCentre) *fleet.Peer {
	return &fleet.Peer{
		Entry: fleet.Entry{Node: core.NodeID(id), DataCentre: dc, Service: "s", State: fleet.Ready, Slots: 10},
		Alive: true, Load: &fleet.Load{},
	}
}

// Guards against requests that cross data centres without need, and against a
// full backend server that gets work while another is idle.
func TestChoose(t *testing.T) {
	near, far := peer("near", "a"), peer("far", "b")
	s := &fleet.Snapshot{Services: map[core.Service][]*fleet.Peer{"s": {far, near}}}
	w := Wish{Service: "s", DataCentre: "a"}
	must.Eq(t, near, Choose(start, s, w, 0))
	near.Load.Set(fleet.Usage{Running: 10, Waiting: 20, Service: 50 * time.Millisecond})
	must.Eq(t, far, Choose(start, s, w, 0))
	w.Tried = []core.NodeID{"far"}
	must.Eq(t, near, Choose(start, s, w, 0))
	near.Alive = false
	must.Nil(t, Choose(start, s, w, 0))
}

// Guards against a backend server that fails requests at once and so looks
// idle: it would get more requests than the sound ones.
func TestChooseAvoidsFaults(t *testing.T) {
	grey, sound := peer("grey", "a"), peer("sound", "b")
	s := &fleet.Snapshot{Services: map[core.Service][]*fleet.Peer{"s": {grey, sound}}}
	w := Wish{Service: "s", DataCentre: "a"}
	grey.Load.Set(fleet.Usage{Service: time.Millisecond, Faults: 0.4})
	sound.Load.Set(fleet.Usage{Running: 9, Waiting: 5, Service: 100 * time.Millisecond})
	must.Eq(t, sound, Choose(start, s, w, 0))
	grey.Load.Set(fleet.Usage{Service: time.Millisecond, Faults: 0.01})
	must.Eq(t, grey, Choose(start, s, w, 0), must.Sprint("single failures are usual"))
}

// Guards against a share of faults that stays once requests succeed again or no
// longer come, and against one that single failures raise.
func TestFaultsFollowTheLatest(t *testing.T) {
	var f Faults
	now := start
	for i := range 40 {
		f.Add(now, i%10 < 4)
		now = now.Add(50 * time.Millisecond)
	}
	must.Between(t, 0.3, f.Share(now), 0.5)
	must.Less(t, 0.05, f.Share(now.Add(20*time.Second)))
	for range 200 {
		f.Add(now, false)
		now = now.Add(50 * time.Millisecond)
	}
	must.Less(t, 0.02, f.Share(now))
	var one Faults
	one.Add(start, true)
	must.Less(t, 0.2, one.Share(start))
}

// Guards against many nodes that choose the same backend server because their
// reports are of the same age: on the grown sites four slow backend servers got
// most of the calls that ran out of time.
func TestChooseSpreads(t *testing.T) {
	var list []*fleet.Peer
	for i := range 16 {
		p := peer(string(rune('a'+i)), "x")
		p.Load.Set(fleet.Usage{Running: 6, Service: 60 * time.Millisecond})
		list = append(list, p)
	}
	list[3].Load.Set(fleet.Usage{Service: 60 * time.Millisecond})
	list[7].Load.Set(fleet.Usage{Running: 6, Service: 120 * time.Millisecond})
	s := &fleet.Snapshot{Services: map[core.Service][]*fleet.Peer{"s": list}}
	got := map[core.NodeID]int{}
	const rolls = 4000
	for i := range rolls {
		got[Choose(start, s, Wish{Service: "s", DataCentre: "a"}, uint64(i)).Node]++
	}
	must.Between(t, rolls/16, got["d"], rolls*samples/16*3/2, must.Sprint("the idle one"))
	must.Less(t, rolls/32, got["h"], must.Sprint("the slow one"))
	for _, p := range list {
		if p != list[7] {
			must.Greater(t, rolls/64, got[p.Node], must.Sprint(p.Node))
		}
	}
}
