package capacity

// Fleet is the fleet size to calculate for; see section 1.3 of the design.
type Fleet struct {
	Nodes, Regions, DataCentres int
	Keys                        float64
	// RequestRate is in requests a second.
	RequestRate float64
	HotKeys     int
	// ChangesPerDay counts changes of the configuration, RestartsPerDay and
	// FailuresPerDay count planned restarts and failures of VMs.
	ChangesPerDay, RestartsPerDay, FailuresPerDay float64
	// ChangeDeadline is the time in seconds until a configuration change must
	// be in force everywhere, and RecoveryDeadline the time in seconds until a
	// key must be served again after a loss.
	ChangeDeadline, RecoveryDeadline float64
}

// Limits bounds what the control of the fleet may cost.
type Limits struct {
	// CPUShare is a share of one core, and ByteRate is in bytes a second. All
	// three apply to one node.
	CPUShare, MemoryBytes, ByteRate float64
	// WriteRate and ReadRate are calls a second to the store, where each
	// waiting watch counts as a read.
	WriteRate, ReadRate float64
}

// Assumptions holds the figures that the design does not specify.
type Assumptions struct {
	// GroupSize is the number of members of a group, and RangesPerGroup is the
	// number of ranges in its table.
	GroupSize, RangesPerGroup int
	// Services is the number of declared services.
	Services int
	// NonIdempotentShare is the share of requests that leave an at-most-once
	// record, and OnceWindow is how long the record is kept, in seconds.
	NonIdempotentShare, OnceWindow float64
	// HotKeyPeriod is the time in seconds in which the set of hottest keys
	// changes once.
	HotKeyPeriod float64
	// PeakChangeRatio is the rate of configuration changes in the busiest hour
	// divided by the mean rate.
	PeakChangeRatio float64
	// StatusInterval is the time in seconds between two reports that an
	// operator requests from the same node.
	StatusInterval float64
	// WatchTimeout is the time in seconds after which a waiting watch is
	// renewed. It equals the default of package storehttp.
	WatchTimeout float64
	// NodesPerRack is the number of nodes behind one rack or switch.
	NodesPerRack float64
	// LinkByteRate is the bandwidth of one node's network, in bytes a second.
	LinkByteRate float64
}

// ExpectedFleet returns the fleet size of section 1.3 of the design.
func ExpectedFleet() Fleet {
	return Fleet{
		Nodes: 3600, Regions: 6, DataCentres: 18, Keys: 2.3e9, RequestRate: 13e6, HotKeys: 69,
		ChangesPerDay: 6800, RestartsPerDay: 430, FailuresPerDay: 4, ChangeDeadline: 8, RecoveryDeadline: 5,
	}
}

// DesignLimits returns the limits of sections 1.3 and 1.4 of the design. The
// design allows several hundred writes a second to the store, which are taken
// as 300.
func DesignLimits() Limits {
	return Limits{CPUShare: 0.047, MemoryBytes: 64e6, ByteRate: 5000, WriteRate: 300, ReadRate: 2000}
}

// DefaultAssumptions returns the assumptions that the page states. 60 services
// of 60 nodes each stay within a factor of ten of today's few nodes for a
// service.
func DefaultAssumptions() Assumptions {
	return Assumptions{
		GroupSize: 10, RangesPerGroup: 64, Services: 60, NonIdempotentShare: 0.1, OnceWindow: 600,
		HotKeyPeriod: 180, PeakChangeRatio: 10, StatusInterval: 60, WatchTimeout: 3, NodesPerRack: 20, LinkByteRate: 125e6,
	}
}

const secondsPerDay = 86400.0

// numGroups returns the number of groups in the fleet.
func (m *Model) numGroups() float64 { return float64(m.Fleet.Nodes) / float64(m.Assumptions.GroupSize) }

func (m *Model) groupsPerRegion() float64 { return m.numGroups() / float64(m.Fleet.Regions) }

func (m *Model) groupsPerService() float64 { return m.numGroups() / float64(m.Assumptions.Services) }

// nodeRequestRate returns the requests a second that one node receives.
func (m *Model) nodeRequestRate() float64 { return m.Fleet.RequestRate / float64(m.Fleet.Nodes) }

// onceRecordCount returns the number of at-most-once records that one node
// holds.
func (m *Model) onceRecordCount() float64 {
	return m.nodeRequestRate() * m.Assumptions.NonIdempotentShare * m.Assumptions.OnceWindow
}

// moveRate returns the planned moves a second that follow the hottest keys.
func (m *Model) moveRate() float64 { return float64(m.Fleet.HotKeys) / m.Assumptions.HotKeyPeriod }

// changeRate returns the configuration changes a second.
func (m *Model) changeRate() float64 { return m.Fleet.ChangesPerDay / secondsPerDay }
