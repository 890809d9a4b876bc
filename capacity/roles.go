package capacity

import "fmt"

const (
	// onceLimitBytes is the default bound on the memory of at-most-once
	// records.
	onceLimitBytes = 8 << 20
	// admissionQueueSize and suspectTableSize are the defaults of packages
	// admission and suspect. historyLimit is the number of accepted changes
	// that package intent keeps.
	admissionQueueSize, suspectTableSize, historyLimit = 1024, 1024, 64
	// maxStoreValueBytes is the size of the largest value that the store
	// accepts.
	maxStoreValueBytes = 1 << 20
	// ordinaryCallBurst and ordinaryCallRate are one node's default budget of
	// ordinary store calls, and urgentCallRate is that of its lease protocol.
	// The rates are in calls a second.
	ordinaryCallBurst, ordinaryCallRate, urgentCallRate = 20, 0.5, 2
	// fetchIntervalSeconds is the shortest interval between two fetches of the
	// same table by an entrance that has requests waiting for it.
	fetchIntervalSeconds = 0.1
	// movePauseSeconds is the longest time for which a planned move may make a
	// key unavailable.
	movePauseSeconds = 0.05
)

// Rows returns the cost of each role of a process. It returns a
// MissingSlopesError if the measurements lack a slope that a row needs.
func (m *Model) Rows() ([]Row, error) {
	var out []Row
	for _, section := range []func() []Row{m.groupRows, m.tableRows, m.ownerRows, m.configurationRows, m.operatorRows, m.coordinatorEntranceRows, m.wholeProcessRows, m.loadRows} {
		out = append(out, section()...)
	}
	if len(m.missingSlopes) > 0 {
		return nil, &MissingSlopesError{m.missingSlopes}
	}
	return out, nil
}

// groupRoleRow is the cost of one role of the lease protocol; slopePrefix
// begins the names of its slopes. Each role holds the group's table three
// times: in the group record, in force, and while a newer table arrives.
func (m *Model) groupRoleRow(role, slopePrefix, mechanism string) Row {
	size := float64(m.Assumptions.GroupSize)
	ranges := float64(m.Assumptions.RangesPerGroup)
	return Row{
		Role: role, Mechanism: mechanism,
		StateBytes: m.evaluate("table-bytes", ranges), MemoryBytes: 3 * m.evaluate("table-memory", ranges),
		MessageRate: m.evaluate(slopePrefix+"-messages", size), ByteRate: m.evaluate(slopePrefix+"-bytes", size), CPUShare: m.evaluate(slopePrefix+"-cpu", size),
	}
}

func (m *Model) groupRows() []Row {
	var out []Row
	for _, role := range [][3]string{
		{"group member", "member", "ownership, lease: one renewal each 0.6 s"},
		{"group coordinator", "coordinator", "ownership, lease: answers nine renewals, asks for two promises each 0.6 s"},
		{"successor", "successor", "ownership, lease: a renewal and a promise each 0.6 s"},
	} {
		m.resetRow()
		out = append(out, m.completeRow(m.groupRoleRow(role[0], role[1], role[2])))
	}
	return append(out, m.growthRow())
}

func (m *Model) growthRow() Row {
	m.resetRow()
	return m.completeRow(Row{
		Role: "growth: a service gets more groups", Mechanism: "routing (spans), ownership (each table covers the whole key space)",
		Verdict: NotBuilt, Reason: "a new number of groups moves keys to other groups at once; no hand-over between groups exists",
	})
}

// tableFetchBytes returns the bytes on the wire for one fetch of a whole table.
func (m *Model) tableFetchBytes() float64 {
	return m.evaluate("call-bytes", m.evaluate("table-bytes", float64(m.Assumptions.RangesPerGroup)))
}

// tableChangeRate returns the new table versions a second in the whole fleet.
func (m *Model) tableChangeRate() float64 {
	return m.moveRate() + m.Fleet.RestartsPerDay/secondsPerDay*m.evaluate("restart-writes", 1) + m.Fleet.FailuresPerDay/secondsPerDay*m.evaluate("loss-writes", 1)
}

