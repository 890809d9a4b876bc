package peers

import (
	"bytes"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"

	"github.com/rotisserie/eris"
	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
)

// BeaconError reports that a beacon could not be sent or received.
type BeaconError struct {
	// Op is the operation that failed, such as "receive" or "decode".
	Op    string
	Cause error
}

// Error implements error.
func (e *BeaconError) Error() string { return "beacon: " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BeaconError) Unwrap() error { return e.Cause }

// maxBeaconBytes bounds a beacon so that its datagram fits into one packet.
const maxBeaconBytes = 1400

// BeaconTooLargeError reports a beacon that does not fit into one packet.
type BeaconTooLargeError struct{}

// Error implements error.
func (*BeaconTooLargeError) Error() string {
	return "exceeds " + strconv.Itoa(maxBeaconBytes) + " bytes"
}

// BeaconSocket sends and receives beacons on one UDP socket. Only one goroutine
// may receive.
type BeaconSocket struct {
	conn *net.UDPConn
	// entries holds the entry of the last beacon of each sender, which seldom
	// changes.
	entries map[netip.AddrPort]encodedEntry
	// named holds the entries that short beacons may name. Several processes may
	// send from one address, behind a relay.
	named map[core.Incarnation]fleet.Entry
}

// encodedEntry is an entry and the first part of the beacons that hold it, up to
// the end of the entry.
type encodedEntry struct {
	prefix string
	entry  fleet.Entry
}

// maxEncodedEntries bounds the senders whose entries are kept.
const maxEncodedEntries = 4096

// ListenBeacons opens a socket bound to address, host:port.
func ListenBeacons(address string) (*BeaconSocket, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &BeaconError{"resolve address", eris.Wrap(err, address)}
	}
	conn, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, &BeaconError{"listen", eris.Wrap(err, address)}
	}
	return &BeaconSocket{conn: conn, entries: map[netip.AddrPort]encodedEntry{}, named: map[core.Incarnation]fleet.Entry{}}, nil
}

// EncodeBeacon returns the datagram for a beacon.
func EncodeBeacon(b fleet.Beacon) ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, &BeaconError{"encode", eris.Wrap(err, "json")}
	}
	if len(data) > maxBeaconBytes {
		return nil, &BeaconError{"encode", &BeaconTooLargeError{}}
	}
	return data, nil
}

// Send sends an encoded beacon to the node at address, host:port.
func (s *BeaconSocket) Send(data []byte, address string) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		udpAddr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			return &BeaconError{"resolve address", eris.Wrap(err, address)}
		}
		to = udpAddr.AddrPort()
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return &BeaconError{"send", eris.Wrap(err, address)}
	}
	return nil
}

// Receive waits for the next beacon, with buf as scratch space. A datagram that
// is not a beacon gives a *BeaconError with Op "decode", after which the socket
// can still be used; after any other error it cannot.
func (s *BeaconSocket) Receive(buf []byte) (fleet.Beacon, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buf)
	if err != nil {
		return fleet.Beacon{}, &BeaconError{"receive", eris.Wrap(err, "read")}
	}
	if n > maxBeaconBytes {
		// The rest of the datagram is lost.
		return fleet.Beacon{}, &BeaconError{"decode", &BeaconTooLargeError{}}
	}
	beacon, err := s.decode(from, buf[:n])
	if err != nil {
		return fleet.Beacon{}, &BeaconError{"decode", eris.Wrap(err, "datagram")}
	}
	return beacon, nil
}

// entryStart begins each beacon that EncodeBeacon returns.
const entryStart = `{"e":`

// decode decodes a beacon. Of one that begins like the last one of its sender,
// only the part after the entry is decoded. The data is changed.
func (s *BeaconSocket) decode(from netip.AddrPort, data []byte) (fleet.Beacon, error) {
	var beacon fleet.Beacon
	known := s.entries[from]
	if len(data) > 0 && data[0] == shortBeacon {
		return s.decodeShort(data, from)
	}
	if n := len(known.prefix); n > 0 && len(data) > n && data[n] == ',' && string(data[:n]) == known.prefix {
		beacon.Entry = known.entry
		s.keepNamed(beacon.Entry)
		rest := data[n:]
		rest[0] = '{'
		err := json.Unmarshal(rest, &beacon)
		return beacon, err
	}
	if err := json.Unmarshal(data, &beacon); err != nil {
		return beacon, err
	}
	s.keepNamed(beacon.Entry)
	s.keepEntry(from, data, beacon.Entry)
	return beacon, nil
}

// keepNamed keeps an entry for the short beacons that name it, unless a later one of
// the same process is known.
func (s *BeaconSocket) keepNamed(e fleet.Entry) {
	if s.named[e.Incarnation].Serial > e.Serial {
		return
	}
	if len(s.named) >= maxEncodedEntries {
		clear(s.named)
	}
	s.named[e.Incarnation] = e
}

// keepEntry keeps the entry with which a valid beacon begins, if it does.
func (s *BeaconSocket) keepEntry(from netip.AddrPort, data []byte, entry fleet.Entry) {
	after, ok := bytes.CutPrefix(data, []byte(entryStart))
	if !ok {
		return
	}
	var first fleet.Entry
	d := json.NewDecoder(bytes.NewReader(after))
	if d.Decode(&first) != nil || first != entry {
		return // the entry is given once more later
	}
	if len(s.entries) >= maxEncodedEntries {
		clear(s.entries)
	}
	s.entries[from] = encodedEntry{string(data[:len(entryStart)+int(d.InputOffset())]), entry}
}

// NewBeaconBuffer returns a buffer for BeaconSocket.Receive. It has room for one
// byte more than a beacon, to detect larger datagrams.
func NewBeaconBuffer() []byte { return make([]byte, maxBeaconBytes+1) }

// Close closes the socket and makes a waiting Receive fail.
func (s *BeaconSocket) Close() error { return s.conn.Close() }
