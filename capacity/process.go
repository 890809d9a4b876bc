package capacity

import (
	"fmt"
	"math"
)

func log2(x float64) float64 { return math.Log2(x) }

// ownerRow is the cost of admission and of the owner's fixed tables at a node's
// expected request rate. The gate's lease check is not included.
func (m *Model) ownerRow() Row {
	decisionSeconds := max(m.evaluate("admission-time", admissionQueueSize), m.evaluate("admission-customer-time", 64))
	return Row{
		Role: "owner's side and gate", Mechanism: "owner, admission, suspect, gate: all bounds are fixed when the process starts",
		MemoryBytes: m.evaluate("admission-memory", admissionQueueSize) + m.evaluate("suspect-memory", suspectTableSize) + onceLimitBytes,
		CPUShare:    m.nodeRequestRate() * decisionSeconds,
	}
}

func (m *Model) ownerRows() []Row {
	m.resetRow()
	keys := fmt.Sprintf("keys (%.0f thousand a node)", m.Fleet.Keys/float64(m.Fleet.Nodes)/1e3)
	out := []Row{m.completeRow(Row{Role: keys, Mechanism: "ownership, routing: ranges of hashes; no state for each key"})}
	m.resetRow()
	out = append(out, m.completeRow(m.ownerRow()))
	return append(out, m.onceRecordsRow(), m.handOverRow(), m.connectionsRow())
}

// onceRecordsRow is the cost of holding the at-most-once records of the whole
// window.
func (m *Model) onceRecordsRow() Row {
	m.resetRow()
	neededBytes := m.evaluate("record-memory", m.onceRecordCount())
	coveredShare := m.Assumptions.NonIdempotentShare * onceLimitBytes / neededBytes
	return m.completeRow(Row{
		Role: fmt.Sprintf("at-most-once records (%.0f thousand)", m.onceRecordCount()/1e3), Mechanism: "once: 32 bytes a record and an index, bounded in bytes",
		StateBytes: 32 * m.onceRecordCount(), MemoryBytes: neededBytes,
	}, reasonIf(neededBytes > onceLimitBytes, fmt.Sprintf("the default bound of %s evicts records before the window ends, and resends of evicted ones get outcome-unknown; it suffices for %.1f%% of requests", FormatBytes(onceLimitBytes), coveredShare*100)))
}

// handOverRow is the cost of handing over one of a node's ranges. Requests for
// the range wait from the export to the import.
func (m *Model) handOverRow() Row {
	m.resetRow()
	records := m.onceRecordCount() * float64(m.Assumptions.GroupSize) / float64(m.Assumptions.RangesPerGroup)
	size := m.evaluate("hand-over-bytes", records)
	cpuSeconds, wireSeconds := m.evaluate("hand-over-time", records), size/m.Assumptions.LinkByteRate
	return m.completeRow(Row{
		Role:       fmt.Sprintf("hand-over of one range (%.0f thousand records)", records/1e3),
		Mechanism:  "node (hand-over calls of 2,000 records), groupwire, once: all records while the range waits; the copy ahead (once.ExportSince) is not called",
		StateBytes: size, MemoryBytes: size,
	}, reasonIf(cpuSeconds+wireSeconds > movePauseSeconds, fmt.Sprintf("%.0f ms of processor time and %.0f ms on the wire exceed %.0f ms", cpuSeconds*1e3, wireSeconds*1e3, movePauseSeconds*1e3)))
}

// connectionsRow is the cost of a node's idle connections to the other nodes of
// its region.
func (m *Model) connectionsRow() Row {
	m.resetRow()
	peers := float64(m.Fleet.Nodes)/float64(m.Fleet.Regions) - 1
	return m.completeRow(Row{
		Role: fmt.Sprintf("connections with the region's nodes (%.0f)", peers), Mechanism: "transport: one HTTP/2 connection to each peer and one from each",
		MemoryBytes: m.evaluate("connection-memory", peers),
	})
}

// configurationBytes returns the encoded size of the configuration object with
// a full history.
func (m *Model) configurationBytes() float64 {
	return m.evaluate("config-bytes", float64(m.Assumptions.Services)) + m.evaluate("config-history-bytes", historyLimit)
}

// configurationRow is the cost of a node that transfers the configuration at
// each change: fullCopies whole objects from the store, and relayedCopies
// copies between members. Relayed copies are compressed and hold no history.
func (m *Model) configurationRow(role, mechanism string, fullCopies, relayedCopies, changeRate float64) Row {
	size, services := m.configurationBytes(), float64(m.Assumptions.Services)
	relayedBytes := m.evaluate("config-relay-bytes", services)
	return Row{
		Role: role, Mechanism: mechanism, StateBytes: size, MemoryBytes: m.evaluate("config-memory", services) + size,
		MessageRate: 2 * (fullCopies + relayedCopies) * changeRate,
		ByteRate:    changeRate * (fullCopies*m.evaluate("call-bytes", size) + relayedCopies*m.evaluate("call-bytes", relayedBytes)),
	}
}

