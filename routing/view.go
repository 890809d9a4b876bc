package routing

import (
	"slices"
	"sort"

	"marjoramshore.example/core"
)

// Status tells how far a lookup got.
type Status uint8

// Lookup results.
const (
	// Found means that the route names the current owner.
	Found Status = iota
	// Unowned means that the table is known and the range has no owner.
	Unowned
	// NoTable means that the group is known and its table is yet to be fetched.
	NoTable
	// NoGroup means that no known group covers the hash.
	NoGroup
	// NoService means that the service is not known.
	NoService
)

// Route is the result of a lookup. Member points into an immutable table and
// must not be changed. It is nil unless the status is Found.
type Route struct {
	Member *core.Member
	Token  core.Token
	Group  core.GroupID
	// Version is the version of the table that answered, or zero.
	Version core.Token
}

// GroupRange assigns a part of a service's key space to a group.
type GroupRange struct {
	Range core.Range
	Group uint32
}

type slot struct {
	span  GroupRange
	table *core.Table
}

// maxFloors bounds the versions remembered for groups that were removed. It
// exceeds the 360 groups that 3,600 nodes form.
const maxFloors = 1024

type floor struct {
	group   uint32
	version core.Token
}

type serviceView struct {
	slots []slot // ordered by span, never overlapping
	// floors holds the last version of each removed group, oldest first, so
	// that a group which returns does not return with an outdated table.
	floors []floor
}

// View is an immutable snapshot of all known tables. The nil View is empty.
// Methods that change it return a new View; readers share one through an
// atomic pointer.
type View struct{ services map[core.Service]*serviceView }

// Lookup returns the route of h in service s. It does not allocate.
func (v *View) Lookup(s core.Service, h core.Hash) (Route, Status) {
	if v == nil {
		return Route{}, NoService
	}
	sv := v.services[s]
	if sv == nil {
		return Route{}, NoService
	}
	g := sv.find(h)
	if g == nil {
		return Route{}, NoGroup
	}
	r := Route{Group: core.GroupID{Service: s, Number: g.span.Group}}
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
	if i := v.services[id.Service].index(id.Number); i >= 0 {
		return v.services[id.Service].slots[i].table
	}
	return nil
}

// GroupRanges returns the groups of a service in the order of their ranges.
func (v *View) GroupRanges(s core.Service) []GroupRange {
	if v == nil || v.services[s] == nil {
		return nil
	}
	sv := v.services[s]
	out := make([]GroupRange, len(sv.slots))
	for i := range sv.slots {
		out[i] = sv.slots[i].span
	}
	return out
}

// Services returns the known services in order.
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

// WithGroups declares the groups of a service. Tables of groups that remain
// are kept. It fails with a *SpanError when two spans overlap or share a group.
func (v *View) WithGroups(s core.Service, spans []GroupRange) (*View, error) {
	sorted := slices.Clone(spans)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Range.Lo < sorted[j].Range.Lo })
	if err := checkSpans(s, sorted); err != nil {
		return v, err
	}
	old := v.service(s)
	next := &serviceView{slots: make([]slot, len(sorted)), floors: slices.Clone(old.floors)}
	for i, sp := range sorted {
		next.slots[i].span = sp
		if j := old.index(sp.Group); j >= 0 {
			next.slots[i].table = old.slots[j].table
		}
	}
	for _, o := range old.slots {
		if o.table != nil && next.index(o.span.Group) < 0 {
			next.remember(o.span.Group, o.table.Version)
		}
	}
	return v.with(s, next), nil
}

// WithTable returns the View that holds t, and whether t was newer than the
// version known. A table that is not newer leaves the View as it is. A group
// that was not declared takes the span from its first to its last entry. The
// caller must not change t afterwards.
func (v *View) WithTable(t *core.Table) (*View, bool, error) {
	if err := t.Validate(); err != nil {
		return v, false, err
	}
	s, n := t.Group.Service, t.Group.Number
	old := v.service(s)
	i := old.index(n)
	if !old.version(n).Less(t.Version) {
		return v, false, nil
	}
	next := &serviceView{slots: slices.Clone(old.slots), floors: old.floors}
	if i >= 0 {
		next.slots[i].table = t
		return v.with(s, next), true, nil
	}
	if len(t.Entries) == 0 {
		return v, false, &SpanError{Service: s, Group: n}
	}
	hull := core.Range{Lo: t.Entries[0].Range.Lo, Hi: t.Entries[len(t.Entries)-1].Range.Hi}
	added := slot{span: GroupRange{Range: hull, Group: n}, table: t}
	at, _ := slices.BinarySearchFunc(next.slots, hull.Lo, func(a slot, lo core.Hash) int {
		if a.span.Range.Lo < lo {
			return -1
		}
		return 1
	})
	next.slots = slices.Insert(next.slots, at, added)
	if err := checkSpans(s, spansOf(next.slots)); err != nil {
		return v, false, err
	}
	return v.with(s, next), true, nil
}

// WithDelta applies d to the table of its group. It fails with a *BaseError
// when the version held is not the one the delta starts from; the caller then
// fetches the whole table.
func (v *View) WithDelta(d *Delta) (*View, bool, error) {
	held := v.service(d.Group.Service).version(d.Group.Number)
	if !held.Less(d.Version) {
		return v, false, nil
	}
	t, err := Apply(v.Table(d.Group), d)
	if err != nil {
		return v, false, err
	}
	return v.WithTable(t)
}

// WithoutService forgets a service.
func (v *View) WithoutService(s core.Service) *View {
	next := v.copy()
	delete(next.services, s)
	return next
}

func (v *View) service(s core.Service) *serviceView {
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

func (v *View) with(s core.Service, sv *serviceView) *View {
	next := v.copy()
	next.services[s] = sv
	return next
}

func (sv *serviceView) find(h core.Hash) *slot {
	lo, hi := 0, len(sv.slots)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if sv.slots[mid].span.Range.Hi < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(sv.slots) && sv.slots[lo].span.Range.Contains(h) {
		return &sv.slots[lo]
	}
	return nil
}

func (sv *serviceView) index(group uint32) int {
	return slices.IndexFunc(sv.slots, func(s slot) bool { return s.span.Group == group })
}

// version returns the greatest version ever held of a group.
func (sv *serviceView) version(group uint32) core.Token {
	if i := sv.index(group); i >= 0 && sv.slots[i].table != nil {
		return sv.slots[i].table.Version
	}
	for _, f := range sv.floors {
		if f.group == group {
			return f.version
		}
	}
	return core.Token{}
}

func (sv *serviceView) remember(group uint32, v core.Token) {
	sv.floors = slices.DeleteFunc(sv.floors, func(f floor) bool { return f.group == group })
	if len(sv.floors) == maxFloors {
		sv.floors = slices.Delete(sv.floors, 0, 1)
	}
	sv.floors = append(sv.floors, floor{group: group, version: v})
}

func spansOf(slots []slot) []GroupRange {
	out := make([]GroupRange, len(slots))
	for i := range slots {
		out[i] = slots[i].span
	}
	return out
}

func checkSpans(s core.Service, spans []GroupRange) error {
	seen := make(map[uint32]bool, len(spans))
	for i, sp := range spans {
		overlap := i > 0 && sp.Range.Lo <= spans[i-1].Range.Hi
		if overlap || seen[sp.Group] || sp.Range.Lo > sp.Range.Hi {
			return &SpanError{Service: s, Group: sp.Group}
		}
		seen[sp.Group] = true
	}
	return nil
}
