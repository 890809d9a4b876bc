package capacity

import (
	"fmt"
	"math"
)

func log2(x float64) float64 { return math.Log2(x) }

// owner is the cost of admission, the gate's lease check aside, at the
// expected share of the requests.
func (m *Model) owner() Row {
	decision := max(m.at("admission-time", admissionQueue), m.at("admission-customer-time", 64))
	return Row{
		Role: "owner's side and gate", Carrier: "owner, admission, suspect, gate: all bounds are fixed when the process starts",
		Memory: m.at("admission-memory", admissionQueue) + m.at("suspect-memory", suspectMarks) + onceBytes,
		CPU:    m.nodeRate() * decision,
	}
}

func (m *Model) ownerRows() []Row {
	m.begin()
	keys := fmt.Sprintf("keys (%.0f thousand a node)", m.Fleet.Keys/float64(m.Fleet.Nodes)/1e3)
	out := []Row{m.judge(Row{Role: keys, Carrier: "ownership, routing: ranges of hashes; no state for each key"})}
	m.begin()
	out = append(out, m.judge(m.owner()))
	return append(out, m.recordsRow(), m.handOverRow(), m.peersRow())
}

// recordsRow holds the at-most-once records of the whole window.
func (m *Model) recordsRow() Row {
	m.begin()
	need := m.at("record-memory", m.records())
	share := m.Assumptions.NonIdempotent * onceBytes / need
	return m.judge(Row{
		Role: fmt.Sprintf("at-most-once records (%.0f thousand)", m.records()/1e3), Carrier: "once: 32 bytes a record and an index, bounded in bytes",
		State: 32 * m.records(), Memory: need,
	}, when(need > onceBytes, fmt.Sprintf("the default bound of %s evicts records before the window ends, and resends of evicted ones get outcome-unknown; it suffices for %.1f%% of requests", Size(onceBytes), share*100)))
}

// handOverRow is the hand-over of one of a node's ranges. The range waits from
// the export to the import.
func (m *Model) handOverRow() Row {
	m.begin()
	perNode := float64(m.Assumptions.Ranges) / float64(m.Assumptions.GroupSize)
	records := m.records() / perNode
	took := m.at("hand-over-time", records)
	most := m.atMost("hand-over-time", pause)
	return m.judge(Row{
		Role: fmt.Sprintf("hand-over of one range (%.0f thousand records)", records/1e3), Carrier: "node (hand-over call), groupwire, once: all records while the range waits; the copy ahead (once.ExportSince) is not called",
		State: m.at("hand-over-bytes", records), Memory: m.at("hand-over-bytes", records),
	}, when(took > pause, fmt.Sprintf("%.0f ms of processor time alone exceeds %.0f ms; at most %.0f thousand records fit", took*1e3, pause*1e3, most/1e3)),
		when(m.at("hand-over-bytes", records) > callBound, fmt.Sprintf("%s exceeds the bound of %s on one control message", Size(m.at("hand-over-bytes", records)), Size(callBound))))
}

// atMost returns the size at which a slope reaches a value.
func (m *Model) atMost(name string, value float64) float64 {
	s, _ := m.record.Find(name)
	if s.Slope <= 0 {
		return 0
	}
	return (value - s.Intercept) / s.Slope
}

// peersRow is the idle connections of a node to the others of its region.
func (m *Model) peersRow() Row {
	m.begin()
	peers := float64(m.Fleet.Nodes)/float64(m.Fleet.Regions) - 1
	return m.judge(Row{
		Role: fmt.Sprintf("connections with the region's nodes (%.0f)", peers), Carrier: "transport: one HTTP/2 connection to each peer and one from each",
		Memory: m.at("connection-memory", peers),
	})
}

// configuration is the size of the configuration object.
func (m *Model) configuration() float64 {
	return m.at("config-bytes", float64(m.Assumptions.Services)) + m.at("config-history-bytes", history)
}

