// Package nodes keeps the node's view of the fleet, with the state of package
// fleet. A Tracker sends this node's beacons, receives those of the others, and
// publishes snapshots of the view.
package nodes

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
	"marjoramshore.example/ring"
	"marjoramshore.example/shards"
	"marjoramshore.example/sidecar/keys"
)

const (
	// tickInterval is how often the liveness of the nodes is checked.
	tickInterval = 100 * time.Millisecond
	// beaconInterval is the interval between beacons. Three fit into the time
	// after which a silent node counts as lost.
	beaconInterval = 500 * time.Millisecond
	// wholeInterval is the interval between whole beacons. Those between are short,
	// except that the first wholeRepeats beacons after a change of the entry are
	// whole, since single datagrams are lost.
	wholeInterval = 5 * time.Second
	wholeRepeats  = 4
	// ringCapacity bounds queued messages. A full ring drops the oldest ones,
	// which is safe because beacons repeat.
	ringCapacity = 256
)

// Socket sends and receives beacons. Receive uses buf to read a datagram.
type Socket interface {
	Send(data []byte, address string) error
	Receive(buf []byte) (fleet.Beacon, error)
}

// Status is what this node's beacons report in addition to its entry. The
// fields mean the same as those of fleet.Beacon.
type Status struct {
	Usage         fleet.Usage
	ConfigVersion uint64
	ConfigDigest  []byte
	TableVersions map[core.Service]uint64
	UnconfirmedMs map[core.Service]int64
}

// Config configures a Tracker. The functions are called on the goroutine of
// Tracker.Run and must not block.
type Config struct {
	Self   fleet.Entry
	Clock  clock.Clock
	Log    log.Interface
	Socket Socket
	// LocalStatus returns this node's status for a beacon.
	LocalStatus func() Status
	// KeyControllers returns the key controller of each sharded service, in a map
	// that is not changed later.
	KeyControllers func() map[core.Service]KeyController
	// OnTick is called at each tick with the number of nodes.
	OnTick func(now clock.Instant, nodes int)
	// OnNewerDocument is called when another node has a newer configuration or
	// key table, and again every fetchRetryInterval while it has.
	OnNewerDocument func(NewerDocument)
	// OnForgottenLeave is called when another node knows that the run beside this one
	// has announced its leave, which this process does not know.
	OnForgottenLeave func(fleet.Departure)
}

// KeyController is the part of keys.Controller that a Tracker uses.
type KeyController interface {
	Status() keys.Status
	UpdateView(keys.CoordinatorView)
}

// NewerDocument identifies a document of which another node has a newer version
// than this one.
type NewerDocument struct {
	// Service is the service of a key table. It is empty for the configuration.
	Service core.Service
	// Address is the other node's address for calls.
	Address string
}

// Tracker keeps the view of the fleet. Its methods may be called from any
// goroutine.
type Tracker struct {
	cfg      Config
	messages *ring.Ring[message]
	snapshot atomic.Pointer[fleet.Snapshot]
	newer    atomic.Pointer[fleet.NewerConfig]
}

// message is one input of the tracker's event loop.
type message interface{ apply(*state) }

type receivedBeacon struct{ beacon fleet.Beacon }

// unknownSender reports a short beacon whose sender's entry is not known.
type unknownSender struct{ address string }

// listedEntry and removedEntry pass on what a listing of the store shows.
type listedEntry struct{ entry fleet.Entry }

type removedEntry struct{ id core.NodeID }

type selfUpdate struct{ update func(*fleet.Entry) }

type beaconRequest struct{}

// New returns a tracker. It does nothing until Run and Receive are called.
func New(cfg Config) *Tracker {
	t := &Tracker{cfg: cfg, messages: ring.New[message]("fleet", ringCapacity, ring.DropOldest)}
	t.snapshot.Store(&fleet.Snapshot{})
	return t
}

// Snapshot returns the present view of the fleet. It must not be changed.
func (t *Tracker) Snapshot() *fleet.Snapshot { return t.snapshot.Load() }

// NewerConfig returns the newest configuration that other nodes have if it is
// newer than this node's at the last tick, or nil.
func (t *Tracker) NewerConfig() *fleet.NewerConfig { return t.newer.Load() }

// RingStats returns the counters of the tracker's ring.
func (t *Tracker) RingStats() ring.Stats { return t.messages.Stats() }

