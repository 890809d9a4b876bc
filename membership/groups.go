package membership

import (
	"math/bits"
	"slices"

	"marjoramshore.example/core"
)

// MaxGroupSize is the largest group; section 3 of the design has the arithmetic.
const MaxGroupSize = 10

// Group is what a joining node knows of one group of its service.
type Group struct {
	Number  uint32
	Members []core.Member
}

// GroupCount returns how many groups a service of the given size needs. A
// quarter of the places stays free, so that restarts and replacements find
// room before the members they replace have been removed.
func GroupCount(nodes int) uint32 {
	const places = MaxGroupSize * 3 / 4
	return uint32(max(1, (nodes+places-1)/places))
}

// GroupRange returns the part of the key space of group number out of count.
// The parts are of even width, do not overlap and cover the key space.
func GroupRange(number, count uint32) core.Range {
	if count <= 1 {
		return core.FullRange
	}
	return core.Range{Lo: part(number, count), Hi: part(number+1, count) - 1}
}

// part returns floor(n * 2^64 / count), which wraps to zero for n == count.
func part(n, count uint32) core.Hash {
	if n >= count {
		return 0
	}
	quotient, _ := bits.Div64(uint64(n), 0, uint64(count))
	return core.Hash(quotient)
}

// ChooseGroup returns the group that self should join: the one it is already
// named in, or one with room and the fewest members of self's data centre, then
// the fewest members, then the lowest number. Groups up to count that are not
// listed are empty. It returns false when all groups are full.
func ChooseGroup(self core.Member, groups []Group, count uint32) (uint32, bool) {
	var best uint32
	var bestRank [2]int
	found := false
	for number := range count {
		var members []core.Member
		if at := slices.IndexFunc(groups, func(g Group) bool { return g.Number == number }); at >= 0 {
			members = groups[at].Members
		}
		others, near, named := place(self, members)
		if named {
			return number, true
		}
		rank := [2]int{near, others}
		if others >= MaxGroupSize || (found && !less(rank, bestRank)) {
			continue
		}
		best, bestRank, found = number, rank, true
	}
	return best, found
}

// place counts the members and those in self's data centre, and reports
// whether a run of self's node is among them.
func place(self core.Member, members []core.Member) (others, near int, named bool) {
	for _, m := range members {
		if m.Node == self.Node {
			named = true
		}
		others++
		if m.DataCentre == self.DataCentre {
			near++
		}
	}
	return others, near, named
}

func less(a, b [2]int) bool { return a[0] < b[0] || (a[0] == b[0] && a[1] < b[1]) }

// ChooseSuccessors picks up to n candidates, first from data centres other than
// the coordinator's and each other's, and within that in the given order. It
// fits ownership.Config.Successors.
func ChooseSuccessors(coordinator core.Member, candidates []core.Member, n int) []core.Member {
	used := []core.DataCentre{coordinator.DataCentre}
	rest := slices.Clone(candidates)
	var out []core.Member
	for len(out) < n && len(rest) > 0 {
		at := max(0, slices.IndexFunc(rest, func(m core.Member) bool { return !slices.Contains(used, m.DataCentre) }))
		if slices.Contains(used, rest[at].DataCentre) {
			// No fresh data centre is left; one other than the coordinator's
			// still survives the coordinator's.
			at = max(0, slices.IndexFunc(rest, func(m core.Member) bool { return m.DataCentre != coordinator.DataCentre }))
		}
		out = append(out, rest[at])
		used = append(used, rest[at].DataCentre)
		rest = slices.Delete(rest, at, at+1)
	}
	return out
}
