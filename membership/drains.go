package membership

import "marjoramshore.example/core"

// DefaultDrainShare is the share of a service that may drain at a time.
const DefaultDrainShare = 0.2

// DrainCap returns how many of total members may drain at a time: the share,
// rounded down, and at least one.
func DrainCap(total int, share float64) int {
	return max(1, int(float64(total)*share))
}

// MayDrain reports whether candidate may start to drain. Data centres are the
// update domains: members of two of them do not drain at the same time, so that
// the loss of one data centre never meets a drain in another. It fits
// ownership.Config.MayDrain.
func MayDrain(draining []core.Member, candidate core.Member, total int) bool {
	for _, m := range draining {
		if m.DataCentre != candidate.DataCentre {
			return false
		}
	}
	return len(draining) < DrainCap(total, DefaultDrainShare)
}
