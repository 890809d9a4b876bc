package burn

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxSeries bounds the series of a node: the pairs of service and kind of
	// work. A series with full lists takes about 100 KB.
	maxSeries = 64
	// maxTopNames bounds the names tracked for each list of top customers or
	// keys.
	maxTopNames = 128
	// maxNameBytes is the length to which names of customers and keys are
	// truncated.
	maxNameBytes = 128
)

// Sample is one finished request.
type Sample struct {
	Service  core.Service
	Work     Work
	Customer core.Customer
	Key      string
	// OK reports whether the caller got a proper answer. Requests that fail
	// through the caller's own fault must not be recorded.
	OK      bool
	Latency time.Duration
}

type seriesKey struct {
	service core.Service
	work    Work
}

// seriesState is what a meter holds of one series.
type seriesState struct {
	objective             Objective
	windows               windowedCounts
	periodCounts          Counts
	periodStart           clock.Instant
	topCustomers, topKeys *heavyHitters
	perCustomer           customerTable
}

// Meter counts requests against objectives in bounded memory. It is not safe
// for concurrent use, so one goroutine must own it.
type Meter struct {
	series map[seriesKey]*seriesState
	// droppedSamples counts the samples of series beyond maxSeries.
	droppedSamples uint64
}

// NewMeter returns a meter with the given objectives.
func NewMeter(objectives []Objective) *Meter {
	m := &Meter{series: map[seriesKey]*seriesState{}}
	m.SetObjectives(objectives)
	return m
}

// SetObjectives replaces the objectives of the series that it lists. Counts are
// kept: requests that were counted as slow under the former objective remain
// counted as slow.
func (m *Meter) SetObjectives(objectives []Objective) {
	for _, o := range objectives {
		if state := m.state(seriesKey{o.Service, o.Work}, 0); state != nil {
			state.objective = o
		}
	}
}

// state returns the state of a series, which it adds if needed, or nil beyond
// maxSeries.
func (m *Meter) state(k seriesKey, now clock.Instant) *seriesState {
	if state := m.series[k]; state != nil {
		return state
	}
	if len(m.series) >= maxSeries {
		return nil
	}
	state := &seriesState{objective: DefaultObjective(k.service, k.work), periodStart: now, topCustomers: newHeavyHitters(maxTopNames),
		topKeys: newHeavyHitters(maxTopNames), perCustomer: customerTable{byCustomer: map[core.Customer]*customerCounts{}}}
	m.series[k] = state
	return state
}

// Record counts one finished request.
func (m *Meter) Record(now clock.Instant, s Sample) {
	state := m.state(seriesKey{s.Service, s.Work}, now)
	if state == nil {
		m.droppedSamples++
		return
	}
	c := Counts{Total: 1}
	switch {
	case !s.OK:
		c.Failed = 1
	case s.Latency > state.objective.Latency:
		c.Slow = 1
	}
	s.Customer, s.Key = core.Customer(truncateName(string(s.Customer))), truncateName(s.Key)
	state.windows.add(now, c)
	state.addToPeriod(now, c)
	state.perCustomer.add(now, s.Customer, c)
	if bad := float64(c.Failed + c.Slow); bad > 0 {
		state.topCustomers.add(now, string(s.Customer), bad)
		state.topKeys.add(now, s.Key, bad)
	}
}

// addToPeriod adds counts to the current budget period, or to a new one if the
// current one is over.
func (s *seriesState) addToPeriod(now clock.Instant, c Counts) {
	if now.Sub(s.periodStart) > Period {
		s.periodCounts, s.periodStart = Counts{}, now
	}
	s.periodCounts.add(c)
}

// DroppedSamples returns the number of samples that were not counted because
// the meter already had maxSeries series.
func (m *Meter) DroppedSamples() uint64 { return m.droppedSamples }

// Snapshot returns the counts of all series at instant now. at is the same time
// on the wall clock, which reports show.
func (m *Meter) Snapshot(now clock.Instant, at time.Time) *Snapshot {
	out := &Snapshot{At: at, Nodes: 1}
	for _, state := range m.series {
		s := Series{Objective: state.objective, PeriodCounts: state.periodCounts, History: state.windows.history(now),
			Customers: state.topCustomers.top(now, topListLen), Keys: state.topKeys.top(now, topListLen),
			Worst: state.perCustomer.worst(now, state.objective, worstListLen), Uncounted: state.perCustomer.uncounted}
		for i, w := range Windows {
			s.Windows[i] = state.windows.sum(now, w.Span)
		}
		out.Series = append(out.Series, s)
	}
	sortSeries(out.Series)
	return out
}

func truncateName(s string) string { return s[:min(len(s), maxNameBytes)] }
