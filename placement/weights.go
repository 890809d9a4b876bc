package placement

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// coldWeight is the weight of a backend server that has just started.
	coldWeight = 0.1
	// warmUpTime is how long a started backend server takes to its full weight.
	warmUpTime = time.Minute
	// leastWeight keeps a slow backend server in use, so that its recovery can
	// be observed.
	leastWeight = 0.1
	// slowFactor is how much slower than the median a backend server must be
	// before its weight falls. Mixes of short and long work differ by less.
	slowFactor = 1.5
	// slew bounds the change of a weight per second. A weight that jumps moves
	// many ranges at once.
	slew = 0.02
	// saturated is the utilization above which a backend server is given less.
	saturated = 0.9
)

// Signal is what is known of one backend server.
type Signal struct {
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// InFlight is the observed mean number of running requests.
	InFlight float64
	// Load is the observed cost per second, in the unit of the sketch.
	Load float64
	// Throughput is the observed number of requests per second.
	Throughput float64
	// ServiceTime is the observed median service time, or zero without data.
	ServiceTime time.Duration
	// Reported is the utilization that the backend server states, from 0 to 1,
	// or negative when it states none.
	Reported float64
	// Ready is how long the backend server has been ready to serve.
	Ready time.Duration
	// Leaving means that the member must be emptied.
	Leaving bool
}

// Weights turns signals into capacities that change gradually. It is not safe
// for concurrent use.
type Weights struct {
	at     clock.Instant
	weight map[core.NodeID]float64
}

// NewWeights returns Weights without history.
func NewWeights() *Weights { return &Weights{weight: map[core.NodeID]float64{}} }

// Update returns the capacities of the members, whose signals are given in the
// same order. Members that are not listed are forgotten.
func (w *Weights) Update(now clock.Instant, members []core.Member, signals []Signal) []Capacity {
	step := slew * now.Sub(w.at).Seconds()
	typical := median(signals)
	next := make(map[core.NodeID]float64, len(members))
	out := make([]Capacity, len(members))
	for i, m := range members {
		s := signals[i]
		want := target(s, typical)
		if was, known := w.weight[m.Node]; known && want > 0 && was > 0 {
			want = min(max(want, was-step), was+step)
		}
		next[m.Node] = want
		out[i] = Capacity{Weight: want, Limit: limit(s)}
	}
	w.at, w.weight = now, next
	return out
}

// Utilization returns the utilization of a backend server by majority: the
// median of the running requests over the slots, of throughput times service
// time over the slots, and of the server's own report. A report that disagrees
// with both observations changes nothing beyond them.
func Utilization(s Signal) float64 {
	if s.Slots <= 0 {
		return 0
	}
	slots := float64(s.Slots)
	votes := []float64{s.InFlight / slots, s.Throughput * s.ServiceTime.Seconds() / slots}
	if s.ServiceTime == 0 {
		votes = votes[:1]
	}
	if s.Reported >= 0 && len(votes) == 2 {
		votes = append(votes, s.Reported)
	}
	slices.Sort(votes)
	if len(votes) == 3 {
		return votes[1]
	}
	return votes[len(votes)-1] // the more careful of two
}

// limit returns the load that would fill the backend server, or zero when it
// does too little to tell.
func limit(s Signal) float64 {
	if u := Utilization(s); u >= 0.05 {
		return s.Load / u
	}
	return 0
}

func target(s Signal, typical time.Duration) float64 {
	if s.Leaving {
		return 0
	}
	w := 1.0
	if typical > 0 && float64(s.ServiceTime) > slowFactor*float64(typical) {
		w = float64(typical) / float64(s.ServiceTime)
	}
	if u := Utilization(s); u > saturated {
		w *= saturated / u
	}
	if s.Ready < warmUpTime {
		w *= coldWeight + (1-coldWeight)*max(0, s.Ready.Seconds()/warmUpTime.Seconds())
	}
	return max(w, leastWeight)
}

func median(signals []Signal) time.Duration {
	var all []time.Duration
	for _, s := range signals {
		if s.ServiceTime > 0 && !s.Leaving {
			all = append(all, s.ServiceTime)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}
