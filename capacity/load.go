package capacity

// Parameters of load reports and telemetry.
const (
	// exportSeconds is the interval at which a member sends its load to the
	// coordinator.
	exportSeconds = 5
	// journalEntries and burnCustomers are the numbers of journal events and of
	// burn-rate customers that a busy node holds.
	journalEntries, burnCustomers = 4096, 1000
)

// loadReporterRow is the cost of a member that counts the load of its keys.
func (m *Model) loadReporterRow() Row {
	keys := m.Fleet.Keys / float64(m.Fleet.Nodes)
	report := m.evaluate("placement-report-bytes", keys)
	return Row{
		Role: "load reporter", Mechanism: "balance, placement: a sketch of fixed size, one export each 5 s",
		StateBytes: report, MemoryBytes: m.evaluate("placement-memory", keys),
		MessageRate: 2.0 / exportSeconds, ByteRate: m.evaluate("call-bytes", report) / exportSeconds,
		CPUShare: m.nodeRequestRate() * m.evaluate("placement-record-time", keys),
	}
}

// loadPlannerRow is the cost of a coordinator that plans moves from the load
// exports of its group.
func (m *Model) loadPlannerRow() Row {
	size := float64(m.Assumptions.GroupSize)
	r := m.loadReporterRow()
	report := r.StateBytes
	return Row{
		Role: "placement planner (coordinator)", Mechanism: "balance, placement: exports of nine members, one plan each 5 s",
		StateBytes: size * report, MemoryBytes: r.MemoryBytes + size*report,
		MessageRate: 2 * (size - 1) / exportSeconds, ByteRate: (size - 1) * m.evaluate("call-bytes", report) / exportSeconds,
		CPUShare: r.CPUShare + m.evaluate("placement-plan-time", size)/exportSeconds,
	}
}

func (m *Model) journalRow() Row {
	size := m.evaluate("journal-memory", journalEntries)
	return Row{Role: "journal", Mechanism: "journal: a ring of events, bounded in count and bytes", StateBytes: size, MemoryBytes: size}
}

func (m *Model) burnRow() Row {
	size := m.evaluate("burn-memory", burnCustomers)
	return Row{Role: "burn reporter", Mechanism: "burn: buckets for each series, bounded lists of customers and keys", StateBytes: size, MemoryBytes: size}
}

func (m *Model) loadRows() []Row {
	var out []Row
	for _, row := range []func() Row{m.loadReporterRow, m.loadPlannerRow, m.journalRow, m.burnRow} {
		m.resetRow()
		out = append(out, m.completeRow(row()))
	}
	return out
}
