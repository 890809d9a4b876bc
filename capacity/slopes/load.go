package slopes

import (
	"strconv"
	"time"

	"marjoramshore.example/burn"
	"marjoramshore.example/capacity"
	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/events"
	"marjoramshore.example/placement"
)

// loaded returns a sketch that has counted n keys within a second.
func loaded(n int) *placement.Sketch {
	s := placement.NewSketch(core.FullRange)
	for i := range n {
		s.Record(at(i, n), core.HashKey(strconv.Itoa(i)), 1)
	}
	return s
}

// at spreads n requests over the second before the end of the measurement.
func at(i, n int) clock.Instant {
	return clock.Instant(time.Hour) - clock.Instant(n-i)*clock.Instant(time.Second)/clock.Instant(n)
}

var end = clock.Instant(time.Hour)

// loads measures the load reports of members and the plans made of them.
func loads() ([]capacity.Slope, error) {
	keys := []int{1000, 30_000, 640_000}
	size, err := over(capacity.Slope{Name: "placement-report-bytes", Unit: "bytes", Per: "key", Counted: true}, keys,
		func(n int) (float64, error) { return float64(len(loaded(n).Export(end))), nil })
	if err != nil {
		return nil, err
	}
	memory, err := over(capacity.Slope{Name: "placement-memory", Unit: "bytes", Per: "key"}, keys,
		func(n int) (float64, error) { return held(1, func() *placement.Sketch { return loaded(n) }), nil })
	if err != nil {
		return nil, err
	}
	record, err := over(capacity.Slope{Name: "placement-record-time", Unit: "seconds", Per: "key"}, keys,
		func(n int) (float64, error) { return timed(1, func() { loaded(n) }) / float64(n), nil })
	if err != nil {
		return nil, err
	}
	plan, err := over(capacity.Slope{Name: "placement-plan-time", Unit: "seconds", Per: "member"}, []int{2, 5, 10}, planTime)
	return []capacity.Slope{size, memory, record, plan}, err
}

// planTime returns the time of one plan for a group of n members, whose ranges
// are dealt out in turn.
func planTime(n int) (float64, error) {
	t := table(0, core.FullRange, 64)
	t.Members = t.Members[:n]
	capacities := make([]placement.Capacity, n)
	joined := placement.NewLoadAggregator(core.FullRange)
	for i := range t.Entries {
		t.Entries[i].Owner = i % n
	}
	for i, m := range t.Members {
		capacities[i].Weight = 1
		s := placement.NewSketch(core.FullRange)
		for k := range 20_000 {
			h := core.HashKey(strconv.Itoa(k))
			if e, ok := t.Find(h); ok && e.Owner == i {
				s.Record(at(k, 20_000), h, 1+1000/float64(k+1))
			}
		}
		if err := joined.ReplaceExport(end, m.Node, s.Export(end)); err != nil {
			return 0, err
		}
	}
	p := placement.NewPlanner(placement.DefaultConfig())
	return timed(20, func() { p.Plan(end, t, joined, capacities) }), nil
}

// telemetry measures the memory of events and of service levels.
func telemetry() ([]capacity.Slope, error) {
	recent, err := over(capacity.Slope{Name: "journal-memory", Unit: "bytes", Per: "event"}, []int{256, 1024, 4096},
		func(n int) (float64, error) {
			return held(1, func() *events.Journal {
				j := events.New(events.DefaultLimits())
				for i := range n {
					j.Record(events.Event{Type: events.OwnershipChange, At: wall.Add(time.Duration(i) * time.Second), Service: service,
						Node: "hinta-1000", Range: &core.Range{Lo: core.Hash(i), Hi: core.Hash(i + 1)}, Cause: "assignment-written at table 300.70000"})
				}
				return j
			}), nil
		})
	if err != nil {
		return nil, err
	}
	levels, err := over(capacity.Slope{Name: "burn-memory", Unit: "bytes", Per: "customer"}, []int{10, 100, 1000},
		func(n int) (float64, error) {
			return held(1, func() *burn.Meter {
				m := burn.NewMeter(nil)
				for i := range n {
					for _, w := range []burn.Work{burn.ShortLookup, burn.Submission, burn.Upload} {
						m.Record(end, burn.Sample{Service: service, Work: w, Customer: core.Customer("customer-" + strconv.Itoa(i)), Key: strconv.Itoa(i), OK: i%2 == 0, Latency: time.Second})
					}
				}
				return m
			}), nil
		})
	return []capacity.Slope{recent, levels}, err
}
