package health

import (
	"cmp"
	"slices"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// Candidate is a backend server of a service as its node reports it.
type Candidate struct {
	Node   core.NodeID
	State  State
	Reason Reason
	// Since is the instant at which the node first reported this state, on the
	// clock of the caller of LimitEjections.
	Since clock.Instant
}

// LimitEjections returns the nodes that may eject their server for a reason
// other than an unresponsive server. At most maxShare of the servers, and at
// least one, are ejected at a time. Unresponsive servers count towards the
// share but are not limited, because keeping them would save no capacity.
// Servers that are already ejected keep their permission; the servers that have
// been suspect longest come next.
func LimitEjections(servers []Candidate, maxShare float64) []core.NodeID {
	remaining := max(1, int(maxShare*float64(len(servers))))
	var permitted []core.NodeID
	var suspects []Candidate
	for _, c := range servers {
		switch {
		case c.State == Ejected && c.Reason.Unresponsive():
			remaining--
		case c.State == Ejected:
			remaining--
			permitted = append(permitted, c.Node)
		case c.State == Suspect:
			suspects = append(suspects, c)
		}
	}
	slices.SortFunc(suspects, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Node, b.Node))
	})
	for _, c := range suspects {
		if remaining > 0 {
			permitted = append(permitted, c.Node)
			remaining--
		}
	}
	return permitted
}
