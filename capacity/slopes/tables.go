package slopes

import (
	"math"
	"strconv"

	"marjoramshore.example/capacity"
	"marjoramshore.example/core"
	"marjoramshore.example/groupwire"
	"marjoramshore.example/ownership"
	"marjoramshore.example/routing"
)

const service = core.Service("hintapalvelu")

var (
	rangeCounts = []int{16, 64, 256}
	groupCounts = []int{1, 60, 360}
)

// members returns a full group.
func members(group int) []core.Member {
	out := make([]core.Member, ownership.MaxMembers)
	for i := range out {
		n := strconv.Itoa(1000 + group*10 + i)
		out[i] = core.Member{
			Node: core.NodeID("hinta-" + n), Incarnation: core.Incarnation(1)<<62 + core.Incarnation(i), DataCentre: core.DataCentre("fi-south-" + strconv.Itoa(i%3)),
			Address: "10.101.102.103:17001", CallerAddress: "10.101.102.103:17000", ChecksTokens: true,
		}
	}
	return out
}

// table divides a span evenly into ranges.
func table(group int, span core.Range, ranges int) *core.Table {
	t := &core.Table{Group: core.GroupID{Service: service, Number: uint32(group)}, Version: core.Token{Term: 300, Sequence: 70_000}, Members: members(group)}
	step := (span.Hi - span.Lo) / core.Hash(ranges)
	for i := range ranges {
		lo := span.Lo + core.Hash(i)*step
		t.Entries = append(t.Entries, core.Entry{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Owner: i % len(t.Members), Token: t.Version})
	}
	return t
}

// decoded is a table as it arrives: its strings are not shared.
func decoded(group int, span core.Range, ranges int) (*core.Table, []byte, error) {
	b, err := groupwire.EncodeTable(table(group, span, ranges))
	if err != nil {
		return nil, nil, err
	}
	t, err := groupwire.DecodeTable(b)
	return t, b, err
}

// spans divides the key space evenly.
func spans(groups int) []routing.GroupRange {
	out := make([]routing.GroupRange, groups)
	step := ^core.Hash(0) / core.Hash(groups)
	for g := range out {
		lo := core.Hash(g) * step
		out[g] = routing.GroupRange{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Group: uint32(g)}
	}
	return out
}

// view holds the tables of all groups.
func view(groups, ranges int) (*routing.View, error) {
	list := spans(groups)
	v, err := (*routing.View)(nil).WithGroups(service, list)
	for g := 0; err == nil && g < groups; g++ {
		var t *core.Table
		if t, _, err = decoded(g, list[g].Range, ranges); err == nil {
			v, _, err = v.WithTable(t)
		}
	}
	return v, err
}

// tables measures what a holder of routing tables spends.
func tables() ([]capacity.Slope, error) {
	var out []capacity.Slope
	for _, x := range []struct {
		slope capacity.Slope
		sizes []int
		f     func(int) (float64, error)
	}{
		{capacity.Slope{Name: "table-bytes", Unit: "bytes", Per: "range", Counted: true}, rangeCounts, tableBytes},
		{capacity.Slope{Name: "table-memory", Unit: "bytes", Per: "range"}, rangeCounts, tableMemory},
		{capacity.Slope{Name: "table-learn-time", Unit: "seconds", Per: "range"}, rangeCounts, learnTime},
		{capacity.Slope{Name: "view-memory", Unit: "bytes", Per: "group of 64 ranges"}, groupCounts, viewMemory},
		{capacity.Slope{Name: "view-publish-time", Unit: "seconds", Per: "group of 64 ranges"}, groupCounts, publishTime},
	} {
		s, err := over(x.slope, x.sizes, x.f)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	s, err := lookups()
	return append(out, s), err
}

func tableBytes(ranges int) (float64, error) {
	b, err := groupwire.EncodeTable(table(0, core.FullRange, ranges))
	return float64(len(b)), err
}

func tableMemory(ranges int) (float64, error) {
	_, _, err := decoded(0, core.FullRange, ranges)
	return held(50, func() *core.Table {
		t, _, _ := decoded(0, core.FullRange, ranges)
		return t
	}), err
}

func learnTime(ranges int) (float64, error) {
	_, b, err := decoded(0, core.FullRange, ranges)
	return timed(50, func() {
		if t, err := groupwire.DecodeTable(b); err == nil {
			_, _, _ = (*routing.View)(nil).WithTable(t)
		}
	}), err
}

func viewMemory(groups int) (float64, error) {
	_, err := view(groups, 64)
	return held(1, func() *routing.View {
		v, _ := view(groups, 64)
		return v
	}), err
}

// publishTime is the time to put one newer table into a view.
func publishTime(groups int) (float64, error) {
	v, err := view(groups, 64)
	newer := table(0, spans(groups)[0].Range, 64)
	newer.Version.Sequence++
	return timed(200, func() { _, _, _ = v.WithTable(newer) }), err
}

// lookups measures a lookup against the binary logarithm of the ranges known.
func lookups() (capacity.Slope, error) {
	s := capacity.Slope{Name: "lookup-time", Unit: "seconds", Per: "doubling of the ranges known"}
	for _, groups := range groupCounts {
		v, err := view(groups, 64)
		if err != nil {
			return s, err
		}
		h := core.Hash(1)
		took := timed(50_000, func() {
			h = h*6364136223846793005 + 1442695040888963407
			v.Lookup(service, h)
		})
		s.Points = append(s.Points, capacity.Point{Size: math.Log2(float64(groups * 64)), Value: took})
	}
	return s, nil
}
