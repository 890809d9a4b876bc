package once

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of property tests, so that every run returns the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func key(n int) Key {
	name := fmt.Sprintf("request-%d", n)
	return Key{Service: "hintapalvelu", Customer: "c", IdempotencyKey: name, Hash: core.HashKey(name)}
}

// client is one logical request that its caller sends again and again.
type client struct {
	key    Key
	issued time.Time
	runs   int
}

// world has two halves of the key space, each owned by one of four nodes.
// Clocks of callers and nodes differ from the true time by up to half of the
// skew bound.
type world struct {
	rnd     *rand.Rand
	cfg     Config
	now     time.Time
	offsets []time.Duration
	tables  []*Table
	owner   [2]int
	clients []*client
	flights []func()
	// forget disables the horizon rule when it is set.
	forget  bool
	answers [NotOwned + 1]int
}

var halves = [2]core.Range{{Lo: 0, Hi: 1 << 63}, {Lo: 1<<63 + 1, Hi: ^core.Hash(0)}}

func newWorld(seed uint64, forget bool) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch, forget: forget, owner: [2]int{0, 1}}
	w.cfg = Config{MaxBytes: 38 * (4 + w.rnd.IntN(400)), Window: 20 * time.Second}
	for range 4 {
		w.offsets = append(w.offsets, w.drift())
		w.tables = append(w.tables, New(w.cfg))
	}
	w.tables[0].AcquireNew(halves[0])
	w.tables[1].AcquireNew(halves[1])
	return w
}

func (w *world) drift() time.Duration {
	return time.Duration(w.rnd.Int64N(int64(time.Second))) - time.Second/2
}

func (w *world) wall(node int) time.Time { return w.now.Add(w.offsets[node]) }

func (w *world) send() {
	var c *client
	if len(w.clients) == 0 || w.rnd.IntN(2) == 0 {
		c = &client{key: key(len(w.clients)), issued: w.now.Add(w.drift())}
		w.clients = append(w.clients, c)
	} else {
		c = w.clients[w.rnd.IntN(len(w.clients))]
	}
	half := 0
	if c.key.Hash > halves[0].Hi {
		half = 1
	}
	table := w.tables[w.owner[half]]
	if w.forget {
		for i := range table.spans.list {
			table.spans.list[i].horizon = 0
		}
	}
	d := table.Begin(w.wall(w.owner[half]), c.key, c.issued)
	w.answers[d.Verdict]++
	if d.Verdict != Run {
		return
	}
	if w.rnd.IntN(10) == 0 {
		table.RemoveUnstarted(d.ID)
		return
	}
	c.runs++
	w.flights = append(w.flights, func() { table.RecordEnd(d.ID, Done, core.OutcomeAnswered, 200) })
}

func (w *world) move() {
	half, to := w.rnd.IntN(2), w.rnd.IntN(4)
	from := w.owner[half]
	if from == to {
		return
	}
	transfer := w.tables[from].Export(halves[half])
	if w.rnd.IntN(2) == 0 {
		w.tables[to].MergeRecords(transfer.Records)
		for range w.rnd.IntN(30) {
			w.now = w.now.Add(10 * time.Millisecond)
			w.send()
			w.land()
		}
		transfer = w.tables[from].ExportSince(halves[half], transfer)
	}
	w.tables[from].Release(halves[half])
	w.tables[to].Import(w.wall(to), transfer)
	w.owner[half] = to
	if w.rnd.IntN(2) == 0 {
		w.flights = append(w.flights, func() { w.tables[to].MergeRecords(w.tables[from].RecordsIn(halves[half])) })
	}
}

func (w *world) lose() {
	lost := w.rnd.IntN(4)
	w.tables[lost] = New(w.cfg)
	w.now = w.now.Add(3 * time.Second)
	for half, owner := range w.owner {
		if owner == lost {
			to := (lost + 1 + w.rnd.IntN(3)) % 4
			w.owner[half] = to
			w.tables[to].Acquire(halves[half], w.wall(to))
		}
	}
}

// land ends the oldest exchange in flight.
func (w *world) land() {
	if len(w.flights) > 0 {
		w.flights[0]()
		w.flights = w.flights[1:]
	}
}

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.rnd.IntN(200)) * time.Millisecond)
	switch x := w.rnd.IntN(100); {
	case x < 70:
		w.send()
	case x < 90:
		w.land()
	case x < 97:
		w.move()
	case x == 99:
		w.lose()
	}
}

// secondRuns plays one seeded history and counts requests that ran again.
func (w *world) secondRuns() (n int) {
	for range 1500 {
		w.step()
	}
	for _, c := range w.clients {
		n += max(0, c.runs-1)
	}
	return n
}

