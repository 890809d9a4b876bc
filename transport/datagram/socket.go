package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"marjoramshore.example/core"
	"marjoramshore.example/ring"
)

// Datagram is one received message.
type Datagram struct {
	From    netip.AddrPort
	Kind    uint8
	Payload []byte
}

// Config sets up a Socket. Zero limits take the defaults given with each field.
type Config struct {
	// Addr is the ip:port to listen on.
	Addr string
	// Advertise is the ip:port under which peers know this socket; the bound
	// address when empty. It is part of each tag.
	Advertise string
	// Keys are the shared keys. The first signs, all are accepted.
	Keys [][]byte
	// Skew bounds the difference of two nodes' clocks; 30 s.
	Skew time.Duration
	// Ring is the number of received datagrams kept for the reader; 256.
	Ring int
	// MaxSenders bounds the senders whose stamps are remembered; 1024, far
	// above the peers of a group.
	MaxSenders int
}

func (c Config) withDefaults() Config {
	if c.Skew <= 0 {
		c.Skew = 30 * time.Second
	}
	if c.Ring <= 0 {
		c.Ring = 256
	}
	if c.MaxSenders <= 0 {
		c.MaxSenders = 1024
	}
	return c
}

// minKey is the shortest shared key, the output size of the hash.
const minKey = 32

// Stats are counters since the socket was opened. Bytes include IPv4 and UDP
// headers.
type Stats struct {
	SentPackets, SentBytes, ReceivedPackets, ReceivedBytes uint64
	// Faults counts dropped datagrams by Fault.
	Faults [FaultSenders + 1]uint64
	Ring   ring.Stats
}

// Socket sends and receives authenticated datagrams.
type Socket struct {
	cfg   Config
	conn  *net.UDPConn
	self  netip.AddrPort
	in    *ring.Ring[Datagram]
	stamp atomic.Uint64
	ended chan struct{}

	sentPackets, sentBytes, gotPackets, gotBytes atomic.Uint64
	faults                                       [FaultSenders + 1]atomic.Uint64
}

// Open binds the socket and starts its receiver.
func Open(cfg Config) (*Socket, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Keys) == 0 {
		return nil, core.Fail(core.CodeInvalid, "datagram: no key")
	}
	for _, k := range cfg.Keys {
		if len(k) < minKey {
			return nil, core.Fail(core.CodeInvalid, "datagram: key shorter than 32 bytes")
		}
	}
	at, err := netip.ParseAddrPort(cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "datagram: address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "datagram: listen")
	}
	self := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if cfg.Advertise != "" {
		if self, err = netip.ParseAddrPort(cfg.Advertise); err != nil {
			_ = conn.Close()
			return nil, core.Wrap(core.CodeInvalid, err, "datagram: advertised address")
		}
	}
	s := &Socket{
		cfg: cfg, conn: conn, self: plain(self), ended: make(chan struct{}),
		in: ring.New[Datagram]("datagram", cfg.Ring, ring.DropOldest),
	}
	go s.receive()
	return s, nil
}

// plain removes the mapping of IPv4 into IPv6, so that both ends agree on the
// bytes of an address.
func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Addr returns the address under which peers know this socket.
func (s *Socket) Addr() string { return s.self.String() }

// Received returns the ring of received datagrams. It is closed by Close.
func (s *Socket) Received() *ring.Ring[Datagram] { return s.in }

// Send sends one datagram to addr, an ip:port. It does not block on the peer.
func (s *Socket) Send(addr string, kind uint8, payload []byte) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return core.Wrap(core.CodeInvalid, err, "datagram: peer address")
	}
	if len(payload) > MaxPayload {
		return core.Fail(core.CodeTooLarge, "datagram: payload too large")
	}
	to = plain(to)
	var buf [MaxSize]byte
	b := encode(buf[:], s.cfg.Keys[0], s.self, to, message{kind: kind, stamp: s.nextStamp(), payload: payload})
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		return core.Wrap(core.CodePeerUnreachable, err, "datagram: send")
	}
	s.sentPackets.Add(1)
	s.sentBytes.Add(uint64(len(b) + WireHeader))
	return nil
}

// nextStamp returns a time that never repeats or goes back in this process.
func (s *Socket) nextStamp() uint64 {
	for {
		last := s.stamp.Load()
		next := max(uint64(time.Now().UnixMicro()), last+1)
		if s.stamp.CompareAndSwap(last, next) {
			return next
		}
	}
}

// receive is the duty of the socket. It ends when the socket is closed.
func (s *Socket) receive() {
	defer close(s.ended)
	defer s.in.Close()
	guard := newReplayGuard(s.cfg.Skew, s.cfg.MaxSenders)
	buf := make([]byte, MaxSize+1) // one more, to notice a datagram that is cut
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !transient(err) {
				return
			}
			continue
		}
		s.gotPackets.Add(1)
		s.gotBytes.Add(uint64(n + WireHeader))
		from = plain(from)
		m, fault := decode(buf[:n], s.cfg.Keys, from, s.self)
		if fault == FaultNone {
			fault = guard.check(from, m.stamp, time.Now())
		}
		if fault != FaultNone {
			s.faults[fault].Add(1)
			continue
		}
		d := Datagram{From: from, Kind: m.kind, Payload: append([]byte(nil), m.payload...)}
		_ = s.in.Push(context.Background(), d) // fails only after Close
	}
}

// Close ends the receiver and closes the ring.
func (s *Socket) Close() error {
	err := s.conn.Close()
	<-s.ended
	if err != nil {
		return core.Wrap(core.CodeInternal, err, "datagram: close")
	}
	return nil
}

// Stats returns the socket's counters.
func (s *Socket) Stats() Stats {
	st := Stats{
		SentPackets: s.sentPackets.Load(), SentBytes: s.sentBytes.Load(),
		ReceivedPackets: s.gotPackets.Load(), ReceivedBytes: s.gotBytes.Load(),
		Ring: s.in.Stats(),
	}
	for i := range s.faults {
		st.Faults[i] = s.faults[i].Load()
	}
	return st
}
