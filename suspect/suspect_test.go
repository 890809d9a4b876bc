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
	step    = 10 * time.Millisecond
	crasher = Fingerprint(1)
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

type flight struct {
	f   Fingerprint
	end clock.Instant
}

type server struct {
	table  *Table
	up     clock.Instant // the backend server runs from here on
	flight []flight
}

// service simulates eight nodes that exchange digests every 600 ms. All
// requests go to one owner, which changes 3 s after a death.
type service struct {
	rnd     *rand.Rand
	now     clock.Instant
	nodes   []*server
	owner   int
	ownerAt clock.Instant
	deaths  int
	// crashes counts deaths caused by the crashing request.
	crashes     int
	quarantined map[Fingerprint]bool
	refused     map[Fingerprint]int
	completed   map[Fingerprint]int
}

func newService(seed uint64) *service {
	s := &service{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), quarantined: map[Fingerprint]bool{},
		refused: map[Fingerprint]int{}, completed: map[Fingerprint]int{},
	}
	for range 8 {
		s.nodes = append(s.nodes, &server{table: New(Config{})})
	}
	return s
}

func (s *service) wall() time.Time { return epoch.Add(time.Duration(s.now)) }

func (s *service) note(fs []Fingerprint) {
	for _, f := range fs {
		s.quarantined[f] = true
	}
}

// send starts a request at the owner unless it is down or the request must not
// start.
func (s *service) send(f Fingerprint, service time.Duration) {
	o := s.nodes[s.owner]
	if s.now < s.ownerAt || s.now < o.up || len(o.flight) >= 17 {
		return
	}
	if o.table.Start(s.now, f) != Allow {
		s.refused[f]++
		return
	}
	o.flight = append(o.flight, flight{f, s.now.Add(service)})
}

// advance ends requests and exchanges digests.
func (s *service) advance() {
	s.now = s.now.Add(step)
	for i, n := range s.nodes {
		kept := n.flight[:0]
		crashed := false
		for _, x := range n.flight {
			switch {
			case x.end > s.now:
				kept = append(kept, x)
			case x.f == crasher:
				crashed = true
				kept = append(kept, x)
			default:
				n.table.Finish(s.now, x.f, true)
				s.completed[x.f]++
			}
		}
		n.flight = kept
		if crashed {
			s.crashes++
			s.die(i)
		}
	}
	if time.Duration(s.now)%(600*time.Millisecond) == 0 {
		s.gossip()
	}
}

func (s *service) gossip() {
	for i, from := range s.nodes {
		marks := from.table.Export(s.now, s.wall(), 24)
		for j, to := range s.nodes {
			if i != j && s.rnd.IntN(10) < 7 { // datagrams are lost
				skew := time.Duration(j-4) * 100 * time.Millisecond
				s.note(to.table.Merge(s.now, s.wall().Add(skew), marks))
			}
		}
	}
}

func (s *service) die(i int) {
	s.deaths++
	n := s.nodes[i]
	var in []InflightRequest
	for _, x := range n.flight {
		in = append(in, InflightRequest{x.f, fmt.Sprint("request ", x.f)})
	}
	s.note(n.table.RecordDeath(s.now, DeathID(s.deaths), in))
	n.flight, n.up = nil, s.now.Add(20*time.Second)
	if s.owner == i {
		s.owner, s.ownerAt = (s.owner+1+s.rnd.IntN(7))%8, s.now.Add(3*time.Second)
	}
}

func (s *service) falsePositives() (n int) {
	for f := range s.quarantined {
		if f != crasher {
			n++
		}
	}
	return n
}

// Guards against a crashing request that costs more than three backend
// servers, and against quarantine of requests that are always sent together
// with it and that need longer than the crash.
func TestCrashingRequest(t *testing.T) {
	worst, wrong, seeds := 0, 0, 25
	for seed := range seeds {
		s := newService(uint64(seed))
		batch := make([]Fingerprint, 12)
		for i := range batch {
			batch[i] = Fingerprint(i + 1)
		}
		for range 9_000 { // 90 s, of which the request could crash one each 3 s
			if s.rnd.IntN(5) == 0 {
				s.rnd.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
				for _, f := range batch {
					took := 50 * time.Millisecond
					if f == crasher && seed%2 == 0 {
						took = step
					} else if f == crasher {
						took = 1500 * time.Millisecond // longer than HoldFor
					}
					s.send(f, took)
				}
			}
			s.advance()
		}
		worst = max(worst, s.crashes)
		wrong += s.falsePositives()
		must.True(t, s.quarantined[crasher])
		for _, f := range batch {
			must.True(t, f == crasher || s.completed[f] > 0)
		}
	}
	t.Logf("%d seeds: at most %d backend servers lost to a request resent for 90 s; %d of %d neighbours quarantined",
		seeds, worst, wrong, seeds*11)
	must.LessEq(t, 3, worst)
	must.EqOp(t, 0, wrong)
}

// Measures quarantines when backend servers die for reasons of their own, at
// rates far above the ordinary one. 4 of 200 fingerprints run for 3 s.
func TestUnrelatedDeaths(t *testing.T) {
	for _, every := range []time.Duration{10 * time.Second, 60 * time.Second} {
		wrong, requests, deaths := 0, 0, 0
		for seed := range uint64(4) {
			s := newService(seed)
			for range 15_000 {
				for range 3 {
					f := Fingerprint(2 + min(s.rnd.IntN(200), s.rnd.IntN(200)))
					took := 20 * time.Millisecond
					if f%50 == 0 {
						took = 3 * time.Second
					}
					s.send(f, took)
				}
				if s.rnd.Int64N(int64(every/step)) == 0 {
					s.die(s.owner)
				}
				s.advance()
			}
			wrong += s.falsePositives()
			requests += len(s.completed)
			deaths += s.deaths
		}
		t.Logf("%d unrelated deaths, one in %v: %d of %d fingerprints quarantined (%.4f)",
			deaths, every, wrong, requests, float64(wrong)/float64(requests))
		must.Positive(t, requests)
	}
}

// Guards against a quarantine that ends while the request is still sent, that
// never ends, or that an operator cannot lift.
func TestForgetAndLift(t *testing.T) {
	table, now := New(Config{}), clock.Instant(time.Hour)
	in := []InflightRequest{{Fingerprint: 7, Note: "GET /x"}}
	must.SliceEmpty(t, table.RecordDeath(now, 1, in))
	must.SliceEmpty(t, table.RecordDeath(now, 1, in))
	must.Eq(t, []Fingerprint{7}, table.RecordDeath(now+1, 2, in))
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
func TestCapacity(t *testing.T) {
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

// Guards against two marked requests in flight together, which hides the cause
// of the next death.
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

// Guards against allocation on the request path.
func TestNoAllocation(t *testing.T) {
	table := New(Config{})
	table.RecordDeath(1, 1, []InflightRequest{{Fingerprint: 1}})
	body := []byte("0123456789abcdef")
	must.EqOp(t, 0, testing.AllocsPerRun(1000, func() {
		f := NewFingerprint("hintapalvelu", "key", "POST", "/prices/submit", body)
		table.Start(2, f)
		table.Finish(3, f, true)
	}))
}

// BenchmarkStart measures fingerprint, Start and Finish of one request.
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
