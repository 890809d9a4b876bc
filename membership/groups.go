package membership

import (
	"math/bits"
	"slices"

	"marjoramshore.example/core"
)

// MaxGroupSize is the largest number of members of a group. Section 3 of the
// design page derives it.
const MaxGroupSize = 10

// Group is what a joining node knows about one group of its service.
type Group struct {
	Number  uint32
	Members []core.Member
}

// GroupCount returns how many groups a service of the given number of nodes
// needs. Groups are planned to three quarters of MaxGroupSize, so that
// restarted and replacement nodes can join before the members that they replace
// have been removed.
func GroupCount(nodes int) uint32 {
	const plannedSize = MaxGroupSize * 3 / 4
	return uint32(max(1, (nodes+plannedSize-1)/plannedSize))
}

// GroupRange returns the part of the key space that belongs to group number of
// count groups. The parts have equal width (to within one hash), do not overlap
// and cover the key space.
func GroupRange(number, count uint32) core.Range {
	if count <= 1 {
		return core.FullRange
	}
	return core.Range{Lo: rangeStart(number, count), Hi: rangeStart(number+1, count) - 1}
}

// rangeStart returns floor(n * 2^64 / count), which wraps to zero for n == count.
func rangeStart(n, count uint32) core.Hash {
	if n >= count {
		return 0
	}
	quotient, _ := bits.Div64(uint64(n), 0, uint64(count))
	return core.Hash(quotient)
}

// ChooseGroup returns the number of the group that self should join: the one
// that lists self's node already, or else, among the groups with room, the one
// with the fewest members in self's data centre, then the fewest members, then
// the lowest number. Groups below count that are not listed are empty. It
// returns false if all groups are full.
func ChooseGroup(self core.Member, groups []Group, count uint32) (uint32, bool) {
	var best uint32
	var bestRank [2]int
	found := false
	for number := range count {
		var members []core.Member
		if index := slices.IndexFunc(groups, func(g Group) bool { return g.Number == number }); index >= 0 {
			members = groups[index].Members
		}
		total, sameDataCentre, isMember := countMembers(self, members)
		if isMember {
			return number, true
		}
		rank := [2]int{sameDataCentre, total} // the lowest rank is the best
		if total >= MaxGroupSize || (found && !rankLess(rank, bestRank)) {
			continue
		}
		best, bestRank, found = number, rank, true
	}
	return best, found
}

// countMembers counts the members and those in self's data centre, and reports
// whether a run of self's node is among them.
func countMembers(self core.Member, members []core.Member) (total, sameDataCentre int, isMember bool) {
	for _, m := range members {
		if m.Node == self.Node {
			isMember = true
		}
		total++
		if m.DataCentre == self.DataCentre {
			sameDataCentre++
		}
	}
	return total, sameDataCentre, isMember
}

// rankLess compares ranks by their first element, then by the second.
func rankLess(a, b [2]int) bool { return a[0] < b[0] || (a[0] == b[0] && a[1] < b[1]) }

// ChooseSuccessors picks up to n candidates. It prefers data centres other than
// the coordinator's and those of the successors already picked, and otherwise
// keeps the given order. It implements ownership.Config.Successors.
func ChooseSuccessors(coordinator core.Member, candidates []core.Member, n int) []core.Member {
	usedDataCentres := []core.DataCentre{coordinator.DataCentre}
	remaining := slices.Clone(candidates)
	var successors []core.Member
	for len(successors) < n && len(remaining) > 0 {
		next := max(0, slices.IndexFunc(remaining, func(m core.Member) bool { return !slices.Contains(usedDataCentres, m.DataCentre) }))
		if slices.Contains(usedDataCentres, remaining[next].DataCentre) {
			// All data centres of the candidates are in use. A successor in one
			// other than the coordinator's survives the loss of the latter.
			next = max(0, slices.IndexFunc(remaining, func(m core.Member) bool { return m.DataCentre != coordinator.DataCentre }))
		}
		successors = append(successors, remaining[next])
		usedDataCentres = append(usedDataCentres, remaining[next].DataCentre)
		remaining = slices.Delete(remaining, next, next+1)
	}
	return successors
}
