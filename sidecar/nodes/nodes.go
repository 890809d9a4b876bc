// Package nodes runs the view of package fleet as a duty. The duty sends this
// node's beacons, takes those of the others, and publishes snapshots.
package nodes

import (
	"context"
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
	// tick is how often liveness is looked at.
	tick = 100 * time.Millisecond
	// beaconEvery is the interval of beacons. Three fit into the time after
	// which a node counts as lost.
	beaconEvery = 500 * time.Millisecond
	// ringSize bounds queued messages; beacons repeat, so the oldest go.
	ringSize = 256
)

// Socket carries beacons.
type Socket interface {
	Send(data []byte, address string) error
	Receive(buf []byte) (fleet.Beacon, error)
}

// Own is what this node says of itself beside its entry.
type Own struct {
	Usage       fleet.Usage
	Config      uint64
	Tables      map[core.Service]uint64
	Unconfirmed map[core.Service]int64
}

// Config sets up a Duty.
type Config struct {
	Self   fleet.Entry
	Clock  clock.Clock
	Log    log.Interface
	Socket Socket
	// Own is called for each beacon.
	Own func() Own
	// Keys returns the duties that want to know of their coordinators.
	Keys func() map[core.Service]KeyDuty
	// Tick is called at each tick with the number of nodes.
	Tick func(now clock.Instant, nodes int)
	// Behind is called when another node has a newer configuration or table.
	Behind func(Behind)
}

// KeyDuty is a duty of package keys.
type KeyDuty interface {
	Status() keys.Status
	See(keys.Sight)
}

// Behind names what another node has in a newer version.
type Behind struct {
	// Service is set for a key table, and empty for the configuration.
	Service core.Service
	// Address is where the node is called.
	Address string
}

// Duty owns the view of the fleet.
type Duty struct {
	cfg      Config
	in       *ring.Ring[message]
	snapshot atomic.Pointer[fleet.Snapshot]
}

type message interface{ apply(*state) }

type heard struct{ b fleet.Beacon }

type listed struct{ e fleet.Entry }

type removed struct{ id core.NodeID }

type change struct{ f func(*fleet.Entry) }

type beat struct{}

// New returns a duty; Run runs it.
func New(cfg Config) *Duty {
	d := &Duty{cfg: cfg, in: ring.New[message]("fleet", ringSize, ring.DropOldest)}
	d.snapshot.Store(&fleet.Snapshot{})
	return d
}

// Snapshot returns the present view.
func (d *Duty) Snapshot() *fleet.Snapshot { return d.snapshot.Load() }

// Ring returns the counters of the duty's ring.
func (d *Duty) Ring() ring.Stats { return d.in.Stats() }

func (d *Duty) push(m message) {
	// A closed ring means that the node is ending; DropOldest never refuses.
	_ = d.in.Push(context.Background(), m)
}

// List passes an entry of the store on.
func (d *Duty) List(e fleet.Entry) { d.push(listed{e}) }

// Remove passes the removal of an entry on.
func (d *Duty) Remove(id core.NodeID) { d.push(removed{id}) }

// Beat sends a beacon at once.
func (d *Duty) Beat() { d.push(beat{}) }

// Change changes this node's own entry. The others are told at once.
func (d *Duty) Change(f func(*fleet.Entry)) { d.push(change{f}) }

// state is owned by the goroutine of Run.
type state struct {
	*Duty
	view   *fleet.View
	self   fleet.Entry
	beacon clock.Instant
	lost   map[core.NodeID]bool
	// behind tells when to ask for a key table, or under the empty name for the
	// configuration.
	behind map[core.Service]clock.Instant
}

// Run runs the duty until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	s := &state{Duty: d, view: fleet.NewView(d.cfg.Self.Node), self: d.cfg.Self, lost: map[core.NodeID]bool{}, behind: map[core.Service]clock.Instant{}}
	s.view.ApplyEntry(s.now(), s.self)
	s.publish()
	ring.Consume(ctx, d.in, tick, func(m message) { m.apply(s); s.publish() }, s.tick)
	s.send() // tells that the node stops
}

// Receive takes beacons until the socket is closed. It is a duty of its own.
func (d *Duty) Receive(ctx context.Context) {
	buf := peers.NewBeaconBuffer()
	for ctx.Err() == nil {
		b, err := d.cfg.Socket.Receive(buf)
		if err == nil {
			d.push(heard{b})
			continue
		}
		if ctx.Err() == nil {
			d.cfg.Log.WithError(err).Warn("beacon not read")
			if e, ok := err.(*peers.BeaconError); ok && e.Op == "receive" {
				return
			}
		}
	}
}

func (s *state) now() clock.Instant { return s.cfg.Clock.Now() }

func (m heard) apply(s *state) {
	if m.b.Entry.Node == s.self.Node {
		return
	}
	now := s.now()
	known := s.view.HasNode(m.b.Entry.Node)
	s.view.ApplyBeacon(now, m.b)
	if !known {
		s.greet(m.b.Entry)
	}
	duties := s.cfg.Keys()
	for service, version := range m.b.TableVersions {
		if d := duties[service]; d != nil && d.Status().Revision < version {
			s.ask(now, Behind{Service: service, Address: m.b.Entry.PeerAddress}, true)
		}
	}
}

