package transport

import (
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"time"
)

// Flow-control windows. A stream whose reader stalls buffers at most
// streamWindowBytes. The connection window is far larger, so that a few stalled
// uploads cannot block the other streams of their connection.
const (
	streamWindowBytes = 256 << 10
	connWindowBytes   = 64 << 20
)

// maxHeadBytes bounds the header fields of a request or a response.
const maxHeadBytes = 32 << 10

// discardLogger drops net/http's log lines about broken connections. The
// exchanges concerned are counted, and their callers get a *core.Error.
var discardLogger = log.New(io.Discard, "", 0)

// peerProtocols selects HTTP/2 over TLS, or in clear text if tlsConfig is nil.
func peerProtocols(tlsConfig *tls.Config) *http.Protocols {
	p := new(http.Protocols)
	if tlsConfig != nil {
		p.SetHTTP2(true)
	} else {
		p.SetUnencryptedHTTP2(true)
	}
	return p
}

func serverHTTP2Config(maxStreams int) *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerStream:     streamWindowBytes,
		MaxReceiveBufferPerConnection: connWindowBytes,
		// Pings detect a peer whose VM is lost, so that its exchanges end.
		SendPingTimeout:  5 * time.Second,
		PingTimeout:      5 * time.Second,
		WriteByteTimeout: 30 * time.Second,
	}
}

func clientHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxReceiveBufferPerStream:     streamWindowBytes,
		MaxReceiveBufferPerConnection: connWindowBytes,
		SendPingTimeout:               2 * time.Second,
		PingTimeout:                   2 * time.Second,
		WriteByteTimeout:              30 * time.Second,
	}
}
