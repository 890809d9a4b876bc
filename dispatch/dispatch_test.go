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

func newFailedAttempt(c core.Code) FailedAttempt {
	return FailedAttempt{Err: core.Fail(c, ""), Arrivals: 1, MaxArrivals: 2, TimeLeft: time.Second, MaxWait: 100 * time.Millisecond}
}

// Guards against a second run of a request that is not idempotent, and against
// more arrivals at backend servers than the route allows.
func TestRetryOnlyWhatMayRunAgain(t *testing.T) {
	for c := core.CodeInvalid; c <= core.CodeDeadline; c++ {
		a := newFailedAttempt(c)
		if !c.NotRun() {
			must.Eq(t, ReturnFailure, DecideNext(a), must.Sprint(c))
		}
		a.Idempotent, a.Arrivals = true, 2
		must.NotEq(t, Retry, DecideNext(a), must.Sprint(c))
		a.BodyConsumed = true
		must.Eq(t, ReturnFailure, DecideNext(a), must.Sprint(c))
	}
	a := newFailedAttempt(core.CodeUnknown)
	a.Idempotent = true
	must.Eq(t, Retry, DecideNext(a))
	a = newFailedAttempt(core.CodeOverloaded)
	a.Err.ReachedBackend = true
	must.Eq(t, Retry, DecideNext(a))
}

// Guards against a request for a key that is sent to a backend server which
// cannot hold the key, and against one that waits for an owner for ever.
func TestKeyedRequestsWaitForOwner(t *testing.T) {
	a := newFailedAttempt(core.CodeNotOwner)
	a.Keyed = true
	must.Eq(t, WaitForOwner, DecideNext(a))
	a.Waited = a.MaxWait
	must.Eq(t, ReturnFailure, DecideNext(a))
	a = newFailedAttempt(core.CodeQueueFull)
	a.Keyed = true
	must.Eq(t, ReturnFailure, DecideNext(a))
	a.Keyed = false
	must.Eq(t, TryOtherBackend, DecideNext(a))
}

// Guards against refusals that are bounded in number only, and against a request
// that is refused although only one node could not be reached.
func TestTimeOfRefusalsIsBounded(t *testing.T) {
	const target = 400 * time.Millisecond
	for _, tc := range []struct {
		code   core.Code
		waited time.Duration
		want   Decision
	}{
		{core.CodeQueueFull, 190 * time.Millisecond, TryOtherBackend},
		{core.CodeQueueFull, 200 * time.Millisecond, ReturnFailure},
		{core.CodePeerUnreachable, 310 * time.Millisecond, TryOtherBackend},
		{core.CodePeerUnreachable, 400 * time.Millisecond, ReturnFailure},
	} {
		a := newFailedAttempt(tc.code)
		a.Waited, a.MaxWait = tc.waited, MaxWait(target, false, tc.code)
		must.Eq(t, tc.want, DecideNext(a), must.Sprint(tc))
	}
	must.Eq(t, 100*time.Millisecond, MaxWait(target, true, core.CodeNotOwner))
	must.Less(t, MaxWait(0, false, core.CodeQueueFull), time.Hour)
}

// Guards against retries of all nodes that together exceed the bound of a
// window.
func TestRetryBudgetOfAllNodes(t *testing.T) {
	const nodes = 12
	cfg := RetryBudgetConfig{Ratio: 0.2, MinRetries: 62, Window: 10 * time.Second}
	services := []core.Service{"s"}
	var budgets [nodes]*RetryBudget
	for i := range budgets {
		budgets[i] = NewRetryBudget(cfg)
	}
	taken := make([]int, 0, 60)
	requests := 0
	for step := range 60 {
		now := start.Add(time.Duration(step) * cfg.Window / windowSteps)
		n := 0
		for _, b := range budgets {
			b.Advance(now, services, nodes)
			for range 10 {
				b.CountRequest("s")
				requests++
			}
			for b.TakeRetry("s") {
				n++
			}
		}
		taken = append(taken, n)
	}
	perWindow := float64(requests) / 60 * windowSteps
	for from := range len(taken) - windowSteps {
		sum := 0
		for _, n := range taken[from : from+windowSteps] {
			sum += n
		}
		must.LessEq(t, cfg.Ratio*perWindow+cfg.MinRetries, float64(sum))
	}
}

func newPeer(id string, dc core.DataCentre) *fleet.Peer {
	return &fleet.Peer{
		Entry: fleet.Entry{Node: core.NodeID(id), DataCentre: dc, Service: "s", State: fleet.Ready, Slots: 10},
		Alive: true, Load: &fleet.Load{},
	}
}

