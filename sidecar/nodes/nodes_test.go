package nodes

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"marjoramshore.example/clock"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/peers"
	"marjoramshore.example/sidecar/keys"
)

// fakeSocket delivers beacons and drops what is sent.
type fakeSocket struct{ beacons chan fleet.Beacon }

func (fakeSocket) Send([]byte, string) error { return nil }

func (s fakeSocket) Receive([]byte) (fleet.Beacon, error) {
	b, ok := <-s.beacons
	if !ok {
		return b, &peers.BeaconError{Op: "receive", Cause: context.Canceled}
	}
	return b, nil
}

// recordingSocket delivers beacons and passes on what is sent.
type recordingSocket struct {
	fakeSocket
	sent chan []byte
}

func (s recordingSocket) Send(data []byte, _ string) error {
	s.sent <- data
	return nil
}

// fakeController has a key table of the given revision.
type fakeController struct{ revision atomic.Uint64 }

func (c *fakeController) Status() keys.Status             { return keys.Status{Revision: c.revision.Load()} }
func (c *fakeController) UpdateView(keys.CoordinatorView) {}

// Guards against a key table that is fetched late. Nodes learn of a new table
// only from beacons, and send requests to the former owner until they have it.
func TestNewTableIsRequestedAtOnce(t *testing.T) {
	socket, fake := fakeSocket{make(chan fleet.Beacon)}, &fakeController{}
	fake.revision.Store(4)
	requested := make(chan NewerDocument, 8)
	tracker := New(Config{
		Self: fleet.Entry{Node: "me", Incarnation: 1}, Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Socket: socket,
		LocalStatus:     func() Status { return Status{TableVersions: map[core.Service]uint64{"s": fake.revision.Load()}} },
		KeyControllers:  func() map[core.Service]KeyController { return map[core.Service]KeyController{"s": fake} },
		OnTick:          func(clock.Instant, int) {},
		OnNewerDocument: func(b NewerDocument) { requested <- b },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tracker.Run(ctx)
	go tracker.Receive(ctx)
	defer close(socket.beacons)
	beacon := func(serial, table uint64) fleet.Beacon {
		return fleet.Beacon{
			Entry: fleet.Entry{Node: "other", Incarnation: 2, PeerAddress: "there", Serial: serial}, TableVersions: map[core.Service]uint64{"s": table},
		}
	}
	socket.beacons <- beacon(1, 4)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return tracker.Snapshot().Nodes["other"] != nil }), wait.Timeout(5*time.Second)))
	must.SliceEmpty(t, drain(requested), must.Sprint("requested a table although no newer one was announced"))
	socket.beacons <- beacon(2, 5)
	select {
	case b := <-requested:
		must.Eq(t, NewerDocument{Service: "s", Address: "there"}, b)
	case <-time.After(5 * time.Second):
		t.Fatal("the newer table was not requested")
	}
	fake.revision.Store(5)
	time.Sleep(fetchRetryInterval + 2*tickInterval)
	must.SliceEmpty(t, drain(requested), must.Sprint("requested a table again that is already there"))
}

func drain(c chan NewerDocument) (out []NewerDocument) {
	for {
		select {
		case b := <-c:
			out = append(out, b)
		default:
			return out
		}
	}
}

