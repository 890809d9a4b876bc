package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
)

// bigTable divides the key space evenly into n ranges of 16 members.
func bigTable(term uint64, n int) *core.Table {
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

// fleetView holds the groups of a whole fleet: 225 groups of 256 ranges.
func fleetView() *View {
	const groups = 225
	step := ^core.Hash(0)/groups + 1
	spans := make([]GroupRange, groups)
	for g := range spans {
		lo := core.Hash(g) * step
		spans[g] = GroupRange{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Group: uint32(g)}
	}
	spans[groups-1].Range.Hi = ^core.Hash(0)
	v, err := (*View)(nil).WithGroups("s", spans)
	for g := 0; err == nil && g < groups; g++ {
		t := bigTable(1, 256)
		t.Group.Number = uint32(g)
		lo, width := spans[g].Range.Lo, (spans[g].Range.Hi-spans[g].Range.Lo)/256
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

// scanOwner is the baseline: it looks at every group and entry in turn.
func scanOwner(v *View, s core.Service, h core.Hash) *core.Member {
	for _, g := range v.services[s].slots {
		if g.table == nil || !g.span.Range.Contains(h) {
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

// Guards against garbage on the hot path.
func TestOwnerDoesNotAllocate(t *testing.T) {
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

func BenchmarkOwner(b *testing.B) {
	v, h := fleetView(), core.Hash(1)
	b.ReportAllocs()
	for b.Loop() {
		h = h*6364136223846793005 + 1442695040888963407
		v.Lookup("s", h)
	}
}

func BenchmarkOwnerLinearScan(b *testing.B) {
	v, h := fleetView(), core.Hash(1)
	b.ReportAllocs()
	for b.Loop() {
		h = h*6364136223846793005 + 1442695040888963407
		scanOwner(v, "s", h)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := NewRetryPolicy(rand.Uint64)
	b.ReportAllocs()
	for b.Loop() {
		p.Decide(0, Failure{Code: core.CodeNotOwner, Owner: "a:1", Attempts: 1})
	}
}
