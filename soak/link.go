package soak

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a link treats what passes it.
type Mode uint8

// Modes.
const (
	Pass Mode = iota
	// Silent holds everything back in both directions.
	Silent
	// SilentBack holds back what the far end sends.
	SilentBack
	// Slow delays each piece.
	Slow
	// Reset ends connections and refuses new ones.
	Reset
)

const (
	// slowBy is the delay of each piece on a slow link.
	slowBy    = 60 * time.Millisecond
	pieceSize = 32 << 10
	farDial   = time.Second
)

type condition struct {
	mode    Mode
	changed chan struct{} // closed when another condition follows
}

// link is a proxy on loopback that passes TCP connections on to an address, and
// can be told to disturb them.
type link struct {
	ln      net.Listener
	to      string
	present atomic.Pointer[condition]
	conns   sync.WaitGroup
	closed  chan struct{}
}

func newLink(listen, to string) (*link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fault("listen for a link", err)
	}
	l := &link{ln: ln, to: to, closed: make(chan struct{})}
	l.present.Store(&condition{Pass, make(chan struct{})})
	l.conns.Go(l.accept)
	return l, nil
}

// set changes how the link treats connections.
func (l *link) set(m Mode) {
	old := l.present.Swap(&condition{m, make(chan struct{})})
	close(old.changed)
}

func (l *link) close() {
	close(l.closed)
	// The listener is closed once, so this cannot fail for another reason.
	_ = l.ln.Close()
	l.set(Reset)
	l.conns.Wait()
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.conns.Go(func() { l.join(c.(*net.TCPConn)) })
	}
}

// join connects a caller with the far end until one of them ends or the link is
// reset.
func (l *link) join(near *net.TCPConn) {
	defer func() { _ = near.Close() }()
	if l.present.Load().mode == Reset {
		_ = near.SetLinger(0)
		return
	}
	c, err := net.DialTimeout("tcp", l.to, farDial)
	if err != nil {
		_ = near.SetLinger(0) // nothing listens there
		return
	}
	far := c.(*net.TCPConn)
	defer func() { _ = far.Close() }()
	ended := make(chan struct{}, 2)
	l.conns.Go(func() { l.pump(far, near, false); ended <- struct{}{} })
	l.conns.Go(func() { l.pump(near, far, true); ended <- struct{}{} })
	for open := 2; open > 0; {
		now := l.present.Load()
		if now.mode == Reset {
			_, _ = near.SetLinger(0), far.SetLinger(0)
			return
		}
		select {
		case <-now.changed:
		case <-ended:
			open--
		}
	}
}

// pump copies one direction. An end of the source passes on, a failure resets
// the destination.
func (l *link) pump(dst, src *net.TCPConn, back bool) {
	piece := make([]byte, pieceSize)
	for {
		n, err := src.Read(piece)
		if !l.hold(back) {
			return
		}
		if n > 0 {
			if _, werr := dst.Write(piece[:n]); werr != nil {
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

// hold waits until the link passes pieces of a direction. It returns false when
// the link is reset.
func (l *link) hold(back bool) bool {
	for {
		now := l.present.Load()
		switch {
		case now.mode == Reset:
			return false
		case now.mode == Slow:
			select {
			case <-time.After(slowBy):
			case <-l.closed:
				return false
			}
			return true
		case now.mode == Silent, now.mode == SilentBack && back:
			select {
			case <-now.changed:
			case <-l.closed:
				return false
			}
		default:
			return true
		}
	}
}

// datagrams passes the beacons for one node on, unless that node or their sender
// is cut off.
type datagrams struct {
	conn *net.UDPConn
	to   netip.AddrPort
	cut  atomic.Bool
	// muted is shared by all: the hosts whose beacons are lost.
	muted *atomic.Pointer[map[netip.Addr]bool]
	done  sync.WaitGroup
}

func newDatagrams(listen, to string, muted *atomic.Pointer[map[netip.Addr]bool]) (*datagrams, error) {
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fault("address of a link", err)
	}
	far, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, fault("address of a node", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fault("listen for beacons", err)
	}
	d := &datagrams{conn: conn, to: far, muted: muted}
	d.done.Go(d.run)
	return d, nil
}

func (d *datagrams) run() {
	piece := make([]byte, pieceSize)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(piece)
		if err != nil {
			return
		}
		if d.cut.Load() || (*d.muted.Load())[from.Addr().Unmap()] {
			continue
		}
		// A beacon that is not delivered is a lost datagram.
		_, _ = d.conn.WriteToUDPAddrPort(piece[:n], d.to)
	}
}

func (d *datagrams) close() {
	_ = d.conn.Close()
	d.done.Wait()
}
