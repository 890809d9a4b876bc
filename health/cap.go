package health

import (
	"cmp"
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Candidate is one backend server of a service as its node reports it.
type Candidate struct {
	Node   core.NodeID
	State  State
	Reason Reason
	// Since is the instant, on the clock of the caller of Cap, at which the
	// node reported this state first.
	Since clock.Instant
}

// LimitEjections returns the nodes that may eject their server for a soft reason. At most
// share of the service, and at least one server, is away at a time. Servers
// that answer nothing count towards the share but are not limited, because
// keeping them would save no capacity. Servers that are ejected already keep
// their permission; those suspected longest come next.
func LimitEjections(all []Candidate, share float64) []core.NodeID {
	left := max(1, int(share*float64(len(all))))
	var out []core.NodeID
	var waiting []Candidate
	for _, c := range all {
		switch {
		case c.State == Ejected && c.Reason.Unresponsive():
			left--
		case c.State == Ejected:
			left--
			out = append(out, c.Node)
		case c.State == Suspect:
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Node, b.Node))
	})
	for _, c := range waiting {
		if left > 0 {
			out = append(out, c.Node)
			left--
		}
	}
	return out
}
