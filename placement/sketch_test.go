package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Guards against heavy hitters that are missed or counted with the load of
// others, and against rates that depend on the age of the sketch.
func TestSketchFindsHitters(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewSketch(core.FullRange)
	now := clock.Instant(0)
	for i := range 400_000 { // 2,000 a second for 200 s; hash 7 sends 5%
		now = clock.Instant(i) * clock.Instant(500*time.Microsecond)
		h := core.Hash(rng.Uint64())
		if rng.IntN(20) == 0 {
			h = 7
		}
		s.Record(now, h, 1)
	}
	must.InDelta(t, 2000, s.Rate(now), 20)
	top := s.Hitters(now, 5)
	must.Len(t, 1, top)
	must.Eq(t, 7, top[0].Hash)
	must.InDelta(t, 100, top[0].Rate, 8)
	must.LessEq(t, counterCount, len(s.at))
	must.InDelta(t, 1000, s.Rate(now.Add(HalfLife)), 20)
	must.InDelta(t, 0, s.Rate(now.Add(time.Hour)), 1e-6)
	s.Record(now.Add(24*time.Hour), 8, 1)
	must.InDelta(t, 0.139, s.Rate(now.Add(24*time.Hour)), 0.001)
}

// Guards against exports that exceed their budget or distort the load of a
// range, whatever the ranges of a member look like.
func TestExportKeepsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := NewSketch(core.FullRange)
		spread := rapid.IntRange(1, 64).Draw(t, "ranges")
		hot := rapid.IntRange(0, 40).Draw(t, "hot")
		for range 20_000 {
			h := core.Hash(rng.IntN(spread))*(1<<58) + core.Hash(rng.Uint64()>>8)
			if hot > 0 && rng.IntN(3) == 0 {
				h = core.HashKey(fmt.Sprint(rng.IntN(hot)))
			}
			s.Record(0, h, 1)
		}
		b := s.Export(0)
		must.LessEq(t, MaxExport, len(b))
		l := NewLoadAggregator(core.FullRange)
		must.NoError(t, l.ReplaceExport(0, "n", b))
		must.InDelta(t, s.Rate(0), l.Rate("n"), 1)
		must.InDelta(t, s.Rate(0), l.profile(0).total(), 0.05*s.Rate(0))
	})
}

// Guards against a malformed or foreign export that stops the coordinator.
func TestMergeRejectsMalformed(t *testing.T) {
	good := NewSketch(core.FullRange)
	for i := range core.Hash(100) {
		good.Record(0, i<<57, 1)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := good.Export(0)
		for range rapid.IntRange(0, 4).Draw(t, "flips") {
			b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		b = b[:rapid.IntRange(0, len(b)).Draw(t, "length")]
		l := NewLoadAggregator(core.FullRange)
		var rejected *ExportError
		if err := l.ReplaceExport(0, "n", b); err != nil {
			must.True(t, errors.As(err, &rejected))
		}
		l.profile(0)
	})
	other := NewSketch(core.Range{Lo: 0, Hi: 1 << 60})
	var rejected *ExportError
	must.True(t, errors.As(NewLoadAggregator(core.FullRange).ReplaceExport(0, "n", other.Export(0)), &rejected))
	must.Eq(t, FaultSpan, rejected.Fault)
}

func signals(n int) ([]core.Member, []Signal) {
	members, out := make([]core.Member, n), make([]Signal, n)
	for i := range out {
		members[i] = core.Member{Node: core.NodeID(fmt.Sprint(i))}
		out[i] = Signal{Slots: 17, InFlight: 8, Load: 500, Throughput: 500, ServiceTime: 16 * time.Millisecond,
			Reported: 0.47, Ready: time.Hour}
	}
	return members, out
}

// Guards against a load report that attracts or sheds work by lying.
func TestLyingReportIsOutvoted(t *testing.T) {
	for _, lie := range []float64{0, 1, 50} {
		members, s := signals(4)
		s[1].Reported = lie
		c := NewWeights().Update(clock.Instant(time.Hour), members, s)
		must.Eq(t, 1, c[1].Weight)
		must.InDelta(t, c[0].Limit, c[1].Limit, 0.01*c[0].Limit)
	}
	members, s := signals(4)
	s[2].InFlight, s[2].Throughput, s[2].Reported = 17, 1060, 0 // saturated, and says idle
	must.Less(t, 1, NewWeights().Update(0, members, s)[2].Weight)
}

// Guards against a cold or slow backend server that gets its full share at
// once, and against weights that jump.
func TestWeightsChangeGradually(t *testing.T) {
	members, s := signals(4)
	w := NewWeights()
	s[3].Ready = 0
	now := clock.Instant(time.Hour)
	must.Eq(t, coldWeight, w.Update(now, members, s)[3].Weight)
	s[0].ServiceTime, s[0].Throughput = 160*time.Millisecond, 50
	last := []float64{1, 1, 1, coldWeight}
	for range 60 {
		now = now.Add(time.Second)
		s[3].Ready += time.Second
		for i, c := range w.Update(now, members, s) {
			must.InDelta(t, last[i], c.Weight, slew+1e-9)
			last[i] = c.Weight
		}
	}
	must.InDelta(t, 0.1, last[0], 1e-9)
	must.InDelta(t, 1, last[3], 0.01)
	s[2].Leaving = true
	must.Eq(t, 0, w.Update(now, members, s)[2].Weight)
}

// Guards against garbage for every sample.
func TestRecordDoesNotAllocate(t *testing.T) {
	s := NewSketch(core.FullRange)
	h := core.Hash(1)
	must.LessEq(t, 0.01, testing.AllocsPerRun(100_000, func() {
		h = h*6364136223846793005 + 1
		s.Record(0, h, 1)
	}))
}

func BenchmarkRecord(b *testing.B) {
	s, h := NewSketch(core.FullRange), core.Hash(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h = h*6364136223846793005 + 1
		s.Record(clock.Instant(i), h, 1)
	}
}

func BenchmarkExport(b *testing.B) {
	s := NewSketch(core.FullRange)
	for i := range core.Hash(100_000) {
		s.Record(0, i*0x9E3779B97F4A7C15, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Export(0)
	}
}

func BenchmarkPlan(b *testing.B) {
	f := newFeed(evenTable(16))
	f.step()
	b.ReportAllocs()
	for b.Loop() {
		f.planner.Plan(f.now, f.table, f.loads, nil)
	}
}
