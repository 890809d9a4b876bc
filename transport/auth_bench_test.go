package transport

import (
	"testing"
	"time"
)

func BenchmarkAuthenticator(b *testing.B) {
	auth := newTestAuth(b, testKey)
	now := time.Now()
	credentials := auth.Sign("/marjoramshore.peer.v1.Peer/Exchange", now)
	b.Run("sign", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = auth.Sign("/marjoramshore.peer.v1.Peer/Exchange", now)
		}
	})
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = auth.Verify(credentials, "/marjoramshore.peer.v1.Peer/Exchange", now)
		}
	})
}
