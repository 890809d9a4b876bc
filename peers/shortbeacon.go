package peers

import (
	"encoding/binary"
	"math"
	"net/netip"
	"strconv"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// A short beacon holds what changes often, and names the entry of its sender, which
// the receiver has from an earlier beacon, by its incarnation and serial. It is a byte, the incarnation as 8 bytes, and unsigned varints;
// shares are fractions of shareScale, and a text follows its length.

const (
	// shortBeacon is the first byte of a short beacon. Whole beacons are JSON
	// objects.
	shortBeacon = 0x01
	// shareScale is the resolution of shares.
	shareScale = 1 << 16
	// maxShortEntries bounds the services of a short beacon.
	maxShortEntries = 64
)

// UnknownSenderError reports a short beacon whose sender has sent no whole beacon
// with the entry that the short one names.
type UnknownSenderError struct{ From netip.AddrPort }

// Error implements error.
func (e *UnknownSenderError) Error() string {
	return "no whole beacon of " + e.From.String() + " with this incarnation and serial"
}

// ShortBeaconError reports a short beacon that is not whole or has impossible
// values.
type ShortBeaconError struct{ Length int }

// Error implements error.
func (e *ShortBeaconError) Error() string {
	return "malformed short beacon of " + strconv.Itoa(e.Length) + " bytes"
}

// EncodeShortBeacon returns the datagram of a short beacon, for nodes that have
// got the entry in a whole one.
func EncodeShortBeacon(b fleet.Beacon) ([]byte, error) {
	out := binary.BigEndian.AppendUint64([]byte{shortBeacon}, uint64(b.Entry.Incarnation))
	for _, v := range []uint64{
		b.Entry.Serial, b.Sequence, uint64(max(0, b.Running)), uint64(max(0, b.Waiting)), uint64(max(0, b.MeanServiceMicros)),
		encodeShare(b.FailedShare), encodeShare(b.LinkShare), uint64(max(0, b.ReadDelayMicros)), uint64(max(0, b.UnreadBodyBytes)), b.ConfigVersion,
	} {
		out = binary.AppendUvarint(out, v)
	}
	out = appendText(out, string(b.ConfigDigest))
	out = binary.AppendUvarint(out, uint64(len(b.TableVersions)))
	for service, version := range b.TableVersions {
		out = binary.AppendUvarint(appendText(out, string(service)), version)
	}
	out = binary.AppendUvarint(out, uint64(len(b.UnconfirmedMs)))
	for service, ms := range b.UnconfirmedMs {
		out = binary.AppendUvarint(appendText(out, string(service)), uint64(max(0, ms)))
	}
	if len(out) > maxBeaconBytes {
		return nil, &BeaconError{"encode", &BeaconTooLargeError{}}
	}
	return out, nil
}

// encodeShare encodes a share, which is no negative number. Those above 1 keep
// their value.
func encodeShare(share float64) uint64 {
	return uint64(math.Round(min(max(0, share), shareScale) * shareScale))
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

// shortReader decodes a short beacon. It keeps that a value was malformed.
type shortReader struct {
	data []byte
	bad  bool
}

func (r *shortReader) number(greatest uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > greatest {
		r.bad, r.data = true, nil
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *shortReader) share() float64 {
	return float64(r.number(shareScale*shareScale)) / shareScale
}

func (r *shortReader) text() []byte {
	n := r.number(maxBeaconBytes)
	if n > uint64(len(r.data)) {
		r.bad, r.data = true, nil
		return nil
	}
	text := r.data[:n]
	r.data = r.data[n:]
	return text
}

// serviceNumbers reads a number for each of several services.
func (r *shortReader) serviceNumbers(greatest uint64, set func(core.Service, uint64)) {
	for range r.number(maxShortEntries) {
		name := core.Service(r.text())
		if v := r.number(greatest); !r.bad {
			set(name, v)
		}
	}
}

// decodeShort decodes a short beacon by the entry that it names.
func (s *BeaconSocket) decodeShort(data []byte, from netip.AddrPort) (fleet.Beacon, error) {
	if len(data) < shortHeadBytes {
		return fleet.Beacon{}, &ShortBeaconError{len(data)}
	}
	return decodeShortBeacon(data, from, s.named[incarnationOf(data)])
}

// shortHeadBytes is the length of the first byte and the incarnation.
const shortHeadBytes = 9

// incarnationOf returns the incarnation that a short beacon names.
func incarnationOf(data []byte) core.Incarnation {
	return core.Incarnation(binary.BigEndian.Uint64(data[1:shortHeadBytes]))
}

// decodeShortBeacon decodes a short beacon of a sender with a known entry.
func decodeShortBeacon(data []byte, from netip.AddrPort, known fleet.Entry) (fleet.Beacon, error) {
	if len(data) < shortHeadBytes {
		return fleet.Beacon{}, &ShortBeaconError{len(data)}
	}
	r := &shortReader{data: data[shortHeadBytes:]}
	b := fleet.Beacon{Entry: known}
	serial := r.number(math.MaxUint64)
	b.Sequence = r.number(math.MaxUint64)
	b.Running, b.Waiting = int(r.number(math.MaxInt32)), int(r.number(math.MaxInt32))
	b.MeanServiceMicros = int64(r.number(math.MaxInt64))
	b.FailedShare, b.LinkShare = r.share(), r.share()
	b.ReadDelayMicros, b.UnreadBodyBytes = int64(r.number(math.MaxInt64)), int64(r.number(math.MaxInt64))
	b.ConfigVersion = r.number(math.MaxUint64)
	if digest := r.text(); len(digest) > 0 {
		b.ConfigDigest = append([]byte(nil), digest...)
	}
	r.serviceNumbers(math.MaxUint64, func(s core.Service, v uint64) {
		if b.TableVersions == nil {
			b.TableVersions = make(map[core.Service]uint64)
		}
		b.TableVersions[s] = v
	})
	r.serviceNumbers(math.MaxInt64, func(s core.Service, v uint64) {
		if b.UnconfirmedMs == nil {
			b.UnconfirmedMs = make(map[core.Service]int64)
		}
		b.UnconfirmedMs[s] = int64(v)
	})
	switch {
	case r.bad || len(r.data) > 0:
		return fleet.Beacon{}, &ShortBeaconError{len(data)}
	case incarnationOf(data) != known.Incarnation || serial != known.Serial || known.Node == "":
		return fleet.Beacon{}, &UnknownSenderError{from}
	}
	return b, nil
}
