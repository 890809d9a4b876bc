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

var testKey = []byte(strings.Repeat("k", minKeyBytes))

func openTestSocket(t *testing.T, cfg Config) *Socket {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	if cfg.Keys == nil {
		cfg.Keys = [][]byte{testKey}
	}
	s, err := Open(cfg)
	must.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// receiveNext returns the next datagram that s has received.
func receiveNext(t *testing.T, s *Socket) Datagram {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	d, ok := s.Received().Next(ctx)
	must.True(t, ok)
	return d
}

// awaitDrops waits until s has dropped n datagrams for the reason.
func awaitDrops(t *testing.T, s *Socket, reason DropReason, n uint64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.Stats().Dropped[reason] < n; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(s.Stats()))
	}
}

func TestSendAndReceive(t *testing.T) {
	a, b := openTestSocket(t, Config{}), openTestSocket(t, Config{})
	must.NoError(t, a.Send(b.Addr(), 3, []byte("hello")))
	must.Eq(t, Datagram{From: a.advertisedAddr, Kind: 3, Payload: []byte("hello")}, receiveNext(t, b))
	must.NoError(t, b.Send(a.Addr(), 4, make([]byte, MaxPayload)))
	must.Eq(t, MaxPayload, len(receiveNext(t, a).Payload))
	must.Eq(t, core.CodeTooLarge, core.CodeOf(a.Send(b.Addr(), 1, make([]byte, MaxPayload+1))))
	must.Eq(t, uint64(5+Overhead+IPUDPOverhead), a.Stats().SentBytes)
	must.Eq(t, uint64(5+Overhead+IPUDPOverhead), b.Stats().ReceivedBytes)
}

// Guards against accepting datagrams that are signed with another key,
// replayed, outside the clock skew, malformed, or sent to another node or from
// another address.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	a, b, c := openTestSocket(t, Config{}), openTestSocket(t, Config{}), openTestSocket(t, Config{})
	wrongKeySocket := openTestSocket(t, Config{Keys: [][]byte{[]byte(strings.Repeat("z", minKeyBytes))}})
	must.NoError(t, wrongKeySocket.Send(b.Addr(), 1, nil))
	awaitDrops(t, b, DropWrongTag, 1)
	sendRaw := func(from *Socket, to *Socket, b []byte) {
		t.Helper()
		_, err := from.conn.WriteToUDPAddrPort(b, to.advertisedAddr)
		must.NoError(t, err)
	}
	now := uint64(time.Now().UnixMicro())
	valid := encode(nil, testKey, a.advertisedAddr, b.advertisedAddr, message{kind: 1, timestamp: now})
	sendRaw(a, c, valid) // captured and sent to another node
	awaitDrops(t, c, DropWrongTag, 1)
	sendRaw(c, b, valid) // captured and sent from another address
	awaitDrops(t, b, DropWrongTag, 2)
	sendRaw(a, b, valid)
	receiveNext(t, b)
	sendRaw(a, b, valid)
	awaitDrops(t, b, DropReplayed, 1)
	sendRaw(a, b, encode(nil, testKey, a.advertisedAddr, b.advertisedAddr, message{timestamp: now - 31_000_000}))
	sendRaw(a, b, encode(nil, testKey, a.advertisedAddr, b.advertisedAddr, message{timestamp: now + 40_000_000}))
	awaitDrops(t, b, DropClockSkew, 2)
	sendRaw(a, b, valid[:Overhead-1])
	sendRaw(a, b, make([]byte, MaxSize+1))
	awaitDrops(t, b, DropMalformed, 2)
}

// Guards against a table of senders that grows without limit.
func TestReplayGuardLimitsSenders(t *testing.T) {
	g := newReplayGuard(30*time.Second, 2)
	now := time.Unix(1_000_000, 0)
	addr := func(p uint16) netip.AddrPort { return netip.AddrPortFrom(netip.IPv4Unspecified(), p) }
	must.Eq(t, NotDropped, g.check(addr(1), uint64(now.UnixMicro()), now))
	must.Eq(t, NotDropped, g.check(addr(2), uint64(now.UnixMicro()), now))
	must.Eq(t, DropTooManySenders, g.check(addr(3), uint64(now.UnixMicro()), now))
	must.Eq(t, NotDropped, g.check(addr(1), uint64(now.UnixMicro())+1, now))
	later := now.Add(31 * time.Second)
	must.Eq(t, NotDropped, g.check(addr(3), uint64(later.UnixMicro()), later))
	must.Eq(t, 1, len(g.lastTimestamps))
}

// Guards against a slow reader that receives outdated heartbeats instead of
// recent ones: a full ring must drop its oldest datagram.
func TestRingDropsOldest(t *testing.T) {
	a, b := openTestSocket(t, Config{}), openTestSocket(t, Config{RingCapacity: 2})
	for i := range 5 {
		must.NoError(t, a.Send(b.Addr(), uint8(i), nil))
	}
	for end := time.Now().Add(10 * time.Second); b.Stats().ReceivedPackets < 5 || b.Stats().Ring.Pushed < 5; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end))
	}
	must.Eq(t, 3, receiveNext(t, b).Kind)
	must.Eq(t, uint64(3), b.Stats().Ring.Dropped)
	must.NoError(t, b.Close())
	_, ok := b.Received().Next(t.Context())
	must.True(t, ok)
	_, ok = b.Received().Next(t.Context())
	must.False(t, ok)
}

func FuzzDecode(f *testing.F) {
	from, to := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:2")
	f.Add(encode(nil, testKey, from, to, message{kind: 1, timestamp: 2, payload: []byte("x")}))
	f.Add([]byte{})
	f.Add(make([]byte, Overhead))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, reason := decode(b, [][]byte{testKey}, from, to)
		if reason != NotDropped {
			return
		}
		// A datagram is accepted only if encoding its message gives the same
		// bytes.
		must.Eq(t, b, encode(nil, testKey, from, to, m))
	})
}
