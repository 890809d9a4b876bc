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
