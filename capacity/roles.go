package capacity

import "fmt"

const (
	// onceBytes is the default bound on at-most-once records.
	onceBytes = 8 << 20
	// admissionQueue and suspectMarks are the defaults of these modules, and
	// history is the bound on accepted changes that intent keeps.
	admissionQueue, suspectMarks, history = 1024, 1024, 64
	// maxValue is the largest value that the store takes, in bytes.
	maxValue = 1 << 20
	// ordinaryBurst and ordinaryRate are the default budget of store calls of
	// one node; urgentRate is that of its lease protocol.
	ordinaryBurst, ordinaryRate, urgentRate = 20, 0.5, 2
	// fetchInterval is the least time in seconds between two fetches of one
	// table by an entrance that has requests waiting for it.
	fetchInterval = 0.1
	// pause is the longest unavailable time of a planned move, in seconds.
	pause = 0.05
)

// Rows returns the cost of each role of a process.
func (m *Model) Rows() ([]Row, error) {
	var out []Row
	for _, list := range []func() []Row{m.groupRows, m.tableRows, m.ownerRows, m.configRows, m.operatorRows, m.pairRows, m.wholeRows, m.loadRows} {
		out = append(out, list()...)
	}
	if len(m.missing) > 0 {
		return nil, &MissingError{m.missing}
	}
	return out, nil
}

// groupRole is the cost of one role of the lease protocol. Each holds the
// group's table in its record, in force, and while a newer one arrives.
func (m *Model) groupRole(role, name, carrier string) Row {
	size := float64(m.Assumptions.GroupSize)
	ranges := float64(m.Assumptions.Ranges)
	return Row{
		Role: role, Carrier: carrier,
		State: m.at("table-bytes", ranges), Memory: 3 * m.at("table-memory", ranges),
		Messages: m.at(name+"-messages", size), Bytes: m.at(name+"-bytes", size), CPU: m.at(name+"-cpu", size),
	}
}

func (m *Model) groupRows() []Row {
	var out []Row
	for _, x := range [][3]string{
		{"group member", "member", "ownership, lease: one renewal each 0.6 s"},
		{"group coordinator", "coordinator", "ownership, lease: answers nine renewals, asks for two promises each 0.6 s"},
		{"successor", "successor", "ownership, lease: a renewal and a promise each 0.6 s"},
	} {
		m.begin()
		out = append(out, m.judge(m.groupRole(x[0], x[1], x[2])))
	}
	return append(out, m.growthRow())
}

func (m *Model) growthRow() Row {
	m.begin()
	return m.judge(Row{
		Role: "growth: a service gets more groups", Carrier: "routing (spans), ownership (each table covers the whole key space)",
		Verdict: NotBuilt, Why: "a new number of groups moves keys to other groups at once; no hand-over between groups exists",
	})
}

// fetchBytes is one fetch of a whole table.
func (m *Model) fetchBytes() float64 {
	return m.at("call-bytes", m.at("table-bytes", float64(m.Assumptions.Ranges)))
}

// tableChanges returns the new versions of tables a second in the whole fleet.
func (m *Model) tableChanges() float64 {
	return m.moves() + m.Fleet.Restarts/day*m.at("restart-writes", 1) + m.Fleet.Failures/day*m.at("loss-writes", 1)
}

// entrance is the cost of an entrance that holds the tables of some groups. At
// most, it fetches each of them whole after each change.
func (m *Model) entrance(role string, groups float64) Row {
	ranges := float64(m.Assumptions.Ranges)
	fetches := m.tableChanges() * groups / m.groups()
	learn := m.at("table-learn-time", ranges) + m.at("view-publish-time", groups)
	return Row{
		Role: role, Carrier: "entrance, routing: tables by group, fetched on first use and after not-owner",
		State: groups * m.at("table-bytes", ranges), Memory: m.at("view-memory", groups),
		Messages: 2 * fetches, Bytes: fetches * m.fetchBytes(),
		CPU: m.nodeRate()*m.at("lookup-time", log2(groups*ranges)) + fetches*learn,
	}
}

func (m *Model) tableRows() []Row {
	region, all := m.regionGroups(), m.groups()
	m.begin()
	out := []Row{m.judge(m.entrance(fmt.Sprintf("entrance, tables of its region (%.0f groups)", region), region))}
	m.begin()
	out = append(out, m.judge(m.entrance(fmt.Sprintf("entrance, tables of every group (%.0f)", all), all)))
	return append(out, m.firstMinute("its region", region), m.firstMinute("every group", all), m.unowned(region), m.tableServer("spread evenly over all groups", all), m.tableServer("of one service", m.serviceGroups()))
}

// firstMinute is an entrance that has just started and meets all groups within
// a minute. The first table of a group is read from the store.
func (m *Model) firstMinute(which string, groups float64) Row {
	m.begin()
	r := m.entrance("entrance, first minute after a restart, tables of "+which, groups)
	r.Carrier = "entrance, store: the first table of a group is its record in the store"
	r.Messages, r.Bytes = 2*groups/60, groups*m.fetchBytes()/60
	wait := max(0, groups-ordinaryBurst) / ordinaryRate
	return m.judge(r, when(wait > m.Fleet.Recovery, fmt.Sprintf("the last of %.0f tables arrives after %.0f s, with a budget of %d store calls and %.1f a second", groups, wait, ordinaryBurst, ordinaryRate)))
}

// unowned is an entrance while every group of its region has lost members: it
// asks for each table until the lost ranges have an owner.
func (m *Model) unowned(groups float64) Row {
	m.begin()
	r := m.entrance("entrance while a data centre's keys wait for owners", groups)
	r.Carrier = "entrance: one fetch of a table each 100 ms while requests wait for it"
	fetches := groups / fetchInterval
	r.Messages, r.Bytes = 2*fetches, fetches*m.at("call-bytes", 0)
	return m.judge(r)
}

// tableServer is a member that gives its group's table to entrances. Every
// entrance of the region fetches it after each move, from one of the members.
func (m *Model) tableServer(spread string, groups float64) Row {
	m.begin()
	ranges := float64(m.Assumptions.Ranges)
	entrances := float64(m.Fleet.Nodes) / float64(m.Fleet.Regions)
	fetches := m.moves() / groups * entrances / float64(m.Assumptions.GroupSize)
	return m.judge(Row{
		Role: "table giver, hottest keys " + spread, Carrier: "node (table call), groupwire: whole tables, no deltas",
		State: m.at("table-bytes", ranges), Memory: m.at("table-memory", ranges),
		Messages: 2 * fetches, Bytes: fetches * m.fetchBytes(), CPU: fetches * m.at("table-learn-time", ranges),
	})
}
