package datagram

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

var key = []byte(strings.Repeat("k", minKey))

func open(t *testing.T, cfg Config) *Socket {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	if cfg.Keys == nil {
		cfg.Keys = [][]byte{key}
	}
	s, err := Open(cfg)
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func next(t *testing.T, s *Socket) Datagram {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d, ok := s.Received().Next(ctx)
	must.True(t, ok)
	return d
}

func awaitFault(t *testing.T, s *Socket, f Fault, n uint64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.Stats().Faults[f] < n; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(s.Stats()))
	}
}

func TestSendAndReceive(t *testing.T) {
	a, b := open(t, Config{}), open(t, Config{})
	must.NoError(t, a.Send(b.Addr(), 3, []byte("hello")))
	must.Eq(t, Datagram{From: a.self, Kind: 3, Payload: []byte("hello")}, next(t, b))
	must.NoError(t, b.Send(a.Addr(), 4, make([]byte, MaxPayload)))
	must.Eq(t, MaxPayload, len(next(t, a).Payload))
	must.Eq(t, core.CodeTooLarge, core.CodeOf(a.Send(b.Addr(), 1, make([]byte, MaxPayload+1))))
	must.Eq(t, uint64(5+Overhead+WireHeader), a.Stats().SentBytes)
	must.Eq(t, uint64(5+Overhead+WireHeader), b.Stats().ReceivedBytes)
}

// Guards against datagrams of strangers, old ones, and ones sent to another
// node or from another address.
func TestUnacceptableDatagrams(t *testing.T) {
	a, b, c := open(t, Config{}), open(t, Config{}), open(t, Config{})
	stranger := open(t, Config{Keys: [][]byte{[]byte(strings.Repeat("z", minKey))}})
	must.NoError(t, stranger.Send(b.Addr(), 1, nil))
	awaitFault(t, b, FaultTag, 1)
	raw := func(from *Socket, to *Socket, b []byte) {
		t.Helper()
		_, err := from.conn.WriteToUDPAddrPort(b, to.self)
		must.NoError(t, err)
	}
	now := uint64(time.Now().UnixMicro())
	good := encode(nil, key, a.self, b.self, message{kind: 1, stamp: now})
	raw(a, c, good) // another node
	awaitFault(t, c, FaultTag, 1)
	raw(c, b, good) // another address
	awaitFault(t, b, FaultTag, 2)
	raw(a, b, good)
	next(t, b)
	raw(a, b, good)
	awaitFault(t, b, FaultReplay, 1)
	raw(a, b, encode(nil, key, a.self, b.self, message{stamp: now - 31_000_000}))
	raw(a, b, encode(nil, key, a.self, b.self, message{stamp: now + 40_000_000}))
	awaitFault(t, b, FaultStale, 2)
	raw(a, b, good[:Overhead-1])
	raw(a, b, make([]byte, MaxSize+1))
	awaitFault(t, b, FaultShape, 2)
}

// Guards against a table of senders that grows without end.
func TestReplayGuardIsBounded(t *testing.T) {
	g := newReplayGuard(30*time.Second, 2)
	now := time.Unix(1_000_000, 0)
	addr := func(p uint16) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), p) }
	must.Eq(t, FaultNone, g.check(addr(1), uint64(now.UnixMicro()), now))
	must.Eq(t, FaultNone, g.check(addr(2), uint64(now.UnixMicro()), now))
	must.Eq(t, FaultSenders, g.check(addr(3), uint64(now.UnixMicro()), now))
	must.Eq(t, FaultNone, g.check(addr(1), uint64(now.UnixMicro())+1, now))
	later := now.Add(31 * time.Second)
	must.Eq(t, FaultNone, g.check(addr(3), uint64(later.UnixMicro()), later))
	must.Eq(t, 1, len(g.last))
}

// Guards against a reader that falls behind and gets old heartbeats first.
func TestRingDropsOldest(t *testing.T) {
	a, b := open(t, Config{}), open(t, Config{Ring: 2})
	for i := range 5 {
		must.NoError(t, a.Send(b.Addr(), uint8(i), nil))
	}
	for end := time.Now().Add(10 * time.Second); b.Stats().ReceivedPackets < 5 || b.Stats().Ring.Pushed < 5; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	must.Eq(t, 3, next(t, b).Kind)
	must.Eq(t, uint64(3), b.Stats().Ring.Dropped)
	must.NoError(t, b.Close())
	_, ok := b.Received().Next(t.Context())
	must.True(t, ok)
	_, ok = b.Received().Next(t.Context())
	must.False(t, ok)
}

func FuzzDecode(f *testing.F) {
	from, to := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:2")
	f.Add(encode(nil, key, from, to, message{kind: 1, stamp: 2, payload: []byte("x")}))
	f.Add([]byte{})
	f.Add(make([]byte, Overhead))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, fault := decode(b, [][]byte{key}, from, to)
		if fault != FaultNone {
			return
		}
		// Only what a holder of the key encodes is accepted.
		must.Eq(t, b, encode(nil, key, from, to, m))
	})
}
