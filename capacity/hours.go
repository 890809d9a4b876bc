package capacity

import "fmt"

// StoreRows returns the load of the whole fleet on the store, on an ordinary
// day, in peak hours and during failures. It returns a MissingSlopesError if
// the measurements lack a slope that a row needs.
func (m *Model) StoreRows() ([]StoreRow, error) {
	out := []StoreRow{
		m.steadyLoadRow("ordinary day", 1), m.steadyLoadRow("busiest hour of configuration changes", m.Assumptions.PeakChangeRatio),
		m.hotKeyMovesRow(), m.rollingRestartRow(), m.rackLossRow(), m.dataCentreLossRow(), m.dataCentreTableReadsRow(), m.massRestartRow(), m.massTableReadsRow(), m.storeOutageRow(), m.storeRecoveryRow(),
		m.regionsCutOffRow(), m.callBudgetsRow(),
	}
	if len(m.missingSlopes) > 0 {
		return nil, &MissingSlopesError{m.missingSlopes}
	}
	return out, nil
}

// waitingWatches returns the number of watches that wait at any time: one for
// each coordinator.
func (m *Model) waitingWatches() float64 { return m.numGroups() }

// steadyLoadRow is the load without an exceptional event: the watches, which
// end at each change and at their timeout, and the writes of configurations,
// restarts, failures and moves. changeRatio scales the mean rate of
// configuration changes.
func (m *Model) steadyLoadRow(situation string, changeRatio float64) StoreRow {
	m.resetRow()
	changeRate := m.changeRate() * changeRatio
	watchRate := m.numGroups() * (changeRate + 1/m.Assumptions.WatchTimeout)
	restartRate, failureRate := m.Fleet.RestartsPerDay/secondsPerDay, m.Fleet.FailuresPerDay/secondsPerDay
	return m.completeStoreRow(StoreRow{
		Situation: situation, Mechanism: "configsync (360 waiting watches), ownership (writes only changes)",
		WriteRate: changeRate + restartRate*m.evaluate("restart-writes", 1) + failureRate*m.evaluate("loss-writes", 1) + m.moveRate()*m.evaluate("move-writes", 1),
		ReadRate:  m.waitingWatches() + watchRate + changeRate + restartRate*(m.evaluate("restart-reads", 1)+m.groupsPerRegion()) + m.moveRate()*m.evaluate("move-reads", 1),
	})
}

// hotKeyMovesRow is the load when all of the hottest keys move within ten
// seconds.
func (m *Model) hotKeyMovesRow() StoreRow {
	m.resetRow()
	moveRate := float64(m.Fleet.HotKeys) / 10
	return m.completeStoreRow(StoreRow{
		Situation: "all 69 hottest keys moved within 10 s, each in another group", Mechanism: "ownership: planned moves of single hashes",
		WriteRate: moveRate * m.evaluate("move-writes", 1), ReadRate: m.waitingWatches() + moveRate*m.evaluate("move-reads", 1),
	})
}

// rollingRestartRow is the load when the restarts of a whole day are done
// within one hour.
func (m *Model) rollingRestartRow() StoreRow {
	m.resetRow()
	restartRate := m.Fleet.RestartsPerDay / 3600
	groupsPerRegion := m.groupsPerRegion()
	tableReadRate := restartRate * groupsPerRegion
	return m.completeStoreRow(StoreRow{
		Situation: "430 restarts within one hour", Mechanism: "ownership: graceful leave and join; entrance: first tables from the store",
		WriteRate: restartRate * m.evaluate("restart-writes", 1), ReadRate: m.waitingWatches() + restartRate*m.evaluate("restart-reads", 1) + tableReadRate,
	})
}

// memberLossRow is the load when each of several groups loses members at once.
// The write rate is that of a group's busiest second. It is an upper bound,
// because it assumes that this second is the same for all groups and that every
// group has lost its coordinator.
func (m *Model) memberLossRow(situation string, groups, lostPerGroup float64) StoreRow {
	m.resetRow()
	return m.completeStoreRow(StoreRow{
		Situation: situation, Mechanism: "ownership: takeover, successors and assignment, in the busiest second",
		WriteRate: groups * m.evaluate("loss-peak-writes", lostPerGroup), ReadRate: m.waitingWatches() + groups*m.evaluate("loss-reads", lostPerGroup),
	})
}

// rackLossRow is the load after the loss of a rack or switch whose nodes are
// all in different groups.
func (m *Model) rackLossRow() StoreRow {
	nodes := m.Assumptions.NodesPerRack
	return m.memberLossRow(fmt.Sprintf("rack or switch lost (%.0f nodes of as many groups)", nodes), nodes, 1)
}

// dataCentreLossRow is the load after the loss of one data centre, when every
// group of its region loses a third of its members.
func (m *Model) dataCentreLossRow() StoreRow {
	lostPerGroup := float64(m.Assumptions.GroupSize) * float64(m.Fleet.Regions) / float64(m.Fleet.DataCentres)
	groups := m.groupsPerRegion()
	return m.memberLossRow(fmt.Sprintf("data centre lost (%d nodes, %.0f groups)", m.Fleet.Nodes/m.Fleet.DataCentres, groups), groups, lostPerGroup)
}

