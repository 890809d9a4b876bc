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

// sketch returns a sketch that has counted one request for each of n keys
// within a second.
func sketch(n int) *placement.Sketch {
	s := placement.NewSketch(core.FullRange)
	for i := range n {
		s.Record(requestTime(i, n), core.HashKey(strconv.Itoa(i)), 1)
	}
	return s
}

// requestTime returns the time of request i of n, spread evenly over the second
// before measurementEnd.
func requestTime(i, n int) clock.Instant {
	return clock.Instant(time.Hour) - clock.Instant(n-i)*clock.Instant(time.Second)/clock.Instant(n)
}

var measurementEnd = clock.Instant(time.Hour)

// measureLoadReports measures the load reports of members and the plans made
// from them.
func measureLoadReports() ([]capacity.Slope, error) {
	keys := []int{1000, 30_000, 640_000}
	reportBytes, err := measureSizes(capacity.Slope{Name: "placement-report-bytes", Unit: "bytes", Per: "key", Counted: true}, keys,
		func(n int) (float64, error) { return float64(len(sketch(n).Export(measurementEnd))), nil })
	if err != nil {
		return nil, err
	}
	memory, err := measureSizes(capacity.Slope{Name: "placement-memory", Unit: "bytes", Per: "key"}, keys,
		func(n int) (float64, error) { return heapOf(1, func() *placement.Sketch { return sketch(n) }), nil })
	if err != nil {
		return nil, err
	}
	recordTime, err := measureSizes(capacity.Slope{Name: "placement-record-time", Unit: "seconds", Per: "key"}, keys,
		func(n int) (float64, error) { return secondsPerRun(1, func() { sketch(n) }) / float64(n), nil })
	if err != nil {
		return nil, err
	}
	plan, err := measureSizes(capacity.Slope{Name: "placement-plan-time", Unit: "seconds", Per: "member"}, []int{2, 5, 10}, planTime)
	return []capacity.Slope{reportBytes, memory, recordTime, plan}, err
}

// planTime returns the seconds that one plan takes for a group of n members, to
// which the ranges are assigned in turn.
func planTime(n int) (float64, error) {
	table := sampleTable(0, core.FullRange, 64)
	table.Members = table.Members[:n]
	capacities := make([]placement.Capacity, n)
	aggregator := placement.NewLoadAggregator(core.FullRange)
	for i := range table.Entries {
		table.Entries[i].Owner = i % n
	}
	for i, member := range table.Members {
		capacities[i].Weight = 1
		sketch := placement.NewSketch(core.FullRange)
		for k := range 20_000 {
			h := core.HashKey(strconv.Itoa(k))
			if e, ok := table.Find(h); ok && e.Owner == i {
				sketch.Record(requestTime(k, 20_000), h, 1+1000/float64(k+1))
			}
		}
		if err := aggregator.ReplaceExport(measurementEnd, member.Node, sketch.Export(measurementEnd)); err != nil {
			return 0, err
		}
	}
	planner := placement.NewPlanner(placement.DefaultConfig())
	return secondsPerRun(20, func() { planner.Plan(measurementEnd, table, aggregator, capacities) }), nil
}

// measureTelemetry measures the memory of the event journal and of the
// burn-rate meter.
func measureTelemetry() ([]capacity.Slope, error) {
	journalMemory, err := measureSizes(capacity.Slope{Name: "journal-memory", Unit: "bytes", Per: "event"}, []int{256, 1024, 4096},
		func(n int) (float64, error) {
			return heapOf(1, func() *events.Journal {
				j := events.New(events.DefaultLimits())
				for i := range n {
					j.Record(events.Event{Type: events.OwnershipChange, At: wallTime.Add(time.Duration(i) * time.Second), Service: service,
						Node: "hinta-1000", Range: &core.Range{Lo: core.Hash(i), Hi: core.Hash(i + 1)}, Cause: "assignment-written at table 300.70000"})
				}
				return j
			}), nil
		})
	if err != nil {
		return nil, err
	}
	burnMemory, err := measureSizes(capacity.Slope{Name: "burn-memory", Unit: "bytes", Per: "customer"}, []int{10, 100, 1000},
		func(n int) (float64, error) {
			return heapOf(1, func() *burn.Meter {
				m := burn.NewMeter(nil)
				for i := range n {
					for _, w := range []burn.Work{burn.ShortLookup, burn.Submission, burn.Upload} {
						m.Record(measurementEnd, burn.Sample{Service: service, Work: w, Customer: core.Customer("customer-" + strconv.Itoa(i)), Key: strconv.Itoa(i), OK: i%2 == 0, Latency: time.Second})
					}
				}
				return m
			}), nil
		})
	return []capacity.Slope{journalMemory, burnMemory}, err
}
