package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// BackendState is that of a backend server.
type BackendState uint8

// States.
const (
	// Absent means that no run has reported since the node started.
	Absent BackendState = iota
	Ready
	Leaving
	// Ended means that the last run has ended.
	Ended
)

// Entry describes one node and the backend server beside it.
type Entry struct {
	Node        core.NodeID      `json:"node"`
	Incarnation core.Incarnation `json:"incarnation,string"`
	// StartedUnixMs is the wall time at which the process started, in milliseconds.
	// It orders the incarnations of a node as long as both are heard, since the
	// time of day may jump.
	StartedUnixMs int64           `json:"started"`
	DataCentre    core.DataCentre `json:"dc"`
	// InboundAddress is where requests for the backend server are sent; Peer is the
	// address for calls and beacons.
	InboundAddress string       `json:"inbound"`
	PeerAddress    string       `json:"peer"`
	Service        core.Service `json:"service"`
	// CPUCores is the part of a processor that the VM has.
	CPUCores float64 `json:"power,omitempty"`
	// Serial grows with each change within an incarnation.
	Serial     uint64       `json:"serial"`
	Instance   string       `json:"instance"`
	BornUnixMs int64        `json:"born"`
	State      BackendState `json:"state"`
	Slots      int          `json:"slots"`
	// Stopping is set while the node's own process is about to end.
	Stopping bool `json:"stopping,omitempty"`
	// StoreUnreachable is set while the node does not reach the platform's store.
	StoreUnreachable bool `json:"no_store,omitempty"`
}

// newer reports whether e replaces o.
func (e Entry) newer(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.StartedUnixMs > o.StartedUnixMs
	}
	return e.Serial > o.Serial
}

// Beacon is what a node sends to the others again and again.
type Beacon struct {
	Entry Entry `json:"e"`
	// Running and Waiting count the requests at the backend server and in the
	// queue before it.
	Running int `json:"r"`
	Waiting int `json:"w"`
	// MeanServiceMicros is the mean service time.
	MeanServiceMicros int64 `json:"s"`
	// FailedShare is that of Usage.
	FailedShare float64 `json:"f,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"c"`
	// TableVersions are the versions of the key tables that the node has.
	TableVersions map[core.Service]uint64 `json:"t,omitempty"`
	// UnconfirmedMs tells for services that the node coordinates how long it had
	// no access to the store, in milliseconds.
	UnconfirmedMs map[core.Service]int64 `json:"u,omitempty"`
}

// Peer is one node as of one snapshot.
type Peer struct {
	Entry
	// Alive is false when beacons are missing.
	Alive bool
	Load  *Load
}

// Usable reports whether requests may be sent to the peer's backend server.
func (p *Peer) Usable() bool { return p.Alive && p.State == Ready }

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Nodes          map[core.NodeID]*Peer
	PeersByService map[core.Service][]*Peer
}

const (
	// lostAfter is the time without beacons after which a node counts as lost.
	// Beacons come every 500 ms, and single datagrams are lost.
	lostAfter = 1600 * time.Millisecond
	// outlived is the time without beacons of an incarnation after which any
	// other one replaces it. Datagrams of the former one are milliseconds old.
	outlived = time.Second
	// forgetAfter is the time without beacons after which a node no longer
	// counts as part of the fleet.
	forgetAfter = 15 * time.Second
)

type node struct {
	entry  Entry
	load   *Load
	known  clock.Instant // first time this incarnation was known
	heard  clock.Instant // last beacon, or zero
	config uint64
	tables map[core.Service]uint64
	unconf map[core.Service]int64
	alive  bool
}

// View collects entries and beacons. One goroutine owns it.
type View struct {
	self  core.NodeID
	nodes map[core.NodeID]*node
	dirty bool
}

// NewView returns a view without nodes.
func NewView(self core.NodeID) *View {
	return &View{self: self, nodes: make(map[core.NodeID]*node)}
}

