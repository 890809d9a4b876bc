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

// Objective is the service level objective of one kind of work.
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

// DefaultObjective returns the objective of work for which none is declared.
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

// budget returns the shares of requests that may fail and that may be slow.
// They are above 0, because a burn rate is a share divided by them.
func (o Objective) budget() (unavailable, slow float64) {
	return max(1-o.Availability, 1e-9), max(1-o.LatencyShare, 1e-9)
}

// Window is a time span over which a burn rate is computed.
type Window struct {
	Name string // for people, such as "5m"
	Span time.Duration
}

// Windows lists the windows in the order of Series.Windows. The first two and
// the last two are the pairs that raise alerts.
var Windows = [4]Window{
	{Name: "5m", Span: 5 * time.Minute}, {Name: "1h", Span: time.Hour},
	{Name: "30m", Span: 30 * time.Minute}, {Name: "6h", Span: 6 * time.Hour},
}

// Period is the time that an error budget covers.
const Period = 30 * 24 * time.Hour

// Alert is the alert state of an objective.
type Alert string

// Alert states, least severe first.
const (
	NoAlert Alert = "ok"
	// Ticket means that the burn rate is at least SlowBurn over both 30 minutes
	// and 6 hours: 5% of the budget in 6 hours.
	Ticket Alert = "ticket"
	// Page means that the burn rate is at least FastBurn over both 5 minutes
	// and 1 hour: 2% of the budget in 1 hour.
	Page Alert = "page"
)

// Thresholds of alerts. A burn rate of 1 uses the budget up in exactly the
// period of 30 days.
const (
	FastBurn = 14.4
	SlowBurn = 6.0
	// minAlertRequests is the number of requests in the longer window below
	// which there is no alert, because a single failure would raise one.
	minAlertRequests = 10
)