// Guards against a node that does not tell its router that its configuration is
// older than that of others, or still does when it has theirs.
func TestNewerConfigurationIsPublished(t *testing.T) {
	socket := fakeSocket{make(chan fleet.Beacon)}
	var version atomic.Uint64
	version.Store(3)
	tracker := New(Config{
		Self: fleet.Entry{Node: "me", Incarnation: 1}, Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Socket: socket,
		LocalStatus:     func() Status { return Status{ConfigVersion: version.Load()} },
		KeyControllers:  func() map[core.Service]KeyController { return nil },
		OnTick:          func(clock.Instant, int) {},
		OnNewerDocument: func(NewerDocument) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tracker.Run(ctx)
	go tracker.Receive(ctx)
	defer close(socket.beacons)
	must.Nil(t, tracker.NewerConfig())
	for _, id := range []core.NodeID{"a", "b"} {
		socket.beacons <- fleet.Beacon{Entry: fleet.Entry{Node: id, Incarnation: 2, PeerAddress: "there", Serial: 1}, ConfigVersion: 5, ConfigDigest: []byte{7}}
	}
	waitUntil := func(f func() bool) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
	}
	waitUntil(func() bool { return tracker.NewerConfig() != nil })
	must.Eq(t, fleet.AnnouncedConfig{Version: 5, Digest: []byte{7}}, tracker.NewerConfig().AnnouncedConfig)
	version.Store(5)
	waitUntil(func() bool { return tracker.NewerConfig() == nil })
}

// Guards against beacons that other nodes take for repetitions of earlier ones.
func TestBeaconsAreNumbered(t *testing.T) {
	socket := recordingSocket{fakeSocket{make(chan fleet.Beacon)}, make(chan []byte, 100)}
	tracker := New(Config{
		Self: fleet.Entry{Node: "me", Incarnation: 1}, Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Socket: socket,
		LocalStatus:     func() Status { return Status{} },
		KeyControllers:  func() map[core.Service]KeyController { return nil },
		OnTick:          func(clock.Instant, int) {},
		OnNewerDocument: func(NewerDocument) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tracker.Run(ctx)
	go tracker.Receive(ctx)
	defer close(socket.beacons)
	socket.beacons <- fleet.Beacon{Entry: fleet.Entry{Node: "other", Incarnation: 2, PeerAddress: "there", Serial: 1}}
	tracker.SendBeacons()
	last := uint64(0)
	for range 3 {
		select {
		case data := <-socket.sent:
			var b fleet.Beacon
			must.NoError(t, json.Unmarshal(data, &b))
			must.Less(t, b.Sequence, last)
			last = b.Sequence
		case <-time.After(5 * time.Second):
			t.Fatal("no beacon was sent")
		}
	}
}

// unknownSenderSocket delivers one short beacon whose sender is not known.
type unknownSenderSocket struct {
	recordingSocket
	delivered *atomic.Bool
}

func (s unknownSenderSocket) Receive(buf []byte) (fleet.Beacon, error) {
	if !s.delivered.Swap(true) {
		return fleet.Beacon{}, &peers.BeaconError{Op: "decode", Cause: &peers.UnknownSenderError{From: netip.MustParseAddrPort("127.0.0.1:9")}}
	}
	return s.recordingSocket.Receive(buf)
}

// newTestTracker starts a tracker with a socket, without documents.
func newTestTracker(t *testing.T, socket Socket) {
	tracker := New(Config{
		Self: fleet.Entry{Node: "me", Incarnation: 1, ShortBeacons: true}, Clock: clock.NewReal(), Log: &log.Logger{Handler: discard.Default}, Socket: socket,
		LocalStatus:     func() Status { return Status{} },
		KeyControllers:  func() map[core.Service]KeyController { return nil },
		OnTick:          func(clock.Instant, int) {},
		OnNewerDocument: func(NewerDocument) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go tracker.Run(ctx)
	go tracker.Receive(ctx)
}

// Guards against a node that takes another one for lost, because the whole beacon
// that named its entry was lost.
func TestUnknownSenderIsAskedForItsEntry(t *testing.T) {
	socket := unknownSenderSocket{recordingSocket{fakeSocket{make(chan fleet.Beacon)}, make(chan []byte, 100)}, &atomic.Bool{}}
	newTestTracker(t, socket)
	defer close(socket.beacons)
	var b fleet.Beacon
	must.NoError(t, json.Unmarshal(<-socket.sent, &b))
	must.True(t, b.WantsEntry)
	must.Eq(t, "me", b.Entry.Node)
}

// Guards against a node that does not answer when it is asked for its entry, against
// short beacons for nodes that do not understand them, and against whole ones all
// the time, which are ten times as long.
func TestMostBeaconsAreShort(t *testing.T) {
	socket := recordingSocket{fakeSocket{make(chan fleet.Beacon)}, make(chan []byte, 100)}
	newTestTracker(t, socket)
	defer close(socket.beacons)
	isWhole := func() bool { return (<-socket.sent)[0] == '{' }
	other := fleet.Beacon{Entry: fleet.Entry{Node: "other", Incarnation: 2, PeerAddress: "there", Serial: 1, ShortBeacons: true}}
	socket.beacons <- other
	whole := 0
	for isWhole() {
		whole++
	}
	must.Between(t, wholeRepeats, whole, wholeRepeats+1)
	other.WantsEntry, other.Sequence = true, 1
	socket.beacons <- other
	must.True(t, isWhole())
	must.False(t, isWhole())
	other.Entry.Serial, other.Entry.ShortBeacons, other.WantsEntry = 2, false, false
	socket.beacons <- other
	for range 2 {
		must.True(t, isWhole())
	}
}
