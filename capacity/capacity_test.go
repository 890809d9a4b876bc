package capacity

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// testSlopes maps the name of each slope to an intercept and a slope that are
// easy to calculate with.
var testSlopes = map[string][2]float64{
	"coordinator-messages": {40, 0}, "coordinator-bytes": {4000, 0}, "coordinator-cpu": {0.001, 0},
	"successor-messages": {7, 0}, "successor-bytes": {800, 0}, "successor-cpu": {0, 0},
	"member-messages": {3, 0}, "member-bytes": {400, 0}, "member-cpu": {0, 0},
	"call-bytes": {300, 1}, "table-bytes": {800, 30}, "table-memory": {2000, 40}, "table-learn-time": {0, 1e-6},
	"view-memory": {0, 5000}, "view-publish-time": {0, 1e-8}, "lookup-time": {0, 1e-8},
	"record-memory": {0, 40}, "hand-over-bytes": {0, 50}, "hand-over-time": {0, 1e-6},
	"admission-time": {1e-6, 0}, "admission-customer-time": {0, 0}, "admission-memory": {0, 100}, "suspect-memory": {0, 200},
	"placement-report-bytes": {200, 0}, "placement-memory": {40_000, 0}, "placement-record-time": {5e-7, 0}, "placement-plan-time": {0, 1e-5},
	"journal-memory": {0, 300}, "burn-memory": {10_000, 500},
	"config-bytes": {1000, 0}, "config-history-bytes": {0, 0}, "config-memory": {0, 0}, "config-relay-bytes": {100, 0}, "connection-memory": {0, 50_000},
	"create-writes": {22, 0}, "create-reads": {19, 0}, "loss-writes": {5, 0}, "loss-reads": {1, 0}, "loss-peak-writes": {3, 0}, "restart-writes": {9, 0},
	"restart-reads": {5, 0}, "move-writes": {1, 0}, "move-reads": {1, 0}, "outage-minute-writes": {0, 0}, "outage-minute-reads": {0, 0},
	"outage-unserved-lost-member": {0, 0}, "outage-unserved-lost-successor": {1, 0}, "outage-unserved-lost-coordinator": {0.1, 0},
	"outage-unserved-stopped-member": {0, 0}, "outage-unserved-stopped-successor": {1, 0}, "outage-unserved-stopped-coordinator": {0.1, 0},
}

func newTestModel() *Model {
	measurements := new(Measurements)
	for name, line := range testSlopes {
		measurements.Slopes = append(measurements.Slopes, Slope{Name: name, Intercept: line[0], Slope: line[1]})
	}
	return NewModel(measurements)
}

func findRow(t *testing.T, role string) Row {
	rows, err := newTestModel().Rows()
	must.NoError(t, err)
	for _, r := range rows {
		if strings.HasPrefix(r.Role, role) {
			return r
		}
	}
	t.Fatal("no row of a role that starts with", role)
	return Row{}
}

func findStoreRow(t *testing.T, situation string) StoreRow {
	rows, err := newTestModel().StoreRows()
	must.NoError(t, err)
	for _, r := range rows {
		if strings.HasPrefix(r.Situation, situation) {
			return r
		}
	}
	t.Fatal("no store row of a situation that starts with", situation)
	return StoreRow{}
}

// Guards against a wrong line and a wrong extrapolation ratio.
func TestFit(t *testing.T) {
	s := Fit(Slope{Points: []Point{{1, 3}, {2, 5}, {4, 9}}})
	must.InDelta(t, 2, s.Slope, 1e-9)
	must.InDelta(t, 1, s.Intercept, 1e-9)
	must.InDelta(t, 21, s.ValueAt(10), 1e-9)
	must.Eq(t, 9, s.ValueAt(4))
	must.Eq(t, 2.5, s.ExtrapolationTo(10))
	must.Eq(t, 1, s.ExtrapolationTo(3))
	uneven := Fit(Slope{Points: []Point{{1, 1}, {2, 4}, {3, 4}}}) // mean 3, slope 3/2
	must.InDelta(t, 1.5, uneven.Slope, 1e-9)
	must.InDelta(t, 0, uneven.Intercept, 1e-9)
	must.Eq(t, 0, Fit(Slope{Points: []Point{{2, 7}}}).Slope)
	must.Eq(t, 0, Slope{Intercept: -5}.ValueAt(1))
}

// Guards against errors in the sizes that all rows depend on.
func TestFleetSizes(t *testing.T) {
	m := newTestModel()
	must.Eq(t, 360, m.numGroups())
	must.Eq(t, 60, m.groupsPerRegion())
	must.Eq(t, 6, m.groupsPerService())
	must.InDelta(t, 3611.111, m.nodeRequestRate(), 0.001)
	must.InDelta(t, 216_666.667, m.onceRecordCount(), 0.001)
	must.InDelta(t, 0.383333, m.moveRate(), 1e-6)
	must.InDelta(t, 0.0787037, m.changeRate(), 1e-6)
}

