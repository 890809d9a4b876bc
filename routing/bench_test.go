package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// evenTable divides the key space evenly into n ranges that 16 members own in
// turn.
func evenTable(term uint64, n int) *core.Table {
	t := &core.Table{Group: core.GroupID{Service: "s", Number: 1}, Version: core.Token{Term: term}}
	for i := range 16 {
		t.Members = append(t.Members, member(i))
	}
	step := ^core.Hash(0)/core.Hash(n) + 1
	for i := range n {
		lo := core.Hash(i) * step
		t.Entries = append(t.Entries, core.Entry{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Owner: i % 16, Token: t.Version})
	}
	return t
}

// fleetView returns the View of a whole fleet: 225 groups of 256 ranges.
func fleetView() *View {
	const groups = 225
	step := ^core.Hash(0)/groups + 1
	ranges := make([]GroupRange, groups)
	for g := range ranges {
		lo := core.Hash(g) * step
		ranges[g] = GroupRange{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Group: uint32(g)}
	}
	ranges[groups-1].Range.Hi = ^core.Hash(0)
	v, err := (*View)(nil).WithGroups("s", ranges)
	for g := 0; err == nil && g < groups; g++ {
		t := evenTable(1, 256)
		t.Group.Number = uint32(g)
		lo, width := ranges[g].Range.Lo, (ranges[g].Range.Hi-ranges[g].Range.Lo)/256
		for i := range t.Entries {
			t.Entries[i].Range = core.Range{Lo: lo, Hi: lo + width - 1}
			lo += width
		}
		v, _, err = v.WithTable(t)
	}
	if err != nil {
		panic(err)
	}
	return v
}

// findOwnerByScan looks at every group and entry in turn. It is the baseline
// for correctness and speed of Lookup.
func findOwnerByScan(v *View, s core.Service, h core.Hash) *core.Member {
	for _, g := range v.services[s].groups {
		if g.table == nil || !g.groupRange.Range.Contains(h) {
			continue
		}
		for _, e := range g.table.Entries {
			if e.Range.Contains(h) && e.Owner != core.NoOwner {
				return &g.table.Members[e.Owner]
			}
		}
	}
	return nil
}

// Guards against allocations on the request path.
func TestLookupAndDecideDoNotAllocate(t *testing.T) {
	v, h := fleetView(), core.Hash(12345)
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
		h = h*6364136223846793005 + 1
		v.Lookup("s", h)
	}))
	p := NewRetryPolicy(rand.Uint64)
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
		p.Budget.RecordFirstAttempt()
		p.Decide(0, Failure{Code: core.CodeNotOwner, Attempts: 1})
	}))
}

func BenchmarkLookup(b *testing.B) {
	v, h := fleetView(), core.Hash(1)
	b.ReportAllocs()
	for b.Loop() {
		h = h*6364136223846793005 + 1442695040888963407
		v.Lookup("s", h)
	}
}

func BenchmarkLookupLinearScan(b *testing.B) {
	v, h := fleetView(), core.Hash(1)
	b.ReportAllocs()
	for b.Loop() {
		h = h*6364136223846793005 + 1442695040888963407
		findOwnerByScan(v, "s", h)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := NewRetryPolicy(rand.Uint64)
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(0, Failure{Code: core.CodeNotOwner, Owner: "a:1", Attempts: 1})
	}
}
