package sidecar

import (
	"crypto/rand"
	"encoding/binary"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"marjoramshore.example/core"
	"marjoramshore.example/fleet"
	"marjoramshore.example/platform"
)

// Error is a failure to start or run a node.
type Error struct {
	What  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string { return "sidecar: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Config sets up a Node.
type Config struct {
	Settings platform.Settings
	// Path is the settings file, which is read again when it changes.
	Path string
	Log  log.Interface
	// MetricsAddr is the host:port that serves /metrics, or empty.
	MetricsAddr string
	// Advertise is the host by which other nodes reach this one, when it is not
	// the one that the node listens on.
	Advertise string
}

// newIncarnation draws the number of this run of the process.
func newIncarnation() core.Incarnation {
	var b [8]byte
	// rand.Read never fails.
	_, _ = rand.Read(b[:])
	return core.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

// entry returns what this node says of itself at its start.
func entry(cfg Config, inc core.Incarnation) (fleet.Entry, error) {
	s := cfg.Settings
	host, inbound, err := net.SplitHostPort(s.InboundAddress)
	if err != nil {
		return fleet.Entry{}, &Error{"inbound address", err}
	}
	ip := s.IP
	if cfg.Advertise != "" {
		host, ip = cfg.Advertise, cfg.Advertise
	}
	return fleet.Entry{
		Node: s.Node, Incarnation: inc, StartedUnixMs: time.Now().UnixMilli(), DataCentre: s.DataCentre,
		InboundAddress: net.JoinHostPort(host, inbound), PeerAddress: net.JoinHostPort(ip, strconv.Itoa(s.FirstPeerPort)), Service: s.Service, Serial: 1,
		CPUCores: s.CPUCores,
	}, nil
}

// address returns the part of an entry that is kept in the store. The rest
// changes with every run and comes by beacons.
func address(e fleet.Entry) fleet.Entry {
	return fleet.Entry{Node: e.Node, DataCentre: e.DataCentre, InboundAddress: e.InboundAddress, PeerAddress: e.PeerAddress, Service: e.Service, CPUCores: e.CPUCores}
}
