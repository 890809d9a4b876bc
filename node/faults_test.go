package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/intent"
	"marjoramshore.example/operator"
	"marjoramshore.example/standin/backend"
	"marjoramshore.example/standin/platform"
)

// keysOwnedBy returns count keys that the node owns under a valid lease.
func (f *fleet) keysOwnedBy(n *Node, count int) []string {
	f.t.Helper()
	var keys []string
	for k := 0; len(keys) < count && k < 10_000; k++ {
		key := fmt.Sprintf("key-%d", k)
		if _, code := n.Lease().Check(n.clock.Now(), core.HashKey(key)); code == 0 {
			keys = append(keys, key)
		}
	}
	must.SliceLen(f.t, count, keys)
	return keys
}

// plainMembers returns the indexes of the nodes that are neither coordinator nor
// successor.
func (f *fleet) plainMembers() []int {
	var out []int
	for i, n := range f.nodes {
		s := n.Lease()
		special := s.IsCoordinator
		for _, r := range s.Successors {
			special = special || r.Node == n.self.Node
		}
		if !special {
			out = append(out, i)
		}
	}
	return out
}

// crashVM kills a node together with its backend server, as the loss of their
// VM would.
func (f *fleet) crashVM(i int) {
	n := f.nodes[i]
	f.nodes[i] = nil
	n.Kill()
	f.backends[i].Crash()
}

// sumRuns adds up how often the request with an idempotency key ran on all
// backend servers.
func (f *fleet) sumRuns(idempotencyKey string) (sum backend.RunCounts) {
	for _, b := range f.backends {
		r := b.RunsOfIdempotencyKey("farmer-1", idempotencyKey)
		sum.Started, sum.Completed = sum.Started+r.Started, sum.Completed+r.Completed
	}
	return sum
}

