package capacity

// Intervals and bounds of load reports, in seconds and entries.
const (
	// exportInterval is how often a member sends its load to the coordinator.
	exportInterval = 5
	// journalEvents and burnCustomers are the entries of a busy node.
	journalEvents, burnCustomers = 4096, 1000
)

// loadReporter is a member that counts the load of its keys.
func (m *Model) loadReporter() Row {
	keys := m.Fleet.Keys / float64(m.Fleet.Nodes)
	report := m.at("placement-report-bytes", keys)
	return Row{
		Role: "load reporter", Carrier: "balance, placement: a sketch of fixed size, one export each 5 s",
		State: report, Memory: m.at("placement-memory", keys),
		Messages: 2.0 / exportInterval, Bytes: m.at("call-bytes", report) / exportInterval,
		CPU: m.nodeRate() * m.at("placement-record-time", keys),
	}
}

// loadPlanner is a coordinator that plans moves from the exports of its group.
func (m *Model) loadPlanner() Row {
	size := float64(m.Assumptions.GroupSize)
	r := m.loadReporter()
	report := r.State
	return Row{
		Role: "placement planner (coordinator)", Carrier: "balance, placement: exports of nine members, one plan each 5 s",
		State: size * report, Memory: r.Memory + size*report,
		Messages: 2 * (size - 1) / exportInterval, Bytes: (size - 1) * m.at("call-bytes", report) / exportInterval,
		CPU: r.CPU + m.at("placement-plan-time", size)/exportInterval,
	}
}

func (m *Model) journal() Row {
	size := m.at("journal-memory", journalEvents)
	return Row{Role: "journal", Carrier: "journal: a ring of events, bounded in count and bytes", State: size, Memory: size}
}

func (m *Model) burn() Row {
	size := m.at("burn-memory", burnCustomers)
	return Row{Role: "burn reporter", Carrier: "burn: buckets for each series, bounded lists of customers and keys", State: size, Memory: size}
}

func (m *Model) loadRows() []Row {
	var out []Row
	for _, row := range []func() Row{m.loadReporter, m.loadPlanner, m.journal, m.burn} {
		m.begin()
		out = append(out, m.judge(row()))
	}
	return out
}