func (m listed) apply(s *state) {
	if m.e.Node != s.self.Node && s.view.ApplyEntry(s.now(), m.e) {
		s.greet(m.e)
	}
}

func (m removed) apply(s *state) { s.view.RemoveEntry(s.now(), m.id) }

func (m change) apply(s *state) {
	m.f(&s.self)
	s.self.Serial++
	s.view.ApplyEntry(s.now(), s.self)
	s.send()
}

func (beat) apply(s *state) { s.send() }

// greet sends a beacon to a node that was not known, which then answers.
func (s *state) greet(e fleet.Entry) {
	s.cfg.Log.WithFields(log.Fields{"node": e.Node, "peer": e.PeerAddress, "serves": e.Service}).Info("node found")
	if data, ok := s.encoded(); ok {
		s.sendTo(data, e)
	}
}

func (s *state) encoded() ([]byte, bool) {
	o := s.cfg.Own()
	data, err := peers.EncodeBeacon(fleet.Beacon{
		Entry: s.self, Running: o.Usage.Running, Waiting: o.Usage.Waiting, MeanServiceMicros: o.Usage.MeanServiceTime.Microseconds(),
		FailedShare: o.Usage.FailedShare, ConfigVersion: o.Config, TableVersions: o.Tables, UnconfirmedMs: o.Unconfirmed,
	})
	if err != nil {
		s.cfg.Log.WithError(err).Error("beacon not encoded")
	}
	return data, err == nil
}

func (s *state) send() {
	data, ok := s.encoded()
	if !ok {
		return
	}
	s.beacon = s.now()
	s.view.ForEachPeer(s.now(), func(e fleet.Entry) { s.sendTo(data, e) })
}

func (s *state) sendTo(data []byte, e fleet.Entry) {
	if err := s.cfg.Socket.Send(data, e.PeerAddress); err != nil {
		s.cfg.Log.WithError(err).WithField("node", e.Node).Debug("beacon not sent")
	}
}

func (s *state) tick() {
	now := s.now()
	s.view.UpdateLiveness(now)
	if now.Sub(s.beacon) >= beaconEvery {
		s.send()
	}
	s.catchUp(now)
	s.see(now)
	s.cfg.Tick(now, s.view.CountNodes(now))
	s.publish()
}

const (
	// behindFor is how long another node has a newer configuration before it is
	// asked: usually the store delivers it within milliseconds. Key tables come
	// from other nodes only, and are asked for at once.
	behindFor = 150 * time.Millisecond
	// askAgain separates questions for the same thing.
	askAgain = 400 * time.Millisecond
)

// catchUp asks for what other nodes have in a newer version.
func (s *state) catchUp(now clock.Instant) {
	own := s.cfg.Own()
	e, ok := s.view.FindNewerConfig(own.Config)
	s.ask(now, Behind{Address: e.PeerAddress}, ok)
	for service, version := range own.Tables {
		e, ok := s.view.FindNewerTable(service, version)
		s.ask(now, Behind{Service: service, Address: e.PeerAddress}, ok)
	}
}

// ask asks for one thing that another node has in a newer version.
func (s *state) ask(now clock.Instant, b Behind, behind bool) {
	if !behind {
		delete(s.behind, b.Service)
		return
	}
	if _, ok := s.behind[b.Service]; !ok {
		s.behind[b.Service] = now
		if b.Service == "" {
			s.behind[b.Service] = now.Add(behindFor)
		}
	}
	if now.Before(s.behind[b.Service]) {
		return
	}
	s.behind[b.Service] = now.Add(askAgain)
	s.cfg.Behind(b)
}

// see tells the key duties what is seen of their coordinators.
func (s *state) see(now clock.Instant) {
	for service, d := range s.cfg.Keys() {
		st := d.Status()
		silent, ended := s.view.SilentFor(now, st.Coordinator, st.Incarnation)
		sight := keys.Sight{
			Coordinator: st.Coordinator, Incarnation: st.Incarnation, Stopping: s.self.Stopping,
			ElectionInput: shards.ElectionInput{
				SilentFor: silent, CoordinatorEnded: ended, UnconfirmedFor: s.view.UnconfirmedFor(st.Coordinator, service),
				Rank: s.view.CoordinatorRank(service), HeardShare: s.view.HeardShare(now),
			},
		}
		if e, ok := s.view.Entry(st.Coordinator); ok {
			sight.Address = e.PeerAddress
		}
		d.See(sight)
	}
}

func (s *state) publish() {
	snapshot, ok := s.view.Snapshot()
	if !ok {
		return
	}
	for id, p := range snapshot.Nodes {
		if s.lost[id] == p.Alive {
			s.lost[id] = !p.Alive
			s.cfg.Log.WithFields(log.Fields{"node": id, "alive": p.Alive, "incarnation": uint64(p.Incarnation)}).Info("node liveness changed")
		}
	}
	s.snapshot.Store(snapshot)
}