// dataCentreTableReadsRow is the load of entrances that read tables from the
// store because no member answers. A fetch asks two members, and in one of nine
// cases both of them are lost.
func (m *Model) dataCentreTableReadsRow() StoreRow {
	m.resetRow()
	lostShare := float64(m.Fleet.Regions) / float64(m.Fleet.DataCentres)
	entrances := float64(m.Fleet.Nodes) / float64(m.Fleet.Regions) * (1 - lostShare)
	fetchRate := m.groupsPerRegion() / fetchIntervalSeconds * lostShare * lostShare
	budgetRate := ordinaryCallBurst/m.Fleet.RecoveryDeadline + ordinaryCallRate
	readRate := entrances * min(fetchRate, budgetRate)
	return m.completeStoreRow(StoreRow{
		Situation: "data centre lost, table reads of entrances", Mechanism: "entrance, node (fetcher), store budget: the store is read when two members do not answer",
		ReadRate: m.waitingWatches() + readRate,
	})
}

// massRestartRow is the load when all nodes start at once with an empty store.
func (m *Model) massRestartRow() StoreRow {
	m.resetRow()
	size := float64(m.Assumptions.GroupSize)
	writes, reads := m.numGroups()*m.evaluate("create-writes", size), m.numGroups()*m.evaluate("create-reads", size)
	return m.completeStoreRow(StoreRow{
		Situation: "mass restart of all nodes within 5 s, groups formed", Mechanism: "ownership: ten joins of a group are written one after another",
		WriteRate: writes / m.Fleet.RecoveryDeadline, ReadRate: m.waitingWatches() + reads/m.Fleet.RecoveryDeadline,
	}, reasonIf(writes/m.Limits.WriteRate > m.Fleet.RecoveryDeadline, fmt.Sprintf("%.0f writes take %.0f s at the store's rate", writes, writes/m.Limits.WriteRate)))
}

// massTableReadsRow is the load when all entrances use every group of their
// region for the first time.
func (m *Model) massTableReadsRow() StoreRow {
	m.resetRow()
	nodes := float64(m.Fleet.Nodes)
	totalReads := nodes * m.groupsPerRegion()
	readRate := nodes * (ordinaryCallBurst/m.Fleet.RecoveryDeadline + ordinaryCallRate)
	return m.completeStoreRow(StoreRow{
		Situation: "mass restart, first tables of entrances", Mechanism: "entrance, store budget: a burst of 20 calls and 0.5 a second for each node",
		ReadRate: m.waitingWatches() + readRate,
	}, reasonIf(totalReads/m.Limits.ReadRate > m.Fleet.RecoveryDeadline, fmt.Sprintf("%.0f table reads take %.0f s at the store's rate", totalReads, totalReads/m.Limits.ReadRate)))
}

// storeOutageRow is the load attempted during an hour without the store. Groups
// renew their leases through promises of the successors, so only watches are
// retried.
func (m *Model) storeOutageRow() StoreRow {
	m.resetRow()
	size := float64(m.Assumptions.GroupSize)
	const maxBackoffSeconds = 10
	return m.completeStoreRow(StoreRow{
		Situation: "store out for an hour, nothing else lost", Mechanism: "ownership (promises of both successors), configsync (watches with back-off up to 10 s)",
		WriteRate: m.numGroups() * m.evaluate("outage-minute-writes", size) / 60,
		ReadRate:  m.numGroups()*m.evaluate("outage-minute-reads", size)/60 + m.numGroups()/(maxBackoffSeconds/2),
	})
}

// storeRecoveryRow is the load when the store is back: each group writes what
// it changed in memory, and each coordinator starts its watch again.
func (m *Model) storeRecoveryRow() StoreRow {
	m.resetRow()
	const backoffSeconds = 10
	lostMembers := m.Fleet.FailuresPerDay / 24
	return m.completeStoreRow(StoreRow{
		Situation: "store back after an hour", Mechanism: "ownership, configsync: spread over the back-off of 10 s",
		WriteRate: (lostMembers*m.evaluate("loss-writes", 1) + m.Fleet.RestartsPerDay/24*m.evaluate("restart-writes", 1)) / backoffSeconds,
		ReadRate:  m.waitingWatches() + m.numGroups()/backoffSeconds,
	})
}

// regionsCutOffRow is the load of two regions that can reach neither the other
// regions nor the store.
func (m *Model) regionsCutOffRow() StoreRow {
	m.resetRow()
	size := float64(m.Assumptions.GroupSize)
	cutOffGroups := 2 * m.groupsPerRegion()
	return m.completeStoreRow(StoreRow{
		Situation: fmt.Sprintf("two regions cut off (%.0f groups), and back", cutOffGroups), Mechanism: "ownership, entrance: each region's services are its own, so nothing crosses regions but the store",
		WriteRate: cutOffGroups * m.evaluate("outage-minute-writes", size) / 60, ReadRate: m.waitingWatches() + cutOffGroups/10,
	}, reasonIf(true, "configuration changes are not in force there within 8 s; the groups are listed as waited for (section 3.2 of the design)"))
}

// callBudgetsRow is the load that the store call budgets of all nodes permit
// together.
func (m *Model) callBudgetsRow() StoreRow {
	m.resetRow()
	nodes := float64(m.Fleet.Nodes)
	return m.completeStoreRow(StoreRow{
		Situation: "bound by the call budgets of all nodes", Mechanism: "store duty: 0.5 ordinary and 2 urgent calls a second for each node; every lease call is urgent",
		WriteRate: nodes * urgentCallRate, ReadRate: m.waitingWatches() + nodes*ordinaryCallRate,
	})
}
