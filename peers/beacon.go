package peers

import (
	"encoding/json"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
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

// BeaconSocket sends and receives beacons on one UDP socket.
type BeaconSocket struct{ conn *net.UDPConn }

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
	return &BeaconSocket{conn: conn}, nil
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
	udpAddr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return &BeaconError{"resolve address", eris.Wrap(err, address)}
	}
	if _, err := s.conn.WriteToUDP(data, udpAddr); err != nil {
		return &BeaconError{"send", eris.Wrap(err, address)}
	}
	return nil
}

// Receive waits for the next beacon, with buf as scratch space. A datagram that
// is not a beacon gives a *BeaconError with Op "decode", after which the socket
// can still be used; after any other error it cannot.
func (s *BeaconSocket) Receive(buf []byte) (fleet.Beacon, error) {
	n, _, err := s.conn.ReadFromUDP(buf)
	if err != nil {
		return fleet.Beacon{}, &BeaconError{"receive", eris.Wrap(err, "read")}
	}
	if n > maxBeaconBytes {
		// The rest of the datagram is lost.
		return fleet.Beacon{}, &BeaconError{"decode", &BeaconTooLargeError{}}
	}
	var beacon fleet.Beacon
	if err := json.Unmarshal(buf[:n], &beacon); err != nil {
		return fleet.Beacon{}, &BeaconError{"decode", eris.Wrap(err, "json")}
	}
	return beacon, nil
}

// NewBeaconBuffer returns a buffer for BeaconSocket.Receive. It has room for one
// byte more than a beacon, to detect larger datagrams.
func NewBeaconBuffer() []byte { return make([]byte, maxBeaconBytes+1) }

// Close closes the socket and makes a waiting Receive fail.
func (s *BeaconSocket) Close() error { return s.conn.Close() }