// Guards against second runs through resends, moves, losses, evictions and
// clock differences within the bound.
func TestNoSecondRun(t *testing.T) {
	var total [NotOwned + 1]int
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), false)
		must.EqOp(t, 0, w.secondRuns())
		must.EqOp(t, 0, w.answers[NotOwned])
		for i, n := range w.answers {
			total[i] += n
		}
	})
	t.Logf("second runs 0; run %d, duplicate %d, not known %d", total[Run], total[Duplicate], total[MayHaveRun])
	must.Positive(t, total[Run])
	must.Positive(t, total[Duplicate])
	must.Positive(t, total[MayHaveRun])
}

// Shows that the property above depends on the horizon rule.
func TestSecondRunsWithoutHorizon(t *testing.T) {
	n := 0
	for seed := range uint64(20) {
		n += newWorld(seed, true).secondRuns()
	}
	t.Logf("second runs with the horizon rule off: %d in 20 histories", n)
	must.Positive(t, n)
}

// Guards against records that grow or a bound that does not hold.
func TestBytesPerRecord(t *testing.T) {
	table := New(Config{MaxBytes: 1 << 20})
	table.AcquireNew(core.FullRange)
	for n := range 100_000 {
		table.Begin(epoch.Add(time.Duration(n)*time.Millisecond), key(n), epoch.Add(time.Duration(n)*time.Millisecond))
	}
	s := table.Stats()
	t.Logf("%d records in %d bytes: %.1f bytes per record", s.Records, s.Bytes, float64(s.Bytes)/float64(s.Records))
	must.LessEq(t, 1<<20, s.Bytes)
	must.EqOp(t, s.Capacity, s.Records)
	must.EqOp(t, 100_000-s.Records, int(s.Evicted))
	// The record before the oldest one left was evicted.
	gone := 100_000 - s.Records - 1
	d := table.Begin(epoch.Add(100*time.Second), key(gone), epoch.Add(time.Duration(gone)*time.Millisecond))
	must.EqOp(t, MayHaveRun, d.Verdict)
}

// Guards against wrong answers at the edges of the rules.
func TestRules(t *testing.T) {
	table := New(Config{})
	wall := epoch
	begin := func(n int, issued time.Time) Verdict { return table.Begin(wall, key(n), issued).Verdict }
	must.EqOp(t, NotOwned, begin(1, wall))
	table.Acquire(core.FullRange, wall)
	must.EqOp(t, MayHaveRun, begin(1, wall.Add(time.Second)))
	wall = wall.Add(2 * time.Second)
	must.EqOp(t, MayHaveRun, begin(1, epoch.Add(time.Second)))
	must.EqOp(t, Run, begin(1, epoch.Add(time.Second+time.Millisecond)))
	must.EqOp(t, MayHaveRun, begin(2, time.Time{}))
	must.EqOp(t, MayHaveRun, begin(3, wall.Add(time.Hour)))
	wall = wall.Add(10*time.Minute + 2*time.Second)
	must.EqOp(t, Run, begin(2, time.Time{}))
	must.EqOp(t, Run, table.Begin(wall, Key{}, time.Time{}).Verdict)
	must.EqOp(t, MayHaveRun, begin(4, wall.Add(-10*time.Minute)))

	id := table.Begin(wall, key(5), wall).ID
	must.EqOp(t, Running, table.Begin(wall, key(5), wall).Record.State)
	table.RecordEnd(id, Done, core.OutcomeAnswered, 201)
	r := table.Begin(wall, key(5), wall).Record
	must.EqOp(t, Done, r.State)
	must.EqOp(t, 201, r.Status)
	must.EqOp(t, core.OutcomeAnswered, r.Outcome)
	table.RemoveUnstarted(id) // a request that ended is never forgotten
	must.EqOp(t, Duplicate, begin(5, wall))
}

// Guards against allocation on the decision path.
func TestNoAllocation(t *testing.T) {
	table := New(Config{MaxBytes: 1 << 16})
	table.AcquireNew(core.FullRange)
	keys := make([]Key, 4096)
	for i := range keys {
		keys[i] = key(i)
	}
	n := 0
	must.EqOp(t, 0, testing.AllocsPerRun(10_000, func() {
		n++
		d := table.Begin(epoch, keys[n%len(keys)], epoch)
		table.RecordEnd(d.ID, Done, core.OutcomeAnswered, 200)
	}))
}

// BenchmarkBegin measures Begin and Finish of one request together.
func BenchmarkBegin(b *testing.B) {
	table := New(Config{})
	table.AcquireNew(core.FullRange)
	keys := make([]Key, 1<<16)
	for i := range keys {
		keys[i] = key(i)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		d := table.Begin(epoch.Add(time.Duration(n)*time.Millisecond), keys[n%len(keys)], epoch.Add(time.Duration(n)*time.Millisecond))
		table.RecordEnd(d.ID, Done, core.OutcomeAnswered, 200)
	}
}
