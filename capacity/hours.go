package capacity

import "fmt"

// StoreRows returns the load of the whole fleet on the store, on an ordinary
// day and in the bad hours.
func (m *Model) StoreRows() ([]StoreRow, error) {
	out := []StoreRow{
		m.ordinary("ordinary day", 1), m.ordinary("busiest hour of configuration changes", m.Assumptions.Peak),
		m.hottest(), m.restarts(), m.rack(), m.dataCentre(), m.dataCentreTables(), m.massRestart(), m.massTables(), m.outage(), m.afterOutage(),
		m.regionsCut(), m.budgets(),
	}
	if len(m.missing) > 0 {
		return nil, &MissingError{m.missing}
	}
	return out, nil
}

// waiting is the watches that wait at any time: one of each coordinator.
func (m *Model) waiting() float64 { return m.groups() }

// ordinary is the steady load: watches, which end with each change and after
// their longest wait, the writes of configurations, restarts, failures and
// moves.
func (m *Model) ordinary(situation string, peak float64) StoreRow {
	m.begin()
	changes := m.changes() * peak
	renewed := m.groups() * (changes + 1/m.Assumptions.WatchWait)
	restarts, failures := m.Fleet.Restarts/day, m.Fleet.Failures/day
	return m.judgeStore(StoreRow{
		Situation: situation, Carrier: "configsync (360 waiting watches), ownership (writes only changes)",
		Writes: changes + restarts*m.at("restart-writes", 1) + failures*m.at("loss-writes", 1) + m.moves()*m.at("move-writes", 1),
		Reads:  m.waiting() + renewed + changes + restarts*(m.at("restart-reads", 1)+m.regionGroups()) + m.moves()*m.at("move-reads", 1),
	})
}

// hottest moves all of the hottest keys within ten seconds.
func (m *Model) hottest() StoreRow {
	m.begin()
	rate := float64(m.Fleet.HotKeys) / 10
	return m.judgeStore(StoreRow{
		Situation: "all 69 hottest keys moved within 10 s, each in another group", Carrier: "ownership: planned moves of single hashes",
		Writes: rate * m.at("move-writes", 1), Reads: m.waiting() + rate*m.at("move-reads", 1),
	})
}

// restarts is a rolling restart that does the restarts of a day in an hour.
func (m *Model) restarts() StoreRow {
	m.begin()
	rate := m.Fleet.Restarts / 3600
	region := m.regionGroups()
	tables := rate * region
	return m.judgeStore(StoreRow{
		Situation: "430 restarts within one hour", Carrier: "ownership: graceful leave and join; entrance: first tables from the store",
		Writes: rate * m.at("restart-writes", 1), Reads: m.waiting() + rate*m.at("restart-reads", 1) + tables,
	})
}

// loss is a loss that hits some groups at once. The rate is that of the busiest
// second, as if it were the same for all groups, and as if each group had lost
// its coordinator.
func (m *Model) loss(situation string, groups, lost float64) StoreRow {
	m.begin()
	return m.judgeStore(StoreRow{
		Situation: situation, Carrier: "ownership: takeover, successors and assignment, in the busiest second",
		Writes: groups * m.at("loss-peak-writes", lost), Reads: m.waiting() + groups*m.at("loss-reads", lost),
	})
}

// rack is the loss of a rack or switch, whose nodes are of different groups.
func (m *Model) rack() StoreRow {
	nodes := m.Assumptions.Rack
	return m.loss(fmt.Sprintf("rack or switch lost (%.0f nodes of as many groups)", nodes), nodes, 1)
}

// dataCentre is the loss of one data centre: every group of its region loses a
// third of its members.
func (m *Model) dataCentre() StoreRow {
	lost := float64(m.Assumptions.GroupSize) * float64(m.Fleet.Regions) / float64(m.Fleet.DataCentres)
	groups := m.regionGroups()
	return m.loss(fmt.Sprintf("data centre lost (%d nodes, %.0f groups)", m.Fleet.Nodes/m.Fleet.DataCentres, groups), groups, lost)
}

