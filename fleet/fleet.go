package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
)

// BackendState is the state of a backend server.
type BackendState uint8

// States of a backend server.
const (
	// Absent means that no run has reported since the node started.
	Absent BackendState = iota
	Ready
	Leaving
	// Unreachable means that the run refuses connections. It may have ended.
	Unreachable
	// Evacuated means that the run takes no requests while its data centre is
	// evacuated.
	Evacuated
)

// Entry describes one node and the backend server beside it.
type Entry struct {
	Node        core.NodeID      `json:"node"`
	Incarnation core.Incarnation `json:"incarnation,string"`
	// StartedUnixMs is the wall time at which the process started. It orders
	// the incarnations of a node only while both are heard, since the time of
	// day may jump.
	StartedUnixMs int64           `json:"started"`
	DataCentre    core.DataCentre `json:"dc"`
	// InboundAddress takes requests for the backend server, PeerAddress calls
	// and beacons.
	InboundAddress string       `json:"inbound"`
	PeerAddress    string       `json:"peer"`
	Service        core.Service `json:"service"`
	// CPUCores is the processor time that the VM has, in cores. It may be a
	// fraction.
	CPUCores float64 `json:"power,omitempty"`
	// LinkMbps is the capacity of the VM's link in Mbit/s, or 0 if unknown.
	LinkMbps float64 `json:"link,omitempty"`
	// Serial increases with each change within an incarnation.
	Serial   uint64 `json:"serial"`
	Instance string `json:"instance"`
	// BornUnixMs is the start of the present run of the backend server.
	BornUnixMs int64        `json:"born"`
	State      BackendState `json:"state"`
	Slots      int          `json:"slots"`
	// Stopping is set while the node's own process is about to end.
	Stopping bool `json:"stopping,omitempty"`
	// StoreUnreachable is set while the node does not reach the platform's
	// store.
	StoreUnreachable bool `json:"no_store,omitempty"`
	// ShortBeacons is set if the node understands short beacons.
	ShortBeacons bool `json:"short,omitempty"`
}

// supersedes reports whether e replaces o, an entry of the same node.
func (e Entry) supersedes(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.StartedUnixMs > o.StartedUnixMs
	}
	return e.Serial > o.Serial
}

// Beacon is what a node sends to the others periodically.
type Beacon struct {
	Entry Entry `json:"e"`
	// Sequence increases with each beacon of an incarnation. Nodes of versions
	// that send none have 0.
	Sequence uint64 `json:"q,omitempty"`
	// Running and Waiting count the requests at the backend server and in the
	// queue before it.
	Running int `json:"r"`
	Waiting int `json:"w"`
	// MeanServiceMicros is the mean service time, or 0 before any request.
	MeanServiceMicros int64 `json:"s"`
	// FailedShare is as in Usage.
	FailedShare float64 `json:"f,omitempty"`
	// LinkShare, ReadDelayMicros and UnreadBodyBytes are as in Usage.
	LinkShare       float64 `json:"l,omitempty"`
	ReadDelayMicros int64   `json:"d,omitempty"`
	UnreadBodyBytes int64   `json:"b,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"c"`
	// ConfigDigest describes the routes of the configuration in force, while
	// that is new. Nodes that do not have it yet compare it with their own.
	ConfigDigest []byte `json:"h,omitempty"`
	// TableVersions are the versions of the key tables that the node has.
	TableVersions map[core.Service]uint64 `json:"t,omitempty"`
	// UnconfirmedMs holds, for each service that the node coordinates, how long
	// it has had no access to the store.
	UnconfirmedMs map[core.Service]int64 `json:"u,omitempty"`
	// Left tells the receiver that the run beside it had announced that it leaves,
	// LeftMsAgo before the beacon was sent.
	Left      *Departure `json:"left,omitempty"`
	LeftMsAgo int64      `json:"left_ms,omitempty"`
	// WantsEntry asks the receiver for a whole beacon, because its entry is not
	// known here.
	WantsEntry bool `json:"n,omitempty"`
}

// Peer is one node as of one snapshot.
type Peer struct {
	Entry
	// Alive is false while beacons of the node are missing.
	Alive bool
	Load  *Load
}