func (t *Tracker) enqueue(m message) {
	// Push fails only on a closed ring, since DropOldest never refuses. The ring
	// is closed only while the node ends.
	_ = t.messages.Push(context.Background(), m)
}

// ApplyEntry passes on an entry that is listed in the store.
func (t *Tracker) ApplyEntry(e fleet.Entry) { t.enqueue(listedEntry{e}) }

// RemoveEntry passes on that an entry is no longer listed in the store.
func (t *Tracker) RemoveEntry(id core.NodeID) { t.enqueue(removedEntry{id}) }

// SendBeacons sends a beacon to each other node at once.
func (t *Tracker) SendBeacons() { t.enqueue(beaconRequest{}) }

// UpdateSelf changes this node's own entry by f, which runs on the goroutine of
// Run, and sends beacons at once.
func (t *Tracker) UpdateSelf(f func(*fleet.Entry)) { t.enqueue(selfUpdate{f}) }

// state is the tracker's state. Only the goroutine of Run may use it.
type state struct {
	*Tracker
	view           *fleet.View
	self           fleet.Entry
	lastBeaconTime clock.Instant
	beaconSequence uint64 // of the last beacon
	// wholeSentAt is when a whole beacon was last sent to all, and wholeLeft the
	// number of whole ones that are still due after a change of the entry.
	wholeSentAt clock.Instant
	wholeLeft   int
	lostNodes   map[core.NodeID]bool
	lag         fleet.ConfigLag
	// announcedVersion is the version of the configuration in the last beacon,
	// and announcedAt when it was announced first.
	announcedVersion uint64
	announcedAt      clock.Instant
	// nextFetch holds the instant at which the newer key table of a service may
	// be requested next, and that of the configuration under the empty name.
	nextFetch map[core.Service]clock.Instant
}

// Run runs the tracker's event loop until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	s := &state{Tracker: t, view: fleet.NewView(t.cfg.Self.Node), self: t.cfg.Self, lostNodes: map[core.NodeID]bool{}, nextFetch: map[core.Service]clock.Instant{}, wholeLeft: wholeRepeats}
	s.view.ApplyEntry(s.now(), s.self)
	s.publishSnapshot()
	ring.Consume(ctx, t.messages, tickInterval, func(m message) { m.apply(s); s.publishSnapshot() }, s.tick)
	s.sendBeacons() // reports that the node stops
}

// Receive receives beacons until ctx ends or the socket fails. It needs a
// goroutine of its own.
func (t *Tracker) Receive(ctx context.Context) {
	buf := peers.NewBeaconBuffer()
	for ctx.Err() == nil {
		b, err := t.cfg.Socket.Receive(buf)
		if err == nil {
			t.enqueue(receivedBeacon{b})
			continue
		}
		var unknown *peers.UnknownSenderError
		if errors.As(err, &unknown) {
			t.enqueue(unknownSender{unknown.From.String()})
			continue
		}
		if ctx.Err() == nil {
			t.cfg.Log.WithError(err).Warn("receiving a beacon from another node failed")
			if e, ok := err.(*peers.BeaconError); ok && e.Op == "receive" {
				return
			}
		}
	}
}

func (s *state) now() clock.Instant { return s.cfg.Clock.Now() }

func (m receivedBeacon) apply(s *state) {
	if m.beacon.Entry.Node == s.self.Node {
		return
	}
	now := s.now()
	known := s.view.HasNode(m.beacon.Entry.Node)
	s.view.ApplyBeacon(now, m.beacon)
	left, ago, forgotten := s.view.ForgottenLeave(now, m.beacon.Entry)
	switch {
	case !known:
		s.introduceSelf(m.beacon.Entry)
	case forgotten:
		b := s.nextBeacon()
		b.Left, b.LeftMsAgo = &left, ago.Milliseconds()
		s.sendEncoded(b, m.beacon.Entry.PeerAddress)
	case m.beacon.WantsEntry:
		s.sendWhole(m.beacon.Entry.PeerAddress, false)
	}
	s.takeForgottenLeave(m.beacon)
	controllers := s.cfg.KeyControllers()
	for service, version := range m.beacon.TableVersions {
		if c := controllers[service]; c != nil && c.Status().Revision < version {
			s.requestNewer(now, NewerDocument{Service: service, Address: m.beacon.Entry.PeerAddress}, true)
		}
	}
}