// entranceRow is the cost of an entrance that holds the tables of the given
// number of groups. It is an upper bound: the entrance fetches each table whole
// after each change.
func (m *Model) entranceRow(role string, groups float64) Row {
	ranges := float64(m.Assumptions.RangesPerGroup)
	fetchRate := m.tableChangeRate() * groups / m.numGroups()
	learnSeconds := m.evaluate("table-learn-time", ranges) + m.evaluate("view-publish-time", groups)
	return Row{
		Role: role, Mechanism: "entrance, routing: tables by group, fetched on first use and after not-owner",
		StateBytes: groups * m.evaluate("table-bytes", ranges), MemoryBytes: m.evaluate("view-memory", groups),
		MessageRate: 2 * fetchRate, ByteRate: fetchRate * m.tableFetchBytes(),
		CPUShare: m.nodeRequestRate()*m.evaluate("lookup-time", log2(groups*ranges)) + fetchRate*learnSeconds,
	}
}

func (m *Model) tableRows() []Row {
	region, all := m.groupsPerRegion(), m.numGroups()
	m.resetRow()
	out := []Row{m.completeRow(m.entranceRow(fmt.Sprintf("entrance, tables of its region (%.0f groups)", region), region))}
	m.resetRow()
	out = append(out, m.completeRow(m.entranceRow(fmt.Sprintf("entrance, tables of every group (%.0f)", all), all)))
	return append(out, m.entranceStartRow("its region", region), m.entranceStartRow("every group", all), m.ownerWaitRow(region), m.tableServerRow("spread evenly over all groups", all), m.tableServerRow("of one service", m.groupsPerService()))
}

// entranceStartRow is the cost of an entrance that has just started and
// receives requests for all groups within a minute. It reads the first table of
// each group from the store.
func (m *Model) entranceStartRow(coverage string, groups float64) Row {
	m.resetRow()
	r := m.entranceRow("entrance, first minute after a restart, tables of "+coverage, groups)
	r.Mechanism = "entrance, store: the first table of a group is its record in the store"
	r.MessageRate, r.ByteRate = 2*groups/60, groups*m.tableFetchBytes()/60
	waitSeconds := max(0, groups-ordinaryCallBurst) / ordinaryCallRate
	return m.completeRow(r, reasonIf(waitSeconds > m.Fleet.RecoveryDeadline, fmt.Sprintf("the last of %.0f tables arrives after %.0f s, with a budget of %d store calls and %.1f a second", groups, waitSeconds, ordinaryCallBurst, ordinaryCallRate)))
}

// ownerWaitRow is the cost of an entrance while every group of its region has
// lost members. The entrance fetches each table repeatedly until the lost
// ranges have an owner.
func (m *Model) ownerWaitRow(groups float64) Row {
	m.resetRow()
	r := m.entranceRow("entrance while a data centre's keys wait for owners", groups)
	r.Mechanism = "entrance: one fetch of a table each 100 ms while requests wait for it"
	fetchRate := groups / fetchIntervalSeconds
	r.MessageRate, r.ByteRate = 2*fetchRate, fetchRate*m.evaluate("call-bytes", 0)
	return m.completeRow(r)
}

// tableServerRow is the cost of a member that serves its group's table to
// entrances. Every entrance of the region fetches the table after each move,
// from one of the members. The moves of the hottest keys are spread over the
// given number of groups.
func (m *Model) tableServerRow(spread string, groups float64) Row {
	m.resetRow()
	ranges := float64(m.Assumptions.RangesPerGroup)
	entrances := float64(m.Fleet.Nodes) / float64(m.Fleet.Regions)
	fetchRate := m.moveRate() / groups * entrances / float64(m.Assumptions.GroupSize)
	return m.completeRow(Row{
		Role: "table giver, hottest keys " + spread, Mechanism: "node (table call), groupwire: whole tables, no deltas",
		StateBytes: m.evaluate("table-bytes", ranges), MemoryBytes: m.evaluate("table-memory", ranges),
		MessageRate: 2 * fetchRate, ByteRate: fetchRate * m.tableFetchBytes(), CPUShare: fetchRate * m.evaluate("table-learn-time", ranges),
	})
}
