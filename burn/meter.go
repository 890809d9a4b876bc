package burn

import (
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// maxSeries bounds the services and kinds of work that a node counts. A
	// series with full lists takes about 100 KB.
	maxSeries = 64
	// topRoom is the number of names tracked for each list of spenders.
	topRoom = 128
	// maxName bounds the bytes kept of a customer's or key's name.
	maxName = 128
)

// Sample is one finished request.
type Sample struct {
	Service  core.Service
	Work     Work
	Customer core.Customer
	Key      string
	// OK means that the caller got a proper answer. Requests that failed by
	// the caller's own fault are not recorded.
	OK      bool
	Latency time.Duration
}

type seriesKey struct {
	service core.Service
	work    Work
}

type entry struct {
	objective       Objective
	counts          series
	spent           Counts
	since           clock.Instant
	customers, keys *topSpenders
	table           customerTable
}

// Meter counts requests against objectives. It is not safe for concurrent use;
// the burn duty owns it.
type Meter struct {
	entries map[seriesKey]*entry
	// Refused counts samples of series beyond the bound.
	refused uint64
}

// NewMeter returns a meter with the given objectives.
func NewMeter(objectives []Objective) *Meter {
	m := &Meter{entries: map[seriesKey]*entry{}}
	m.SetObjectives(objectives)
	return m
}

// SetObjectives replaces the objectives. Counts are kept; requests that were
// counted as slow under the former objective stay so.
func (m *Meter) SetObjectives(objectives []Objective) {
	for _, o := range objectives {
		if e := m.entry(seriesKey{o.Service, o.Work}, 0); e != nil {
			e.objective = o
		}
	}
}

func (m *Meter) entry(k seriesKey, now clock.Instant) *entry {
	if e := m.entries[k]; e != nil {
		return e
	}
	if len(m.entries) >= maxSeries {
		return nil
	}
	e := &entry{objective: DefaultObjective(k.service, k.work), since: now, customers: newTop(topRoom),
		keys: newTop(topRoom), table: customerTable{all: map[core.Customer]*tally{}}}
	m.entries[k] = e
	return e
}

// Record counts one finished request.
func (m *Meter) Record(now clock.Instant, s Sample) {
	e := m.entry(seriesKey{s.Service, s.Work}, now)
	if e == nil {
		m.refused++
		return
	}
	c := Counts{Total: 1}
	switch {
	case !s.OK:
		c.Failed = 1
	case s.Latency > e.objective.Latency:
		c.Slow = 1
	}
	s.Customer, s.Key = core.Customer(clip(string(s.Customer))), clip(s.Key)
	e.counts.add(now, c)
	e.spend(now, c)
	e.table.add(now, s.Customer, c)
	if bad := float64(c.Failed + c.Slow); bad > 0 {
		e.customers.add(now, string(s.Customer), bad)
		e.keys.add(now, s.Key, bad)
	}
}

// spend counts against the budget of the period, which starts anew when the
// period is over.
func (e *entry) spend(now clock.Instant, c Counts) {
	if now.Sub(e.since) > Period {
		e.spent, e.since = Counts{}, now
	}
	e.spent.add(c)
}

// Refused returns the number of samples beyond the bound on series.
func (m *Meter) Refused() uint64 { return m.refused }

// Snapshot returns the state at instant now. The wall time at is shown in
// reports.
func (m *Meter) Snapshot(now clock.Instant, at time.Time) *Snapshot {
	out := &Snapshot{At: at, Nodes: 1}
	for _, e := range m.entries {
		s := Series{Objective: e.objective, Spent: e.spent, History: e.counts.history(now),
			Customers: e.customers.top(now, topCount), Keys: e.keys.top(now, topCount),
			Worst: e.table.worst(now, e.objective, worstCount), Uncounted: e.table.missed}
		for i, w := range Windows {
			s.Windows[i] = e.counts.sum(now, w.Span)
		}
		out.Series = append(out.Series, s)
	}
	sortSeries(out.Series)
	return out
}

func clip(s string) string { return s[:min(len(s), maxName)] }
