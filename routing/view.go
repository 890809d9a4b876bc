package routing

import (
	"slices"
	"sort"

	"marjoramshore.example/core"
)

// LookupStatus is the result of a lookup in a View.
type LookupStatus uint8

// Lookup results.
const (
	// Found means that the route names the current owner.
	Found LookupStatus = iota
	// Unowned means that the table is known and the hash has no owner.
	Unowned
	// NoTable means that the group is known and its table has not been
	// received.
	NoTable
	// NoGroup means that no known group covers the hash.
	NoGroup
	// NoService means that the service is not known.
	NoService
)

// Route is the route to the owner of a hash. Member points into an immutable
// table and must not be changed; it is nil unless the status is Found.
type Route struct {
	Member *core.Member
	Token  core.Token
	Group  core.GroupID
	// Version is the version of the table that was consulted, or zero.
	Version core.Token
}

// GroupRange assigns a range of a service's key space to a group.
type GroupRange struct {
	Range core.Range
	Group uint32
}

// groupTable is a group of a service with its table, which is nil until it is
// received.
type groupTable struct {
	groupRange GroupRange
	table      *core.Table
}

// maxRemovedGroups bounds the versions kept for removed groups. It exceeds the
// 360 groups that 3,600 nodes form.
const maxRemovedGroups = 1024

// removedGroup holds the last table version of a removed group.
type removedGroup struct {
	group   uint32
	version core.Token
}

type serviceView struct {
	groups []groupTable // ordered by range, never overlapping
	// removed is ordered oldest first. It prevents a group that is declared
	// again from accepting an outdated table.
	removed []removedGroup
}

// View is an immutable snapshot of all known tables. A nil View is empty.
// Methods that change it return a new View; readers share one through an atomic
// pointer.
type View struct{ services map[core.Service]*serviceView }

// Lookup returns the route of hash h in service s. It does not allocate.
func (v *View) Lookup(s core.Service, h core.Hash) (Route, LookupStatus) {
	if v == nil {
		return Route{}, NoService
	}
	sv := v.services[s]
	if sv == nil {
		return Route{}, NoService
	}
	g := sv.findGroup(h)
	if g == nil {
		return Route{}, NoGroup
	}
	r := Route{Group: core.GroupID{Service: s, Number: g.groupRange.Group}}
	if g.table == nil {
		return r, NoTable
	}
	r.Version = g.table.Version
	e, ok := g.table.Find(h)
	if !ok || e.Owner == core.NoOwner {
		return r, Unowned
	}
	r.Member, r.Token = &g.table.Members[e.Owner], e.Token
	return r, Found
}

// Table returns the known table of a group, or nil.
func (v *View) Table(id core.GroupID) *core.Table {
	if v == nil || v.services[id.Service] == nil {
		return nil
	}
	if i := v.services[id.Service].groupIndex(id.Number); i >= 0 {
		return v.services[id.Service].groups[i].table
	}
	return nil
}

// GroupRanges returns the groups of a service in the order of their ranges.
func (v *View) GroupRanges(s core.Service) []GroupRange {
	if v == nil || v.services[s] == nil {
		return nil
	}
	sv := v.services[s]
	out := make([]GroupRange, len(sv.groups))
	for i := range sv.groups {
		out[i] = sv.groups[i].groupRange
	}
	return out
}

// Services returns the known services in ascending order.
func (v *View) Services() []core.Service {
	if v == nil {
		return nil
	}
	out := make([]core.Service, 0, len(v.services))
	for s := range v.services {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// WithGroups declares the groups of a service. Groups that remain keep their
// tables. It fails with a *GroupRangeError when a range is inverted, two ranges
// overlap or a group is listed twice.
func (v *View) WithGroups(s core.Service, ranges []GroupRange) (*View, error) {
	sorted := slices.Clone(ranges)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Range.Lo < sorted[j].Range.Lo })
	if err := validateRanges(s, sorted); err != nil {
		return v, err
	}
	old := v.serviceOrEmpty(s)
	next := &serviceView{groups: make([]groupTable, len(sorted)), removed: slices.Clone(old.removed)}
	for i, r := range sorted {
		next.groups[i].groupRange = r
		if j := old.groupIndex(r.Group); j >= 0 {
			next.groups[i].table = old.groups[j].table
		}
	}
	for _, o := range old.groups {
		if o.table != nil && next.groupIndex(o.groupRange.Group) < 0 {
			next.recordRemoved(o.groupRange.Group, o.table.Version)
		}
	}
	return v.withService(s, next), nil
}