// Guards against requests that cross data centres without need, and against a
// full backend server that gets work while another is idle.
func TestChoosePeer(t *testing.T) {
	near, far := newPeer("near", "a"), newPeer("far", "b")
	s := &fleet.Snapshot{ByService: map[core.Service][]*fleet.Peer{"s": {far, near}}}
	req := RequestInfo{Service: "s", DataCentre: "a"}
	must.Eq(t, near, ChoosePeer(start, s, req, 0))
	near.Load.SetUsage(fleet.Usage{Running: 10, Waiting: 20, MeanServiceTime: 50 * time.Millisecond})
	must.Eq(t, far, ChoosePeer(start, s, req, 0))
	req.Tried = []core.NodeID{"far"}
	must.Eq(t, near, ChoosePeer(start, s, req, 0))
	near.Alive = false
	must.Nil(t, ChoosePeer(start, s, req, 0))
}

// Guards against a backend server that fails requests quickly, looks idle for
// that reason, and gets more requests than the healthy ones.
func TestChoosePeerAvoidsFailingBackend(t *testing.T) {
	failing, sound := newPeer("grey", "a"), newPeer("sound", "b")
	s := &fleet.Snapshot{ByService: map[core.Service][]*fleet.Peer{"s": {failing, sound}}}
	req := RequestInfo{Service: "s", DataCentre: "a"}
	failing.Load.SetUsage(fleet.Usage{MeanServiceTime: time.Millisecond, FailedShare: 0.4})
	sound.Load.SetUsage(fleet.Usage{Running: 9, Waiting: 5, MeanServiceTime: 100 * time.Millisecond})
	must.Eq(t, sound, ChoosePeer(start, s, req, 0))
	failing.Load.SetUsage(fleet.Usage{MeanServiceTime: time.Millisecond, FailedShare: 0.01})
	must.Eq(t, failing, ChoosePeer(start, s, req, 0), must.Sprint("single failures are usual and must not divert requests"))
}

// Guards against a share of failures that stays once requests succeed again or
// no longer come, and against one that single failures raise.
func TestFailedShareFollowsLatestRequests(t *testing.T) {
	var f FailureTracker
	now := start
	for i := range 40 {
		f.Record(now, i%10 < 4)
		now = now.Add(50 * time.Millisecond)
	}
	must.Between(t, 0.3, f.FailedShare(now), 0.5)
	must.Less(t, 0.05, f.FailedShare(now.Add(20*time.Second)))
	for range 200 {
		f.Record(now, false)
		now = now.Add(50 * time.Millisecond)
	}
	must.Less(t, 0.02, f.FailedShare(now))
	var single FailureTracker
	single.Record(start, true)
	must.Less(t, 0.2, single.FailedShare(start))
}

// Guards against many nodes that choose the same backend server because their
// reports are of the same age. In a large fleet, four slow backend servers got
// most of the calls that ran out of time.
func TestChoosePeerSpreadsRequests(t *testing.T) {
	var list []*fleet.Peer
	for i := range 16 {
		p := newPeer(string(rune('a'+i)), "x")
		p.Load.SetUsage(fleet.Usage{Running: 6, MeanServiceTime: 60 * time.Millisecond})
		list = append(list, p)
	}
	list[3].Load.SetUsage(fleet.Usage{MeanServiceTime: 60 * time.Millisecond})
	list[7].Load.SetUsage(fleet.Usage{Running: 6, MeanServiceTime: 120 * time.Millisecond})
	s := &fleet.Snapshot{ByService: map[core.Service][]*fleet.Peer{"s": list}}
	chosen := map[core.NodeID]int{}
	const choices = 4000
	for i := range choices {
		chosen[ChoosePeer(start, s, RequestInfo{Service: "s", DataCentre: "a"}, uint64(i)).Node]++
	}
	must.Between(t, choices/16, chosen["d"], choices*sampleSize/16*3/2, must.Sprint("choices of the idle backend server"))
	must.Less(t, choices/32, chosen["h"], must.Sprint("choices of the slow backend server"))
	for _, p := range list {
		if p != list[7] {
			must.Greater(t, choices/64, chosen[p.Node], must.Sprint(p.Node))
		}
	}
}

// Guards against a link without a report that counts as one that takes a body in
// no time, if no other node of the service reports its link either.
func TestUnreportedLinkHasOwnCapacity(t *testing.T) {
	silent := newPeer("silent", "dc0")
	silent.LinkMbps = 0
	snapshot := &fleet.Snapshot{
		Nodes:     map[core.NodeID]*fleet.Peer{"own": {Entry: fleet.Entry{Node: "own", LinkMbps: 8}}},
		ByService: map[core.Service][]*fleet.Peer{"s": {silent}},
	}
	req := RequestInfo{Node: "own", Service: "s", BodyBytes: 50_000}
	must.Eq(t, 50*time.Millisecond, linkCost(silent, req, assumeLink(snapshot, req)))
	req.BodyBytes = 0
	must.Eq(t, 0, linkCost(silent, req, assumeLink(snapshot, req)))
}