// Usable reports whether requests may be sent to the peer's backend server.
func (p *Peer) Usable() bool { return p.Alive && p.State == Ready }

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Nodes map[core.NodeID]*Peer
	// ByService holds the peers beside the backend servers of each service,
	// sorted by node.
	ByService map[core.Service][]*Peer
}

const (
	// lostAfter is the time without beacons after which a node counts as lost.
	// Beacons are sent every 500 ms, and single datagrams may be lost.
	lostAfter = 1600 * time.Millisecond
	// replaceAfter is the time without beacons of an incarnation after which
	// any other one replaces it. A datagram of the former one can only be
	// milliseconds old.
	replaceAfter = time.Second
	// forgetAfter is the time without beacons after which a node no longer
	// counts as part of the fleet.
	forgetAfter = 15 * time.Second
)

type nodeState struct {
	entry         Entry
	load          *Load
	firstSeenAt   clock.Instant // first entry or beacon of this incarnation
	lastBeaconAt  clock.Instant // zero before any beacon
	lastSequence  uint64        // of the beacons of this incarnation
	left          runID         // last run that the node announced as leaving
	leftAt        clock.Instant // when the node announced it first
	configVersion uint64
	configDigest  []byte
	tableVersions map[core.Service]uint64
	unconfirmedMs map[core.Service]int64
	alive         bool
}

// runID identifies a run of a backend server beside one node.
type runID struct {
	instance string
	born     int64
}

// keepLeave returns an entry with the state Leaving if an earlier one announced that
// its run leaves. A process that has just started may not know that.
func (n *nodeState) keepLeave(now clock.Instant, e Entry) Entry {
	run := runID{e.Instance, e.BornUnixMs}
	switch {
	case e.State == Leaving && run != n.left:
		n.left, n.leftAt = run, now
	case e.State == Ready && e.Instance != "" && run == n.left:
		e.State = Leaving
	}
	return e
}

// ForgottenLeave returns the run that the sender of a beacon takes for ready although
// the node had announced that it leaves, and how long ago that was, or false if there
// is none. The process of the sender started after the announcement, and the
// platform's store may have lost it.
func (v *View) ForgottenLeave(now clock.Instant, sender Entry) (Departure, time.Duration, bool) {
	n := v.nodes[sender.Node]
	if n == nil || sender.State != Ready || sender.Instance == "" || n.left != (runID{sender.Instance, sender.BornUnixMs}) {
		return Departure{}, 0, false
	}
	return Departure{Instance: sender.Instance, BornUnixMs: sender.BornUnixMs}, now.Sub(n.leftAt), true
}

// View collects entries and beacons. Only one goroutine may use it.
type View struct {
	self    core.NodeID
	nodes   map[core.NodeID]*nodeState
	changed bool
	// ranks holds the ranks asked for since the nodes last changed.
	ranks map[core.Service]int
	// No node has a newer configuration or key table than newestConfig and
	// newestTables. Nodes that had them may be gone.
	newestConfig uint64
	newestTables map[core.Service]uint64
}

// markChanged records that an entry changed, or that a node came, went, or is
// alive or lost now.
func (v *View) markChanged() {
	v.changed = true
	clear(v.ranks)
}

// NewView returns a view without nodes.
func NewView(self core.NodeID) *View {
	return &View{
		self: self, nodes: make(map[core.NodeID]*nodeState),
		ranks: make(map[core.Service]int), newestTables: make(map[core.Service]uint64),
	}
}

// ApplyEntry takes in an entry. It reports whether the view changed.
func (v *View) ApplyEntry(now clock.Instant, e Entry) bool {
	if e.Node == "" {
		return false
	}
	n := v.nodes[e.Node]
	if n == nil {
		n := &nodeState{load: &Load{}, firstSeenAt: now, alive: true}
		n.entry = n.keepLeave(now, e)
		v.nodes[e.Node] = n
		v.markChanged()
		return true
	}
	if !e.supersedes(n.entry) {
		return false
	}
	v.replaceEntry(now, n, e)
	return true
}

// replaceEntry takes in an entry of a node that the view has.
func (v *View) replaceEntry(now clock.Instant, n *nodeState, e Entry) {
	if e.Incarnation != n.entry.Incarnation {
		n.firstSeenAt, n.lastBeaconAt, n.lastSequence, n.load = now, 0, 0, &Load{}
	}
	n.entry, n.alive = n.keepLeave(now, e), true
	v.markChanged()
}

