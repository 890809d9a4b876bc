package frontend_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/transport"
)

// Guards against TLS that works only between caller and node or only between
// nodes, and against a peer connection without TLS that is accepted.
func TestPathOverTLS(t *testing.T) {
	cert := httptest.NewTLSServer(nil) // its certificate names 127.0.0.1
	defer cert.Close()
	roots := x509.NewCertPool()
	roots.AddCert(cert.Certificate())
	server := func() *tls.Config { return &tls.Config{Certificates: cert.TLS.Certificates} }
	auth, err := transport.NewAuthenticator(0, []byte(strings.Repeat("k", 32)))
	must.NoError(t, err)
	s, err := transport.NewServer(transport.ServerConfig{
		Addr: "127.0.0.1:0", Auth: auth, TLS: server(),
		Handler: core.HandlerFunc(func(_ context.Context, r *core.Request) (*core.Response, error) {
			return &core.Response{Status: 200, Length: r.Length, Body: r.Body}, nil
		}),
	})
	must.NoError(t, err)
	s.Start()
	defer s.Close()
	c, err := transport.NewClient(transport.ClientConfig{Auth: auth, TLS: &tls.Config{RootCAs: roots}})
	must.NoError(t, err)
	defer c.Close()
	plain, err := transport.NewClient(transport.ClientConfig{Auth: auth})
	must.NoError(t, err)
	defer plain.Close()
	f, err := frontend.New(frontend.Config{Addr: "127.0.0.1:0", TLS: server(), Handler: core.HandlerFunc(func(ctx context.Context, r *core.Request) (*core.Response, error) {
		if r.Key == "plain" {
			return plain.Exchange(ctx, s.Addr(), r)
		}
		return c.Exchange(ctx, s.Addr(), r)
	})})
	must.NoError(t, err)
	f.Start()
	defer f.Close()
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	for _, n := range []int{0, 10, 1 << 20} {
		resp, err := caller.Do(newRequest(t, "PUT", "https://"+f.Addr()+"/", strings.NewReader(strings.Repeat("x", n))))
		must.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, n, len(b))
		must.Eq(t, 200, resp.StatusCode)
	}
	r := newRequest(t, "GET", "https://"+f.Addr()+"/", nil)
	r.Header.Set(frontend.HeaderKey, "plain")
	resp, err := caller.Do(r)
	must.NoError(t, err)
	must.NotEq(t, 200, resp.StatusCode)
}
