package peers

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// Guards against a datagram that is no whole beacon and counts as one, or after
// which no beacon is received any more.
func TestDatagramThatIsNoBeacon(t *testing.T) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(t, err)
	defer a.Close()
	address := a.conn.LocalAddr().String()
	want := fleet.Beacon{Entry: fleet.Entry{Node: "n-1", Incarnation: 7, Serial: 3}, ConfigVersion: 12}
	whole, err := EncodeBeacon(want)
	must.NoError(t, err)
	datagrams := [][]byte{
		bytes.Repeat([]byte("x"), 60_000), append(bytes.Clone(whole), bytes.Repeat([]byte(" "), 2*maxBeaconBytes)...),
		append(bytes.Clone(whole), whole...), []byte("[]"), []byte("\x00"),
	}
	for n := range len(whole) {
		datagrams = append(datagrams, whole[:n])
	}
	buf := NewBeaconBuffer()
	for _, d := range datagrams {
		must.NoError(t, a.Send(d, address))
		_, err := a.Receive(buf)
		var beaconErr *BeaconError
		must.True(t, errors.As(err, &beaconErr), must.Sprint(string(d[:min(len(d), 200)])))
		must.Eq(t, "decode", beaconErr.Op)
		must.NoError(t, a.Send(whole, address))
		got, err := a.Receive(buf)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
}

// Guards against a beacon that is sent although no node can receive it.
func TestBeaconThatExceedsAPacket(t *testing.T) {
	b := fleet.Beacon{TableVersions: map[core.Service]uint64{core.Service(strings.Repeat("s", maxBeaconBytes)): 1}}
	_, err := EncodeBeacon(b)
	var beaconErr *BeaconError
	must.True(t, errors.As(err, &beaconErr))
	must.Eq(t, "encode", beaconErr.Op)
}

// Guards against a beacon that is decoded with the entry of an earlier one, and
// against beacons of nodes that share an address.
func TestBeaconsOfOneSender(t *testing.T) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(t, err)
	defer a.Close()
	address := a.conn.LocalAddr().String()
	first := fleet.Beacon{Entry: fleet.Entry{Node: "n-1", Incarnation: 7, Serial: 3, Instance: "}{,"}, Running: 4, ConfigVersion: 12, TableVersions: map[core.Service]uint64{"s": 1}}
	busy, idle, changed, other := first, fleet.Beacon{Entry: first.Entry}, first, first
	busy.Running, busy.UnconfirmedMs = 9, map[core.Service]int64{"s": 4}
	changed.Entry.Serial, changed.Entry.Stopping = 30, true
	other.Entry.Node, other.Entry.Incarnation = "n-2", 8
	buf := NewBeaconBuffer()
	for i, want := range []fleet.Beacon{first, first, busy, idle, changed, first, other, other, changed} {
		data, err := EncodeBeacon(want)
		must.NoError(t, err)
		must.StrHasPrefix(t, entryStart, string(data))
		must.NoError(t, a.Send(data, address))
		got, err := a.Receive(buf)
		must.NoError(t, err)
		must.Eq(t, want, got, must.Sprint(i))
		cut := bytes.Clone(data[:len(data)-1])
		must.NoError(t, a.Send(cut, address))
		_, err = a.Receive(buf)
		must.Error(t, err, must.Sprint("a beacon that is cut off counts"))
	}
	// The last value of a repeated name counts.
	must.NoError(t, a.Send([]byte(`{"e":{"node":"n-1","incarnation":"7"},"r":1,"e":{"node":"n-9"}}`), address))
	got, err := a.Receive(buf)
	must.NoError(t, err)
	must.Eq(t, "n-9", got.Entry.Node)
}

// Guards against the cost of beacons, of which each node of a fleet receives
// two from each other in a second.
func TestRepeatedBeaconAllocatesLittle(t *testing.T) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(t, err)
	defer a.Close()
	address, buf := a.conn.LocalAddr().String(), NewBeaconBuffer()
	data := encodeUsualBeacon(t)
	roundTrip := func() {
		must.NoError(t, a.Send(data, address))
		_, err := a.Receive(buf)
		must.NoError(t, err)
	}
	// The map of table versions, its three names and the decoder.
	must.LessEq(t, 16, int(testing.AllocsPerRun(20, roundTrip)))
}

func encodeUsualBeacon(t testing.TB) []byte {
	data, err := EncodeBeacon(fleet.Beacon{
		Entry: fleet.Entry{
			Node: "sidecar-fi-south-a-1", Incarnation: 1<<63 + 5, StartedUnixMs: 1790000000000, DataCentre: "fi-south-a",
			InboundAddress: "10.100.100.38:8146", PeerAddress: "10.100.100.38:7380", Service: "huvo11a", Serial: 9,
			Instance: "i-7f3a91c2", BornUnixMs: 1790000000000, State: fleet.Ready, Slots: 15,
		},
		Running: 15, Waiting: 40, MeanServiceMicros: 80000, ConfigVersion: 12,
		TableVersions: map[core.Service]uint64{"huvo11a": 4711, "wuno96b": 4712, "kemo12c": 4713},
	})
	must.NoError(t, err)
	return data
}

func BenchmarkBeacon(b *testing.B) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(b, err)
	defer a.Close()
	address, buf, data := a.conn.LocalAddr().String(), NewBeaconBuffer(), encodeUsualBeacon(b)
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, a.Send(data, address))
		_, err := a.Receive(buf)
		must.NoError(b, err)
	}
}
