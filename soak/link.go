package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// LinkMode sets which fault a link injects.
type LinkMode uint8

// Modes of a link.
const (
	// LinkOpen forwards everything unchanged.
	LinkOpen LinkMode = iota
	// LinkBlocked holds back the data of both directions.
	LinkBlocked
	// LinkRepliesBlocked holds back the data that the server sends.
	LinkRepliesBlocked
	// LinkDelayed delays each chunk by linkDelay.
	LinkDelayed
	// LinkReset resets all connections, and new ones at once.
	LinkReset
)

const (
	// linkDelay is the delay of each chunk on a link in LinkDelayed mode.
	linkDelay   = 60 * time.Millisecond
	bufferBytes = 32 << 10
	dialTimeout = time.Second
)

type linkState struct {
	mode    LinkMode
	changed chan struct{} // closed when another state replaces this one
}

// link is a TCP proxy on loopback that forwards connections to a target address
// and injects the fault of its mode.
type link struct {
	listener   net.Listener
	target     string
	state      atomic.Pointer[linkState]
	goroutines sync.WaitGroup
	closed     chan struct{}
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, wrapError("listen for a link", err)
	}
	l := &link{listener: listener, target: target, closed: make(chan struct{})}
	l.state.Store(&linkState{LinkOpen, make(chan struct{})})
	l.goroutines.Go(l.accept)
	return l, nil
}

// setMode changes the mode for present and future connections.
func (l *link) setMode(mode LinkMode) {
	old := l.state.Swap(&linkState{mode, make(chan struct{})})
	close(old.changed)
}

func (l *link) close() {
	close(l.closed)
	// The listener is closed only here, so it cannot be closed already.
	_ = l.listener.Close()
	l.setMode(LinkReset)
	l.goroutines.Wait()
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.proxy(conn.(*net.TCPConn)) })
	}
}

// proxy forwards both directions of a connection until both have ended or the
// link is reset.
func (l *link) proxy(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	if l.state.Load().mode == LinkReset {
		_ = client.SetLinger(0)
		return
	}
	conn, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the target does not accept connections
		return
	}
	server := conn.(*net.TCPConn)
	defer func() { _ = server.Close() }()
	directionEnded := make(chan struct{}, 2)
	l.goroutines.Go(func() { l.copyDirection(server, client, false); directionEnded <- struct{}{} })
	l.goroutines.Go(func() { l.copyDirection(client, server, true); directionEnded <- struct{}{} })
	for openDirections := 2; openDirections > 0; {
		state := l.state.Load()
		if state.mode == LinkReset {
			_, _ = client.SetLinger(0), server.SetLinger(0)
			return
		}
		select {
		case <-state.changed:
		case <-directionEnded:
			openDirections--
		}
	}
}

// copyDirection copies one direction of a connection. It forwards an end of
// stream of the source as such, and a read error as a reset of the destination.
func (l *link) copyDirection(dst, src *net.TCPConn, fromServer bool) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if !l.waitUntilOpen(fromServer) {
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				_ = src.SetLinger(0)
				_ = src.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = dst.CloseWrite()
			return
		case err != nil:
			_ = dst.SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}

// waitUntilOpen waits until the link may forward a chunk of one direction. It
// returns false when the link is reset or closed.
func (l *link) waitUntilOpen(fromServer bool) bool {
	for {
		state := l.state.Load()
		switch {
		case state.mode == LinkReset:
			return false
		case state.mode == LinkDelayed:
			select {
			case <-time.After(linkDelay):
			case <-l.closed:
				return false
			}
			return true
		case state.mode == LinkBlocked, state.mode == LinkRepliesBlocked && fromServer:
			select {
			case <-state.changed:
			case <-l.closed:
				return false
			}
		default:
			return true
		}
	}
}

// beaconRelay forwards the UDP beacons for one node, and drops them while the
// node is blocked or their sender is muted.
type beaconRelay struct {
	conn    *net.UDPConn
	target  netip.AddrPort
	blocked atomic.Bool
	// mutedHosts are the hosts whose beacons are dropped; all relays share it.
	mutedHosts *atomic.Pointer[map[netip.Addr]bool]
	goroutine  sync.WaitGroup
}

func newBeaconRelay(address, target string, mutedHosts *atomic.Pointer[map[netip.Addr]bool]) (*beaconRelay, error) {
	listenAddr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, wrapError("parse the listen address of a beacon relay", err)
	}
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, wrapError("parse the target address of a beacon relay", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, wrapError("listen for beacons", err)
	}
	relay := &beaconRelay{conn: conn, target: targetAddr, mutedHosts: mutedHosts}
	relay.goroutine.Go(relay.forward)
	return relay, nil
}

func (b *beaconRelay) forward() {
	buf := make([]byte, bufferBytes)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if b.blocked.Load() || (*b.mutedHosts.Load())[from.Addr().Unmap()] {
			continue
		}
		// An error is ignored: beacons are datagrams and may be lost.
		_, _ = b.conn.WriteToUDPAddrPort(buf[:n], b.target)
	}
}

func (b *beaconRelay) close() {
	_ = b.conn.Close()
	b.goroutine.Wait()
}
