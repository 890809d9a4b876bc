package capacity

// Fleet is the size to calculate for; see section 1.3 of the design.
type Fleet struct {
	Nodes, Regions, DataCentres int
	Keys                        float64
	// Rate is in requests a second.
	Rate    float64
	HotKeys int
	// Changes of configuration, Restarts and Failures of VMs are per day.
	Changes, Restarts, Failures float64
	// InForce is the time in seconds until a change must be in force
	// everywhere, and Recovery until a key must be served again after a loss.
	InForce, Recovery float64
}

// Limits bounds what control may cost.
type Limits struct {
	// CPU is a share of a core, Memory in bytes and Bytes in bytes a second,
	// each for one node.
	CPU, Memory, Bytes float64
	// Writes and Reads are calls a second to the store, where each waiting
	// watch counts as a read.
	Writes, Reads float64
}

// Assumptions holds what the requirements leave open.
type Assumptions struct {
	// GroupSize is the members of a group and Ranges the ranges of its table.
	GroupSize, Ranges int
	// Services is the number of declared services.
	Services int
	// NonIdempotent is the share of requests that leave an at-most-once record,
	// and Window how long the record is kept, in seconds.
	NonIdempotent, Window float64
	// HotPeriod is the time in seconds in which the hottest keys change once.
	HotPeriod float64
	// Peak is the busiest hour's rate of configuration changes over the mean.
	Peak float64
	// StatusInterval is the time in seconds between two reports that an
	// operator asks one node for.
	StatusInterval float64
	// WatchWait is the time in seconds after which a waiting watch is renewed;
	// it is the default of storehttp.
	WatchWait float64
	// Rack is the number of nodes that a rack or switch holds.
	Rack float64
	// Link is what one node's network carries, in bytes a second.
	Link float64
}

// Expected returns the size of section 1.3 of the design.
func Expected() Fleet {
	return Fleet{
		Nodes: 3600, Regions: 6, DataCentres: 18, Keys: 2.3e9, Rate: 13e6, HotKeys: 69,
		Changes: 6800, Restarts: 430, Failures: 4, InForce: 8, Recovery: 5,
	}
}

// Allowed returns the limits of sections 1.3 and 1.4 of the design. Several
// hundred writes are taken as 300.
func Allowed() Limits {
	return Limits{CPU: 0.047, Memory: 64e6, Bytes: 5000, Writes: 300, Reads: 2000}
}

// Assumed returns the assumptions of the page. Sixty services of 60 nodes each
// keep today's ratio of a few nodes for a service within a factor of ten.
func Assumed() Assumptions {
	return Assumptions{
		GroupSize: 10, Ranges: 64, Services: 60, NonIdempotent: 0.1, Window: 600,
		HotPeriod: 180, Peak: 10, StatusInterval: 60, WatchWait: 3, Rack: 20, Link: 125e6,
	}
}

const day = 86400.0

// groups returns the number of groups of the fleet.
func (m *Model) groups() float64 { return float64(m.Fleet.Nodes) / float64(m.Assumptions.GroupSize) }

// regionGroups returns the number of groups of one region.
func (m *Model) regionGroups() float64 { return m.groups() / float64(m.Fleet.Regions) }

// serviceGroups returns the number of groups of one service.
func (m *Model) serviceGroups() float64 { return m.groups() / float64(m.Assumptions.Services) }

// nodeRate returns the requests a second of one node.
func (m *Model) nodeRate() float64 { return m.Fleet.Rate / float64(m.Fleet.Nodes) }

// records returns the at-most-once records that one node holds.
func (m *Model) records() float64 {
	return m.nodeRate() * m.Assumptions.NonIdempotent * m.Assumptions.Window
}

// moves returns the planned moves a second that follow the hottest keys.
func (m *Model) moves() float64 { return float64(m.Fleet.HotKeys) / m.Assumptions.HotPeriod }

// changes returns the configuration changes a second.
func (m *Model) changes() float64 { return m.Fleet.Changes / day }
