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

// TestMain fixes the seed of property tests, so that every run has the same
// result.
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

// logicalRequest is a request that its caller sends again and again.
type logicalRequest struct {
	key    Key
	issued time.Time
	runs   int
}

// simulation has two halves of the key space, each owned by one of four nodes.
// Clocks of callers and nodes differ from the true time by up to half of the
// skew bound.
type simulation struct {
	rng          *rand.Rand
	cfg          Config
	now          time.Time
	clockOffsets []time.Duration
	tables       []*Table
	owners       [2]int
	requests     []*logicalRequest
	inFlight     []func()
	// ignoreHorizon disables the horizon rule.
	ignoreHorizon bool
	verdicts      [NotOwned + 1]int
}

var halves = [2]core.Range{{Lo: 0, Hi: 1 << 63}, {Lo: 1<<63 + 1, Hi: ^core.Hash(0)}}

func newSimulation(seed uint64, ignoreHorizon bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, ignoreHorizon: ignoreHorizon, owners: [2]int{0, 1}}
	sim.cfg = Config{MaxBytes: 38 * (4 + sim.rng.IntN(400)), Window: 20 * time.Second}
	for range 4 {
		sim.clockOffsets = append(sim.clockOffsets, sim.drawClockOffset())
		sim.tables = append(sim.tables, New(sim.cfg))
	}
	sim.tables[0].AcquireNew(halves[0])
	sim.tables[1].AcquireNew(halves[1])
	return sim
}

func (sim *simulation) drawClockOffset() time.Duration {
	return time.Duration(sim.rng.Int64N(int64(time.Second))) - time.Second/2
}

func (sim *simulation) wallOf(node int) time.Time { return sim.now.Add(sim.clockOffsets[node]) }

func (sim *simulation) send() {
	var c *logicalRequest
	if len(sim.requests) == 0 || sim.rng.IntN(2) == 0 {
		c = &logicalRequest{key: key(len(sim.requests)), issued: sim.now.Add(sim.drawClockOffset())}
		sim.requests = append(sim.requests, c)
	} else {
		c = sim.requests[sim.rng.IntN(len(sim.requests))]
	}
	half := 0
	if c.key.Hash > halves[0].Hi {
		half = 1
	}
	table := sim.tables[sim.owners[half]]
	if sim.ignoreHorizon {
		for i := range table.owned.sorted {
			table.owned.sorted[i].horizon = 0
		}
	}
	d := table.Begin(sim.wallOf(sim.owners[half]), c.key, c.issued)
	sim.verdicts[d.Verdict]++
	if d.Verdict != Run {
		return
	}
	if sim.rng.IntN(10) == 0 {
		table.RemoveUnstarted(d.ID)
		return
	}
	c.runs++
	sim.inFlight = append(sim.inFlight, func() { table.RecordEnd(d.ID, Done, core.OutcomeAnswered, 200) })
}

func (sim *simulation) moveRange() {
	half, to := sim.rng.IntN(2), sim.rng.IntN(4)
	from := sim.owners[half]
	if from == to {
		return
	}
	transfer := sim.tables[from].Export(halves[half])
	if sim.rng.IntN(2) == 0 {
		sim.tables[to].MergeRecords(transfer.Records)
		for range sim.rng.IntN(30) {
			sim.now = sim.now.Add(10 * time.Millisecond)
			sim.send()
			sim.completeOldest()
		}
		transfer = sim.tables[from].ExportSince(halves[half], transfer)
	}
	sim.tables[from].Release(halves[half])
	sim.tables[to].Import(sim.wallOf(to), transfer)
	sim.owners[half] = to
	if sim.rng.IntN(2) == 0 {
		sim.inFlight = append(sim.inFlight, func() { sim.tables[to].MergeRecords(sim.tables[from].RecordsIn(halves[half])) })
	}
}

func (sim *simulation) loseNode() {
	lost := sim.rng.IntN(4)
	sim.tables[lost] = New(sim.cfg)
	sim.now = sim.now.Add(3 * time.Second)
	for half, owner := range sim.owners {
		if owner == lost {
			to := (lost + 1 + sim.rng.IntN(3)) % 4
			sim.owners[half] = to
			sim.tables[to].Acquire(halves[half], sim.wallOf(to))
		}
	}
}

// completeOldest ends the oldest exchange in flight, or delivers records that a
// former owner sends late.
func (sim *simulation) completeOldest() {
	if len(sim.inFlight) > 0 {
		sim.inFlight[0]()
		sim.inFlight = sim.inFlight[1:]
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.rng.IntN(200)) * time.Millisecond)
	switch x := sim.rng.IntN(100); {
	case x < 70:
		sim.send()
	case x < 90:
		sim.completeOldest()
	case x < 97:
		sim.moveRange()
	case x == 99:
		sim.loseNode()
	}
}

// countSecondRuns plays one history and counts requests that ran again.
func (sim *simulation) countSecondRuns() (n int) {
	for range 1500 {
		sim.step()
	}
	for _, c := range sim.requests {
		n += max(0, c.runs-1)
	}
	return n
}

// Guards against second runs caused by resends, moves, losses of nodes,
// evictions and clock differences within the bound.
func TestNoSecondRun(t *testing.T) {
	var total [NotOwned + 1]int
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), false)
		must.EqOp(t, 0, sim.countSecondRuns())
		must.EqOp(t, 0, sim.verdicts[NotOwned])
		for i, n := range sim.verdicts {
			total[i] += n
		}
	})
	t.Logf("second runs 0; run %d, duplicate %d, may have run %d", total[Run], total[Duplicate], total[MayHaveRun])
	must.Positive(t, total[Run])
	must.Positive(t, total[Duplicate])
	must.Positive(t, total[MayHaveRun])
}

// Shows that TestNoSecondRun depends on the horizon rule.
func TestSecondRunsWithoutHorizon(t *testing.T) {
	n := 0
	for seed := range uint64(20) {
		n += newSimulation(seed, true).countSecondRuns()
	}
	t.Logf("second runs with the horizon rule off: %d in 20 histories", n)
	must.Positive(t, n)
}

// Guards against records that grow in size and against memory above MaxBytes.
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
	evicted := 100_000 - s.Records - 1
	d := table.Begin(epoch.Add(100*time.Second), key(evicted), epoch.Add(time.Duration(evicted)*time.Millisecond))
	must.EqOp(t, MayHaveRun, d.Verdict)
}

// Guards against wrong decisions at the boundaries of the rules.
func TestBeginAtRuleBoundaries(t *testing.T) {
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
	table.RemoveUnstarted(id) // the record of a request that ended is never removed
	must.EqOp(t, Duplicate, begin(5, wall))
}

// Guards against allocations on the request path.
func TestBeginDoesNotAllocate(t *testing.T) {
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

// BenchmarkBegin measures Begin and RecordEnd of one request together.
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
