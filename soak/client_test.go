package soak

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a caller that takes a request that the node has read for one
// that crossed the end of the connection, or the reverse.
func TestCallerTellsReadFromUnreadRequests(t *testing.T) {
	for name, test := range map[string]struct {
		// serve runs before the request is sent; it returns what follows it.
		serve func(node net.Conn) func()
		read  bool
	}{
		"read and closed": {func(node net.Conn) func() {
			return func() { _, _ = node.Read(make([]byte, bufferBytes)); _ = node.Close() }
		}, true},
		"closed with the request unread": {func(node net.Conn) func() { return func() { _ = node.Close() } }, false},
		"closed before the request":      {func(node net.Conn) func() { _ = node.Close(); return func() {} }, false},
		"broken off in the head": {func(node net.Conn) func() {
			return func() {
				_, _ = node.Read(make([]byte, bufferBytes))
				_, _ = node.Write([]byte("HTTP/1.1 200 OK\r\nX-"))
				_ = node.Close()
			}
		}, true},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		conn, err := dialNode(ln.Addr().String())
		must.NoError(t, err)
		must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		node, err := ln.Accept()
		must.NoError(t, err)
		closed, unsolicited := conn.idleState()
		must.False(t, closed)
		must.Zero(t, unsolicited)
		afterwards := test.serve(node)
		time.AfterFunc(50*time.Millisecond, afterwards)
		var end RequestEnd
		must.Nil(t, conn.exchange(nodeRequest{method: "GET", target: "/", id: "a"}, &end))
		must.Eq(t, test.read, end.ReadByNode, must.Sprint(name, end))
		closed, _ = conn.idleState()
		must.True(t, closed, must.Sprint(name))
		_, _ = conn.Close(), ln.Close()
	}
}
