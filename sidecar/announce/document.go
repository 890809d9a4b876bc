package announce

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
)

// Error reports a document that cannot be encoded or used, and the cause.
type Error struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string { return "announce: " + e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// document is the content of a node's object.
type document struct {
	fleet.Entry
	// Left are the runs beside the node that have left.
	Left []fleet.Departure `json:"departed,omitempty"`
}

// AddressEntry returns the part of an entry that is kept in the store. The other
// fields change with every run and are sent by beacons.
func AddressEntry(e fleet.Entry) fleet.Entry {
	return fleet.Entry{Node: e.Node, DataCentre: e.DataCentre, InboundAddress: e.InboundAddress, PeerAddress: e.PeerAddress, Service: e.Service, CPUCores: e.CPUCores, LinkMbps: e.LinkMbps}
}

func encodeDocument(d document) ([]byte, error) {
	spec, err := json.Marshal(d)
	if err != nil {
		return nil, &Error{"encode the node's object", err}
	}
	return spec, nil
}

func decodeDocument(spec []byte) (document, error) {
	var d document
	if err := json.Unmarshal(spec, &d); err != nil {
		return document{}, &Error{"decode the document", err}
	}
	return d, nil
}

// maxCapacity bounds the capacities that an entry states: cores, and Mbit/s.
const maxCapacity = 1e6

// DecodeAddress decodes the address of a node. Another writer may have left a
// document that names no node to use.
func DecodeAddress(id core.NodeID, spec []byte) (fleet.Entry, error) {
	e, err := decodeDocument(spec)
	if err != nil {
		return fleet.Entry{}, err
	}
	for field, valid := range map[string]bool{
		"node": e.Node == id && id != "", "inbound": isAddress(e.InboundAddress), "peer": isAddress(e.PeerAddress),
		"power": e.CPUCores >= 0 && e.CPUCores <= maxCapacity, "link": e.LinkMbps >= 0 && e.LinkMbps <= maxCapacity,
	} {
		if !valid {
			return fleet.Entry{}, &Error{"check the document", &platform.InvalidFieldError{Field: field}}
		}
	}
	return AddressEntry(e.Entry), nil
}

// isAddress reports whether a text is a host and a port that can be connected to.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// compactJSON returns a document without insignificant white space, or nil if it
// is invalid.
func compactJSON(spec []byte) []byte {
	var b bytes.Buffer
	if json.Compact(&b, spec) != nil {
		return nil // equal to no valid document
	}
	return b.Bytes()
}
