package burn

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/core"
)

// BudgetUse is the number of failed and slow requests of one customer or key.
// The number decays with a half-life of 30 minutes.
type BudgetUse struct {
	Name   string  `json:"name"`
	Burned float64 `json:"burned"`
}

// CustomerBurn is the counts and burn rate of one customer over the last 30 to
// 60 minutes.
type CustomerBurn struct {
	Customer core.Customer `json:"customer"`
	Counts   Counts        `json:"counts"`
	Burn     float64       `json:"burn"` // burn rate
}

// Series is the state of one service and kind of work.
type Series struct {
	Objective Objective `json:"objective"`
	// Windows holds the counts over the spans of Windows, in that order.
	Windows [4]Counts `json:"windows"`
	// History holds the counts of the last 6 hours in steps of 5 minutes,
	// oldest first.
	History []Counts `json:"history"`
	// PeriodCounts holds the counts of the current budget period, which starts
	// with the node and anew after each Period.
	PeriodCounts Counts `json:"spent"`
	// Customers and Keys list those with the most failed and slow requests.
	Customers []BudgetUse `json:"customers"`
	Keys      []BudgetUse `json:"keys"`
	// Worst lists the customers whose own burn rates are the highest.
	Worst []CustomerBurn `json:"worst"`
	// Uncounted is the number of requests that are in no customer's counts,
	// because there were too many customers.
	Uncounted uint64 `json:"uncounted,omitempty"`
}

// Snapshot is the state of a node or, after merging, of a fleet. It marshals
// to JSON.
type Snapshot struct {
	At time.Time `json:"at"`
	// Nodes is the number of nodes that the snapshot covers.
	Nodes  int      `json:"nodes"`
	Series []Series `json:"series"`
}

// Lengths of the lists in a snapshot. They bound its size, however many nodes
// are merged. topListLen bounds Series.Customers and Series.Keys, and
// worstListLen bounds Series.Worst.
const (
	topListLen   = 10
	worstListLen = 20
)

// BurnRate returns the burn rate over the window with the given index in
// Windows.
func (s *Series) BurnRate(window int) float64 { return s.Windows[window].burnRate(s.Objective) }

// Alert returns the most severe alert that a pair of windows raises.
func (s *Series) Alert() Alert {
	switch {
	case s.bothAtLeast(0, 1, FastBurn):
		return Page
	case s.bothAtLeast(2, 3, SlowBurn):
		return Ticket
	}
	return NoAlert
}

// bothAtLeast reports whether the burn rates over both windows are at least
// rate, and the longer window has enough requests for an alert.
func (s *Series) bothAtLeast(short, long int, rate float64) bool {
	return s.Windows[long].Total >= minAlertRequests && s.BurnRate(short) >= rate && s.BurnRate(long) >= rate
}

// RemainingBudget returns the remaining share of the budget that the requests
// of the period so far allow. It is negative if the objective is missed.
func (s *Series) RemainingBudget() float64 { return 1 - s.PeriodCounts.burnRate(s.Objective) }

// PrivateOutages returns the customers whose own burn rate is at least FastBurn
// although the service as a whole raises no alert.
func (s *Series) PrivateOutages() []CustomerBurn {
	var out []CustomerBurn
	if s.Alert() != NoAlert {
		return nil
	}
	for _, c := range s.Worst {
		if c.Burn >= FastBurn && c.Counts.Total >= minAlertRequests {
			out = append(out, c)
		}
	}
	return out
}

// Merge returns a snapshot of the nodes of both a and b, which it does not
// change. Histories are aligned at their newest step, because the clocks of two
// nodes differ by much less than a step.
func Merge(a, b *Snapshot) *Snapshot {
	out := &Snapshot{At: a.At, Nodes: a.Nodes + b.Nodes}
	if b.At.After(a.At) {
		out.At = b.At
	}
	for _, s := range append(slices.Clone(a.Series), b.Series...) {
		i := slices.IndexFunc(out.Series, func(x Series) bool { return x.sameSeries(s) })
		if i < 0 {
			out.Series = append(out.Series, s.clone())
			continue
		}
		out.Series[i].merge(s)
	}
	sortSeries(out.Series)
	return out
}

func (s Series) sameSeries(o Series) bool {
	return s.Objective.Service == o.Objective.Service && s.Objective.Work == o.Objective.Work
}

func (s Series) clone() Series {
	s.History, s.Worst = slices.Clone(s.History), slices.Clone(s.Worst)
	s.Customers, s.Keys = slices.Clone(s.Customers), slices.Clone(s.Keys)
	return s
}

func (s *Series) merge(o Series) {
	for i := range s.Windows {
		s.Windows[i].add(o.Windows[i])
	}
	if len(o.History) > len(s.History) {
		s.History, o.History = slices.Clone(o.History), s.History
	}
	for i, c := range o.History {
		s.History[len(s.History)-len(o.History)+i].add(c)
	}
	s.PeriodCounts.add(o.PeriodCounts)
	s.Uncounted += o.Uncounted
	s.Customers = sortTop(mergeUses(s.Customers, o.Customers), topListLen)
	s.Keys = sortTop(mergeUses(s.Keys, o.Keys), topListLen)
	s.Worst = sortWorst(mergeCustomers(s.Objective, s.Worst, o.Worst), worstListLen)
}

// mergeUses adds up the entries of a and b by name.
func mergeUses(a, b []BudgetUse) []BudgetUse {
	out := slices.Clone(a)
	for _, x := range b {
		if i := slices.IndexFunc(out, func(y BudgetUse) bool { return y.Name == x.Name }); i >= 0 {
			out[i].Burned += x.Burned
		} else {
			out = append(out, x)
		}
	}
	return out
}

// mergeCustomers adds up the counts of a and b by customer.
func mergeCustomers(o Objective, a, b []CustomerBurn) []CustomerBurn {
	out := slices.Clone(a)
	for _, x := range b {
		if i := slices.IndexFunc(out, func(y CustomerBurn) bool { return y.Customer == x.Customer }); i >= 0 {
			out[i].Counts.add(x.Counts)
			out[i].Burn = out[i].Counts.burnRate(o)
		} else {
			out = append(out, x)
		}
	}
	return out
}

// sortWorst sorts customers by burn rate, highest first, and returns the first
// n. Customers with fewer than minAlertRequests requests follow the others,
// because one failure of two requests is no outage.
func sortWorst(all []CustomerBurn, n int) []CustomerBurn {
	slices.SortFunc(all, func(a, b CustomerBurn) int {
		return cmp.Or(cmp.Compare(sampleSizeRank(a), sampleSizeRank(b)), cmp.Compare(b.Burn, a.Burn),
			cmp.Compare(b.Counts.Total, a.Counts.Total), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(n, len(all))]
}

// sampleSizeRank returns 1 for a customer with too few requests for an alert
// and 0 otherwise.
func sampleSizeRank(c CustomerBurn) int {
	if c.Counts.Total < minAlertRequests {
		return 1
	}
	return 0
}

func sortSeries(all []Series) {
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Objective.Service, b.Objective.Service), cmp.Compare(a.Objective.Work, b.Objective.Work))
	})
}
