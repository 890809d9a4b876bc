package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/clock"
)

const (
	step     = 10 * time.Millisecond
	crashing = Fingerprint(1)
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// runningRequest is a request at a backend server, which it leaves or crashes at
// end.
type runningRequest struct {
	f   Fingerprint
	end clock.Instant
}

type simNode struct {
	table       *Table
	backendUpAt clock.Instant // the backend server is down until then
	running     []runningRequest
}

// simulation runs eight nodes that exchange digests every 600 ms. All requests
// go to one owner, which changes 3 s after a death.
type simulation struct {
	rng           *rand.Rand
	now           clock.Instant
	nodes         []*simNode
	owner         int
	ownerActiveAt clock.Instant
	deaths        int
	// causedDeaths counts the deaths that the crashing request has caused.
	causedDeaths int
	quarantined  map[Fingerprint]bool
	refused      map[Fingerprint]int
	completed    map[Fingerprint]int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), quarantined: map[Fingerprint]bool{},
		refused: map[Fingerprint]int{}, completed: map[Fingerprint]int{},
	}
	for range 8 {
		s.nodes = append(s.nodes, &simNode{table: New(Config{})})
	}
	return s
}

func (s *simulation) wall() time.Time { return epoch.Add(time.Duration(s.now)) }

func (s *simulation) recordQuarantined(fs []Fingerprint) {
	for _, f := range fs {
		s.quarantined[f] = true
	}
}

// send starts a request at the owner unless the owner is down or full, or
// refuses it.
func (s *simulation) send(f Fingerprint, serviceTime time.Duration) {
	o := s.nodes[s.owner]
	if s.now < s.ownerActiveAt || s.now < o.backendUpAt || len(o.running) >= 17 {
		return
	}
	if o.table.Start(s.now, f) != Allow {
		s.refused[f]++
		return
	}
	o.running = append(o.running, runningRequest{f, s.now.Add(serviceTime)})
}

// advance lets one step pass: it ends requests and exchanges digests.
func (s *simulation) advance() {
	s.now = s.now.Add(step)
	for i, n := range s.nodes {
		kept := n.running[:0]
		crashed := false
		for _, x := range n.running {
			switch {
			case x.end > s.now:
				kept = append(kept, x)
			case x.f == crashing:
				crashed = true
				kept = append(kept, x)
			default:
				n.table.Finish(s.now, x.f, true)
				s.completed[x.f]++
			}
		}
		n.running = kept
		if crashed {
			s.causedDeaths++
			s.killBackend(i)
		}
	}
	if time.Duration(s.now)%(600*time.Millisecond) == 0 {
		s.exchangeDigests()
	}
}

func (s *simulation) exchangeDigests() {
	for i, from := range s.nodes {
		marks := from.table.Export(s.now, s.wall(), 24)
		for j, to := range s.nodes {
			if i != j && s.rng.IntN(10) < 7 { // three in ten datagrams are lost
				skew := time.Duration(j-4) * 100 * time.Millisecond
				s.recordQuarantined(to.table.Merge(s.now, s.wall().Add(skew), marks))
			}
		}
	}
}

func (s *simulation) killBackend(node int) {
	s.deaths++
	n := s.nodes[node]
	var inflight []InflightRequest
	for _, x := range n.running {
		inflight = append(inflight, InflightRequest{x.f, fmt.Sprint("request ", x.f)})
	}
	s.recordQuarantined(n.table.RecordDeath(s.now, DeathID(s.deaths), inflight))
	n.running, n.backendUpAt = nil, s.now.Add(20*time.Second)
	if s.owner == node {
		s.owner, s.ownerActiveAt = (s.owner+1+s.rng.IntN(7))%8, s.now.Add(3*time.Second)
	}
}

// falsePositives counts the quarantined fingerprints that never crash a server.
func (s *simulation) falsePositives() (n int) {
	for f := range s.quarantined {
		if f != crashing {
			n++
		}
	}
	return n
}

