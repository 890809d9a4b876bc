package gate

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// Guards against a backend server that forgets unused connections: whatever is
// sent next on one is reset, and a request that may not run twice is lost each
// time.
func TestForgottenConnectionsAreNotUsedAgain(t *testing.T) {
	addr, _ := rawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
		if n == 2 {
			// A close with unread bytes resets the connection.
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := newGate(t, Config{BackendAddr: addr})
	rest := 100 * time.Millisecond
	send := func() error {
		resp, err := g.Serve(t.Context(), post("pay"))
		if err == nil {
			drain(t, resp)
		}
		return err
	}
	must.NoError(t, send())
	time.Sleep(rest)
	must.Eq(t, core.CodeUnknown, core.CodeOf(send()))
	must.NoError(t, send())
	time.Sleep(rest)
	must.NoError(t, send())
	must.Eq(t, uint64(1), g.Stats().Reused)
	must.NoError(t, send())
	must.Eq(t, uint64(2), g.Stats().Reused, must.Sprint("connections that rest for a short time are kept"))
}

// Guards against connections that take turns, so that each rests for long.
func TestLastUsedConnectionIsReused(t *testing.T) {
	s := newIdleStack(time.Second)
	now := time.Now()
	old, young := pipeConn(t), pipeConn(t)
	s.push(old, now)
	s.push(young, now.Add(time.Millisecond))
	must.Eq(t, young, s.pop(now.Add(2*time.Millisecond)))
	s.push(young, now.Add(2*time.Second))
	must.Eq(t, young, s.pop(now.Add(2*time.Second)))
	must.Nil(t, s.pop(now.Add(2*time.Second)), must.Sprint("a connection that rested for too long"))
}

func pipeConn(t *testing.T) *conn {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return &conn{Conn: a}
}

// Guards against a request on a connection to a former process of the server,
// which may have fallen silent.
func TestDroppedConnectionsAreNotUsed(t *testing.T) {
	addr, _ := rawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := newGate(t, Config{BackendAddr: addr})
	for range 2 {
		resp, err := g.Serve(t.Context(), get())
		must.NoError(t, err)
		drain(t, resp)
		g.CloseIdleConnections()
	}
	must.Eq(t, uint64(0), g.Stats().Reused)
}

// Guards against a short time that stays for ever after one lost connection.
func TestShortRestEnds(t *testing.T) {
	l := restLimit{usual: 4 * time.Second}
	now := time.Now()
	must.Eq(t, l.usual, l.at(now))
	l.lost(now, 300*time.Millisecond)
	must.Eq(t, 150*time.Millisecond, l.at(now))
	l.lost(now, 400*time.Millisecond)
	must.Eq(t, 150*time.Millisecond, l.at(now))
	must.Eq(t, l.usual, l.at(now.Add(restFor+time.Millisecond)))
}
