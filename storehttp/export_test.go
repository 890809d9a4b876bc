package storehttp

import (
	"net"
	"net/http"
	"sync/atomic"

	"marjoramshore.example/countconn"
)

// Limits of a response, for tests.
const (
	MaxResponseBytes     = maxResponseBytes
	MaxResponseHeadBytes = maxResponseHeadBytes
)

// CountReads returns the number of bytes that c reads from its connections.
func CountReads(c *Client) *atomic.Int64 {
	read := &atomic.Int64{}
	c.http.Transport.(*http.Transport).DialContext = countconn.Dialer((&net.Dialer{}).DialContext, read)
	return read
}