// config is a configuration pulled by some members for each change.
func (m *Model) config(role, carrier string, copies, rate float64) Row {
	size := m.configuration()
	return Row{
		Role: role, Carrier: carrier, State: size, Memory: m.at("config-memory", float64(m.Assumptions.Services)) + size,
		Messages: 2 * copies * rate, Bytes: copies * rate * m.at("call-bytes", size),
	}
}

func (m *Model) configRows() []Row {
	others := float64(m.Assumptions.GroupSize - 1)
	busy := m.changes() * m.Assumptions.Peak
	var out []Row
	for _, x := range []struct {
		role, carrier string
		copies, rate  float64
	}{
		{"configuration watcher (coordinator)", "configsync, store: one waiting watch for a group", 1, m.changes()},
		{"configuration receiver (member)", "configsync: pulls the whole object from the coordinator", 1, m.changes()},
		{"configuration relay (coordinator)", "configsync: watches, and gives the whole object to nine members", 1 + others, m.changes()},
		{"configuration relay, busiest hour", "configsync: as above", 1 + others, busy},
	} {
		m.begin()
		r := m.config(x.role, x.carrier, x.copies, x.rate)
		out = append(out, m.judge(r, when(r.State > maxValue, "the object exceeds 1 MB")))
	}
	return out
}

// operatorRows is a node that an operator asks for a report on the fleet.
func (m *Model) operatorRows() []Row {
	var out []Row
	for _, x := range []struct {
		role    string
		payload float64
	}{{"operator's gatherer: status of all nodes", 48}, {"operator's gatherer: burn report of all nodes", 2000}} {
		m.begin()
		calls := float64(m.Fleet.Nodes) / m.Assumptions.StatusInterval
		r := Row{
			Role: x.role, Carrier: "control (Gather): calls every node directly, 32 at a time, and only those whose tables it holds",
			State: float64(m.Fleet.Nodes) * x.payload, Memory: float64(m.Fleet.Nodes) * x.payload,
			Messages: 2 * calls, Bytes: calls * m.at("call-bytes", x.payload),
		}
		out = append(out, m.judge(r))
	}
	return out
}

// wholeRows sums the roles of one process.
func (m *Model) wholeRows() []Row {
	region, all := m.regionGroups(), m.groups()
	peers := float64(m.Fleet.Nodes)/float64(m.Fleet.Regions) - 1
	whole := func(role, name string, groups, copies float64) Row {
		m.begin()
		sum := m.groupRole(role, name, "sum of the group role, entrance, owner's side, configuration and connections")
		for _, r := range []Row{m.entrance("", groups), m.owner(), m.config("", "", copies, m.changes()), {Memory: m.at("connection-memory", peers)}} {
			sum.State, sum.Memory, sum.CPU = sum.State+r.State, sum.Memory+r.Memory, sum.CPU+r.CPU
			sum.Messages, sum.Bytes = sum.Messages+r.Messages, sum.Bytes+r.Bytes
		}
		return m.judge(sum)
	}
	return []Row{
		whole("whole process: member, tables of its region", "member", region, 1),
		whole("whole process: coordinator, tables of its region", "coordinator", region, float64(m.Assumptions.GroupSize)),
		whole("whole process: coordinator, tables of every group", "coordinator", all, float64(m.Assumptions.GroupSize)),
	}
}

// pendingRows are the roles whose modules have no code yet. Each names the
// slopes that its calculation needs.
func (m *Model) pendingRows() []Row {
	var out []Row
	for _, x := range [][3]string{
		{"load reporter", "placement", "placement-report-bytes"},
		{"placement planner", "placement", "placement-plan-time, placement-memory"},
		{"journal", "journal", "journal-memory"},
		{"burn reporter", "burn", "burn-memory"},
	} {
		m.begin()
		out = append(out, m.judge(Row{Role: x[0], Carrier: x[1], Verdict: NotMeasured, Why: "the module has no code in the measured tree; awaits " + x[2]}))
	}
	return out
}