// RemoveEntry removes a node whose entry was deleted, unless beacons of the
// same or a later incarnation still arrive.
func (v *View) RemoveEntry(now clock.Instant, id core.NodeID) {
	n := v.nodes[id]
	if n == nil || id == v.self || n.lastBeaconAt != 0 && now.Sub(n.lastBeaconAt) < lostAfter {
		return
	}
	delete(v.nodes, id)
	v.markChanged()
}

// ApplyBeacon takes in a beacon, unless it is from a former incarnation or not
// later than one that was received. A datagram may arrive more than once.
func (v *View) ApplyBeacon(now clock.Instant, b Beacon) {
	v.ApplyEntry(now, b.Entry)
	n := v.nodes[b.Entry.Node]
	if n != nil && n.entry.Incarnation != b.Entry.Incarnation && now.Sub(max(n.lastBeaconAt, n.firstSeenAt)) >= replaceAfter {
		// The time of day went back between the two starts.
		v.replaceEntry(now, n, b.Entry)
	}
	if n == nil || n.entry.Incarnation != b.Entry.Incarnation || b.Entry.Serial < n.entry.Serial {
		return // from a former incarnation, or older than one that was received
	}
	if b.Sequence != 0 && b.Sequence <= n.lastSequence {
		return
	}
	n.lastSequence = b.Sequence
	if !n.alive {
		n.alive = true
		v.markChanged()
	}
	n.lastBeaconAt = now
	if b.ConfigVersion != n.configVersion || len(b.ConfigDigest) > 0 {
		n.configDigest = b.ConfigDigest
	}
	n.configVersion, n.tableVersions, n.unconfirmedMs = b.ConfigVersion, b.TableVersions, b.UnconfirmedMs
	v.newestConfig = max(v.newestConfig, b.ConfigVersion)
	for service, version := range b.TableVersions {
		if version > v.newestTables[service] {
			v.newestTables[service] = version
		}
	}
	n.load.SetUsage(Usage{
		Running: b.Running, Waiting: b.Waiting, MeanServiceTime: time.Duration(b.MeanServiceMicros) * time.Microsecond,
		FailedShare: b.FailedShare, LinkShare: b.LinkShare, ReadDelay: time.Duration(b.ReadDelayMicros) * time.Microsecond,
		UnreadBodyBytes: b.UnreadBodyBytes,
	})
}

// UpdateLiveness updates which nodes are alive from the age of their last
// beacons.
func (v *View) UpdateLiveness(now clock.Instant) {
	for id, n := range v.nodes {
		if id == v.self {
			continue
		}
		alive := now.Sub(max(n.lastBeaconAt, n.firstSeenAt)) < lostAfter
		if alive != n.alive {
			n.alive = alive
			v.markChanged()
		}
	}
}

// Snapshot returns a new snapshot, or false if nothing changed since the last
// call.
func (v *View) Snapshot() (*Snapshot, bool) {
	if !v.changed {
		return nil, false
	}
	v.changed = false
	snapshot := &Snapshot{Nodes: make(map[core.NodeID]*Peer, len(v.nodes)), ByService: make(map[core.Service][]*Peer)}
	for id, n := range v.nodes {
		p := &Peer{Entry: n.entry, Alive: n.alive, Load: n.load}
		snapshot.Nodes[id] = p
		if n.entry.Service != "" {
			snapshot.ByService[n.entry.Service] = append(snapshot.ByService[n.entry.Service], p)
		}
	}
	for _, peers := range snapshot.ByService {
		slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(a.Node, b.Node) })
	}
	return snapshot, true
}

// HeardShare returns the share of the other nodes of the fleet whose beacons
// arrive, from 0 to 1. It is 1 if there are no others.
func (v *View) HeardShare(now clock.Instant) float64 {
	heard, total := 0, 0
	for id, n := range v.nodes {
		lastSeenAt := max(n.lastBeaconAt, n.firstSeenAt)
		if id == v.self || now.Sub(lastSeenAt) > forgetAfter {
			continue
		}
		total++
		if n.lastBeaconAt != 0 && now.Sub(n.lastBeaconAt) < lostAfter {
			heard++
		}
	}
	if total == 0 {
		return 1
	}
	return float64(heard) / float64(total)
}