// WithTable returns the View with t, and whether t is newer than the known
// version. A table that is not newer leaves the View unchanged. A group that
// was not declared gets the range from its first to its last entry. The caller
// must not change t afterwards.
func (v *View) WithTable(t *core.Table) (*View, bool, error) {
	if err := t.Validate(); err != nil {
		return v, false, err
	}
	s, n := t.Group.Service, t.Group.Number
	old := v.serviceOrEmpty(s)
	i := old.groupIndex(n)
	if !old.latestVersion(n).Less(t.Version) {
		return v, false, nil
	}
	next := &serviceView{groups: slices.Clone(old.groups), removed: old.removed}
	if i >= 0 {
		next.groups[i].table = t
		return v.withService(s, next), true, nil
	}
	if len(t.Entries) == 0 {
		return v, false, &GroupRangeError{Service: s, Group: n}
	}
	covered := core.Range{Lo: t.Entries[0].Range.Lo, Hi: t.Entries[len(t.Entries)-1].Range.Hi}
	added := groupTable{groupRange: GroupRange{Range: covered, Group: n}, table: t}
	at, _ := slices.BinarySearchFunc(next.groups, covered.Lo, func(a groupTable, lo core.Hash) int {
		if a.groupRange.Range.Lo < lo {
			return -1
		}
		return 1
	})
	next.groups = slices.Insert(next.groups, at, added)
	if err := validateRanges(s, groupRanges(next.groups)); err != nil {
		return v, false, err
	}
	return v.withService(s, next), true, nil
}

// WithDelta applies d to the table of its group. It fails with a
// *BaseMismatchError when d does not apply to the version held; the caller then
// fetches the whole table.
func (v *View) WithDelta(d *Delta) (*View, bool, error) {
	held := v.serviceOrEmpty(d.Group.Service).latestVersion(d.Group.Number)
	if !held.Less(d.Version) {
		return v, false, nil
	}
	t, err := Apply(v.Table(d.Group), d)
	if err != nil {
		return v, false, err
	}
	return v.WithTable(t)
}

// WithoutService returns the View without the service s and the versions kept
// for it.
func (v *View) WithoutService(s core.Service) *View {
	next := v.copy()
	delete(next.services, s)
	return next
}

func (v *View) serviceOrEmpty(s core.Service) *serviceView {
	if v != nil && v.services[s] != nil {
		return v.services[s]
	}
	return &serviceView{}
}

func (v *View) copy() *View {
	next := &View{services: make(map[core.Service]*serviceView, 8)}
	if v != nil {
		for s, sv := range v.services {
			next.services[s] = sv
		}
	}
	return next
}

func (v *View) withService(s core.Service, sv *serviceView) *View {
	next := v.copy()
	next.services[s] = sv
	return next
}

func (sv *serviceView) findGroup(h core.Hash) *groupTable {
	lo, hi := 0, len(sv.groups)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if sv.groups[mid].groupRange.Range.Hi < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(sv.groups) && sv.groups[lo].groupRange.Range.Contains(h) {
		return &sv.groups[lo]
	}
	return nil
}

// groupIndex returns the index of a group, or -1.
func (sv *serviceView) groupIndex(group uint32) int {
	return slices.IndexFunc(sv.groups, func(s groupTable) bool { return s.groupRange.Group == group })
}

// latestVersion returns the greatest version held of a group: that of its
// table, or the one kept when the group was removed.
func (sv *serviceView) latestVersion(group uint32) core.Token {
	if i := sv.groupIndex(group); i >= 0 && sv.groups[i].table != nil {
		return sv.groups[i].table.Version
	}
	for _, x := range sv.removed {
		if x.group == group {
			return x.version
		}
	}
	return core.Token{}
}

// recordRemoved keeps the last version of a removed group and drops the oldest
// entry when the list is full.
func (sv *serviceView) recordRemoved(group uint32, v core.Token) {
	sv.removed = slices.DeleteFunc(sv.removed, func(x removedGroup) bool { return x.group == group })
	if len(sv.removed) == maxRemovedGroups {
		sv.removed = slices.Delete(sv.removed, 0, 1)
	}
	sv.removed = append(sv.removed, removedGroup{group: group, version: v})
}

func groupRanges(groups []groupTable) []GroupRange {
	out := make([]GroupRange, len(groups))
	for i := range groups {
		out[i] = groups[i].groupRange
	}
	return out
}

// validateRanges checks ranges, which must be ordered by their lower bound.
func validateRanges(s core.Service, ranges []GroupRange) error {
	seen := make(map[uint32]bool, len(ranges))
	for i, r := range ranges {
		overlap := i > 0 && r.Range.Lo <= ranges[i-1].Range.Hi
		if overlap || seen[r.Group] || r.Range.Lo > r.Range.Hi {
			return &GroupRangeError{Service: s, Group: r.Group}
		}
		seen[r.Group] = true
	}
	return nil
}
