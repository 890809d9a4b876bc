package storehttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Limits of a response, for tests.
const (
	MaxResponseBytes     = maxResponseBytes
	MaxResponseHeadBytes = maxResponseHeadBytes
)

// countingConn counts the bytes that are read from the connection. What the store
// can write depends on the socket buffers of the machine as well.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// CountReads returns the number of bytes that c reads from its connections.
func CountReads(c *Client) *atomic.Int64 {
	read, dialer := &atomic.Int64{}, net.Dialer{}
	c.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, read}, nil
	}
	return read
}
