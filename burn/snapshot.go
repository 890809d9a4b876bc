package burn

import (
	"cmp"
	"slices"
	"time"

	"marjoramshore.example/core"
)

// Spender is a customer or key with the bad requests it accounts for. Counts
// decay with a half-life of 30 minutes.
type Spender struct {
	Name   string  `json:"name"`
	Burned float64 `json:"burned"`
}

// CustomerBurn is the state of one customer over the last 30 to 60 minutes.
type CustomerBurn struct {
	Customer core.Customer `json:"customer"`
	Counts   Counts        `json:"counts"`
	Burn     float64       `json:"burn"`
}

// Series is the state of one service and kind of work.
type Series struct {
	Objective Objective `json:"objective"`
	// Windows holds the counts over the spans of Windows, in that order.
	Windows [4]Counts `json:"windows"`
	// History holds the counts of the last 6 hours in steps of 5 minutes, the
	// oldest first.
	History []Counts `json:"history"`
	// Spent holds the counts since the node started, at most one Period.
	Spent Counts `json:"spent"`
	// Customers and Keys burned most in absolute terms.
	Customers []Spender `json:"customers"`
	Keys      []Spender `json:"keys"`
	// Worst lists the customers with the highest burn of their own.
	Worst []CustomerBurn `json:"worst"`
	// Uncounted is the number of requests of customers that were not counted
	// one by one.
	Uncounted uint64 `json:"uncounted,omitempty"`
}

// Snapshot is the state of a node or, after merging, of a fleet. It marshals
// to JSON.
type Snapshot struct {
	At time.Time `json:"at"`
	// Nodes is the number of nodes that contributed.
	Nodes  int      `json:"nodes"`
	Series []Series `json:"series"`
}

// Limits of the lists in a snapshot. They bound the size of a snapshot however
// many nodes are merged.
const (
	topCount   = 10
	worstCount = 20
)

// Burn returns the burn rate over the window with the given index.
func (s *Series) Burn(window int) float64 { return s.Windows[window].burn(s.Objective) }

// Alert returns the state of the paired windows.
func (s *Series) Alert() Alert {
	switch {
	case s.both(0, 1, FastBurn):
		return Page
	case s.both(2, 3, SlowBurn):
		return Ticket
	}
	return Quiet
}

func (s *Series) both(short, long int, rate float64) bool {
	return s.Windows[long].Total >= leastEvents && s.Burn(short) >= rate && s.Burn(long) >= rate
}

// Remaining returns the part of the budget that is left of what the requests
// counted so far were granted. It is below zero when the objective is missed.
func (s *Series) Remaining() float64 { return 1 - s.Spent.burn(s.Objective) }

// Private returns the customers that burn at FastBurn or more although the
// service as a whole raises no alert.
func (s *Series) Private() []CustomerBurn {
	var out []CustomerBurn
	if s.Alert() != Quiet {
		return nil
	}
	for _, c := range s.Worst {
		if c.Burn >= FastBurn && c.Counts.Total >= leastEvents {
			out = append(out, c)
		}
	}
	return out
}

// Merge returns the state of both snapshots together. Histories are aligned at
// their newest step; the clocks of two nodes differ by much less than a step.
func Merge(a, b *Snapshot) *Snapshot {
	out := &Snapshot{At: a.At, Nodes: a.Nodes + b.Nodes}
	if b.At.After(a.At) {
		out.At = b.At
	}
	for _, s := range append(slices.Clone(a.Series), b.Series...) {
		i := slices.IndexFunc(out.Series, func(x Series) bool { return x.same(s) })
		if i < 0 {
			out.Series = append(out.Series, s.clone())
			continue
		}
		out.Series[i].merge(s)
	}
	sortSeries(out.Series)
	return out
}

func (s Series) same(o Series) bool {
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
	s.Spent.add(o.Spent)
	s.Uncounted += o.Uncounted
	s.Customers = topOf(joinSpenders(s.Customers, o.Customers), topCount)
	s.Keys = topOf(joinSpenders(s.Keys, o.Keys), topCount)
	s.Worst = worstOf(joinCustomers(s.Objective, s.Worst, o.Worst), worstCount)
}

func joinSpenders(a, b []Spender) []Spender {
	out := slices.Clone(a)
	for _, x := range b {
		if i := slices.IndexFunc(out, func(y Spender) bool { return y.Name == x.Name }); i >= 0 {
			out[i].Burned += x.Burned
		} else {
			out = append(out, x)
		}
	}
	return out
}

func joinCustomers(o Objective, a, b []CustomerBurn) []CustomerBurn {
	out := slices.Clone(a)
	for _, x := range b {
		if i := slices.IndexFunc(out, func(y CustomerBurn) bool { return y.Customer == x.Customer }); i >= 0 {
			out[i].Counts.add(x.Counts)
			out[i].Burn = out[i].Counts.burn(o)
		} else {
			out = append(out, x)
		}
	}
	return out
}

// worstOf sorts customers by burn. Customers with very few requests follow the
// others, because one failure of two requests is no outage.
func worstOf(all []CustomerBurn, n int) []CustomerBurn {
	slices.SortFunc(all, func(a, b CustomerBurn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.Burn, a.Burn),
			cmp.Compare(b.Counts.Total, a.Counts.Total), cmp.Compare(a.Customer, b.Customer))
	})
	return all[:min(n, len(all))]
}

func rank(c CustomerBurn) int {
	if c.Counts.Total < leastEvents {
		return 1
	}
	return 0
}

func sortSeries(all []Series) {
	slices.SortFunc(all, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Objective.Service, b.Objective.Service), cmp.Compare(a.Objective.Work, b.Objective.Work))
	})
}