func (m *Model) configurationRows() []Row {
	otherMembers := float64(m.Assumptions.GroupSize - 1)
	peakChangeRate := m.changeRate() * m.Assumptions.PeakChangeRatio
	var out []Row
	for _, variant := range []struct {
		role, mechanism                       string
		fullCopies, relayedCopies, changeRate float64
	}{
		{"configuration watcher (coordinator)", "configsync, store: one waiting watch for a group", 1, 0, m.changeRate()},
		{"configuration receiver (member)", "configsync: pulls a compressed copy without history from the coordinator", 0, 1, m.changeRate()},
		{"configuration relay (coordinator)", "configsync: watches the whole object, and gives compressed copies to nine members", 1, otherMembers, m.changeRate()},
		{"configuration relay, busiest hour", "configsync: as above", 1, otherMembers, peakChangeRate},
	} {
		m.resetRow()
		r := m.configurationRow(variant.role, variant.mechanism, variant.fullCopies, variant.relayedCopies, variant.changeRate)
		out = append(out, m.completeRow(r, reasonIf(r.StateBytes > maxStoreValueBytes, "the object exceeds 1 MB")))
	}
	return out
}

// operatorRows is the cost of a node that an operator asks for a report on the
// whole fleet.
func (m *Model) operatorRows() []Row {
	var out []Row
	for _, report := range []struct {
		role         string
		payloadBytes float64
	}{{"operator's gatherer: status of all nodes", 48}, {"operator's gatherer: burn report of all nodes", 2000}} {
		m.resetRow()
		callRate := float64(m.Fleet.Nodes) / m.Assumptions.StatusInterval
		r := Row{
			Role: report.role, Mechanism: "control (CallAll): calls every node directly, 32 at a time, and only those whose tables it holds",
			StateBytes: float64(m.Fleet.Nodes) * report.payloadBytes, MemoryBytes: float64(m.Fleet.Nodes) * report.payloadBytes,
			MessageRate: 2 * callRate, ByteRate: callRate * m.evaluate("call-bytes", report.payloadBytes),
		}
		out = append(out, m.completeRow(r))
	}
	return out
}

// sumRows adds up the costs of roles that share a process.
func sumRows(role, mechanism string, rows ...Row) Row {
	out := Row{Role: role, Mechanism: mechanism}
	for _, r := range rows {
		out.StateBytes, out.MemoryBytes, out.CPUShare = out.StateBytes+r.StateBytes, out.MemoryBytes+r.MemoryBytes, out.CPUShare+r.CPUShare
		out.MessageRate, out.ByteRate = out.MessageRate+r.MessageRate, out.ByteRate+r.ByteRate
	}
	return out
}

// coordinatorEntranceRows add up only the lease messages of a coordinator and
// the tables of its entrance.
func (m *Model) coordinatorEntranceRows() []Row {
	newRow := func(coverage string, groups float64) Row {
		m.resetRow()
		return m.completeRow(sumRows("coordinator and entrance, tables of "+coverage, "sum of the two roles",
			m.groupRoleRow("", "coordinator", ""), m.entranceRow("", groups)))
	}
	return []Row{newRow("its region", m.groupsPerRegion()), newRow("every group", m.numGroups())}
}

// wholeProcessRows add up all roles of one process, for each role that the
// process can have in its group.
func (m *Model) wholeProcessRows() []Row {
	peers := float64(m.Fleet.Nodes)/float64(m.Fleet.Regions) - 1
	newRow := func(groupRole string, fullCopies, relayedCopies float64) Row {
		m.resetRow()
		return m.completeRow(sumRows("whole process: "+groupRole+", tables of its region", "sum of group role, entrance, owner's side, configuration, load report, journal, burn and connections",
			m.groupRoleRow("", groupRole, ""), m.entranceRow("", m.groupsPerRegion()), m.ownerRow(), m.loadReporterRow(), m.journalRow(), m.burnRow(),
			m.configurationRow("", "", fullCopies, relayedCopies, m.changeRate()), Row{MemoryBytes: m.evaluate("connection-memory", peers)}))
	}
	return []Row{newRow("member", 0, 1), newRow("successor", 0, 1), newRow("coordinator", 1, float64(m.Assumptions.GroupSize)-1)}
}
