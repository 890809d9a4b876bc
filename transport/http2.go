package transport

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"time"
)

// Flow-control windows. A stream whose reader stalls holds at most
// streamWindow; the connection window is far larger, so that a few stalled
// uploads cannot block the other streams of their connection.
const (
	streamWindow = 256 << 10
	connWindow   = 64 << 20
)

// discardLog drops the HTTP library's lines about broken connections. They are
// counted, and reach the caller as typed failures.
var discardLog = log.New(io.Discard, "", 0)

func peerProtocols(cfg *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	if cfg != nil {
		p.SetHTTP2(true)
	} else {
		p.SetUnencryptedHTTP2(true)
	}
	return p
}

func serverHTTP2(streams int) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          streams,
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connWindow,
		// A silent peer is probed, so that exchanges of a lost VM end.
		SendPingTimeout:  5 * time.Second,
		PingTimeout:      5 * time.Second,
		WriteByteTimeout: 30 * time.Second,
	}
}

func clientHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReceiveBufferPerStream:     streamWindow,
		MaxReceiveBufferPerConnection: connWindow,
		SendPingTimeout:               2 * time.Second,
		PingTimeout:                   2 * time.Second,
		WriteByteTimeout:              30 * time.Second,
	}
}
