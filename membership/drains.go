package membership

import "marjoramshore.example/core"

// DefaultDrainShare is the fraction of a service's members that may drain at a
// time.
const DefaultDrainShare = 0.2

// MaxDraining returns how many of total members may drain at a time: the given
// share of them, rounded down, but at least one.
func MaxDraining(total int, share float64) int {
	return max(1, int(float64(total)*share))
}

// MayDrain reports whether candidate may start to drain while the given members
// of the total are draining. Data centres are the update domains: members of
// two of them do not drain at the same time, so that the loss of one data
// centre never coincides with a drain in another. It implements
// ownership.Config.MayDrain.
func MayDrain(draining []core.Member, candidate core.Member, total int) bool {
	for _, m := range draining {
		if m.DataCentre != candidate.DataCentre {
			return false
		}
	}
	return len(draining) < MaxDraining(total, DefaultDrainShare)
}
