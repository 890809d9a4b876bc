package frontend_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
	"marjoramshore.example/frontend"
	"marjoramshore.example/gate"
	"marjoramshore.example/transport"
)

// twoNodePath is the request path through two nodes on loopback: a Frontend
// that sends every request to a peer, and that peer with a Gate to a stand-in
// backend server.
type twoNodePath struct {
	frontend   *frontend.Frontend
	peerServer *transport.Server
	peerClient *transport.Client
	gate       *gate.Gate
	backend    *httptest.Server
	url        string
}

func newTwoNodePath(tb testing.TB, backend http.Handler, configure func(*frontend.Config, *gate.Config)) *twoNodePath {
	tb.Helper()
	p := &twoNodePath{backend: httptest.NewServer(backend)}
	tb.Cleanup(p.backend.Close)
	auth, err := transport.NewAuthenticator(0, []byte(strings.Repeat("k", 32)))
	must.NoError(tb, err)
	gateConfig := gate.Config{BackendAddr: p.backend.Listener.Addr().String(), MaxConns: 1024, ConnWait: 10 * time.Second}
	frontendConfig := frontend.Config{Addr: "127.0.0.1:0"}
	if configure != nil {
		configure(&frontendConfig, &gateConfig)
	}
	p.gate, err = gate.New(gateConfig)
	must.NoError(tb, err)
	p.peerServer, err = transport.NewServer(transport.ServerConfig{Addr: "127.0.0.1:0", Handler: p.gate, Auth: auth})
	must.NoError(tb, err)
	p.peerServer.Start()
	p.peerClient, err = transport.NewClient(transport.ClientConfig{Auth: auth})
	must.NoError(tb, err)
	frontendConfig.Handler = core.HandlerFunc(func(ctx context.Context, req *core.Request) (*core.Response, error) {
		return p.peerClient.Exchange(ctx, p.peerServer.Addr(), req)
	})
	p.frontend, err = frontend.New(frontendConfig)
	must.NoError(tb, err)
	p.frontend.Start()
	p.url = "http://" + p.frontend.Addr()
	tb.Cleanup(func() {
		_ = p.frontend.Close()
		_ = p.peerClient.Close()
		_ = p.peerServer.Close()
	})
	return p
}

// newRequest returns a request with the required header fields.
func newRequest(tb testing.TB, method, url string, body io.Reader) *http.Request {
	tb.Helper()
	r, err := http.NewRequest(method, url, body)
	must.NoError(tb, err)
	r.Header.Set(frontend.HeaderService, "svc")
	r.Header.Set(frontend.HeaderKey, "k1")
	return r
}

func TestTwoNodePathResponds(t *testing.T) {
	p := newTwoNodePath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("Marjoram-Key")+r.URL.RequestURI())
		_, _ = w.Write(append([]byte("got "), b...))
	}), nil)
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", p.url+"/a?b=c", strings.NewReader("hello")))
	must.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, "got hello", string(b))
	must.Eq(t, 200, resp.StatusCode)
	must.Eq(t, "answered", resp.Header.Get(frontend.HeaderOutcome))
	must.Eq(t, "k1/a?b=c", resp.Header.Get("X-Seen"))
	must.NotEq(t, "", resp.Header.Get(frontend.HeaderRequestID))
}
