package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

func member(name, dc string, inc core.Incarnation) core.Member {
	return core.Member{Node: core.NodeID(name), Incarnation: inc, DataCentre: core.DataCentre(dc)}
}

// TestAnnouncements guards against accepting an announcement with implausible
// limits, or of a backend server of another service.
func TestAnnouncements(t *testing.T) {
	for _, x := range []struct {
		change func(*Announcement)
		want   core.Code
	}{
		{func(*Announcement) {}, 0},
		{func(a *Announcement) { a.Slots = 0 }, core.CodeInvalid},
		{func(a *Announcement) { a.Slots = -1 }, core.CodeInvalid},
		{func(a *Announcement) { a.Connections = 1 << 20 }, core.CodeInvalid},
		{func(a *Announcement) { a.Service = "" }, core.CodeInvalid},
		{func(a *Announcement) { a.Service = "other" }, core.CodeConflict},
	} {
		a := Announcement{Service: "raportit", Slots: 17, Connections: 130}
		x.change(&a)
		err := a.Validate("raportit")
		if x.want == 0 {
			must.NoError(t, err)
			continue
		}
		must.Eq(t, x.want, core.CodeOf(err))
	}
}

// TestDamping guards against assigning ranges to a node in a crash loop after
// every restart, and against holding it back for ever.
func TestDamping(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultDampingConfig()
		d := NewDamper(cfg)
		now := clock.Instant(time.Hour)
		held := time.Duration(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "losses") {
			m := member("a", "x", core.Incarnation(i+1))
			d.RecordLoss(m, now)
			hold := d.HeldUntil("a").Sub(now)
			if i == 0 {
				must.True(t, d.Eligible(m, now))
			} else {
				must.False(t, d.Eligible(m, now))
				must.GreaterEq(t, held, hold)
				must.LessEq(t, cfg.MaxHold, hold)
				must.True(t, d.Eligible(m, now.Add(hold)))
				held = hold
			}
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(cfg.ResetAfter)-1).Draw(t, "up")))
		}
		now = now.Add(2 * cfg.ResetAfter)
		d.RecordLoss(member("a", "x", 99), now)
		must.True(t, d.Eligible(member("a", "x", 100), now), must.Sprint("losses before ResetAfter must not count"))
		for i := range 3 * cfg.MaxNodes {
			d.RecordLoss(member(fmt.Sprintf("n%d", i), "x", 1), now)
		}
		must.LessEq(t, cfg.MaxNodes, len(d.nodes))
	})
}

// TestGroupRange guards against gaps and overlaps between the ranges of groups.
func TestGroupRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.Uint32Range(1, 5000).Draw(t, "count")
		next := core.Hash(0)
		for n := range count {
			r := GroupRange(n, count)
			must.Eq(t, next, r.Lo)
			must.True(t, r.Lo < r.Hi)
			next = r.Hi + 1
		}
		must.Eq(t, core.Hash(0), next)
	})
}

// TestChooseGroup guards against groups above MaxGroupSize, and against a
// restarted node that joins a second group.
func TestChooseGroup(t *testing.T) {
	var groups []Group
	count := GroupCount(40)
	for i := range 40 {
		m := member(fmt.Sprintf("n%d", i), fmt.Sprintf("dc%d", i%4), 1)
		number, ok := ChooseGroup(m, groups, count)
		must.True(t, ok)
		for len(groups) <= int(number) {
			groups = append(groups, Group{Number: uint32(len(groups))})
		}
		groups[number].Members = append(groups[number].Members, m)
	}
	for _, g := range groups {
		must.LessEq(t, MaxGroupSize, len(g.Members))
		again, _ := ChooseGroup(member(string(g.Members[0].Node), "dc0", 2), groups, count)
		must.Eq(t, g.Number, again)
	}
	_, ok := ChooseGroup(member("late", "dc0", 1), []Group{{Members: make([]core.Member, MaxGroupSize)}}, 1)
	must.False(t, ok)
}

// TestChooseSuccessors guards against successors in the same data centre while
// candidates in others are available.
func TestChooseSuccessors(t *testing.T) {
	c := member("c", "dc0", 1)
	a0, a1, b1, a2 := member("a0", "dc0", 1), member("a1", "dc1", 1), member("b1", "dc1", 1), member("a2", "dc2", 1)
	cases := []struct{ candidates, want []core.Member }{
		{[]core.Member{a0, a1, b1, a2}, []core.Member{a1, a2}},
		{[]core.Member{a0, a1, b1}, []core.Member{a1, b1}},
		{[]core.Member{a0, a1}, []core.Member{a1, a0}},
		{[]core.Member{a0}, []core.Member{a0}},
		{nil, nil},
	}
	for _, x := range cases {
		must.Eq(t, x.want, ChooseSuccessors(c, x.candidates, 2))
	}
}

// TestMayDrain guards against more draining members than DefaultDrainShare, and
// against drains in two data centres at a time.
func TestMayDrain(t *testing.T) {
	a, b, c := member("a", "dc0", 1), member("b", "dc0", 1), member("c", "dc1", 1)
	must.True(t, MayDrain(nil, a, 3))
	must.False(t, MayDrain([]core.Member{a}, b, 9))
	must.True(t, MayDrain([]core.Member{a}, b, 10))
	must.False(t, MayDrain([]core.Member{a}, c, 16))
}
