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

// sampleMembers returns the members of a full group.
func sampleMembers(group int) []core.Member {
	out := make([]core.Member, ownership.MaxMembers)
	for i := range out {
		number := strconv.Itoa(1000 + group*10 + i)
		out[i] = core.Member{
			Node: core.NodeID("hinta-" + number), Incarnation: core.Incarnation(1)<<62 + core.Incarnation(i), DataCentre: core.DataCentre("fi-south-" + strconv.Itoa(i%3)),
			Address: "10.101.102.103:17001", CallerAddress: "10.101.102.103:17000", ChecksTokens: true,
		}
	}
	return out
}

// sampleTable returns a table that divides span into ranges of equal size.
func sampleTable(group int, span core.Range, ranges int) *core.Table {
	t := &core.Table{Group: core.GroupID{Service: service, Number: uint32(group)}, Version: core.Token{Term: 300, Sequence: 70_000}, Members: sampleMembers(group)}
	step := (span.Hi - span.Lo) / core.Hash(ranges)
	for i := range ranges {
		lo := span.Lo + core.Hash(i)*step
		t.Entries = append(t.Entries, core.Entry{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Owner: i % len(t.Members), Token: t.Version})
	}
	return t
}

// decodedTable returns a sample table and its encoding. The table is decoded,
// so that it shares no strings, like one received from a peer.
func decodedTable(group int, span core.Range, ranges int) (*core.Table, []byte, error) {
	b, err := groupwire.EncodeTable(sampleTable(group, span, ranges))
	if err != nil {
		return nil, nil, err
	}
	t, err := groupwire.DecodeTable(b)
	return t, b, err
}

// groupSpans divides the key space evenly between groups.
func groupSpans(groups int) []routing.GroupRange {
	out := make([]routing.GroupRange, groups)
	step := ^core.Hash(0) / core.Hash(groups)
	for g := range out {
		lo := core.Hash(g) * step
		out[g] = routing.GroupRange{Range: core.Range{Lo: lo, Hi: lo + step - 1}, Group: uint32(g)}
	}
	return out
}

// sampleView returns a view that holds the tables of all groups.
func sampleView(groups, ranges int) (*routing.View, error) {
	spans := groupSpans(groups)
	view, err := (*routing.View)(nil).WithGroups(service, spans)
	for g := 0; err == nil && g < groups; g++ {
		var t *core.Table
		if t, _, err = decodedTable(g, spans[g].Range, ranges); err == nil {
			view, _, err = view.WithTable(t)
		}
	}
	return view, err
}

// measureTables measures the costs of a process that holds routing tables.
func measureTables() ([]capacity.Slope, error) {
	var out []capacity.Slope
	for _, cost := range []struct {
		slope   capacity.Slope
		sizes   []int
		measure func(int) (float64, error)
	}{
		{capacity.Slope{Name: "table-bytes", Unit: "bytes", Per: "range", Counted: true}, rangeCounts, tableBytes},
		{capacity.Slope{Name: "table-memory", Unit: "bytes", Per: "range"}, rangeCounts, tableMemory},
		{capacity.Slope{Name: "table-learn-time", Unit: "seconds", Per: "range"}, rangeCounts, tableLearnTime},
		{capacity.Slope{Name: "view-memory", Unit: "bytes", Per: "group of 64 ranges"}, groupCounts, viewMemory},
		{capacity.Slope{Name: "view-publish-time", Unit: "seconds", Per: "group of 64 ranges"}, groupCounts, viewPublishTime},
	} {
		s, err := measureSizes(cost.slope, cost.sizes, cost.measure)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	s, err := measureLookups()
	return append(out, s), err
}

func tableBytes(ranges int) (float64, error) {
	b, err := groupwire.EncodeTable(sampleTable(0, core.FullRange, ranges))
	return float64(len(b)), err
}

func tableMemory(ranges int) (float64, error) {
	_, _, err := decodedTable(0, core.FullRange, ranges)
	return heapOf(50, func() *core.Table {
		t, _, _ := decodedTable(0, core.FullRange, ranges)
		return t
	}), err
}

func tableLearnTime(ranges int) (float64, error) {
	_, b, err := decodedTable(0, core.FullRange, ranges)
	return secondsPerRun(50, func() {
		if t, err := groupwire.DecodeTable(b); err == nil {
			_, _, _ = (*routing.View)(nil).WithTable(t)
		}
	}), err
}

func viewMemory(groups int) (float64, error) {
	_, err := sampleView(groups, 64)
	return heapOf(1, func() *routing.View {
		v, _ := sampleView(groups, 64)
		return v
	}), err
}

// viewPublishTime returns the seconds that it takes to put one newer table into
// a view.
func viewPublishTime(groups int) (float64, error) {
	view, err := sampleView(groups, 64)
	newer := sampleTable(0, groupSpans(groups)[0].Range, 64)
	newer.Version.Sequence++
	return secondsPerRun(200, func() { _, _, _ = view.WithTable(newer) }), err
}

// measureLookups measures the time of a lookup against the binary logarithm of
// the number of known ranges.
func measureLookups() (capacity.Slope, error) {
	s := capacity.Slope{Name: "lookup-time", Unit: "seconds", Per: "doubling of the ranges known"}
	for _, groups := range groupCounts {
		v, err := sampleView(groups, 64)
		if err != nil {
			return s, err
		}
		h := core.Hash(1)
		lookupTime := secondsPerRun(50_000, func() {
			h = h*6364136223846793005 + 1442695040888963407
			v.Lookup(service, h)
		})
		s.Points = append(s.Points, capacity.Point{Size: math.Log2(float64(groups * 64)), Value: lookupTime})
	}
	return s, nil
}