// ApplyEntry takes over an entry. It reports whether the view changed.
func (v *View) ApplyEntry(now clock.Instant, e Entry) bool {
	if e.Node == "" {
		return false
	}
	n := v.nodes[e.Node]
	if n == nil {
		v.nodes[e.Node] = &node{entry: e, load: &Load{}, known: now, alive: true}
		v.dirty = true
		return true
	}
	if !e.newer(n.entry) {
		return false
	}
	v.replace(now, n, e)
	return true
}

// replace takes over an entry of a known node.
func (v *View) replace(now clock.Instant, n *node, e Entry) {
	if e.Incarnation != n.entry.Incarnation {
		n.known, n.heard, n.load = now, 0, &Load{}
	}
	n.entry, n.alive = e, true
	v.dirty = true
}

// RemoveEntry forgets a node whose entry was deleted, unless a beacon of the same
// or a later incarnation still comes.
func (v *View) RemoveEntry(now clock.Instant, id core.NodeID) {
	n := v.nodes[id]
	if n == nil || id == v.self || n.heard != 0 && now.Sub(n.heard) < lostAfter {
		return
	}
	delete(v.nodes, id)
	v.dirty = true
}

// ApplyBeacon takes over a beacon.
func (v *View) ApplyBeacon(now clock.Instant, b Beacon) {
	v.ApplyEntry(now, b.Entry)
	n := v.nodes[b.Entry.Node]
	if n != nil && n.entry.Incarnation != b.Entry.Incarnation && now.Sub(max(n.heard, n.known)) >= outlived {
		// The time of day went back between the two starts.
		v.replace(now, n, b.Entry)
	}
	if n == nil || n.entry.Incarnation != b.Entry.Incarnation {
		return // from a former incarnation
	}
	if !n.alive {
		n.alive, v.dirty = true, true
	}
	n.heard = now
	n.config, n.tables, n.unconf = b.ConfigVersion, b.TableVersions, b.UnconfirmedMs
	n.load.SetUsage(Usage{b.Running, b.Waiting, time.Duration(b.MeanServiceMicros) * time.Microsecond, b.FailedShare})
}

// UpdateLiveness marks the nodes whose beacons are missing.
func (v *View) UpdateLiveness(now clock.Instant) {
	for id, n := range v.nodes {
		if id == v.self {
			continue
		}
		alive := now.Sub(max(n.heard, n.known)) < lostAfter
		if alive != n.alive {
			n.alive, v.dirty = alive, true
		}
	}
}

// Snapshot returns a new view when something changed since the last call.
func (v *View) Snapshot() (*Snapshot, bool) {
	if !v.dirty {
		return nil, false
	}
	v.dirty = false
	s := &Snapshot{Nodes: make(map[core.NodeID]*Peer, len(v.nodes)), PeersByService: make(map[core.Service][]*Peer)}
	for id, n := range v.nodes {
		p := &Peer{Entry: n.entry, Alive: n.alive, Load: n.load}
		s.Nodes[id] = p
		if n.entry.Service != "" {
			s.PeersByService[n.entry.Service] = append(s.PeersByService[n.entry.Service], p)
		}
	}
	for _, list := range s.PeersByService {
		slices.SortFunc(list, func(a, b *Peer) int { return cmp.Compare(a.Node, b.Node) })
	}
	return s, true
}