// takeForgottenLeave passes on that the present run has announced its leave to a
// former process of this node.
func (s *state) takeForgottenLeave(b fleet.Beacon) {
	if b.Left == nil || b.Left.Instance != s.self.Instance || b.Left.BornUnixMs != s.self.BornUnixMs || s.self.State != fleet.Ready {
		return
	}
	left := *b.Left
	left.LeftUnixMs = time.Now().Add(-time.Duration(b.LeftMsAgo) * time.Millisecond).UnixMilli()
	s.cfg.Log.WithFields(log.Fields{"node": b.Entry.Node, "instance": left.Instance, "left_ms_ago": b.LeftMsAgo}).
		Warn("another node knows that the backend server has announced its leave to a former process of this node")
	s.cfg.OnForgottenLeave(left)
}

// apply sends the sender this node's entry, and asks for its own.
func (m unknownSender) apply(s *state) { s.sendWhole(m.address, true) }

func (m listedEntry) apply(s *state) {
	if m.entry.Node != s.self.Node && s.view.ApplyEntry(s.now(), m.entry) {
		s.introduceSelf(m.entry)
	}
}

func (m removedEntry) apply(s *state) { s.view.RemoveEntry(s.now(), m.id) }

func (m selfUpdate) apply(s *state) {
	m.update(&s.self)
	s.self.Serial++
	s.wholeLeft = wholeRepeats
	s.view.ApplyEntry(s.now(), s.self)
	s.sendBeacons()
}

func (beaconRequest) apply(s *state) { s.sendBeacons() }

// introduceSelf sends a beacon to a node that was not known. The node then
// answers with its own.
func (s *state) introduceSelf(e fleet.Entry) {
	s.cfg.Log.WithFields(log.Fields{"node": e.Node, "peer": e.PeerAddress, "serves": e.Service}).Info("new node found in the fleet")
	s.sendWhole(e.PeerAddress, false)
}

// sendWhole sends a whole beacon to one node.
func (s *state) sendWhole(address string, wantsEntry bool) {
	b := s.nextBeacon()
	b.WantsEntry = wantsEntry
	s.sendEncoded(b, address)
}

// sendEncoded sends a beacon whole to one node.
func (s *state) sendEncoded(b fleet.Beacon, address string) {
	if data, ok := s.encode(b, peers.EncodeBeacon); ok {
		s.sendTo(data, address)
	}
}

// digestPeriod is how long beacons describe the routes of a new configuration.
// Nodes that lack it for longer are cut off.
const digestPeriod = 10 * time.Second

// nextBeacon returns the next beacon of this node.
func (s *state) nextBeacon() fleet.Beacon {
	local := s.cfg.LocalStatus()
	if local.ConfigVersion != s.announcedVersion {
		s.announcedVersion, s.announcedAt = local.ConfigVersion, s.now()
	}
	if s.now().Sub(s.announcedAt) >= digestPeriod {
		local.ConfigDigest = nil
	}
	s.beaconSequence++
	return fleet.Beacon{
		Entry: s.self, Sequence: s.beaconSequence, Running: local.Usage.Running, Waiting: local.Usage.Waiting, MeanServiceMicros: local.Usage.MeanServiceTime.Microseconds(),
		LinkShare: local.Usage.LinkShare, ReadDelayMicros: local.Usage.ReadDelay.Microseconds(),
		UnreadBodyBytes: local.Usage.UnreadBodyBytes,
		FailedShare:     local.Usage.FailedShare, ConfigVersion: local.ConfigVersion, ConfigDigest: local.ConfigDigest, TableVersions: local.TableVersions, UnconfirmedMs: local.UnconfirmedMs,
	}
}

func (s *state) encode(b fleet.Beacon, encode func(fleet.Beacon) ([]byte, error)) ([]byte, bool) {
	data, err := encode(b)
	if err != nil {
		s.cfg.Log.WithError(err).Error("encoding this node's beacon failed; no beacon is sent")
	}
	return data, err == nil
}

