package routing

import (
	"slices"

	"marjoramshore.example/core"
)

// Delta holds the changes from one version of a group's table to a newer one.
type Delta struct {
	Group core.GroupID
	// Base is the version to which the delta applies. It is ignored if Full is
	// set.
	Base    core.Token
	Version core.Token
	// Full means that Members and Entries are the whole new table.
	Full bool
	// Members is the whole new list of members. Entries of the base that are
	// kept still refer to their owner, at its index in the new list.
	Members []core.Member
	// Entries replace every entry of the base that they overlap.
	Entries []core.Entry
}

// Diff returns the changes from old to next. It returns a full delta when old
// is nil or belongs to another group, when a run is listed twice among the
// members, when an entry of old overlaps no entry of next, or when the changes
// are as many as the entries of next.
func Diff(old, next *core.Table) *Delta {
	full := &Delta{Group: next.Group, Version: next.Version, Full: true,
		Members: slices.Clone(next.Members), Entries: slices.Clone(next.Entries)}
	if old == nil || old.Group != next.Group || hasRepeatedRun(old.Members) || hasRepeatedRun(next.Members) {
		return full
	}
	full.Base = old.Version
	newIndex := mapMembers(old.Members, next.Members)
	var changed []core.Entry
	i := 0
	for _, e := range next.Entries {
		for i < len(old.Entries) && old.Entries[i].Range.Lo < e.Range.Lo {
			i++
		}
		if i == len(old.Entries) || !unchanged(old.Entries[i], e, newIndex) {
			changed = append(changed, e)
		}
	}
	if len(changed) >= len(next.Entries) || leavesGap(old.Entries, next.Entries) {
		return full
	}
	return &Delta{Group: next.Group, Base: old.Version, Version: next.Version,
		Members: full.Members, Entries: changed}
}

// Apply returns the table that results from applying d to old. A full delta
// ignores old. It fails with a *BaseMismatchError when d applies to another
// version, and with a *core.Error when the result is not a valid table.
func Apply(old *core.Table, d *Delta) (*core.Table, error) {
	next := &core.Table{Group: d.Group, Version: d.Version, Members: slices.Clone(d.Members)}
	if d.Full {
		next.Entries = slices.Clone(d.Entries)
		return next, next.Validate()
	}
	if old == nil {
		return nil, &BaseMismatchError{Group: d.Group, Base: d.Base}
	}
	if old.Group != d.Group || old.Version != d.Base {
		return nil, &BaseMismatchError{Group: d.Group, Base: d.Base, Held: old.Version}
	}
	newIndex := mapMembers(old.Members, d.Members)
	next.Entries = make([]core.Entry, 0, len(old.Entries)+len(d.Entries))
	i := 0
	for _, e := range old.Entries {
		for i < len(d.Entries) && d.Entries[i].Range.Hi < e.Range.Lo {
			next.Entries = append(next.Entries, d.Entries[i])
			i++
		}
		if i < len(d.Entries) && d.Entries[i].Range.Overlaps(e.Range) {
			continue
		}
		if e.Owner != core.NoOwner {
			e.Owner = newIndex[e.Owner]
		}
		next.Entries = append(next.Entries, e)
	}
	next.Entries = append(next.Entries, d.Entries[i:]...)
	return next, next.Validate()
}

// mapMembers returns, for each index in old, the index of the same run in next,
// or NoOwner if the run has left.
func mapMembers(old, next []core.Member) []int {
	out := make([]int, len(old))
	for i, m := range old {
		out[i] = slices.IndexFunc(next, m.SameRun)
	}
	return out
}

// unchanged reports whether Apply would turn the entry old into next without a
// change in the delta. newIndex is the result of mapMembers.
func unchanged(old, next core.Entry, newIndex []int) bool {
	if old.Range != next.Range || old.Token != next.Token {
		return false
	}
	if old.Owner == core.NoOwner {
		return next.Owner == core.NoOwner
	}
	return newIndex[old.Owner] == next.Owner && next.Owner != core.NoOwner
}

// leavesGap reports whether some entry of old overlaps no entry of next.
func leavesGap(old, next []core.Entry) bool {
	i := 0
	for _, e := range old {
		for i < len(next) && next[i].Range.Hi < e.Range.Lo {
			i++
		}
		if i == len(next) || !next[i].Range.Overlaps(e.Range) {
			return true
		}
	}
	return false
}

// hasRepeatedRun reports whether a run is listed twice, which makes the result
// of mapMembers ambiguous.
func hasRepeatedRun(members []core.Member) bool {
	for i, m := range members {
		if slices.IndexFunc(members[:i], m.SameRun) >= 0 {
			return true
		}
	}
	return false
}