// Guards against wrong costs of the roles. The expected values are computed by
// hand from testSlopes.
func TestRoleCosts(t *testing.T) {
	coordinator := findRow(t, "group coordinator")
	must.Eq(t, 4000, coordinator.ByteRate)
	must.Eq(t, 800+64*30, coordinator.StateBytes)
	must.Eq(t, 3*(2000+64*40), coordinator.MemoryBytes)
	must.Eq(t, Fits, coordinator.Verdict)

	planner := findRow(t, "placement planner") // nine exports of 200 bytes each 5 s, a plan of 100 µs
	must.InDelta(t, 9*500/5.0, planner.ByteRate, 1e-6)
	must.InDelta(t, 3611.111*5e-7+1e-4/5, planner.CPUShare, 1e-6)
	must.Eq(t, 10_000+1000*500, findRow(t, "burn reporter").MemoryBytes)

	relay := findRow(t, "configuration relay") // one copy of 1,300 bytes and nine of 400, 6,800 a day
	must.InDelta(t, (1300+9*400)*6800.0/86400, relay.ByteRate, 1e-6)
	server := findRow(t, "table giver, hottest keys of one service") // 69/180/6*600/10 fetches of 3,020 bytes
	must.InDelta(t, 3.833333*3020, server.ByteRate, 0.01)
	must.Eq(t, DoesNotFit, server.Verdict)
	status := findRow(t, "operator's gatherer: status") // 60 calls a second of 348 bytes
	must.InDelta(t, 60*348, status.ByteRate, 1e-6)
	must.InDelta(t, 3611.111e-6+0, findRow(t, "owner's side").CPUShare, 1e-6)
	must.InDelta(t, 599*50_000, findRow(t, "connections").MemoryBytes, 1e-6)
}

// Guards against a verdict that ignores a limit, and against the omission of a
// role that cannot be calculated.
func TestVerdicts(t *testing.T) {
	must.Eq(t, DoesNotFit, findRow(t, "at-most-once records").Verdict) // 8.67 MB against 8 MiB
	handOver := findRow(t, "hand-over of one range")                   // 33,854 records: 34 ms, 1.69 MB, 14 ms on the wire
	must.InDelta(t, 33_854*50, handOver.StateBytes, 50)
	must.Eq(t, Fits, handOver.Verdict) // 47 ms of 50
	overloaded := newTestModel()
	overloaded.Fleet.RequestRate *= 1.1
	must.StrContains(t, overloaded.handOverRow().Reason, "exceed 50 ms")
	must.Eq(t, NotBuilt, findRow(t, "growth").Verdict)
	m := newTestModel()
	m.Limits = Limits{CPUShare: 0.01, MemoryBytes: 100, ByteRate: 10}
	m.resetRow()
	r := m.completeRow(Row{CPUShare: 0.02, MemoryBytes: 101, ByteRate: 11})
	must.Eq(t, "2.0% of a core exceeds 1.0%; 101 B exceeds 100 B; 11 B a second exceeds 10 B", r.Reason)
}

// Guards against wrong loads on the store during failures, restarts and on an
// ordinary day.
func TestStoreRows(t *testing.T) {
	dataCentreLost := findStoreRow(t, "data centre lost (200 nodes, 60 groups)")
	must.Eq(t, 180, dataCentreLost.WriteRate) // 60 groups * 3 writes in one second
	must.Eq(t, 360+60, dataCentreLost.ReadRate)
	must.Eq(t, 60, findStoreRow(t, "rack or switch").WriteRate)
	must.Eq(t, Fits, dataCentreLost.Verdict)
	massRestart := findStoreRow(t, "mass restart of all nodes")
	must.Eq(t, 1584, massRestart.WriteRate) // 360 groups * 22 writes in 5 s
	must.Eq(t, DoesNotFit, massRestart.Verdict)
	must.StrContains(t, massRestart.Reason, "7920 writes take 26 s")
	callBudgets := findStoreRow(t, "bound by")
	must.Eq(t, 7200, callBudgets.WriteRate)
	must.Eq(t, 2160, callBudgets.ReadRate)
	ordinaryDay := findStoreRow(t, "ordinary day")
	// 0.0787 changes + 430/86400*9 + 4/86400*5 + 0.3833 moves
	must.InDelta(t, 0.507062, ordinaryDay.WriteRate, 1e-4)
	must.Eq(t, 72, findStoreRow(t, "store out").ReadRate)
	must.Eq(t, DoesNotFit, findStoreRow(t, "two regions").Verdict)
}

// Guards against a wrong count of the keys that lose service during an outage.
func TestOutageRows(t *testing.T) {
	rows, err := newTestModel().OutageRows()
	must.NoError(t, err)
	must.SliceLen(t, 6, rows)
	must.Eq(t, Fits, rows[0].Verdict)
	must.Eq(t, Fits, rows[2].Verdict) // only the coordinator's own keys
	must.Eq(t, DoesNotFit, rows[4].Verdict)
	must.InDelta(t, 430.0/24*0.2, rows[4].GroupEquivalents, 1e-9)
}

// Guards against a page that is calculated from incomplete measurements.
func TestMissingSlopes(t *testing.T) {
	_, err := GeneratedText(new(Measurements))
	var missing *MissingSlopesError
	must.True(t, errors.As(err, &missing))
	must.SliceContains(t, missing.Names, "coordinator-bytes")
}

// Guards against the loss of the hand-written part of the page.
func TestReplaceGenerated(t *testing.T) {
	got, err := ReplaceGenerated("a\n"+BeginMarker+"\nold\n"+EndMarker+"\nb\n", BeginMarker+"new"+EndMarker)
	must.NoError(t, err)
	must.Eq(t, "a\n"+BeginMarker+"new"+EndMarker+"\nb\n", got)
	_, err = ReplaceGenerated("a", "b")
	must.True(t, errors.As(err, new(*MarkerError)))
}
