package capacity

import "fmt"

// OutageRow is the effect of one kind of event during an hour without the
// store. The affected keys have no service until the store is back.
type OutageRow struct {
	Situation string
	Mechanism string
	// Events is the expected number of events in the hour. GroupEquivalents is
	// the number of keys that lose service, in units of the keys of one group,
	// and KeyShare is their share of all keys.
	Events, GroupEquivalents, KeyShare float64
	Slopes                             []string
	Extrapolation                      float64
	Verdict                            Verdict
	Reason                             string
}

// OutageRows returns the events of an ordinary hour, as they would fall into an
// outage of the store. It returns a MissingSlopesError if the measurements lack
// a slope that a row needs.
func (m *Model) OutageRows() ([]OutageRow, error) {
	size := float64(m.Assumptions.GroupSize)
	var out []OutageRow
	for _, kind := range []struct {
		label, slopeEvent string
		eventsPerHour     float64
	}{
		{"VM failure", "lost", m.Fleet.FailuresPerDay / 24},
		{"planned restart", "stopped", m.Fleet.RestartsPerDay / 24},
	} {
		out = append(out,
			m.outageRow(kind.label+" of a member", kind.slopeEvent+"-member", kind.eventsPerHour*(size-3)/size, 0),
			m.outageRow(kind.label+" of a successor", kind.slopeEvent+"-successor", kind.eventsPerHour*2/size, 0),
			m.outageRow(kind.label+" of a coordinator", kind.slopeEvent+"-coordinator", kind.eventsPerHour/size, 1/size))
	}
	if len(m.missingSlopes) > 0 {
		return nil, &MissingSlopesError{m.missingSlopes}
	}
	return out, nil
}

// outageRow is the effect of one kind of event. allowedShare is the share of
// the group's keys that may lose service, which section 1.6 of the design
// grants for the loss of a coordinator.
func (m *Model) outageRow(situation, slopeSuffix string, eventsPerHour, allowedShare float64) OutageRow {
	m.resetRow()
	unservedShare := m.evaluate("outage-unserved-"+slopeSuffix, float64(m.Assumptions.GroupSize))
	r := OutageRow{
		Situation: situation + " while the store is out", Mechanism: "ownership: promises of both successors, acting successor",
		Events: eventsPerHour, GroupEquivalents: eventsPerHour * unservedShare, KeyShare: eventsPerHour * unservedShare / m.numGroups(), Slopes: m.usedSlopes, Extrapolation: m.extrapolation,
	}
	// The tolerance of 0.01 covers the error of sampling the key space.
	r.Verdict, r.Reason = verdictFor([]string{reasonIf(unservedShare > allowedShare+0.01, fmt.Sprintf("%.0f%% of the group's keys have no service until the store answers", unservedShare*100))})
	return r
}
