package frontend

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/shoenig/test/must"
	"marjoramshore.example/core"
)

// quietConn is a connection whose deadlines have no effect.
type quietConn struct{ network.Conn }

func (quietConn) SetReadDeadline(time.Time) error { return nil }

// Guards against an upload that trickles within the idle timeout, and against
// one that hides its size in chunks.
func TestUploadLimits(t *testing.T) {
	cfg := Config{MinBodyRate: 1000, MaxBodyBytes: 50}.withDefaults()
	u := &upload{src: strings.NewReader("abc"), conn: quietConn{}, cfg: &cfg, left: core.UnknownLength, read: 10_500, waited: rateGrace}
	cfg.MaxBodyBytes = 1 << 20
	_, err := u.Read(make([]byte, 1))
	must.NoError(t, err) // 10,501 bytes in 10 s, 1,000 a second are asked
	u.waited += time.Second
	_, err = u.Read(make([]byte, 1))
	must.True(t, errors.Is(err, SlowBodyError{}))
	cfg.MaxBodyBytes = 50
	u = &upload{src: strings.NewReader(strings.Repeat("x", 51)), conn: quietConn{}, cfg: &cfg, left: core.UnknownLength}
	_, err = io.Copy(io.Discard, u)
	must.True(t, errors.Is(err, BodyTooLargeError{}))
	// A source that ends early, and one that offers more than announced.
	u = &upload{src: strings.NewReader("ab"), conn: quietConn{}, cfg: &cfg, left: 3}
	_, err = io.Copy(io.Discard, u)
	must.Eq(t, io.ErrUnexpectedEOF, err)
	u = &upload{src: strings.NewReader("abcNEXT"), conn: quietConn{}, cfg: &cfg, left: 3}
	got, err := io.ReadAll(u)
	must.NoError(t, err)
	must.Eq(t, "abc", string(got))
}

// Guards against heads without bound.
func TestHeadBound(t *testing.T) {
	f, err := New(Config{Addr: "127.0.0.1:0", MaxHeaderBytes: 4 << 10, Handler: core.HandlerFunc(nil)})
	must.NoError(t, err)
	f.Start()
	defer f.Close()
	c, err := net.Dial("tcp", f.Addr())
	must.NoError(t, err)
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
		for range 1000 {
			if _, err := c.Write(bytes.Repeat([]byte("X-Fill: 0123456789\r\n"), 10)); err != nil {
				return
			}
		}
	}()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	head := make([]byte, len("HTTP/1.1 431"))
	_, err = io.ReadFull(c, head)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 431", string(head))
}