// Guards against a crashing request that costs more than three backend servers,
// and against the quarantine of requests that are always sent together with it
// and that take longer than the crash.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	worst, falsePositives, seeds := 0, 0, 25
	for seed := range seeds {
		s := newSimulation(uint64(seed))
		batch := make([]Fingerprint, 12)
		for i := range batch {
			batch[i] = Fingerprint(i + 1)
		}
		for range 9_000 { // 90 s, in which the request could crash a server every 3 s
			if s.rng.IntN(5) == 0 {
				s.rng.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
				for _, f := range batch {
					took := 50 * time.Millisecond
					if f == crashing && seed%2 == 0 {
						took = step
					} else if f == crashing {
						took = 1500 * time.Millisecond // longer than MaxHold
					}
					s.send(f, took)
				}
			}
			s.advance()
		}
		worst = max(worst, s.causedDeaths)
		falsePositives += s.falsePositives()
		must.True(t, s.quarantined[crashing])
		for _, f := range batch {
			must.True(t, f == crashing || s.completed[f] > 0)
		}
	}
	t.Logf("%d seeds: at most %d backend servers lost to a request resent for 90 s; %d of %d other requests quarantined",
		seeds, worst, falsePositives, seeds*11)
	must.LessEq(t, 3, worst)
	must.EqOp(t, 0, falsePositives)
}

// Measures quarantines when backend servers die for reasons unrelated to
// requests, far more often than usual. 4 of 200 fingerprints run for 3 s.
func TestUnrelatedDeaths(t *testing.T) {
	for _, every := range []time.Duration{10 * time.Second, 60 * time.Second} {
		falsePositives, requests, deaths := 0, 0, 0
		for seed := range uint64(4) {
			s := newSimulation(seed)
			for range 15_000 {
				for range 3 {
					f := Fingerprint(2 + min(s.rng.IntN(200), s.rng.IntN(200)))
					took := 20 * time.Millisecond
					if f%50 == 0 {
						took = 3 * time.Second
					}
					s.send(f, took)
				}
				if s.rng.Int64N(int64(every/step)) == 0 {
					s.killBackend(s.owner)
				}
				s.advance()
			}
			falsePositives += s.falsePositives()
			requests += len(s.completed)
			deaths += s.deaths
		}
		t.Logf("%d unrelated deaths, one in %v: %d of %d fingerprints quarantined (%.4f)",
			deaths, every, falsePositives, requests, float64(falsePositives)/float64(requests))
		must.Positive(t, requests)
	}
}

// Guards against a quarantine that ends while the request is still sent, that
// never ends, or that an operator cannot lift.
func TestQuarantineRetentionAndLift(t *testing.T) {
	table, now := New(Config{}), clock.Instant(time.Hour)
	inflight := []InflightRequest{{Fingerprint: 7, Note: "GET /x"}}
	must.SliceEmpty(t, table.RecordDeath(now, 1, inflight))
	must.SliceEmpty(t, table.RecordDeath(now, 1, inflight))
	must.Eq(t, []Fingerprint{7}, table.RecordDeath(now+1, 2, inflight))
	for range 48 {
		now = now.Add(time.Hour)
		must.EqOp(t, Quarantined, table.Start(now, 7))
	}
	must.EqOp(t, "GET /x", table.ListQuarantined(now)[0].Note)
	marks := table.Export(now, epoch, 10)
	other := New(Config{})
	must.Eq(t, []Fingerprint{7}, other.Merge(now, epoch, marks))
	must.SliceEmpty(t, other.Merge(now, epoch, marks))

	now = now.Add(time.Minute)
	must.True(t, table.Lift(now, 7))
	must.EqOp(t, Allow, table.Start(now, 7))
	table.Merge(now, epoch.Add(time.Minute), other.Export(now, epoch.Add(time.Minute), 10))
	must.EqOp(t, Allow, table.Start(now, 7))
	other.Merge(now, epoch.Add(time.Minute), table.Export(now, epoch.Add(time.Minute), 10))
	must.SliceEmpty(t, other.ListQuarantined(now))

	other.Quarantine(now, 8, "by order")
	must.EqOp(t, Quarantined, other.Start(now, 8))
	must.EqOp(t, Allow, other.Start(now.Add(25*time.Hour), 8))
}

// Guards against unbounded memory and against marks that displace quarantines.
func TestCapacityKeepsQuarantines(t *testing.T) {
	table, now := New(Config{Capacity: 50}), clock.Instant(time.Hour)
	table.Quarantine(now, 1, "")
	for i := range 1000 {
		now = now.Add(time.Second)
		table.RecordDeath(now, DeathID(i), []InflightRequest{{Fingerprint: Fingerprint(i + 10)}})
	}
	must.EqOp(t, 50, table.Len())
	must.EqOp(t, Quarantined, table.Start(now, 1))
	must.Len(t, 20, table.Export(now, epoch, 20))
}

