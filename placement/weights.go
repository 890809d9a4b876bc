package placement

import (
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

const (
	// initialWeight is the weight of a backend server that has just started.
	initialWeight = 0.1
	// warmUpTime is how long a backend server takes from its start to full
	// weight.
	warmUpTime = time.Minute
	// minWeight keeps a slow backend server in use, so that its recovery can be
	// observed.
	minWeight = 0.1
	// slowServiceFactor is how many times the median service time a backend
	// server must exceed before its weight falls. Mixes of short and long
	// requests differ by less.
	slowServiceFactor = 1.5
	// maxWeightChangePerSecond bounds the change of a weight, since a sudden
	// change moves many ranges at once.
	maxWeightChangePerSecond = 0.02
	// saturationUtilization is the utilization above which the weight of a
	// backend server falls.
	saturationUtilization = 0.9
)

// BackendObservation is what is known of the load and state of one backend
// server.
type BackendObservation struct {
	// Slots is the number of requests that the backend server can run at once.
	Slots int
	// MeanInFlight is the mean number of running requests.
	MeanInFlight float64
	// CostRate is the cost per second, in the unit of the sketch.
	CostRate float64
	// RequestRate is the number of requests per second.
	RequestRate float64
	// MedianServiceTime is zero when there is no data.
	MedianServiceTime time.Duration
	// ReportedUtilization is the utilization that the backend server reports,
	// from 0 to 1, or negative when it reports none.
	ReportedUtilization float64
	// ReadyFor is how long the backend server has been ready to serve.
	ReadyFor time.Duration
	// Draining means that the member must own nothing.
	Draining bool
}

// CapacityModel derives capacities that change gradually from observations of
// backend servers. It is not safe for concurrent use.
type CapacityModel struct {
	updatedAt clock.Instant
	weights   map[core.NodeID]float64
}

// NewCapacityModel returns a model without history. The first weight of a
// member applies at once.
func NewCapacityModel() *CapacityModel { return &CapacityModel{weights: map[core.NodeID]float64{}} }

// Update returns the capacities of the members. Observations and capacities are
// in the order of the members. Members that are not listed are forgotten.
func (m *CapacityModel) Update(now clock.Instant, members []core.Member, observations []BackendObservation) []Capacity {
	maxChange := maxWeightChangePerSecond * now.Sub(m.updatedAt).Seconds()
	typicalServiceTime := medianServiceTime(observations)
	next := make(map[core.NodeID]float64, len(members))
	out := make([]Capacity, len(members))
	for i, member := range members {
		o := observations[i]
		weight := targetWeight(o, typicalServiceTime)
		if previous, known := m.weights[member.Node]; known && weight > 0 && previous > 0 {
			weight = min(max(weight, previous-maxChange), previous+maxChange)
		}
		next[member.Node] = weight
		out[i] = Capacity{Weight: weight, MaxLoad: estimateMaxLoad(o)}
	}
	m.updatedAt, m.weights = now, next
	return out
}

// Utilization returns the utilization of a backend server as the median of
// three estimates: running requests per slot, request rate times service time
// per slot, and the server's own report. A wrong report thus cannot lead beyond
// the two observations. Without a report the greater observation counts, and
// without a service time only the first one.
func Utilization(o BackendObservation) float64 {
	if o.Slots <= 0 {
		return 0
	}
	slots := float64(o.Slots)
	estimates := []float64{o.MeanInFlight / slots, o.RequestRate * o.MedianServiceTime.Seconds() / slots}
	if o.MedianServiceTime == 0 {
		estimates = estimates[:1]
	}
	if o.ReportedUtilization >= 0 && len(estimates) == 2 {
		estimates = append(estimates, o.ReportedUtilization)
	}
	slices.Sort(estimates)
	if len(estimates) == 3 {
		return estimates[1]
	}
	return estimates[len(estimates)-1] // assume the higher of two estimates
}

// estimateMaxLoad returns the load in cost per second that would fill the
// backend server, or zero when it is too idle for an estimate.
func estimateMaxLoad(o BackendObservation) float64 {
	if u := Utilization(o); u >= 0.05 {
		return o.CostRate / u
	}
	return 0
}

// targetWeight returns the weight that a backend server has once gradual
// changes are done.
func targetWeight(o BackendObservation, typicalServiceTime time.Duration) float64 {
	if o.Draining {
		return 0
	}
	weight := 1.0
	if typicalServiceTime > 0 && float64(o.MedianServiceTime) > slowServiceFactor*float64(typicalServiceTime) {
		weight = float64(typicalServiceTime) / float64(o.MedianServiceTime)
	}
	if u := Utilization(o); u > saturationUtilization {
		weight *= saturationUtilization / u
	}
	if o.ReadyFor < warmUpTime {
		weight *= initialWeight + (1-initialWeight)*max(0, o.ReadyFor.Seconds()/warmUpTime.Seconds())
	}
	return max(weight, minWeight)
}

// medianServiceTime returns the median over the servers that are not draining
// and have data, or zero.
func medianServiceTime(observations []BackendObservation) time.Duration {
	var times []time.Duration
	for _, o := range observations {
		if o.MedianServiceTime > 0 && !o.Draining {
			times = append(times, o.MedianServiceTime)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