// sendBeacons sends a beacon to each other node. It is whole where the receiver
// may lack this node's entry or does not understand short ones.
func (s *state) sendBeacons() {
	now := s.now()
	b := s.nextBeacon()
	whole, ok := s.encode(b, peers.EncodeBeacon)
	if !ok {
		return
	}
	short := whole
	if s.wholeLeft == 0 && now.Sub(s.wholeSentAt) < wholeInterval {
		if short, ok = s.encode(b, peers.EncodeShortBeacon); !ok {
			return
		}
	} else {
		s.wholeSentAt, s.wholeLeft = now, max(0, s.wholeLeft-1)
	}
	s.lastBeaconTime = now
	s.view.ForEachPeer(now, func(e fleet.Entry) {
		if e.ShortBeacons {
			s.sendTo(short, e.PeerAddress)
		} else {
			s.sendTo(whole, e.PeerAddress)
		}
	})
}

func (s *state) sendTo(data []byte, address string) {
	if err := s.cfg.Socket.Send(data, address); err != nil {
		s.cfg.Log.WithError(err).WithField("peer", address).Debug("sending a beacon to another node failed")
	}
}

func (s *state) tick() {
	now := s.now()
	s.view.UpdateLiveness(now)
	if now.Sub(s.lastBeaconTime) >= beaconInterval {
		s.sendBeacons()
	}
	s.requestNewerDocuments(now)
	s.updateKeyControllers(now)
	s.cfg.OnTick(now, s.view.CountNodes(now))
	s.publishSnapshot()
}

const (
	// configFetchDelay is how long another node must have a newer configuration
	// before it is asked for it: usually the store delivers the configuration
	// within milliseconds. Key tables come from other nodes only, so they are
	// requested at once.
	configFetchDelay = 150 * time.Millisecond
	// fetchRetryInterval is the time between requests for the same document.
	fetchRetryInterval = 400 * time.Millisecond
)

// requestNewerDocuments requests the configuration and key tables of which other
// nodes have a newer version.
func (s *state) requestNewerDocuments(now clock.Instant) {
	local := s.cfg.LocalStatus()
	s.newer.Store(s.lag.Update(now, local.ConfigVersion, s.view.NewestConfig(local.ConfigVersion)))
	e, ok := s.view.FindNewerConfig(local.ConfigVersion)
	s.requestNewer(now, NewerDocument{Address: e.PeerAddress}, ok)
	for service, version := range local.TableVersions {
		e, ok := s.view.FindNewerTable(service, version)
		s.requestNewer(now, NewerDocument{Service: service, Address: e.PeerAddress}, ok)
	}
}

// requestNewer requests a document if a newer version exists and the request is
// due.
func (s *state) requestNewer(now clock.Instant, document NewerDocument, exists bool) {
	if !exists {
		delete(s.nextFetch, document.Service)
		return
	}
	if _, ok := s.nextFetch[document.Service]; !ok {
		s.nextFetch[document.Service] = now
		if document.Service == "" {
			s.nextFetch[document.Service] = now.Add(configFetchDelay)
		}
	}
	if now.Before(s.nextFetch[document.Service]) {
		return
	}
	s.nextFetch[document.Service] = now.Add(fetchRetryInterval)
	s.cfg.OnNewerDocument(document)
}

// updateKeyControllers tells each key controller what the view shows about its
// coordinator.
func (s *state) updateKeyControllers(now clock.Instant) {
	heardShare := s.view.HeardShare(now)
	for service, c := range s.cfg.KeyControllers() {
		status := c.Status()
		silent, ended := s.view.SilentFor(now, status.Coordinator, status.Incarnation)
		view := keys.CoordinatorView{
			Coordinator: status.Coordinator, Incarnation: status.Incarnation, Stopping: s.self.Stopping,
			ElectionInput: shards.ElectionInput{
				SilentFor: silent, CoordinatorEnded: ended, UnconfirmedFor: s.view.UnconfirmedFor(status.Coordinator, service),
				Rank: s.view.CoordinatorRank(service), HeardShare: heardShare,
			},
		}
		if e, ok := s.view.Entry(status.Coordinator); ok {
			view.Address = e.PeerAddress
		}
		c.UpdateView(view)
	}
}

func (s *state) publishSnapshot() {
	snapshot, ok := s.view.Snapshot()
	if !ok {
		return
	}
	for id, p := range snapshot.Nodes {
		if s.lostNodes[id] == p.Alive {
			s.lostNodes[id] = !p.Alive
			s.cfg.Log.WithFields(log.Fields{"node": id, "alive": p.Alive, "incarnation": uint64(p.Incarnation)}).Info("liveness of a node changed as its beacons were lost or came back")
		}
	}
	s.snapshot.Store(snapshot)
}
