package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// BenchmarkPeerExchange compares one exchange between two nodes with a plain
// HTTP/2 request that uses the same library and settings.
func BenchmarkPeerExchange(b *testing.B) {
	body := strings.Repeat("x", 512)
	b.Run("exchange", func(b *testing.B) {
		s, c := newTestPair(b, ServerConfig{Handler: core.HandlerFunc(func(context.Context, *core.Request) (*core.Response, error) {
			return newResponse(200, 512, body), nil
		})})
		b.ReportAllocs()
		for b.Loop() {
			resp, err := c.Exchange(context.Background(), s.Addr(), newRequest("GET", ""))
			must.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.Run("plain", func(b *testing.B) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(b, err)
		s := &http.Server{Protocols: peerProtocols(nil), HTTP2: serverHTTP2Config(128), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		})}
		go func() { _ = s.Serve(ln) }()
		defer s.Close()
		c := &http.Client{Transport: newHTTPTransport(ClientConfig{})}
		b.ReportAllocs()
		for b.Loop() {
			resp, err := c.Get("http://" + ln.Addr().String())
			must.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}
