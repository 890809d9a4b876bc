package burn

import (
	"time"

	"marjoramshore.example/core"
)

// Work is the kind of work that an objective covers.
type Work string

// Kinds of work.
const (
	ShortLookup Work = "short-lookup"
	Submission  Work = "submission"
	Upload      Work = "upload"
)

// Objective states what a service promises for one kind of work.
type Objective struct {
	Service core.Service `json:"service"`
	Work    Work         `json:"work"`
	// Availability is the share of requests that must succeed, for example
	// 0.999.
	Availability float64 `json:"availability"`
	// Latency is the time within which a request must be answered, and
	// LatencyShare the share of requests for which that must hold.
	Latency      time.Duration `json:"latency_ns"`
	LatencyShare float64       `json:"latency_share"`
}

// DefaultObjective returns the promise for work without a declared objective.
// Short work follows the target of 99 in 100 within 18 ms.
func DefaultObjective(s core.Service, w Work) Objective {
	o := Objective{Service: s, Work: w, Availability: 0.999, Latency: 18 * time.Millisecond, LatencyShare: 0.99}
	switch w {
	case Submission:
		o.Latency = 250 * time.Millisecond
	case Upload:
		o.Latency = 30 * time.Second
	}
	return o
}

// budget returns the share of requests that may miss each promise.
func (o Objective) budget() (unavailable, slow float64) {
	return max(1-o.Availability, 1e-9), max(1-o.LatencyShare, 1e-9)
}

// Window is one span over which a burn rate is computed.
type Window struct {
	Name string
	Span time.Duration
}

// Windows lists the windows in the order of Series.Windows.
var Windows = [4]Window{
	{Name: "5m", Span: 5 * time.Minute}, {Name: "1h", Span: time.Hour},
	{Name: "30m", Span: 30 * time.Minute}, {Name: "6h", Span: 6 * time.Hour},
}

// Period is the time over which a budget is granted.
const Period = 30 * 24 * time.Hour

// Alert is the state of an objective.
type Alert string

// States of alert, the mildest first.
const (
	Quiet Alert = "ok"
	// Ticket means that both windows of 30 minutes and 6 hours burn at least
	// SlowBurn: 5% of the budget in 6 hours.
	Ticket Alert = "ticket"
	// Page means that both windows of 5 minutes and 1 hour burn at least
	// FastBurn: 2% of the budget in 1 hour.
	Page Alert = "page"
)

// Burn rates that raise an alert. A rate of 1 uses the budget up in exactly
// the period of 30 days.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
	// leastEvents is the number of requests in the longer window below which
	// there is no alert, since a single failure would raise one.
	leastEvents = 10
)