// Guards against two marked requests in flight at the same time, which would
// hide the cause of the next death.
func TestMarkedRequestsRunAlone(t *testing.T) {
	table, now := New(Config{}), clock.Instant(time.Hour)
	table.RecordDeath(now, 1, []InflightRequest{{Fingerprint: 1}, {Fingerprint: 2}, {Fingerprint: 3}})
	must.EqOp(t, Allow, table.Start(now+1, 1))
	must.EqOp(t, Hold, table.Start(now+1, 2))
	must.EqOp(t, Allow, table.Start(now+1, 9))
	table.Finish(now+2, 1, true)
	must.EqOp(t, Allow, table.Start(now+3, 2))
	must.EqOp(t, Allow, table.Start(now+3, 1))
	must.EqOp(t, Hold, table.Start(now+3, 3))
	must.EqOp(t, Allow, table.Start(now.Add(2*time.Second), 3))
}

// Guards against an answer, or a lift, of a node whose clock is ahead which clears the
// deaths that come after it, so that the request is never quarantined.
func TestClockAheadClearsNoLaterDeaths(t *testing.T) {
	ahead := epoch.Add(time.Hour)
	for name, m := range map[string]Mark{
		"answer": {Fingerprint: 7, Success: ahead.UnixMilli(), Seen: ahead.UnixMilli()},
		"lift":   {Fingerprint: 7, Lifted: ahead.UnixMilli(), Seen: ahead.UnixMilli()},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := New(Config{}), clock.Instant(time.Hour)
			table.Merge(now, epoch, []Mark{m})
			for i := range 3 {
				now = now.Add(time.Second)
				table.RecordDeath(now, DeathID(i+1), []InflightRequest{{Fingerprint: 7}})
			}
			must.EqOp(t, Quarantined, table.Start(now, 7))
		})
	}
}

// Guards against a request that is quarantined before its third death where that is the
// least, and against one that is not after it.
func TestMinDeaths(t *testing.T) {
	table, now := New(Config{MinDeaths: 3}), clock.Instant(time.Hour)
	for i := range 3 {
		must.EqOp(t, Allow, table.Start(now, 7))
		table.RecordDeath(now, DeathID(i+1), []InflightRequest{{Fingerprint: 7}})
		now = now.Add(time.Second)
	}
	must.EqOp(t, Quarantined, table.Start(now, 7))
}

// Guards against the answer to one of several equal requests which clears more than its
// own fingerprints, and against a request that waits for itself.
func TestRequestWithTwoFingerprints(t *testing.T) {
	table, now := New(Config{MinDeaths: 3}), clock.Instant(time.Hour)
	const plain, forCaller, forOther = 1, 2, 3
	table.RecordDeath(now, 1, []InflightRequest{{Fingerprint: plain}, {Fingerprint: forCaller}})
	now = now.Add(time.Second)
	must.EqOp(t, Allow, table.Start(now, plain, forCaller))
	must.EqOp(t, Allow, table.Start(now, plain, forOther), must.Sprint("an equal request"))
	must.True(t, table.FinishAll(now, true, plain, forOther), must.Sprint("another caller is answered"))
	marked, _ := table.Count(now)
	must.Eq(t, 1, marked, must.Sprint("the mark of the first caller stays"))
	must.False(t, table.FinishAll(now, false, plain, forCaller))
	for i := range 2 {
		now = now.Add(time.Second)
		table.RecordDeath(now, DeathID(i+2), []InflightRequest{{Fingerprint: plain}, {Fingerprint: forCaller}})
	}
	must.EqOp(t, Quarantined, table.Start(now, plain, forCaller))
	must.EqOp(t, Allow, table.Start(now, plain, forOther))
}

// Guards against allocations on the request path.
func TestRequestPathDoesNotAllocate(t *testing.T) {
	table := New(Config{})
	table.RecordDeath(1, 1, []InflightRequest{{Fingerprint: 1}})
	body := []byte("0123456789abcdef")
	must.EqOp(t, 0, testing.AllocsPerRun(1000, func() {
		f := NewFingerprint("hintapalvelu", "key", "POST", "/prices/submit", body)
		table.Start(2, f)
		table.Finish(3, f, true)
	}))
}

// BenchmarkStart measures NewFingerprint, Start and Finish of one request.
func BenchmarkStart(b *testing.B) {
	table := New(Config{})
	body := []byte("0123456789abcdef")
	b.ReportAllocs()
	for b.Loop() {
		f := NewFingerprint("hintapalvelu", "key", "POST", "/prices/submit", body)
		table.Start(2, f)
		table.Finish(3, f, true)
	}
}
