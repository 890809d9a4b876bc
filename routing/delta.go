package routing

import (
	"slices"

	"marjoramshore.example/core"
)

// Delta turns one version of a group's table into a newer one.
type Delta struct {
	Group core.GroupID
	// Base is the version to which the delta applies. It is ignored when Full.
	Base    core.Token
	Version core.Token
	// Full means that Members and Entries are the whole new table.
	Full bool
	// Members is the new list of members. Entries that are kept follow their
	// owner to its new position.
	Members []core.Member
	// Entries replace every entry of the base that they overlap.
	Entries []core.Entry
}

// Diff returns the changes from old to new. It returns a full delta when old
// is nil or of another group, when a range left the table without another in
// its place, or when the changes are not smaller than the table.
func Diff(old, new *core.Table) *Delta {
	full := &Delta{Group: new.Group, Version: new.Version, Full: true,
		Members: slices.Clone(new.Members), Entries: slices.Clone(new.Entries)}
	if old == nil || old.Group != new.Group || repeated(old.Members) || repeated(new.Members) {
		return full
	}
	full.Base = old.Version
	position := positions(old.Members, new.Members)
	var changed []core.Entry
	i := 0
	for _, e := range new.Entries {
		for i < len(old.Entries) && old.Entries[i].Range.Lo < e.Range.Lo {
			i++
		}
		if i == len(old.Entries) || !kept(old.Entries[i], e, position) {
			changed = append(changed, e)
		}
	}
	if len(changed) >= len(new.Entries) || vanished(old.Entries, new.Entries) {
		return full
	}
	return &Delta{Group: new.Group, Base: old.Version, Version: new.Version,
		Members: full.Members, Entries: changed}
}

// Apply returns the table that d makes of old. A full delta ignores old. It
// fails with a *BaseError when the delta starts from another version, and with
// a *core.Error when the result is not a valid table.
func Apply(old *core.Table, d *Delta) (*core.Table, error) {
	next := &core.Table{Group: d.Group, Version: d.Version, Members: slices.Clone(d.Members)}
	if d.Full {
		next.Entries = slices.Clone(d.Entries)
		return next, next.Validate()
	}
	if old == nil {
		return nil, &BaseError{Group: d.Group, Base: d.Base}
	}
	if old.Group != d.Group || old.Version != d.Base {
		return nil, &BaseError{Group: d.Group, Base: d.Base, Held: old.Version}
	}
	position := positions(old.Members, d.Members)
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
			e.Owner = position[e.Owner]
		}
		next.Entries = append(next.Entries, e)
	}
	next.Entries = append(next.Entries, d.Entries[i:]...)
	return next, next.Validate()
}

// positions maps each index in old to the index of the same run in new. A
// member that left maps to NoOwner.
func positions(old, new []core.Member) []int {
	out := make([]int, len(old))
	for i, m := range old {
		out[i] = slices.IndexFunc(new, m.SameRun)
	}
	return out
}

// kept reports whether Apply would carry a over as b.
func kept(a, b core.Entry, position []int) bool {
	if a.Range != b.Range || a.Token != b.Token {
		return false
	}
	if a.Owner == core.NoOwner {
		return b.Owner == core.NoOwner
	}
	return position[a.Owner] == b.Owner && b.Owner != core.NoOwner
}

// vanished reports whether some old entry overlaps no new entry.
func vanished(old, new []core.Entry) bool {
	i := 0
	for _, e := range old {
		for i < len(new) && new[i].Range.Hi < e.Range.Lo {
			i++
		}
		if i == len(new) || !new[i].Range.Overlaps(e.Range) {
			return true
		}
	}
	return false
}

// repeated reports whether a run is listed twice. Positions would then be
// ambiguous.
func repeated(members []core.Member) bool {
	for i, m := range members {
		if slices.IndexFunc(members[:i], m.SameRun) >= 0 {
			return true
		}
	}
	return false
}
