package peers

import (
	"encoding/json"
	"net"

	"github.com/rotisserie/eris"
	"marjoramshore.example/fleet"
)

// BeaconError reports that beacons cannot be sent or received.
type BeaconError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *BeaconError) Error() string { return "beacon: " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BeaconError) Unwrap() error { return e.Cause }

// maxBeacon bounds a datagram, so that it fits into one packet.
const maxBeacon = 1400

// BeaconSocket sends and receives beacons on one socket.
type BeaconSocket struct{ conn *net.UDPConn }

// ListenBeacons binds a socket to an address.
func ListenBeacons(address string) (*BeaconSocket, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, &BeaconError{"address", eris.Wrap(err, address)}
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, &BeaconError{"listen", eris.Wrap(err, address)}
	}
	return &BeaconSocket{conn: conn}, nil
}

// EncodeBeacon returns a beacon as it is sent.
func EncodeBeacon(b fleet.Beacon) ([]byte, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, &BeaconError{"encode", eris.Wrap(err, "json")}
	}
	return data, nil
}

// Send sends an encoded beacon to a node.
func (b *BeaconSocket) Send(data []byte, address string) error {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return &BeaconError{"address", eris.Wrap(err, address)}
	}
	if _, err := b.conn.WriteToUDP(data, at); err != nil {
		return &BeaconError{"send", eris.Wrap(err, address)}
	}
	return nil
}

// Receive waits for the next beacon. A datagram that is none is returned as a
// *BeaconError with what "decode"; other errors end the socket.
func (b *BeaconSocket) Receive(buf []byte) (fleet.Beacon, error) {
	n, _, err := b.conn.ReadFromUDP(buf)
	if err != nil {
		return fleet.Beacon{}, &BeaconError{"receive", eris.Wrap(err, "read")}
	}
	var out fleet.Beacon
	if err := json.Unmarshal(buf[:n], &out); err != nil {
		return fleet.Beacon{}, &BeaconError{"decode", eris.Wrap(err, "json")}
	}
	return out, nil
}

// NewBeaconBuffer returns a buffer for Receive.
func NewBeaconBuffer() []byte { return make([]byte, maxBeacon) }

// Close ends the socket.
func (b *BeaconSocket) Close() error { return b.conn.Close() }
