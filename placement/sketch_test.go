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
// other hashes, and against rates that depend on the age of the sketch.
func TestSketchFindsHeavyHitters(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	sketch := NewSketch(core.FullRange)
	now := clock.Instant(0)
	for i := range 400_000 { // 2,000 requests a second for 200 s, 5% of them for hash 7
		now = clock.Instant(i) * clock.Instant(500*time.Microsecond)
		h := core.Hash(rng.Uint64())
		if rng.IntN(20) == 0 {
			h = 7
		}
		sketch.Record(now, h, 1)
	}
	must.InDelta(t, 2000, sketch.TotalRate(now), 20)
	hitters := sketch.HeavyHitters(now, 5)
	must.Len(t, 1, hitters)
	must.Eq(t, 7, hitters[0].Hash)
	must.InDelta(t, 100, hitters[0].Rate, 8)
	must.LessEq(t, counterCount, len(sketch.heapIndex))
	must.InDelta(t, 1000, sketch.TotalRate(now.Add(HalfLife)), 20)
	must.InDelta(t, 0, sketch.TotalRate(now.Add(time.Hour)), 1e-6)
	sketch.Record(now.Add(24*time.Hour), 8, 1)
	// One request has a rate of ln 2 / HalfLife.
	must.InDelta(t, 0.139, sketch.TotalRate(now.Add(24*time.Hour)), 0.001)
}

// Guards against exports that exceed MaxExportBytes or distort the load,
// whatever ranges a member owns.
func TestExportFitsBudgetAndKeepsLoad(t *testing.T) {
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
		export := s.Export(0)
		must.LessEq(t, MaxExportBytes, len(export))
		a := NewLoadAggregator(core.FullRange)
		must.NoError(t, a.ReplaceExport(0, "n", export))
		must.InDelta(t, s.TotalRate(0), a.NodeRate("n"), 1)
		must.InDelta(t, s.TotalRate(0), a.profile(0).total(), 0.05*s.TotalRate(0))
	})
}

// Guards against a panic of the coordinator on a malformed export, and against
// accepting an export for another span.
func TestReplaceExportRejectsMalformed(t *testing.T) {
	good := NewSketch(core.FullRange)
	for i := range core.Hash(100) {
		good.Record(0, i<<57, 1)
	}
	rapid.Check(t, func(t *rapid.T) {
		export := good.Export(0)
		for range rapid.IntRange(0, 4).Draw(t, "flips") {
			export[rapid.IntRange(0, len(export)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		}
		export = export[:rapid.IntRange(0, len(export)).Draw(t, "length")]
		a := NewLoadAggregator(core.FullRange)
		var rejected *ExportError
		if err := a.ReplaceExport(0, "n", export); err != nil {
			must.True(t, errors.As(err, &rejected))
		}
		a.profile(0)
	})
	other := NewSketch(core.Range{Lo: 0, Hi: 1 << 60})
	var rejected *ExportError
	must.True(t, errors.As(NewLoadAggregator(core.FullRange).ReplaceExport(0, "n", other.Export(0)), &rejected))
	must.Eq(t, FaultForeignSpan, rejected.Fault)
}

// backendObservations returns n members whose backend servers are at a
// utilization of 0.47.
func backendObservations(n int) ([]core.Member, []BackendObservation) {
	members, out := make([]core.Member, n), make([]BackendObservation, n)
	for i := range out {
		members[i] = core.Member{Node: core.NodeID(fmt.Sprint(i))}
		out[i] = BackendObservation{Slots: 17, MeanInFlight: 8, CostRate: 500, RequestRate: 500, MedianServiceTime: 16 * time.Millisecond,
			ReportedUtilization: 0.47, ReadyFor: time.Hour}
	}
	return members, out
}

// Guards against a backend server that attracts or avoids load with a wrong
// report of its utilization.
func TestWrongUtilizationReportIsOutvoted(t *testing.T) {
	for _, reported := range []float64{0, 1, 50} {
		members, observations := backendObservations(4)
		observations[1].ReportedUtilization = reported
		capacities := NewCapacityModel().Update(clock.Instant(time.Hour), members, observations)
		must.Eq(t, 1, capacities[1].Weight)
		must.InDelta(t, capacities[0].MaxLoad, capacities[1].MaxLoad, 0.01*capacities[0].MaxLoad)
	}
	members, observations := backendObservations(4)
	observations[2].MeanInFlight, observations[2].RequestRate, observations[2].ReportedUtilization = 17, 1060, 0 // saturated, but reports no load
	must.Less(t, 1, NewCapacityModel().Update(0, members, observations)[2].Weight)
}

// Guards against a cold or slow backend server that gets its full share at
// once, and against sudden changes of weights.
func TestWeightsChangeGradually(t *testing.T) {
	members, observations := backendObservations(4)
	model := NewCapacityModel()
	observations[3].ReadyFor = 0
	now := clock.Instant(time.Hour)
	must.Eq(t, initialWeight, model.Update(now, members, observations)[3].Weight)
	observations[0].MedianServiceTime, observations[0].RequestRate = 160*time.Millisecond, 50
	last := []float64{1, 1, 1, initialWeight}
	for range 60 {
		now = now.Add(time.Second)
		observations[3].ReadyFor += time.Second
		for i, c := range model.Update(now, members, observations) {
			must.InDelta(t, last[i], c.Weight, maxWeightChangePerSecond+1e-9)
			last[i] = c.Weight
		}
	}
	must.InDelta(t, 0.1, last[0], 1e-9)
	must.InDelta(t, 1, last[3], 0.01)
	observations[2].Draining = true
	must.Eq(t, 0, model.Update(now, members, observations)[2].Weight)
}

// Guards against an allocation for each recorded request.
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
	f := newSyntheticGroup(evenTable(16))
	f.planAndApply()
	b.ReportAllocs()
	for b.Loop() {
		f.planner.Plan(f.now, f.table, f.aggregator, nil)
	}
}