// awaitServed waits until a lookup of every key through the node is answered.
func (f *fleet) awaitServed(timeout time.Duration, n *Node, keys []string) {
	f.t.Helper()
	for _, key := range keys {
		f.waitFor(timeout, key+" is served", func() bool {
			resp, err := f.send(f.t.Context(), n, http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
			return err == nil && resp.outcome == "answered" && resp.status == http.StatusOK
		})
	}
}

// Guards against a second run of a non-idempotent request that is resent through
// other nodes while its owner is lost, and against an answer to a request that
// did not run.
func TestAtMostOnceAcrossLostOwner(t *testing.T) {
	f := newFleet(t, 4)
	lost := f.plainMembers()[0]
	survivors := append(append([]*Node{}, f.nodes[:lost]...), f.nodes[lost+1:]...)
	keys := append(f.keysOwnedBy(f.nodes[lost], 10), f.keysOwnedBy(survivors[0], 5)...)
	const workers, each = 8, 60
	var answered [workers * each]bool
	submit := func(i int) {
		issued := strconv.FormatInt(time.Now().UnixMilli(), 10)
		for resend := range 4 {
			resp, err := f.send(t.Context(), survivors[(i+resend)%len(survivors)], http.MethodPost, "/short/submit", keys[i%len(keys)],
				"Marjoram-Idempotent", "false", "Idempotency-Key", "lost-"+strconv.Itoa(i), "Marjoram-Issued-At", issued,
				"Marjoram-Deadline-Ms", "400")
			answered[i] = answered[i] || err == nil && resp.outcome == "answered" && resp.status == http.StatusOK
			time.Sleep(20 * time.Millisecond)
		}
	}
	var callers sync.WaitGroup
	for w := range workers {
		callers.Go(func() {
			for i := w; i < workers*each && t.Context().Err() == nil; i += workers {
				submit(i)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.crashVM(lost)
	callers.Wait()
	count := 0
	for i, ok := range answered {
		runs := f.sumRuns("lost-" + strconv.Itoa(i))
		must.LessEq(t, 1, runs.Started, must.Sprintf("submission %d", i))
		if ok {
			count++
			must.Eq(t, 1, runs.Completed, must.Sprintf("submission %d was answered", i))
		}
	}
	for _, b := range f.backends {
		must.Eq(t, 0, b.Stats().DuplicateRuns)
	}
	t.Logf("%d of %d submissions answered", count, len(answered))
	must.Positive(t, count)
}

// Guards against an answer which states that a request did not run although it
// did, while one node stops gracefully and another is lost.
func TestRefusedDidNotRun(t *testing.T) {
	f := newFleet(t, 5)
	lost := f.plainMembers()[0]
	stopping := (lost + 1) % 5
	var survivors []*Node
	for i, n := range f.nodes {
		if i != lost && i != stopping {
			survivors = append(survivors, n)
		}
	}
	keys := append(f.keysOwnedBy(f.nodes[lost], 6), f.keysOwnedBy(f.nodes[stopping], 6)...)
	const workers = 8
	var outcomes [workers]map[string]string // by request ID
	deadlines := []string{"5", "20", "100", "400"}
	until := time.Now().Add(5 * time.Second)
	var callers sync.WaitGroup
	for w := range workers {
		outcomes[w] = map[string]string{}
		callers.Go(func() {
			for i := 0; time.Now().Before(until) && i < 2000; i++ {
				id := fmt.Sprintf("refusal-%d-%d", w, i)
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				resp, err := f.send(t.Context(), survivors[i%len(survivors)], method, "/short/price", keys[i%len(keys)],
					"Marjoram-Request-Id", id, "Marjoram-Deadline-Ms", deadlines[(i/2)%len(deadlines)])
				if err == nil {
					outcomes[w][id] = resp.outcome
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func(n *Node) { stopped <- n.Stop(ctx) }(f.nodes[stopping])
	f.crashVM(lost)
	callers.Wait()
	must.NoError(t, <-stopped)
	f.nodes[stopping] = nil
	counts := map[string]int{}
	for _, m := range outcomes {
		for id, outcome := range m {
			counts[outcome]++
			if outcome != "refused-not-run" && outcome != "deadline-passed-not-run" && outcome != "quarantined" {
				continue
			}
			for _, b := range f.backends {
				must.Eq(t, 0, b.RunsOfRequest(id).Started, must.Sprintf("request %s ran, but its outcome was %s", id, outcome))
			}
		}
	}
	t.Logf("outcomes: %v", counts)
	must.Positive(t, counts["answered"])
	must.Positive(t, counts["refused-not-run"]+counts["deadline-passed-not-run"])
}

// Guards against a request that crashes one backend server after another. It
// must be refused after at most 3 crashes, whether or not the crashed backend
// servers are restarted, and other keys must be served.
func TestPoisonIsQuarantined(t *testing.T) {
	for name, restartDelay := range map[string]time.Duration{"left down": time.Hour, "restarted late": 700 * time.Millisecond, "restarted at once": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			last := f.resendPoison(restartDelay)
			crashes := uint64(0)
			for _, b := range f.backends {
				crashes += b.Stats().Crashes
			}
			must.Eq(t, "quarantined", last.outcome, must.Sprintf("%+v after %d crashes", last, crashes))
			must.LessEq(t, uint64(3), crashes)
			f.awaitServed(15*time.Second, f.nodes[0], []string{"ewe-1", "ewe-2", "ewe-3", "ewe-4", "ewe-5", "ewe-6", "ewe-7", "ewe-8"})
		})
	}
}

// resendPoison sends one request that crashes backend servers 40 times, through
// all nodes in turn, and restarts each crashed backend server after
// restartDelay. It returns the last response.
func (f *fleet) resendPoison(restartDelay time.Duration) (last response) {
	f.t.Helper()
	crashedAt := map[*backend.Server]time.Time{}
	for i := range 40 {
		resp, err := f.send(f.t.Context(), f.nodes[i%len(f.nodes)], http.MethodGet, "/poison/report", "ewe-poison", "Marjoram-Deadline-Ms", "250")
		must.NoError(f.t, err)
		if resp != last {
			f.t.Logf("attempt %d: %s %s %s", i, resp.outcome, resp.reason, resp.body)
		}
		last = resp
		for j, b := range f.backends {
			crashed, known := crashedAt[b]
			switch {
			case b.Running():
				delete(crashedAt, b)
			case !known:
				crashedAt[b] = time.Now()
				f.t.Logf("attempt %d: backend server %d crashed", i, j)
			case time.Since(crashed) > restartDelay:
				must.NoError(f.t, b.Restart())
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// Guards against a frozen backend server whose keys are not moved, and against a
// second run when it resumes a request that its caller has given up and resent.
func TestFrozenBackendServer(t *testing.T) {
	f := newFleet(t, 4)
	key := f.keysOwnedBy(f.nodes[3], 1)[0]
	f.logOnFailure(key)
	issued := strconv.FormatInt(time.Now().UnixMilli(), 10)
	submit := func(n *Node, i int) {
		resp, err := f.send(t.Context(), n, http.MethodPost, "/short/submit", key, "Marjoram-Idempotent", "false",
			"Idempotency-Key", "frozen-"+strconv.Itoa(i), "Marjoram-Issued-At", issued, "Marjoram-Deadline-Ms", "1500")
		t.Logf("submission %d: %s %s %v", i, resp.outcome, resp.body, err)
	}
	for range 20 {
		// A hanging request is a sign of a freeze only if the node knows from
		// earlier ones that it should be short.
		resp, err := f.send(t.Context(), f.nodes[0], http.MethodPost, "/short/submit", key)
		must.NoError(t, err)
		must.Eq(t, "answered", resp.outcome, must.Sprintf("%+v", resp))
	}
	f.backends[3].Pause()
	var submissions sync.WaitGroup
	for i := range 5 {
		submissions.Go(func() { submit(f.nodes[i%3], i) })
	}
	submissions.Wait()
	f.waitFor(20*time.Second, "another node serves the key", func() bool {
		resp, err := f.send(t.Context(), f.nodes[0], http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
		return err == nil && resp.outcome == "answered" && resp.owner != f.nodes[3].CallerAddr()
	})
	for i := range 5 {
		submit(f.nodes[(i+1)%3], i)
	}
	f.backends[3].Resume()
	time.Sleep(500 * time.Millisecond) // the resumed server runs the requests that it had received
	for i := range 5 {
		submit(f.nodes[(i+2)%3], i)
		must.LessEq(t, 1, f.sumRuns("frozen-"+strconv.Itoa(i)).Started, must.Sprintf("submission %d", i))
	}
	for _, b := range f.backends {
		must.Eq(t, 0, b.Stats().DuplicateRuns)
	}
}

// Guards against failed requests while the store is down, against keys that stay
// unserved when a plain member is lost during the outage, and against a record
// in the store that stays out of date afterwards.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 5)
	f.waitFor(20*time.Second, "two successors are named", func() bool { return len(f.plainMembers()) == 2 })
	outageStart := time.Now()
	f.platform.SetFaults(platform.Faults{Down: true})
	var keys []string
	for _, n := range f.nodes {
		keys = append(keys, f.keysOwnedBy(n, 3)...)
	}
	f.requireServed(4*time.Second, keys)
	lost := f.plainMembers()[0]
	lostKeys := f.keysOwnedBy(f.nodes[lost], 3)
	f.logOnFailure(lostKeys[0])
	f.crashVM(lost)
	f.waitFor(20*time.Second, "the lost member's keys are served during the outage", func() bool {
		f.requireServed(0, append(append([]string{}, keys[:3*lost]...), keys[3*lost+3:]...))
		for _, key := range lostKeys {
			resp, err := f.send(t.Context(), f.runningNodes()[0], http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
			if err != nil || resp.outcome != "answered" {
				return false
			}
		}
		return true
	})
	t.Logf("served again %v after the store went down", time.Since(outageStart).Round(time.Millisecond))
	f.requireServed(8*time.Second-time.Since(outageStart), keys)
	f.platform.SetFaults(platform.Faults{})
	f.waitFor(20*time.Second, "the record in the store agrees with the table in use", f.recordMatchesTables)
	f.requireServed(0, keys)
}

// runningNodes returns the nodes that were neither stopped nor crashed.
func (f *fleet) runningNodes() (out []*Node) {
	for _, n := range f.nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

// requireServed looks up the keys through all running nodes in turn, for the
// given duration and each key at least once. It fails the test at the first
// lookup that fails.
func (f *fleet) requireServed(duration time.Duration, keys []string) {
	f.t.Helper()
	nodes := f.runningNodes()
	for i, deadline := 0, time.Now().Add(duration); i < len(keys) || time.Now().Before(deadline); i++ {
		key := keys[i%len(keys)]
		resp, err := f.send(f.t.Context(), nodes[i%len(nodes)], http.MethodGet, "/short/price", key)
		must.NoError(f.t, err)
		must.Eq(f.t, "answered", resp.outcome, must.Sprintf("%s: %+v", key, resp))
		time.Sleep(5 * time.Millisecond)
	}
}

// recordMatchesTables reports whether the group's record in the store assigns
// the same owners and tokens as the table of every running node.
func (f *fleet) recordMatchesTables() bool {
	object, err := f.platform.Get(f.t.Context(), groupRecordKey(core.GroupID{Service: testService}))
	if err != nil {
		return false
	}
	rec, err := decodeGroupRecord(object.Value)
	if err != nil {
		return false
	}
	for _, n := range f.runningNodes() {
		s := n.Lease()
		if s.Table == nil || s.TableUnwritten || s.Table.Version != rec.Table.Version || len(s.Table.Entries) != len(rec.Table.Entries) {
			return false
		}
		for _, e := range rec.Table.Entries {
			want, _, _ := rec.Table.Owner(e.Range.Lo)
			have, token, ok := s.Table.Owner(e.Range.Lo)
			if !ok || token != e.Token || !have.SameRun(want) {
				return false
			}
		}
	}
	return true
}

// Guards against accepting two plans of concurrent operators that were made from
// the same revision, and against a refusal that does not list the changes made
// since that revision.
func TestConcurrentOperatorPlans(t *testing.T) {
	f := newConfiguredFleet(t, 4, func(c *Config) {
		c.Region, c.OperatorListen, c.ReadToken, c.ChangeToken = "fi-south", "127.0.0.1:0", "read-token", "change-token"
	})
	var clients [2]*operator.Client
	var plans [2]intent.Plan
	for i := range clients {
		c, err := operator.NewClient("http://"+f.nodes[i].OperatorAddr(), "change-token", 0)
		must.NoError(t, err)
		t.Cleanup(c.Close)
		clients[i] = c
		plans[i], err = c.Apply(t.Context(), fmt.Appendf(nil, `{"services": [{"name": "hintapalvelu", "region": "fi-south", "groups": 1,
			"slots": 17, "connections": 130, "customers": [{"name": "farmer-1", "weight": %d}]}]}`, i+2))
		must.NoError(t, err)
	}
	must.Eq(t, plans[0].Base, plans[1].Base)
	var accepted [2]operator.ChangeResult
	var errs [2]error
	var confirms sync.WaitGroup
	for i := range clients {
		confirms.Go(func() {
			accepted[i], errs[i] = clients[i].Confirm(t.Context(), operator.ConfirmRequest{PlanID: plans[i].ID, Attribution: operator.Attribution{By: "operator-" + strconv.Itoa(i)}})
		})
	}
	confirms.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	must.NoError(t, errs[winner])
	var refused *operator.ErrorBody
	must.True(t, errors.As(errs[1-winner], &refused), must.Sprintf("%v", errs[1-winner]))
	must.Eq(t, http.StatusConflict, refused.Status)
	must.NotNil(t, refused.Conflict)
	must.SliceLen(t, 1, refused.Conflict.LaterEntries)
	must.Eq(t, plans[winner].ID, refused.Conflict.LaterEntries[0].Plan)
	must.SliceNotEmpty(t, refused.Conflict.LaterEntries[0].Changes)
	// Confirming again is idempotent on both nodes, although only one keeps the
	// plan.
	for _, c := range clients {
		again, err := c.Confirm(t.Context(), operator.ConfirmRequest{Plan: &plans[winner]})
		must.NoError(t, err)
		must.Eq(t, accepted[winner].Revision, again.Revision)
	}
	f.waitFor(15*time.Second, "the accepted revision is in force on all nodes", func() bool {
		for _, n := range f.nodes {
			c := n.configSync.Current()
			if c.Revision != accepted[winner].Revision || len(intent.Diff(c.Declaration, plans[winner].Result)) != 0 {
				return false
			}
		}
		return true
	})
	status, err := clients[1-winner].Status(t.Context())
	must.NoError(t, err)
	must.True(t, status.InForce, must.Sprintf("waiting for %v", status.WaitingFor))
}
