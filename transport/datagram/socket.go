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

// Datagram is one received and authenticated message. The receiver of the ring
// owns the payload.
type Datagram struct {
	From    netip.AddrPort
	Kind    uint8
	Payload []byte
}

// Config configures a Socket. A limit of zero means the default stated with the
// field.
type Config struct {
	// Addr is the ip:port to listen on.
	Addr string
	// Advertise is the ip:port under which peers reach this socket; the bound
	// address when empty. Each tag covers it.
	Advertise string
	// Keys are the shared keys, of at least 32 bytes. The first signs; all are
	// accepted.
	Keys [][]byte
	// MaxSkew is the largest allowed difference of two nodes' clocks; 30 s.
	MaxSkew time.Duration
	// RingCapacity limits the received datagrams that wait for the reader; 256.
	// Beyond it the oldest is dropped.
	RingCapacity int
	// MaxSenders limits the senders whose last timestamp is held; 1024, far
	// more than the members of a group.
	MaxSenders int
}

func (c Config) withDefaults() Config {
	if c.MaxSkew <= 0 {
		c.MaxSkew = 30 * time.Second
	}
	if c.RingCapacity <= 0 {
		c.RingCapacity = 256
	}
	if c.MaxSenders <= 0 {
		c.MaxSenders = 1024
	}
	return c
}

// minKeyBytes is the output size of SHA-256; HMAC loses strength with a shorter
// key.
const minKeyBytes = 32

// Stats holds counters since Open. Bytes include the IPv4 and UDP headers.
type Stats struct {
	SentPackets, SentBytes, ReceivedPackets, ReceivedBytes uint64
	// Dropped counts dropped datagrams, indexed by DropReason.
	Dropped [DropTooManySenders + 1]uint64
	// Ring holds the counters of the ring of received datagrams.
	Ring ring.Stats
}

// Socket sends and receives authenticated datagrams. It is safe for concurrent
// use.
type Socket struct {
	cfg            Config
	conn           *net.UDPConn
	advertisedAddr netip.AddrPort
	received       *ring.Ring[Datagram]
	lastTimestamp  atomic.Uint64
	receiverDone   chan struct{}

	sentPackets, sentBytes, receivedPackets, receivedBytes atomic.Uint64
	dropped                                                [DropTooManySenders + 1]atomic.Uint64
}

// Open binds the socket and starts the goroutine that receives.
func Open(cfg Config) (*Socket, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Keys) == 0 {
		return nil, core.Fail(core.CodeInvalid, "datagram: no shared key")
	}
	for _, k := range cfg.Keys {
		if len(k) < minKeyBytes {
			return nil, core.Fail(core.CodeInvalid, "datagram: key shorter than 32 bytes")
		}
	}
	listenAddr, err := netip.ParseAddrPort(cfg.Addr)
	if err != nil {
		return nil, core.Wrap(core.CodeInvalid, err, "datagram: parse listen address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr))
	if err != nil {
		return nil, core.Wrap(core.CodeUnavailable, err, "datagram: listen")
	}
	advertisedAddr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if cfg.Advertise != "" {
		if advertisedAddr, err = netip.ParseAddrPort(cfg.Advertise); err != nil {
			_ = conn.Close()
			return nil, core.Wrap(core.CodeInvalid, err, "datagram: parse advertised address")
		}
	}
	s := &Socket{
		cfg: cfg, conn: conn, advertisedAddr: unmap(advertisedAddr), receiverDone: make(chan struct{}),
		received: ring.New[Datagram]("datagram", cfg.RingCapacity, ring.DropOldest),
	}
	go s.receive()
	return s, nil
}

// unmap converts an IPv4-mapped IPv6 address to IPv4, so that both ends compute
// the tag over the same address.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Addr returns the advertised address as ip:port.
func (s *Socket) Addr() string { return s.advertisedAddr.String() }

// Received returns the ring of received datagrams. Close closes it.
func (s *Socket) Received() *ring.Ring[Datagram] { return s.received }

// Send sends one datagram to addr, an ip:port. It does not wait for the peer.
// The payload is limited to MaxPayload bytes; kind is passed on to the
// receiver.
func (s *Socket) Send(addr string, kind uint8, payload []byte) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return core.Wrap(core.CodeInvalid, err, "datagram: parse peer address")
	}
	if len(payload) > MaxPayload {
		return core.Fail(core.CodeTooLarge, "datagram: payload exceeds MaxPayload")
	}
	to = unmap(to)
	var buf [MaxSize]byte
	b := encode(buf[:], s.cfg.Keys[0], s.advertisedAddr, to, message{kind: kind, timestamp: s.nextTimestamp(), payload: payload})
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		return core.Wrap(core.CodePeerUnreachable, err, "datagram: send")
	}
	s.sentPackets.Add(1)
	s.sentBytes.Add(uint64(len(b) + IPUDPOverhead))
	return nil
}

// nextTimestamp returns the time in microseconds, or the last timestamp plus
// one if the clock has not advanced, so that timestamps of a socket strictly
// increase.
func (s *Socket) nextTimestamp() uint64 {
	for {
		last := s.lastTimestamp.Load()
		next := max(uint64(time.Now().UnixMicro()), last+1)
		if s.lastTimestamp.CompareAndSwap(last, next) {
			return next
		}
	}
}

// receive puts valid datagrams on the ring until the socket is closed or fails.
func (s *Socket) receive() {
	defer close(s.receiverDone)
	defer s.received.Close()
	guard := newReplayGuard(s.cfg.MaxSkew, s.cfg.MaxSenders)
	buf := make([]byte, MaxSize+1) // one more byte, to detect a datagram above MaxSize
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if !isTransient(err) {
				return
			}
			continue
		}
		s.receivedPackets.Add(1)
		s.receivedBytes.Add(uint64(n + IPUDPOverhead))
		from = unmap(from)
		msg, reason := decode(buf[:n], s.cfg.Keys, from, s.advertisedAddr)
		if reason == NotDropped {
			reason = guard.check(from, msg.timestamp, time.Now())
		}
		if reason != NotDropped {
			s.dropped[reason].Add(1)
			continue
		}
		d := Datagram{From: from, Kind: msg.kind, Payload: append([]byte(nil), msg.payload...)}
		_ = s.received.Push(context.Background(), d) // fails only after Close
	}
}

// Close closes the socket and the ring, and waits for the receiver to end.
func (s *Socket) Close() error {
	err := s.conn.Close()
	<-s.receiverDone
	if err != nil {
		return core.Wrap(core.CodeInternal, err, "datagram: close")
	}
	return nil
}

// Stats returns the socket's counters.
func (s *Socket) Stats() Stats {
	stats := Stats{
		SentPackets: s.sentPackets.Load(), SentBytes: s.sentBytes.Load(),
		ReceivedPackets: s.receivedPackets.Load(), ReceivedBytes: s.receivedBytes.Load(),
		Ring: s.received.Stats(),
	}
	for i := range s.dropped {
		stats.Dropped[i] = s.dropped[i].Load()
	}
	return stats
}
