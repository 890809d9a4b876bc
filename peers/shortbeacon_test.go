package peers

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// usualBeacon is a beacon as nodes send it most of the time.
func usualBeacon() fleet.Beacon {
	return fleet.Beacon{
		Entry:    fleet.Entry{Node: "n-1", Incarnation: 1<<63 + 5, Serial: 9, Service: "huvo11a", Instance: "i-7f3a91c2", Slots: 15, ShortBeacons: true},
		Sequence: 4711, Running: 15, Waiting: 40, MeanServiceMicros: 80000, FailedShare: 0.25, LinkShare: 1.5, ReadDelayMicros: 300, UnreadBodyBytes: 5000,
		ConfigVersion: 12, TableVersions: map[core.Service]uint64{"huvo11a": 4711}, UnconfirmedMs: map[core.Service]int64{"huvo11a": 70},
	}
}

// Guards against a value that a short beacon loses, against one that counts for
// another process or an older entry of its sender, and against one that is cut off
// and counts.
func TestShortBeaconNeedsTheEntryThatItNames(t *testing.T) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(t, err)
	defer a.Close()
	address, buf := a.conn.LocalAddr().String(), NewBeaconBuffer()
	receive := func(data []byte) (fleet.Beacon, error) {
		must.NoError(t, a.Send(data, address))
		return a.Receive(buf)
	}
	want := usualBeacon()
	short, err := EncodeShortBeacon(want)
	must.NoError(t, err)
	must.Less(t, 80, len(short))
	var unknown *UnknownSenderError
	_, err = receive(short)
	must.True(t, errors.As(err, &unknown))
	must.Eq(t, netip.MustParseAddrPort(address), unknown.From)
	whole, err := EncodeBeacon(want)
	must.NoError(t, err)
	_, err = receive(whole)
	must.NoError(t, err)
	for range 2 {
		got, err := receive(short)
		must.NoError(t, err)
		must.Eq(t, want, got)
	}
	for n := range len(short) {
		_, err := receive(bytes.Clone(short[:n]))
		must.Error(t, err, must.Sprint(n))
	}
	_, err = receive(append(bytes.Clone(short), 0))
	must.Error(t, err)
	other, older := want, want
	other.Entry.Incarnation++
	older.Entry.Serial++
	for _, b := range []fleet.Beacon{other, older} {
		data, err := EncodeShortBeacon(b)
		must.NoError(t, err)
		_, err = receive(data)
		must.True(t, errors.As(err, &unknown))
	}
}

// Guards against nodes behind one relay that take each other for lost: their beacons
// come from one address, and the short ones were read by the entry of whichever had
// sent the last whole one (short soak of CI: all nodes lost 36 to 76 times, no key
// with a holder at its end).
func TestShortBeaconsOfNodesThatShareAnAddress(t *testing.T) {
	a, err := ListenBeacons("127.0.0.1:0")
	must.NoError(t, err)
	defer a.Close()
	address, buf := a.conn.LocalAddr().String(), NewBeaconBuffer()
	first, second := usualBeacon(), usualBeacon()
	second.Entry.Node, second.Entry.Incarnation = "n-2", 77
	for _, encode := range []func(fleet.Beacon) ([]byte, error){EncodeBeacon, EncodeShortBeacon, EncodeShortBeacon} {
		for _, want := range []fleet.Beacon{first, second} {
			data, err := encode(want)
			must.NoError(t, err)
			must.NoError(t, a.Send(data, address))
			got, err := a.Receive(buf)
			must.NoError(t, err)
			must.Eq(t, want, got)
		}
	}
}

// Guards against bytes of another sender that end the process.
func FuzzShortBeacon(f *testing.F) {
	short, err := EncodeShortBeacon(usualBeacon())
	must.NoError(f, err)
	f.Add(short)
	f.Add([]byte{shortBeacon})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeShortBeacon(data, netip.AddrPort{}, usualBeacon().Entry)
		if err == nil {
			again, err := EncodeShortBeacon(b)
			must.NoError(t, err)
			got, err := decodeShortBeacon(again, netip.AddrPort{}, b.Entry)
			must.NoError(t, err)
			must.Eq(t, b, got)
		}
	})
}

func BenchmarkShortBeacon(b *testing.B) {
	short, err := EncodeShortBeacon(usualBeacon())
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := decodeShortBeacon(short, netip.AddrPort{}, usualBeacon().Entry)
		must.NoError(b, err)
	}
}
