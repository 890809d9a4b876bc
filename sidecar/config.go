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

// Error reports an operation of the node that failed, and the cause.
type Error struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *Error) Error() string { return "sidecar: " + e.Operation + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Config configures a Node.
type Config struct {
	Settings platform.Settings
	// Path is the settings file, which is read again when it changes. It may be
	// empty.
	Path string
	Log  log.Interface
	// MetricsAddr is the host:port that serves /metrics, or empty.
	MetricsAddr string
	// Advertise is the host by which other nodes reach this one. If it is empty,
	// they use the one that the node listens on.
	Advertise string
}

// newIncarnation returns a random number, not 0, that identifies this run of the
// process.
func newIncarnation() core.Incarnation {
	var b [8]byte
	// rand.Read never fails.
	_, _ = rand.Read(b[:])
	return core.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

// newEntry returns this node's entry at its start.
func newEntry(cfg Config, incarnation core.Incarnation) (fleet.Entry, error) {
	s := cfg.Settings
	host, inbound, err := net.SplitHostPort(s.InboundAddress)
	if err != nil {
		return fleet.Entry{}, &Error{"parse the inbound address", err}
	}
	ip := s.IP
	if cfg.Advertise != "" {
		host, ip = cfg.Advertise, cfg.Advertise
	}
	return fleet.Entry{
		Node: s.Node, Incarnation: incarnation, StartedUnixMs: time.Now().UnixMilli(), DataCentre: s.DataCentre,
		InboundAddress: net.JoinHostPort(host, inbound), PeerAddress: net.JoinHostPort(ip, strconv.Itoa(s.FirstPeerPort)), Service: s.Service, Serial: 1,
		CPUCores: s.CPUCores, LinkMbps: s.LinkMbps, ShortBeacons: true,
	}, nil
}