// HeardShare returns the part of the other nodes of the fleet whose beacons arrive.
// It is 1 when there are no others.
func (v *View) HeardShare(now clock.Instant) float64 {
	heard, all := 0, 0
	for id, n := range v.nodes {
		last := max(n.heard, n.known)
		if id == v.self || now.Sub(last) > forgetAfter {
			continue
		}
		all++
		if n.heard != 0 && now.Sub(n.heard) < lostAfter {
			heard++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(heard) / float64(all)
}

// recent is how old a beacon may be that tells of another incarnation. An older
// one may be from before the incarnation that is asked for.
const recent = 700 * time.Millisecond

// SilentFor returns how long no beacon of a node has arrived, and whether the node
// runs another incarnation or is stopping.
func (v *View) SilentFor(now clock.Instant, id core.NodeID, inc core.Incarnation) (time.Duration, bool) {
	n := v.nodes[id]
	if n == nil {
		return forgetAfter, false
	}
	other := n.entry.Incarnation != inc && n.heard != 0 && now.Sub(n.heard) < recent
	return now.Sub(max(n.heard, n.known)), other || n.entry.Incarnation == inc && n.entry.Stopping
}

// UnconfirmedFor returns how long the coordinator of a service had no access to
// the store, by its own account.
func (v *View) UnconfirmedFor(id core.NodeID, s core.Service) time.Duration {
	if n := v.nodes[id]; n != nil {
		return time.Duration(n.unconf[s]) * time.Millisecond
	}
	return 0
}

// FindNewerConfig returns a live node that has a newer configuration than version.
func (v *View) FindNewerConfig(version uint64) (Entry, bool) {
	for id, n := range v.nodes {
		if id != v.self && n.alive && n.config > version {
			return n.entry, true
		}
	}
	return Entry{}, false
}

// FindNewerTable returns a live node that has a newer key table of a service.
func (v *View) FindNewerTable(s core.Service, version uint64) (Entry, bool) {
	for id, n := range v.nodes {
		if id != v.self && n.alive && n.tables[s] > version {
			return n.entry, true
		}
	}
	return Entry{}, false
}

// CoordinatorRank returns this node's place among the live candidates to coordinate a
// service. Much stronger VMs come first, since a coordinator answers all members
// several times within a lease; then nodes of other services, so that the loss of
// a VM seldom takes the coordinator and keys at once.
func (v *View) CoordinatorRank(s core.Service) int {
	own := v.nodes[v.self]
	if own == nil {
		return len(v.nodes)
	}
	rank := 0
	for id, n := range v.nodes {
		if id != v.self && n.alive && !n.entry.Stopping && before(n.entry, own.entry, s) {
			rank++
		}
	}
	return rank
}

func before(a, b Entry, s core.Service) bool {
	if x, y := powerClass(a), powerClass(b); x != y {
		return x > y
	}
	if (a.Service == s) != (b.Service == s) {
		return a.Service != s
	}
	return a.Node < b.Node
}

// powerClass tells VMs apart that differ by a factor of two or so in processor
// time.
func powerClass(e Entry) int {
	if e.CPUCores <= 0 {
		return 0
	}
	return math.Ilogb(e.CPUCores)
}

// ForEachPeer calls f for each other node of the fleet.
func (v *View) ForEachPeer(now clock.Instant, f func(Entry)) {
	for id, n := range v.nodes {
		if id != v.self && now.Sub(max(n.heard, n.known)) < forgetAfter {
			f(n.entry)
		}
	}
}

// SilentNodes returns the nodes that have been silent for a time.
func (v *View) SilentNodes(now clock.Instant, after time.Duration) []core.NodeID {
	var out []core.NodeID
	for id, n := range v.nodes {
		if id != v.self && now.Sub(max(n.heard, n.known)) > after {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasNode reports whether a node is part of the view.
func (v *View) HasNode(id core.NodeID) bool { return v.nodes[id] != nil }

// Entry returns the entry of a node.
func (v *View) Entry(id core.NodeID) (Entry, bool) {
	n := v.nodes[id]
	if n == nil {
		return Entry{}, false
	}
	return n.entry, true
}

// CountNodes returns the number of nodes of the fleet, this one included.
func (v *View) CountNodes(now clock.Instant) int {
	size := 0
	for id, n := range v.nodes {
		if id == v.self || now.Sub(max(n.heard, n.known)) < forgetAfter {
			size++
		}
	}
	return size
}
