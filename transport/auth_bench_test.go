package transport

import (
	"testing"
	"time"
)

func BenchmarkAuthenticator(b *testing.B) {
	a := newAuth(b, testKey)
	now := time.Now()
	signed := a.Sign("/marjoramshore.peer.v1.Peer/Exchange", now)
	b.Run("sign", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = a.Sign("/marjoramshore.peer.v1.Peer/Exchange", now)
		}
	})
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = a.Check(signed, "/marjoramshore.peer.v1.Peer/Exchange", now)
		}
	})
}
