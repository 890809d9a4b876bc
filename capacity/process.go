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
	records := m.records() * float64(m.Assumptions.GroupSize) / float64(m.Assumptions.Ranges)
	size := m.at("hand-over-bytes", records)
	work, wire := m.at("hand-over-time", records), size/m.Assumptions.Link
	return m.judge(Row{
		Role:    fmt.Sprintf("hand-over of one range (%.0f thousand records)", records/1e3),
		Carrier: "node (hand-over calls of 2,000 records), groupwire, once: all records while the range waits; the copy ahead (once.ExportSince) is not called",
		State:   size, Memory: size,
	}, when(work+wire > pause, fmt.Sprintf("%.0f ms of processor time and %.0f ms on the wire exceed %.0f ms", work*1e3, wire*1e3, pause*1e3)))
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

// config is a node that watches the configuration object, gives it to others or
// pulls it, for each change. Relayed copies are compressed and hold no history.
func (m *Model) config(role, carrier string, watched, relayed, rate float64) Row {
	size, services := m.configuration(), float64(m.Assumptions.Services)
	relay := m.at("config-relay-bytes", services)
	return Row{
		Role: role, Carrier: carrier, State: size, Memory: m.at("config-memory", services) + size,
		Messages: 2 * (watched + relayed) * rate,
		Bytes:    rate * (watched*m.at("call-bytes", size) + relayed*m.at("call-bytes", relay)),
	}
}

func (m *Model) configRows() []Row {
	others := float64(m.Assumptions.GroupSize - 1)
	busy := m.changes() * m.Assumptions.Peak
	var out []Row
	for _, x := range []struct {
		role, carrier          string
		watched, relayed, rate float64
	}{
		{"configuration watcher (coordinator)", "configsync, store: one waiting watch for a group", 1, 0, m.changes()},
		{"configuration receiver (member)", "configsync: pulls a compressed copy without history from the coordinator", 0, 1, m.changes()},
		{"configuration relay (coordinator)", "configsync: watches the whole object, and gives compressed copies to nine members", 1, others, m.changes()},
		{"configuration relay, busiest hour", "configsync: as above", 1, others, busy},
	} {
		m.begin()
		r := m.config(x.role, x.carrier, x.watched, x.relayed, x.rate)
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

// sum adds up roles that share a process.
func sum(role, carrier string, rows ...Row) Row {
	out := Row{Role: role, Carrier: carrier}
	for _, r := range rows {
		out.State, out.Memory, out.CPU = out.State+r.State, out.Memory+r.Memory, out.CPU+r.CPU
		out.Messages, out.Bytes = out.Messages+r.Messages, out.Bytes+r.Bytes
	}
	return out
}

// pairRows are a coordinator's lease messages and its entrance's tables alone.
func (m *Model) pairRows() []Row {
	pair := func(name string, groups float64) Row {
		m.begin()
		return m.judge(sum("coordinator and entrance, tables of "+name, "sum of the two roles",
			m.groupRole("", "coordinator", ""), m.entrance("", groups)))
	}
	return []Row{pair("its region", m.regionGroups()), pair("every group", m.groups())}
}

// wholeRows sums the roles of one process.
func (m *Model) wholeRows() []Row {
	peers := float64(m.Fleet.Nodes)/float64(m.Fleet.Regions) - 1
	whole := func(name string, watched, relayed float64) Row {
		m.begin()
		return m.judge(sum("whole process: "+name+", tables of its region", "sum of group role, entrance, owner's side, configuration, load report, journal, burn and connections",
			m.groupRole("", name, ""), m.entrance("", m.regionGroups()), m.owner(), m.loadReporter(), m.journal(), m.burn(),
			m.config("", "", watched, relayed, m.changes()), Row{Memory: m.at("connection-memory", peers)}))
	}
	return []Row{whole("member", 0, 1), whole("successor", 0, 1), whole("coordinator", 1, float64(m.Assumptions.GroupSize)-1)}
}
