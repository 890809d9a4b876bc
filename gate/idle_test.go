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

// Guards against repeated failures with a backend server that silently forgets
// idle connections: it resets the next request on one, and each request that
// must not run twice then fails.
func TestIdleLimitShrinksAfterReset(t *testing.T) {
	addr, _ := startRawBackend(t, func(n int64, c net.Conn, r *http.Request) bool {
		if n == 2 {
			// A close with unread bytes resets the connection.
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := newGate(t, Config{BackendAddr: addr})
	idleTime := 100 * time.Millisecond
	send := func() error {
		resp, err := g.Serve(t.Context(), postRequest("pay"))
		if err == nil {
			readAndClose(t, resp)
		}
		return err
	}
	must.NoError(t, send())
	time.Sleep(idleTime)
	must.Eq(t, core.CodeUnknown, core.CodeOf(send()))
	must.NoError(t, send())
	time.Sleep(idleTime)
	must.NoError(t, send())
	must.Eq(t, uint64(1), g.Stats().Reused)
	must.NoError(t, send())
	must.Eq(t, uint64(2), g.Stats().Reused, must.Sprint("a connection that was idle for a short time is reused"))
}

// Guards against using connections in turn, which leaves each idle for long.
func TestMostRecentlyUsedConnectionIsReused(t *testing.T) {
	s := newIdleStack(time.Second)
	now := time.Now()
	older, newer := newPipeConn(t), newPipeConn(t)
	s.push(older, now)
	s.push(newer, now.Add(time.Millisecond))
	must.Eq(t, newer, s.pop(now.Add(2*time.Millisecond), "r1"))
	s.push(newer, now.Add(2*time.Second))
	must.Eq(t, newer, s.pop(now.Add(2*time.Second), "r1"))
	must.Nil(t, s.pop(now.Add(2*time.Second), "r1"), must.Sprint("a connection that was idle for too long is not reused"))
}

func newPipeConn(t *testing.T) *conn {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return &conn{Conn: a}
}

// Guards against a request on a connection to an earlier process of the server,
// which may not respond.
func TestCloseIdleConnections(t *testing.T) {
	addr, _ := startRawBackend(t, func(_ int64, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	g := newGate(t, Config{BackendAddr: addr})
	for range 2 {
		resp, err := g.Serve(t.Context(), getRequest())
		must.NoError(t, err)
		readAndClose(t, resp)
		g.CloseIdleConnections()
	}
	must.Eq(t, uint64(0), g.Stats().Reused)
}

// Guards against a reduced idle limit that stays in force for ever, and against
// one that a later reset raises.
func TestReducedIdleLimitExpires(t *testing.T) {
	l := idleLimit{configured: 4 * time.Second}
	now := time.Now()
	must.Eq(t, l.configured, l.current(now))
	l.reduce(now, 300*time.Millisecond)
	must.Eq(t, 150*time.Millisecond, l.current(now))
	l.reduce(now, 400*time.Millisecond)
	must.Eq(t, 150*time.Millisecond, l.current(now))
	must.Eq(t, l.configured, l.current(now.Add(reducedLimitTTL+time.Millisecond)))
}