// dataCentreTables adds the reads of entrances that find no member to ask: a
// fetch asks two members, both of which are lost in one of nine cases.
func (m *Model) dataCentreTables() StoreRow {
	m.begin()
	share := float64(m.Fleet.Regions) / float64(m.Fleet.DataCentres)
	entrances := float64(m.Fleet.Nodes) / float64(m.Fleet.Regions) * (1 - share)
	wanted := m.regionGroups() / fetchInterval * share * share
	budget := ordinaryBurst/m.Fleet.Recovery + ordinaryRate
	reads := entrances * min(wanted, budget)
	return m.judgeStore(StoreRow{
		Situation: "data centre lost, table reads of entrances", Carrier: "entrance, node (fetcher), store budget: the store is read when two members do not answer",
		Reads: m.waiting() + reads,
	})
}

// massRestart starts all nodes at once with an empty store.
func (m *Model) massRestart() StoreRow {
	m.begin()
	size := float64(m.Assumptions.GroupSize)
	writes, reads := m.groups()*m.at("create-writes", size), m.groups()*m.at("create-reads", size)
	return m.judgeStore(StoreRow{
		Situation: "mass restart of all nodes within 5 s, groups formed", Carrier: "ownership: ten joins of a group are written one after another",
		Writes: writes / m.Fleet.Recovery, Reads: m.waiting() + reads/m.Fleet.Recovery,
	}, when(writes/m.Limits.Writes > m.Fleet.Recovery, fmt.Sprintf("%.0f writes take %.0f s at the store's rate", writes, writes/m.Limits.Writes)))
}

// massTables is the first use of every group of the region by all entrances.
func (m *Model) massTables() StoreRow {
	m.begin()
	nodes := float64(m.Fleet.Nodes)
	total := nodes * m.regionGroups()
	reads := nodes * (ordinaryBurst/m.Fleet.Recovery + ordinaryRate)
	return m.judgeStore(StoreRow{
		Situation: "mass restart, first tables of entrances", Carrier: "entrance, store budget: a burst of 20 calls and 0.5 a second for each node",
		Reads: m.waiting() + reads,
	}, when(total/m.Limits.Reads > m.Fleet.Recovery, fmt.Sprintf("%.0f table reads take %.0f s at the store's rate", total, total/m.Limits.Reads)))
}

// outage is an hour without the store: groups live on promises; only watches
// are tried again.
func (m *Model) outage() StoreRow {
	m.begin()
	size := float64(m.Assumptions.GroupSize)
	const longestBackoff = 10
	return m.judgeStore(StoreRow{
		Situation: "store out for an hour, nothing else lost", Carrier: "ownership (promises of both successors), configsync (watches with back-off up to 10 s)",
		Writes: m.groups() * m.at("outage-minute-writes", size) / 60,
		Reads:  m.groups()*m.at("outage-minute-reads", size)/60 + m.groups()/(longestBackoff/2),
	})
}

// afterOutage is the minute in which the store is back: each group writes what
// it changed in memory, and each coordinator watches again.
func (m *Model) afterOutage() StoreRow {
	m.begin()
	const backoff = 10
	lost := m.Fleet.Failures / 24
	return m.judgeStore(StoreRow{
		Situation: "store back after an hour", Carrier: "ownership, configsync: spread over the back-off of 10 s",
		Writes: (lost*m.at("loss-writes", 1) + m.Fleet.Restarts/24*m.at("restart-writes", 1)) / backoff,
		Reads:  m.waiting() + m.groups()/backoff,
	})
}

// regionsCut is two regions that reach neither the others nor the store.
func (m *Model) regionsCut() StoreRow {
	m.begin()
	size := float64(m.Assumptions.GroupSize)
	cut := 2 * m.regionGroups()
	return m.judgeStore(StoreRow{
		Situation: fmt.Sprintf("two regions cut off (%.0f groups), and back", cut), Carrier: "ownership, entrance: each region's services are its own, so nothing crosses regions but the store",
		Writes: cut * m.at("outage-minute-writes", size) / 60, Reads: m.waiting() + cut/10,
	}, when(true, "configuration changes are not in force there within 8 s; the groups are listed as waited for (section 3.2 of the design)"))
}

// budgets is what the store budgets of all nodes permit together.
func (m *Model) budgets() StoreRow {
	m.begin()
	nodes := float64(m.Fleet.Nodes)
	return m.judgeStore(StoreRow{
		Situation: "bound by the call budgets of all nodes", Carrier: "store duty: 0.5 ordinary and 2 urgent calls a second for each node; every lease call is urgent",
		Writes: nodes * urgentRate, Reads: m.waiting() + nodes*ordinaryRate,
	})
}
