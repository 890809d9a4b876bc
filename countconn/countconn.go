// Package countconn counts, for tests, the bytes that one end of a connection
// reads. What the other end can write depends on the socket buffers of the machine
// as well.
package countconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conn counts the bytes that are read from the connection.
type conn struct {
	*net.TCPConn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials like dial and counts in read what is read
// from all connections.
func Dialer(dial DialFunc, read *atomic.Int64) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn{c.(*net.TCPConn), read}, nil
	}
}

// Listener is a TCP listener that counts the bytes that are read from each of its
// connections.
type Listener struct {
	net.Listener
	read sync.Map // an *atomic.Int64 for each remote address
}

// NewListener returns a listener that accepts the connections of ln.
func NewListener(ln net.Listener) *Listener { return &Listener{Listener: ln} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	read, _ := l.read.LoadOrStore(c.RemoteAddr().String(), &atomic.Int64{})
	return conn{c.(*net.TCPConn), read.(*atomic.Int64)}, nil
}

// BytesFrom returns the number of bytes read from the connections of a remote
// address, and whether there was one.
func (l *Listener) BytesFrom(address string) (int64, bool) {
	read, ok := l.read.Load(address)
	if !ok {
		return 0, false
	}
	return read.(*atomic.Int64).Load(), true
}
