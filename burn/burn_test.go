package burn

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// The fixed seed gives CI the same cases on every run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var wallTime = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func lookupSample(customer string, ok bool) Sample {
	return Sample{Service: "s", Work: ShortLookup, Customer: core.Customer(customer), Key: "k-" + customer, OK: ok, Latency: time.Millisecond}
}

// Guards against an outage of one customer that the service's average hides:
// beside 200 others, the customer sends 1 in 5,000 requests, which all fail.
func TestQuietCustomerShows(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 1))
	m := NewMeter(nil)
	now := clock.Instant(time.Hour)
	for i := range 500_000 {
		now = now.Add(5 * time.Millisecond)
		if i%5000 == 0 {
			m.Record(now, lookupSample("quiet", false))
			continue
		}
		m.Record(now, lookupSample(fmt.Sprintf("noisy-%d", rng.IntN(200)), rng.IntN(10_000) > 2))
	}
	s := m.Snapshot(now, wallTime).Series[0]
	t.Logf("service burn 1h %.2f, alert %s; worst customer %s: %d of %d failed, burn %.0f, baseline by failures ranks it behind %d customers",
		s.BurnRate(1), s.Alert(), s.Worst[0].Customer, s.Worst[0].Counts.Failed, s.Worst[0].Counts.Total, s.Worst[0].Burn, positionOfQuiet(s.Customers))
	must.Eq(t, NoAlert, s.Alert())
	must.Eq(t, "quiet", string(s.Worst[0].Customer))
	must.Len(t, 1, s.PrivateOutages())
	must.Eq(t, "quiet", string(s.PrivateOutages()[0].Customer))
}

// positionOfQuiet returns how many customers list has before "quiet".
func positionOfQuiet(list []BudgetUse) int {
	for i, c := range list {
		if c.Name == "quiet" {
			return i
		}
	}
	return len(list)
}

// Guards against many customers without bad requests that evict the one whose
// requests fail, and against lists that grow without bound.
func TestBoundedMemory(t *testing.T) {
	m := NewMeter(nil)
	now := clock.Instant(time.Hour)
	for i := range 20_000 {
		now = now.Add(time.Millisecond)
		m.Record(now, lookupSample(fmt.Sprintf("c-%d", i), true))
		if i%100 == 0 {
			m.Record(now, lookupSample("quiet", false))
			m.Record(now, Sample{Service: core.Service(fmt.Sprint("s-", i)), Customer: "x"})
		}
		m.Record(now, Sample{Service: "s", Work: Upload, Key: fmt.Sprint("key-", i%1000), Customer: "y"})
	}
	state := m.series[seriesKey{"s", ShortLookup}]
	must.LessEq(t, maxCustomers, len(state.perCustomer.byCustomer))
	must.LessEq(t, maxTopNames, len(m.series[seriesKey{"s", Upload}].topKeys.counters))
	must.LessEq(t, maxSeries, len(m.series))
	must.Positive(t, m.DroppedSamples())
	snap := m.Snapshot(now, wallTime)
	b, err := json.Marshal(snap)
	must.NoError(t, err)
	must.Less(t, 1<<20, len(b))
	for _, s := range snap.Series {
		if s.Objective.Service == "s" && s.Objective.Work == ShortLookup {
			must.Eq(t, "quiet", string(s.Worst[0].Customer))
		}
	}
}

// Guards against alerts on one short spike of failures, late alerts, and alerts
// that persist after the failures have ended.
func TestPairedWindows(t *testing.T) {
	m := NewMeter(nil)
	now := clock.Instant(time.Hour)
	run := func(d time.Duration, failEvery int) Alert {
		for end, i := now.Add(d), 0; now.Before(end); i++ {
			now = now.Add(100 * time.Millisecond)
			m.Record(now, lookupSample("c", failEvery == 0 || i%failEvery != 0))
		}
		return m.Snapshot(now, wallTime).Series[0].Alert()
	}
	must.Eq(t, NoAlert, run(6*time.Hour, 0))
	must.Eq(t, NoAlert, run(30*time.Second, 2)) // a spike of 30 s
	must.Eq(t, NoAlert, run(time.Hour, 0))
	must.Eq(t, Page, run(3*time.Minute, 2)) // half of all requests
	must.Eq(t, NoAlert, run(40*time.Minute, 0))
	must.Eq(t, Ticket, run(7*time.Hour, 120)) // 8 times the budget for long
	must.Less(t, 0, m.Snapshot(now, wallTime).Series[0].RemainingBudget())
}

// Guards against windows that keep or lose counts at bucket boundaries: the sum
// must be between the exact counts of the span less one bucket and of the span.
func TestWindowsMatchExactCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s windowedCounts
		now := clock.Instant(time.Hour)
		var at []clock.Instant
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Minute)).Draw(t, "gap")))
			s.add(now, Counts{Total: 1})
			at = append(at, now)
		}
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "later")))
		for i, w := range Windows {
			step := coarseStep
			if i == 0 {
				step = fineStep
			}
			var most, least uint64
			for _, a := range at {
				if now.Sub(a) < w.Span {
					most++
				}
				if now.Sub(a) < w.Span-step {
					least++
				}
			}
			got := s.sum(now, w.Span).Total
			must.Between(t, least, got, most, must.Sprintf("%s", w.Name))
		}
	})
}

// Guards against a merged snapshot that depends on the order of merging, or
// that differs from the snapshot of one meter that recorded all requests.
func TestMergeEqualsOneMeter(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	all := NewMeter(nil)
	parts := []*Meter{NewMeter(nil), NewMeter(nil), NewMeter(nil)}
	now := clock.Instant(time.Hour)
	for range 30_000 {
		now = now.Add(100 * time.Millisecond)
		s := lookupSample(fmt.Sprintf("c%d", rng.IntN(8)), rng.IntN(50) > 0)
		all.Record(now, s)
		parts[rng.IntN(3)].Record(now, s)
	}
	snap := func(i int) *Snapshot { return parts[i].Snapshot(now, wallTime) }
	one, abc, cba := all.Snapshot(now, wallTime), Merge(Merge(snap(0), snap(1)), snap(2)), Merge(snap(2), Merge(snap(1), snap(0)))
	must.Eq(t, 3, abc.Nodes)
	for _, x := range []*Snapshot{abc, cba} {
		must.Eq(t, one.Series[0].Windows, x.Series[0].Windows)
		must.Eq(t, one.Series[0].History, x.Series[0].History)
		must.Eq(t, one.Series[0].PeriodCounts, x.Series[0].PeriodCounts)
		must.Eq(t, one.Series[0].Worst, x.Series[0].Worst)
		must.Eq(t, one.Series[0].Customers[0].Name, x.Series[0].Customers[0].Name)
	}
	var back Snapshot
	b, err := json.Marshal(abc)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(b, &back))
	must.Eq(t, abc.Series[0].Worst, back.Series[0].Worst)
}
