package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
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

// keysOf returns keys that the node serves now.
func (f *fleet) keysOf(n *Node, count int) []string {
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

// ordinary returns the positions of the members that are neither coordinator
// nor successor.
func (f *fleet) ordinary() []int {
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

// lose kills a node together with its backend server.
func (f *fleet) lose(i int) {
	n := f.nodes[i]
	f.nodes[i] = nil
	n.Kill()
	f.backends[i].Crash()
}

// runsOfKey adds up the runs of an idempotency key at all backend servers.
func (f *fleet) runsOfKey(idem string) (sum backend.Run) {
	for _, b := range f.backends {
		r := b.RunOfIdempotencyKey("farmer-1", idem)
		sum.Started, sum.Completed = sum.Started+r.Started, sum.Completed+r.Completed
	}
	return sum
}

// served waits until a lookup of every key is answered through the node.
func (f *fleet) served(limit time.Duration, n *Node, keys []string) {
	f.t.Helper()
	for _, key := range keys {
		f.await(limit, key+" is served", func() bool {
			a, err := f.ask(f.t.Context(), n, http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
			return err == nil && a.outcome == "answered" && a.status == http.StatusOK
		})
	}
}

// Guards against a second run of non-idempotent work that is resent through
// other nodes while its owner is lost, and against an answer without a run.
func TestAtMostOnceAcrossLostOwner(t *testing.T) {
	f := newFleet(t, 4)
	victim := f.ordinary()[0]
	entrances := append(append([]*Node{}, f.nodes[:victim]...), f.nodes[victim+1:]...)
	keys := append(f.keysOf(f.nodes[victim], 10), f.keysOf(entrances[0], 5)...)
	const workers, each = 8, 60
	var answered [workers * each]bool
	submit := func(i int) {
		issued := strconv.FormatInt(time.Now().UnixMilli(), 10)
		for resend := range 4 {
			a, err := f.ask(t.Context(), entrances[(i+resend)%len(entrances)], http.MethodPost, "/short/submit", keys[i%len(keys)],
				"Marjoram-Idempotent", "false", "Idempotency-Key", "lost-"+strconv.Itoa(i), "Marjoram-Issued-At", issued,
				"Marjoram-Deadline-Ms", "400")
			answered[i] = answered[i] || err == nil && a.outcome == "answered" && a.status == http.StatusOK
			time.Sleep(20 * time.Millisecond)
		}
	}
	var work sync.WaitGroup
	for w := range workers {
		work.Go(func() {
			for i := w; i < workers*each && t.Context().Err() == nil; i += workers {
				submit(i)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.lose(victim)
	work.Wait()
	count := 0
	for i, ok := range answered {
		runs := f.runsOfKey("lost-" + strconv.Itoa(i))
		must.LessEq(t, 1, runs.Started, must.Sprintf("submission %d", i))
		if ok {
			count++
			must.Eq(t, 1, runs.Completed, must.Sprintf("submission %d was answered", i))
		}
	}
	for _, b := range f.backends {
		must.Eq(t, 0, b.Stats().SecondRuns)
	}
	t.Logf("%d of %d submissions answered", count, len(answered))
	must.Positive(t, count)
}

// Guards against an answer which says that a request did not run although it
// did, while one node stops and another is lost.
func TestRefusedDidNotRun(t *testing.T) {
	f := newFleet(t, 5)
	lost := f.ordinary()[0]
	stopping := (lost + 1) % 5
	var entrances []*Node
	for i, n := range f.nodes {
		if i != lost && i != stopping {
			entrances = append(entrances, n)
		}
	}
	keys := append(f.keysOf(f.nodes[lost], 6), f.keysOf(f.nodes[stopping], 6)...)
	const workers = 8
	var outcomes [workers]map[string]string // by request id
	deadlines := []string{"5", "20", "100", "400"}
	until := time.Now().Add(5 * time.Second)
	var work sync.WaitGroup
	for w := range workers {
		outcomes[w] = map[string]string{}
		work.Go(func() {
			for i := 0; time.Now().Before(until) && i < 2000; i++ {
				id := fmt.Sprintf("truth-%d-%d", w, i)
				method := []string{http.MethodGet, http.MethodPost}[i%2]
				a, err := f.ask(t.Context(), entrances[i%len(entrances)], method, "/short/price", keys[i%len(keys)],
					"Marjoram-Request-Id", id, "Marjoram-Deadline-Ms", deadlines[(i/2)%len(deadlines)])
				if err == nil {
					outcomes[w][id] = a.outcome
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
	f.lose(lost)
	work.Wait()
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
				must.Eq(t, 0, b.RunOf(id).Started, must.Sprintf("%s was told %s", id, outcome))
			}
		}
	}
	t.Logf("outcomes: %v", counts)
	must.Positive(t, counts["answered"])
	must.Positive(t, counts["refused-not-run"]+counts["deadline-passed-not-run"])
}

// Guards against a request that crashes one backend server after another:
// after at most 3 deaths it is refused, whether the crashed backend servers
// return or not, and the other keys stay served.
func TestPoisonIsQuarantined(t *testing.T) {
	for name, pause := range map[string]time.Duration{"left down": time.Hour, "restarted late": 700 * time.Millisecond, "restarted at once": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			last := f.resendPoison(pause)
			crashes := uint64(0)
			for _, b := range f.backends {
				crashes += b.Stats().Crashes
			}
			must.Eq(t, "quarantined", last.outcome, must.Sprintf("%+v after %d crashes", last, crashes))
			must.LessEq(t, uint64(3), crashes)
			f.served(15*time.Second, f.nodes[0], []string{"ewe-1", "ewe-2", "ewe-3", "ewe-4", "ewe-5", "ewe-6", "ewe-7", "ewe-8"})
		})
	}
}

// resendPoison resends one crashing request 40 times through all nodes, and
// restarts each crashed backend server after a pause. It returns the last
// answer.
func (f *fleet) resendPoison(pause time.Duration) (last answer) {
	f.t.Helper()
	diedAt := map[*backend.Server]time.Time{}
	for i := range 40 {
		a, err := f.ask(f.t.Context(), f.nodes[i%len(f.nodes)], http.MethodGet, "/poison/report", "ewe-poison", "Marjoram-Deadline-Ms", "250")
		must.NoError(f.t, err)
		if a != last {
			f.t.Logf("attempt %d: %s %s %s", i, a.outcome, a.reason, a.body)
		}
		last = a
		for j, b := range f.backends {
			died, known := diedAt[b]
			switch {
			case b.Alive():
				delete(diedAt, b)
			case !known:
				diedAt[b] = time.Now()
				f.t.Logf("attempt %d: backend server %d crashed", i, j)
			case time.Since(died) > pause:
				must.NoError(f.t, b.Restart())
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// Guards against a frozen backend server that keeps its keys, and against a
// second run when it resumes work that its caller has given up and resent.
func TestFrozenBackendServer(t *testing.T) {
	f := newFleet(t, 4)
	key := f.keysOf(f.nodes[3], 1)[0]
	issued := strconv.FormatInt(time.Now().UnixMilli(), 10)
	submit := func(n *Node, i int) {
		a, err := f.ask(t.Context(), n, http.MethodPost, "/short/submit", key, "Marjoram-Idempotent", "false",
			"Idempotency-Key", "frozen-"+strconv.Itoa(i), "Marjoram-Issued-At", issued, "Marjoram-Deadline-Ms", "1500")
		t.Logf("submission %d: %s %s %v", i, a.outcome, a.body, err)
	}
	for range 20 {
		// The node judges silence by work that it knows to be short.
		a, err := f.ask(t.Context(), f.nodes[0], http.MethodPost, "/short/submit", key)
		must.NoError(t, err)
		must.Eq(t, "answered", a.outcome)
	}
	f.backends[3].Freeze()
	var first sync.WaitGroup
	for i := range 5 {
		first.Go(func() { submit(f.nodes[i%3], i) })
	}
	first.Wait()
	f.await(20*time.Second, "another node serves the key", func() bool {
		a, err := f.ask(t.Context(), f.nodes[0], http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
		return err == nil && a.outcome == "answered" && a.owner != f.nodes[3].CallerAddr()
	})
	for i := range 5 {
		submit(f.nodes[(i+1)%3], i)
	}
	f.backends[3].Thaw()
	time.Sleep(500 * time.Millisecond) // the resumed server runs what it holds
	for i := range 5 {
		submit(f.nodes[(i+2)%3], i)
		must.LessEq(t, 1, f.runsOfKey("frozen-"+strconv.Itoa(i)).Started, must.Sprintf("submission %d", i))
	}
	for _, b := range f.backends {
		must.Eq(t, 0, b.Stats().SecondRuns)
	}
}

// Guards service while the store is down: nothing fails, a lost ordinary
// member's keys are served again, and the store's record catches up.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t, 5)
	f.await(20*time.Second, "two successors are named", func() bool { return len(f.ordinary()) == 2 })
	down := time.Now()
	f.platform.SetFaults(platform.Faults{Down: true})
	var keys []string
	for _, n := range f.nodes {
		keys = append(keys, f.keysOf(n, 3)...)
	}
	f.allServed(4*time.Second, keys)
	victim := f.ordinary()[0]
	keysOfLost := f.keysOf(f.nodes[victim], 3)
	f.lose(victim)
	f.await(20*time.Second, "the lost member's keys are served during the outage", func() bool {
		f.allServed(0, append(append([]string{}, keys[:3*victim]...), keys[3*victim+3:]...))
		for _, key := range keysOfLost {
			a, err := f.ask(t.Context(), f.living()[0], http.MethodGet, "/short/price", key, "Marjoram-Deadline-Ms", "300")
			if err != nil || a.outcome != "answered" {
				return false
			}
		}
		return true
	})
	t.Logf("served again %v after the store went down", time.Since(down).Round(time.Millisecond))
	f.allServed(8*time.Second-time.Since(down), keys)
	f.platform.SetFaults(platform.Faults{})
	f.await(20*time.Second, "the record agrees with the table in use", f.recordAgrees)
	f.allServed(0, keys)
}

func (f *fleet) living() (out []*Node) {
	for _, n := range f.nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

// allServed looks up the keys through all nodes for a while, at least once,
// and fails at the first lookup that fails.
func (f *fleet) allServed(d time.Duration, keys []string) {
	f.t.Helper()
	nodes := f.living()
	for i, end := 0, time.Now().Add(d); i < len(keys) || time.Now().Before(end); i++ {
		key := keys[i%len(keys)]
		a, err := f.ask(f.t.Context(), nodes[i%len(nodes)], http.MethodGet, "/short/price", key)
		must.NoError(f.t, err)
		must.Eq(f.t, "answered", a.outcome, must.Sprintf("%s: %+v", key, a))
		time.Sleep(5 * time.Millisecond)
	}
}

// recordAgrees reports whether the group's record in the store assigns what
// every living node uses.
func (f *fleet) recordAgrees() bool {
	o, err := f.platform.Get(f.t.Context(), groupKey(core.GroupID{Service: testService}))
	if err != nil {
		return false
	}
	rec, err := decodeRecord(o.Value)
	if err != nil {
		return false
	}
	for _, n := range f.living() {
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

// Guards against two operators whose plans come from one revision and are both
// accepted, and against a refusal that does not say what differed.
func TestOperatorsRace(t *testing.T) {
	f := newFleetWith(t, 4, func(c *Config) {
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
	var accepted [2]operator.Accepted
	var errs [2]error
	var both sync.WaitGroup
	for i := range clients {
		both.Go(func() {
			accepted[i], errs[i] = clients[i].Confirm(t.Context(), operator.Confirm{PlanID: plans[i].ID, Who: operator.Who{By: "operator-" + strconv.Itoa(i)}})
		})
	}
	both.Wait()
	won := 0
	if errs[0] != nil {
		won = 1
	}
	must.NoError(t, errs[won])
	var refused *operator.ErrorBody
	must.True(t, errors.As(errs[1-won], &refused), must.Sprintf("%v", errs[1-won]))
	must.Eq(t, http.StatusConflict, refused.Status)
	must.NotNil(t, refused.Conflict)
	must.SliceLen(t, 1, refused.Conflict.LaterEntries)
	must.Eq(t, plans[won].ID, refused.Conflict.LaterEntries[0].Plan)
	must.SliceNotEmpty(t, refused.Conflict.LaterEntries[0].Changes)
	// The repetition goes through both nodes; the plan is kept on one of them.
	for _, c := range clients {
		again, err := c.Confirm(t.Context(), operator.Confirm{Plan: &plans[won]})
		must.NoError(t, err)
		must.Eq(t, accepted[won].Revision, again.Revision)
	}
	f.await(15*time.Second, "the accepted revision is in force on all nodes", func() bool {
		for _, n := range f.nodes {
			c := n.config.Current()
			if c.Revision != accepted[won].Revision || len(intent.Diff(c.Declaration, plans[won].Result)) != 0 {
				return false
			}
		}
		return true
	})
	status, err := clients[1-won].Status(t.Context())
	must.NoError(t, err)
	must.True(t, status.InForce, must.Sprintf("waiting for %v", status.WaitingFor))
}

// Guards against a graceful stop that cuts a half-sent upload, whether it came
// through another node or through the stopping node itself.
func TestStopWaitsForUpload(t *testing.T) {
	f := newFleet(t, 3)
	stopping := f.nodes[2]
	key := f.keysOf(stopping, 1)[0]
	half := strings.Repeat("0123456789abcdef", 4<<10)
	sum := sha256.Sum256([]byte(half + half))
	uploads := []*upload{f.startUpload(f.nodes[0], key), f.startUpload(stopping, key)}
	for _, u := range uploads {
		_, err := io.WriteString(u.body, half)
		must.NoError(t, err)
	}
	f.await(10*time.Second, "both uploads reached the backend server", func() bool {
		for i, u := range uploads {
			select {
			case r := <-u.result:
				t.Fatalf("upload %d ended before its second half: %+v", i, r)
			default:
			}
		}
		return f.backends[2].Stats().InFlight == 2
	})
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		stopped <- stopping.Stop(ctx)
	}()
	select {
	case err := <-stopped:
		t.Fatalf("stopped before the uploads ended: %v", err)
	case <-time.After(3 * time.Second): // longer than the 2 s until no new work is admitted
	}
	for _, u := range uploads {
		_, err := io.WriteString(u.body, half)
		must.NoError(t, err)
		must.NoError(t, u.body.Close())
		r := <-u.result
		must.NoError(t, r.err)
		must.Eq(t, "answered", r.outcome)
		must.Eq(t, int64(2*len(half)), r.echo.Length)
		must.Eq(t, hex.EncodeToString(sum[:]), r.echo.Digest)
	}
	must.NoError(t, <-stopped)
	f.nodes[2] = nil
}

type upload struct {
	body   *io.PipeWriter
	result chan uploaded
}

type uploaded struct {
	outcome string
	echo    backend.Echo
	err     error
}

// startUpload sends a request whose body is written by the caller.
func (f *fleet) startUpload(n *Node, key string) *upload {
	f.t.Helper()
	r, w := io.Pipe()
	u := &upload{body: w, result: make(chan uploaded, 1)}
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+n.CallerAddr()+"/upload/sheet", r)
	must.NoError(f.t, err)
	req.Header.Set("Marjoram-Service", testService)
	req.Header.Set("Marjoram-Key", key)
	req.Header.Set("Marjoram-Kind", "long")
	go func() {
		resp, err := f.caller.Do(req)
		if err != nil {
			u.result <- uploaded{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		out := uploaded{outcome: resp.Header.Get("Marjoram-Outcome")}
		out.err = json.NewDecoder(resp.Body).Decode(&out.echo)
		u.result <- out
	}()
	return u
}
