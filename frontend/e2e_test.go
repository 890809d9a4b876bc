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

// path is two nodes on loopback: a frontend that sends every exchange to a
// peer, and that peer with a gate to a stand-in backend server.
type path struct {
	front   *frontend.Frontend
	server  *transport.Server
	client  *transport.Client
	gate    *gate.Gate
	backend *httptest.Server
	url     string
}

func newPath(tb testing.TB, backend http.Handler, tune func(*frontend.Config, *gate.Config)) *path {
	tb.Helper()
	p := &path{backend: httptest.NewServer(backend)}
	tb.Cleanup(p.backend.Close)
	auth, err := transport.NewAuthenticator(0, []byte(strings.Repeat("k", 32)))
	must.NoError(tb, err)
	gc := gate.Config{BackendAddr: p.backend.Listener.Addr().String(), MaxConns: 1024, ConnWait: 10 * time.Second}
	fc := frontend.Config{Addr: "127.0.0.1:0"}
	if tune != nil {
		tune(&fc, &gc)
	}
	p.gate, err = gate.New(gc)
	must.NoError(tb, err)
	p.server, err = transport.NewServer(transport.ServerConfig{Addr: "127.0.0.1:0", Handler: p.gate, Auth: auth})
	must.NoError(tb, err)
	p.server.Start()
	p.client, err = transport.NewClient(transport.ClientConfig{Auth: auth})
	must.NoError(tb, err)
	fc.Handler = core.HandlerFunc(func(ctx context.Context, req *core.Request) (*core.Response, error) {
		return p.client.Exchange(ctx, p.server.Addr(), req)
	})
	p.front, err = frontend.New(fc)
	must.NoError(tb, err)
	p.front.Start()
	p.url = "http://" + p.front.Addr()
	tb.Cleanup(func() {
		_ = p.front.Close()
		_ = p.client.Close()
		_ = p.server.Close()
	})
	return p
}

func request(tb testing.TB, method, url string, body io.Reader) *http.Request {
	tb.Helper()
	r, err := http.NewRequest(method, url, body)
	must.NoError(tb, err)
	r.Header.Set(frontend.HeaderService, "svc")
	r.Header.Set(frontend.HeaderKey, "k1")
	return r
}

func TestPathAnswers(t *testing.T) {
	p := newPath(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Header.Get("Marjoram-Key")+r.URL.RequestURI())
		_, _ = w.Write(append([]byte("got "), b...))
	}), nil)
	resp, err := http.DefaultClient.Do(request(t, "POST", p.url+"/a?b=c", strings.NewReader("hello")))
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