// maxEvidenceAge is the greatest age of a beacon that is taken as proof of
// another incarnation. An older one may be from before the incarnation that is
// asked for.
const maxEvidenceAge = 700 * time.Millisecond

// SilentFor returns how long no beacon of a node has arrived, and whether the
// node runs another incarnation or is stopping.
func (v *View) SilentFor(now clock.Instant, id core.NodeID, incarnation core.Incarnation) (time.Duration, bool) {
	n := v.nodes[id]
	if n == nil {
		return forgetAfter, false
	}
	replaced := n.entry.Incarnation != incarnation && n.lastBeaconAt != 0 && now.Sub(n.lastBeaconAt) < maxEvidenceAge
	return now.Sub(max(n.lastBeaconAt, n.firstSeenAt)), replaced || n.entry.Incarnation == incarnation && n.entry.Stopping
}

// UnconfirmedFor returns how long a node, as coordinator of a service, has had
// no access to the store, by its own account.
func (v *View) UnconfirmedFor(id core.NodeID, service core.Service) time.Duration {
	if n := v.nodes[id]; n != nil {
		return time.Duration(n.unconfirmedMs[service]) * time.Millisecond
	}
	return 0
}

// CoordinatorRank returns this node's place, from 0, among the live candidates
// to coordinate a service. VMs with much more processor time come first, then
// those with much faster links, since a coordinator answers all members several
// times within a lease and sends them the key table. Nodes of other services
// come next, so that the loss of a VM seldom takes the coordinator and keys at
// once.
func (v *View) CoordinatorRank(service core.Service) int {
	rank, ok := v.ranks[service]
	if !ok {
		rank = v.computeRank(service)
		v.ranks[service] = rank
	}
	return rank
}

func (v *View) computeRank(service core.Service) int {
	own := v.nodes[v.self]
	if own == nil {
		return len(v.nodes)
	}
	rank := 0
	for id, n := range v.nodes {
		if id != v.self && n.alive && !n.entry.Stopping && ranksBefore(n.entry, own.entry, service) {
			rank++
		}
	}
	return rank
}

func ranksBefore(a, b Entry, service core.Service) bool {
	if x, y := powerOfTwo(a.CPUCores), powerOfTwo(b.CPUCores); x != y {
		return x > y
	}
	if x, y := powerOfTwo(a.LinkMbps), powerOfTwo(b.LinkMbps); x != y {
		return x > y
	}
	if (a.Service == service) != (b.Service == service) {
		return a.Service != service
	}
	return a.Node < b.Node
}

// powerOfTwo groups VMs by powers of two of a capacity, so that only VMs which
// differ by about a factor of two get different ranks for it.
func powerOfTwo(capacity float64) int {
	if capacity <= 0 {
		return 0
	}
	return math.Ilogb(capacity)
}

// ForEachPeer calls f for each other node of the fleet.
func (v *View) ForEachPeer(now clock.Instant, f func(Entry)) {
	for id, n := range v.nodes {
		if id != v.self && now.Sub(max(n.lastBeaconAt, n.firstSeenAt)) < forgetAfter {
			f(n.entry)
		}
	}
}

// SilentNodes returns the other nodes that have been silent for longer than
// after, sorted.
func (v *View) SilentNodes(now clock.Instant, after time.Duration) []core.NodeID {
	var out []core.NodeID
	for id, n := range v.nodes {
		if id != v.self && now.Sub(max(n.lastBeaconAt, n.firstSeenAt)) > after {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// HasNode reports whether the view has a node.
func (v *View) HasNode(id core.NodeID) bool { return v.nodes[id] != nil }

// Entry returns the entry of a node, or false if the view does not have it.
func (v *View) Entry(id core.NodeID) (Entry, bool) {
	n := v.nodes[id]
	if n == nil {
		return Entry{}, false
	}
	return n.entry, true
}

// CountNodes returns the number of nodes of the fleet, this one included.
func (v *View) CountNodes(now clock.Instant) int {
	count := 0
	for id, n := range v.nodes {
		if id == v.self || now.Sub(max(n.lastBeaconAt, n.firstSeenAt)) < forgetAfter {
			count++
		}
	}
	return count
}
