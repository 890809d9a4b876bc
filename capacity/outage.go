package capacity

import "fmt"

// OutageRow is what events in an hour without the store cost. Keys stay
// without service until the store is back.
type OutageRow struct {
	Situation string
	Carrier   string
	// Events is the expected number in the hour, Groups how many groups' worth
	// of keys lose service, and Share that as a share of all keys.
	Events, Groups, Share float64
	Slopes                []string
	Factor                float64
	Verdict               Verdict
	Why                   string
}

// OutageRows returns the events of an ordinary hour that fall into an outage.
func (m *Model) OutageRows() ([]OutageRow, error) {
	size := float64(m.Assumptions.GroupSize)
	var out []OutageRow
	for _, x := range []struct {
		text, slope string
		events      float64
	}{
		{"VM failure", "lost", m.Fleet.Failures / 24},
		{"planned restart", "stopped", m.Fleet.Restarts / 24},
	} {
		out = append(out,
			m.outageRow(x.text+" of a member", x.slope+"-member", x.events*(size-3)/size, 0),
			m.outageRow(x.text+" of a successor", x.slope+"-successor", x.events*2/size, 0),
			m.outageRow(x.text+" of a coordinator", x.slope+"-coordinator", x.events/size, 1/size))
	}
	if len(m.missing) > 0 {
		return nil, &MissingError{m.missing}
	}
	return out, nil
}

// outageRow is one kind of event. Allowed is the share of the group's keys that
// may lose service; section 1.6 of the design grants it for a coordinator.
func (m *Model) outageRow(situation, slope string, events, allowed float64) OutageRow {
	m.begin()
	unserved := m.at("outage-unserved-"+slope, float64(m.Assumptions.GroupSize))
	r := OutageRow{
		Situation: situation + " while the store is out", Carrier: "ownership: promises of both successors, acting successor",
		Events: events, Groups: events * unserved, Share: events * unserved / m.groups(), Slopes: m.used, Factor: m.factor,
	}
	// The hundredth covers the sampling of the key space.
	r.Verdict, r.Why = verdict([]string{when(unserved > allowed+0.01, fmt.Sprintf("%.0f%% of the group's keys have no service until the store answers", unserved*100))})
	return r
}
